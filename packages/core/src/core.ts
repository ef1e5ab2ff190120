import type { Clock, FailureDomain, GroupId, InstanceId, Millis } from '@rosedeck/shared';
import type { Command } from './commands';
import { applyConfigEvent } from './configEvents';
import { createConfigTable } from './configTable';
import { nextConfigAt, runConfiguration } from './configuration';
import { runConfirmation } from './confirmation';
import { markConnectionReady } from './connections';
import { createDeadlines } from './deadlines';
import { runDetection } from './detection';
import { runDispatch } from './dispatch';
import type { CoreEvent } from './events';
import { applyPeerAnswer, applyPeerLost, expireEntryRequest } from './entryRequests';
import { abandonRequest, applyConnectionClosed, applyExecution, expireRequest } from './execution';
import type { Answer, OwnerRequest } from './messages';
import { applyGroups, sweepRemovedGroups } from './groupChanges';
import { applyList, clearSuspicion, startDrain, suspectPeer } from './membership';
import type { CoreLogEvent } from './logEvents';
import { createOutcomes } from './outcomes';
import { createOwnersCache } from './ownership';
import { DEFAULT_POLICIES } from './policies';
import type { Policies } from './policies';
import { applyAdoptReply, applyClaim, applyPromoteReply, runPromotion } from './promotion';
import { acceptRequest } from './requests';
import { applyProbeReply, discardReports, runProbeRounds } from './probeRounds';
import { createScheduler } from './scheduler';
import type { SystemName } from './scheduler';
import { acceptStatement, closeSession, openSession, presentToken } from './sessions';
import type { CoreSettings } from './settings';
import type { GroupRow } from './tables';
import { queueCommand, recordLogEvent } from './world';
import { abandonTransactionsOf, abandonTransaction } from './transactions';
import type { World } from './world';

/** Options of `createCore`. */
export interface CoreOptions {
  readonly self: InstanceId;
  readonly failureDomain: FailureDomain;
  readonly clock: Clock;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly settings: CoreSettings;
  readonly policies?: Policies;
}

/** Output of a tick: commands to carry out and events to log. */
export interface TickResult {
  readonly commands: readonly Command[];
  readonly logEvents: readonly CoreLogEvent[];
}

/** The decision logic of a daemon; it performs no input or output. */
export interface Core {
  /** Applies an event to the tables; the resulting commands come with the next tick. */
  post: (event: CoreEvent) => void;
  /** Expires requests, runs all systems that have work and returns what they queued. */
  tick: () => TickResult;
  /** When the next tick is due, 0 for at once; undefined when nothing is scheduled. */
  nextTickAt: () => Millis | undefined;
  /** The tables; to be read only. */
  readonly world: World;
}

const SYSTEMS: Readonly<Record<SystemName, (world: World, group: GroupRow, now: Millis) => void>> =
  {
    rounds: runProbeRounds,
    confirmation: runConfirmation,
    detection: runDetection,
    promotion: runPromotion,
    dispatch: runDispatch,
  };

/** Creates the core of a daemon, without groups until the first `groups` event. */
export function createCore(options: CoreOptions): Core {
  const world = createWorld(options);
  const runSystem = (system: SystemName, id: GroupId): void => {
    const group = world.groups.get(id);
    if (group) SYSTEMS[system](world, group, world.clock.now());
  };
  return {
    world,
    post: (event) => {
      handlePause(world);
      applyEvent(world, event);
    },
    tick: () => {
      handlePause(world);
      expireRequests(world);
      runConfiguration(world);
      sweepRemovedGroups(world);
      world.scheduler.flushJobs(world.clock.now(), runSystem);
      return takeResult(world);
    },
    nextTickAt: () => nextTickAt(world),
  };
}

function createWorld(options: CoreOptions): World {
  return {
    self: options.self,
    failureDomain: options.failureDomain,
    clock: options.clock,
    random: options.random,
    settings: options.settings,
    policies: options.policies ?? DEFAULT_POLICIES,
    scheduler: createScheduler(),
    deadlines: createDeadlines(),
    entryDeadlines: createDeadlines(),
    groups: new Map(),
    targets: new Map(),
    connections: new Map(),
    outcomes: createOutcomes(),
    ownersCache: createOwnersCache(),
    requests: new Map(),
    transactions: new Map(),
    peers: new Map(),
    sessions: new Map(),
    entryRequests: new Map(),
    config: createConfigTable(),
    leavingTargets: new Set(),
    removedGroups: new Set(),
    commands: [],
    logEvents: [],
    lastTickAt: options.clock.now(),
    draining: false,
    hasList: false,
    nextConnectionId: 1,
  };
}

function takeResult(world: World): TickResult {
  const { commands, logEvents } = world;
  world.commands = [];
  world.logEvents = [];
  return { commands, logEvents };
}

function nextTickAt(world: World): Millis | undefined {
  if (world.commands.length > 0) return 0;
  const times = [
    world.scheduler.nextDueAt(),
    world.deadlines.nextDueAt(),
    world.entryDeadlines.nextDueAt(),
    nextConfigAt(world),
  ].filter((at) => at !== undefined);
  return times.length === 0 ? undefined : Math.min(...times);
}

/** After a pause of the process, discards what was observed before it, so that no decision uses it. */
function handlePause(world: World): void {
  const now = world.clock.now();
  const previousTickAt = world.lastTickAt;
  const gapMs = now - previousTickAt;
  world.lastTickAt = now;
  if (gapMs <= world.settings.pauseLimitMs) return;
  const due = nextTickAt(world);
  if (due === undefined) return;
  // Work that is due at once is reported as due at 0; it has waited since the previous tick.
  const overdueMs = now - Math.max(due, previousTickAt);
  if (overdueMs <= world.settings.pauseLimitMs) return;
  recordLogEvent(world, { type: 'paused', gapMs });
  if (!world.policies.resetsAfterPause) return;
  for (const group of world.groups.values()) {
    discardReports(world, group);
    group.promotion = undefined;
    group.primaryDownSince = undefined;
    group.leaderlessSince = undefined;
    group.laterTermSince = undefined;
    group.lastRoundAt = -Infinity;
    group.promotionNotBefore = now + world.settings.suspectAfterMs;
    world.scheduler.queueJob('rounds', group.spec.id);
  }
}

function expireRequests(world: World): void {
  const now = world.clock.now();
  for (const id of world.deadlines.takeExpired(now)) expireRequest(world, id);
  for (const id of world.entryDeadlines.takeExpired(now)) expireEntryRequest(world, id);
  world.outcomes.expire(now - world.settings.outcomeKeepMs);
}

function applyEvent(world: World, event: CoreEvent): void {
  switch (event.type) {
    case 'groups':
      applyGroups(world, event.groups);
      return;
    case 'list':
      applyList(world, event.instances, event.targets);
      return;
    case 'request':
      if (event.request.op === 'abandon') applyAbandon(world, event.request);
      else acceptRequest(world, event.request);
      return;
    case 'entry_lost':
      abandonTransactionsOf(world, event.entry);
      return;
    case 'connection_opened':
    case 'connection_reset':
      markConnectionReady(world, event.connection);
      return;
    case 'connection_closed':
      applyConnectionClosed(world, event.connection, event.refused);
      return;
    case 'executed':
      applyExecution(world, event.connection, event.request, event.execution);
      return;
    case 'session_opened':
      openSession(world, event.session, event.customer, event.group);
      return;
    case 'session_closed':
      closeSession(world, event.session);
      return;
    case 'session_token':
      presentToken(world, event.session, event.group, event.position);
      return;
    case 'caller_statement':
      acceptStatement(world, event.statement);
      return;
    case 'peer_answer':
      applyPeerAnswer(world, event.request, event.answer);
      return;
    case 'peer_lost':
      applyPeerLost(world, event.request, event.to, event.sent);
      return;
    case 'peer_up':
      clearSuspicion(world, event.peer);
      return;
    case 'peer_suspected':
      suspectPeer(world, event.peer, event.forMs);
      return;
    case 'drain':
      startDrain(world);
      return;
    case 'config_started':
    case 'config_loaded':
    case 'config_load_failed':
    case 'config_watched':
    case 'config_answered':
    case 'config_asked':
    case 'config_pushed':
    case 'config_entry':
    case 'config_rejected':
      applyConfigEvent(world, event);
      return;
    default:
      applyTargetEvent(world, event);
  }
}

type TargetEvent = Extract<CoreEvent, { type: 'probed' | 'claimed' | 'adopted' | 'promoted' }>;

function applyTargetEvent(world: World, event: TargetEvent): void {
  const group = world.groups.get(event.group);
  if (!group) return;
  if (event.type === 'claimed') {
    applyClaim(world, group, event.term, event.result, event.heldTerm);
    return;
  }
  const target = world.targets.get(event.target);
  if (!target) return;
  if (event.type === 'probed') applyProbeReply(world, group, target, event.round, event.report);
  else if (event.type === 'adopted') applyAdoptReply(world, group, target, event.term, event.reply);
  else applyPromoteReply(world, group, target, event.term, event.report);
}

function applyAbandon(world: World, req: OwnerRequest): void {
  abandonTransaction(world, req.transaction ?? '', 'the entry has abandoned the transaction');
  abandonRequest(world, req.subject ?? '');
  const answer: Answer = { kind: 'ok', affectedRows: 0, insertId: 0 };
  queueCommand(world, { type: 'answer_peer', request: req.id, entry: req.entry, answer });
}

import type {
  Clock,
  FailureDomain,
  GroupId,
  InstanceId,
  Millis,
  RequestId,
  SessionId,
  TargetId,
} from '@rosedeck/shared';
import type { DirectConfig, ListedTarget } from './configuration';
import {
  applyReply,
  dropConnection,
  loseConnection,
  mayOpen,
  noteOpened,
  openConnection,
  runConnectionUpkeep,
} from './connections';
import { hedgeRead, isUsable, ownInFlight, resumeInTransaction, runDispatch } from './dispatch';
import { expireRunning } from './execution';
import type { ExecutionHooks } from './execution';
import { applyPromotionEnd, expectPrimary, runFailover } from './failover';
import type { PromotionResult } from './promotionTypes';
import { createFleet, expirePeers, notePeer } from './fleet';
import type { ListedDaemon, PeerReport, ToldSample } from './peerReport';
import { applyTold, isSampler, isScarce, runSampling, tellSamples } from './sampling';
import { enqueueRequest, shedHopeless } from './requests';
import { applyStatement, closeSession, endAtTarget, finishRequest, openSession } from './sessions';
import type { DirectSettings } from './settings';
import type { CallerStatement, LossReason, TargetReply } from './statements';
import type { ConnectionId, GroupRow, RequestRow, Sides, TargetRow, World } from './tables';

/** What an engine is made with. */
export interface EngineOptions {
  readonly clock: Clock;
  readonly settings: DirectSettings;
  readonly sides: Sides;
  /** Uniform numbers in [0, 1). */
  readonly random: () => number;
  readonly name: InstanceId;
  readonly failureDomain: FailureDomain;
}

/** Serves callers over this daemon's own connections to the targets. Every method is one event. */
export interface DirectEngine {
  readonly world: World;
  /** Puts a configuration in force, unless a newer one is. */
  applyConfig: (config: DirectConfig, source: string) => void;
  /** Takes in the platform's list of targets, whole. */
  applyTargets: (list: readonly ListedTarget[], source: string) => void;
  /** Takes in the daemons that the platform's directory shows, this one included. */
  applyDirectory: (daemons: readonly ListedDaemon[]) => void;
  applyPeer: (report: PeerReport) => void;
  connectionOpened: (connection: ConnectionId) => void;
  connectionLost: (connection: ConnectionId, reason: LossReason) => void;
  targetReplied: (connection: ConnectionId, reply: TargetReply) => void;
  /** False when no route leads to the database. */
  openSession: (session: SessionId, database: string) => boolean;
  /** Each request is answered once; a session has one at a time. */
  statement: (session: SessionId, request: RequestId, statement: CallerStatement) => void;
  closeSession: (session: SessionId) => void;
  /** Another daemon, or this one, has chosen the target to lead the group. */
  claimSeen: (group: GroupId, target: TargetId) => void;
  promotionEnded: (group: GroupId, result: PromotionResult) => void;
  /** The process was suspended or the time of day was set: what was known may be old. */
  timeJumped: (byMs: Millis) => void;
  tick: () => void;
  /** Looks at what waits; the answer to `wakeAfter`. */
  wake: () => void;
  /** Starts to close sessions as they become idle. */
  drain: () => void;
  /** True once no session is open and the platform sends no new ones. */
  isDrained: () => boolean;
  /** What this daemon tells another that asks for samples. */
  tellSamples: (groups: readonly GroupId[]) => readonly ToldSample[];
  /** Samples that were asked for at `askedAt`. */
  samplesTold: (samples: readonly ToldSample[], askedAt: Millis) => void;
  /** True when the list shows a target of every group that a route leads to. */
  coversRoutes: () => boolean;
  /** This daemon's report for the others. */
  report: (view: number) => PeerReport;
}

/** Usual times until there are samples. */
const FIRST_GUESS = { readMs: 25, writeMs: 15, holdPrimaryMs: 60, holdAnyMs: 30 } as const;

/** Sessions closed per tick while draining, so that their callers do not return all at once. */
const CLOSED_PER_TICK = 8;

/** Creates an engine without configuration or targets. */
export function createDirectEngine(options: EngineOptions): DirectEngine {
  const world = createWorld(options);
  const hooks: ExecutionHooks = { finish: finishRequest, requeue: enqueueRequest };
  const { clock } = options;

  const settle = (): void => {
    for (const group of world.woken) {
      world.woken.delete(group);
      if (group.queue.length === 0) continue;
      runDispatch(world, hooks, group);
      if (group.queue.length > 0) shedHopeless(world, hooks, group);
    }
  };
  const onConnection = (
    id: ConnectionId,
    apply: (row: NonNullable<ReturnType<typeof world.connections.get>>, now: Millis) => void,
  ): void => {
    const row = world.connections.get(id);
    if (!row) return;
    apply(row, clock.now());
    settle();
  };

  return {
    world,
    applyConfig: (config, source) => {
      applyConfig(world, config, source);
      settle();
    },
    applyTargets: (list, source) => {
      applyTargets(world, list, source);
      settle();
    },
    applyDirectory: (daemons) => {
      world.fleet.listed = daemons;
    },
    applyPeer: (report) => {
      notePeer(world, report, clock.now());
    },
    connectionOpened: (id) => {
      onConnection(id, (row, now) => {
        noteOpened(world, row, now);
      });
    },
    connectionLost: (id, reason) => {
      onConnection(id, (row, now) => {
        loseConnection(world, row, reason, now);
      });
    },
    targetReplied: (id, reply) => {
      onConnection(id, (row, now) => {
        applyReply(world, row, reply, now);
      });
    },
    openSession: (session, database) => openSession(world, session, database),
    statement: (id, request, statement) => {
      const session = world.sessions.get(id);
      if (!session) return;
      applyStatement(world, hooks, session, request, statement);
      settle();
    },
    closeSession: (id) => {
      closeSession(world, id);
      settle();
    },
    claimSeen: (id, target) => {
      const group = world.groups.get(id);
      if (group) expectPrimary(world, group, target, clock.now());
      settle();
    },
    promotionEnded: (id, result) => {
      const group = world.groups.get(id);
      if (group) applyPromotionEnd(world, group, result, clock.now());
      settle();
    },
    timeJumped: (byMs) => {
      forgetAges(world, byMs);
    },
    tick: () => {
      runTick(world, hooks);
      settle();
    },
    wake: () => {
      for (const group of world.groups.values()) if (group.queue.length > 0) world.woken.add(group);
      settle();
    },
    drain: () => {
      world.drainingSince ??= clock.now();
      world.sides.log({ type: 'drain_started', sessions: world.sessions.size });
    },
    isDrained: () => {
      if (world.drainingSince === undefined || world.sessions.size > 0) return false;
      return clock.now() - world.drainingSince >= drainHoldMs(world);
    },
    tellSamples: (groups) => tellSamples(world, groups),
    samplesTold: (samples, askedAt) => {
      applyTold(world, samples, askedAt);
      settle();
    },
    coversRoutes: () => coversRoutes(world),
    report: (view) => createReport(world, view),
  };
}

function createWorld(options: EngineOptions): World {
  return {
    clock: options.clock,
    settings: options.settings,
    sides: options.sides,
    random: options.random,
    self: { name: options.name, failureDomain: options.failureDomain },
    groups: new Map(),
    targets: new Map(),
    connections: new Map(),
    sessions: new Map(),
    running: new Set(),
    fleet: createFleet(),
    woken: new Set(),
    nextConnection: 1,
    epoch: 0,
    jumpedAt: -Infinity,
    lastTickAt: options.clock.now(),
  };
}

function applyConfig(world: World, config: DirectConfig, source: string): void {
  if (world.config && config.version <= world.config.version) return;
  world.config = config;
  for (const [id, limits] of config.groups) {
    const known = world.groups.get(id);
    if (known) known.connectionLimit = limits.connectionLimit;
    else world.groups.set(id, createGroup(world, id, limits.connectionLimit));
  }
  world.sides.log({
    type: 'config_applied',
    version: config.version,
    routes: config.routes.size,
    source,
  });
}

function createGroup(world: World, id: GroupId, connectionLimit: number): GroupRow {
  return {
    id,
    connectionLimit,
    targets: new Map(),
    term: 0,
    samples: [],
    queue: [],
    lastRequestAt: world.clock.now(),
    contested: false,
    demandAt: -Infinity,
    rotatedAt: -Infinity,
    askedAt: -Infinity,
    runMs: { read: { value: FIRST_GUESS.readMs }, write: { value: FIRST_GUESS.writeMs } },
    holdMs: {
      primary: { value: FIRST_GUESS.holdPrimaryMs },
      any: { value: FIRST_GUESS.holdAnyMs },
    },
    routeMs: new Map(),
    promoteMs: { value: world.settings.promotionGuessMs },
  };
}

function applyTargets(world: World, list: readonly ListedTarget[], source: string): void {
  const now = world.clock.now();
  const added: TargetId[] = [];
  const removed: TargetId[] = [];
  const leaving: TargetId[] = [];
  const listed = new Set(list.map((entry) => entry.id));
  for (const entry of list) {
    const group = world.groups.get(entry.group);
    if (!group) continue;
    const known = group.targets.get(entry.id);
    if (known?.entry.life !== entry.life || known.entry.address !== entry.address) {
      if (known) removeTarget(world, known);
      addTarget(world, group, entry, now);
      added.push(entry.id);
    }
    const row = group.targets.get(entry.id);
    if (!row) continue;
    if (entry.leaving && row.leavingSince === undefined) {
      row.leavingSince = now;
      leaving.push(entry.id);
    }
    if (!entry.leaving) row.leavingSince = undefined;
    row.entry = entry;
    row.missingSince = undefined;
  }
  for (const row of world.targets.values()) {
    if (listed.has(row.entry.id) || row.missingSince !== undefined) continue;
    row.missingSince = now;
    removed.push(row.entry.id);
  }
  for (const group of world.groups.values()) world.woken.add(group);
  if (added.length + removed.length + leaving.length > 0)
    world.sides.log({ type: 'targets_changed', added, removed, leaving, source });
}

function addTarget(world: World, group: GroupRow, entry: ListedTarget, now: Millis): void {
  const row: TargetRow = {
    entry,
    group,
    connections: new Set(),
    idle: [],
    openBlockedUntil: now,
    failures: 0,
    lastReplyAt: now,
    notLeadingAt: -Infinity,
    rating: { slowness: 1, at: now },
    doneAt: -Infinity,
    load: 0,
    keepIdleMs: world.settings.surplusIdleMs,
    probedAt: -Infinity,
    rejectedAt: -Infinity,
  };
  group.targets.set(entry.id, row);
  world.targets.set(entry.id, row);
  if (group.primary === entry.id) group.primaryProvenAt = undefined;
}

function removeTarget(world: World, row: TargetRow): void {
  const now = world.clock.now();
  for (const connection of [...row.connections]) loseConnection(world, connection, 'closed', now);
  if (row.group.targets.get(row.entry.id) === row) row.group.targets.delete(row.entry.id);
  if (world.targets.get(row.entry.id) === row) world.targets.delete(row.entry.id);
}

/** Proofs and samples are dated by a clock that may have stood still. */
function forgetAges(world: World, byMs: Millis): void {
  world.epoch += 1;
  world.jumpedAt = world.clock.now();
  for (const group of world.groups.values()) {
    group.samples.length = 0;
    group.primaryProvenAt = undefined;
    group.reasonSince = undefined;
    group.expected = undefined;
  }
  for (const target of world.targets.values()) target.failingSince = undefined;
  world.fleet.peers.clear();
  world.sides.log({ type: 'time_jumped', byMs: Math.round(byMs) });
}

function runTick(world: World, hooks: ExecutionHooks): void {
  const now = world.clock.now();
  world.lastTickAt = now;
  runConnectionUpkeep(world, now);
  for (const row of [...world.running]) reviewRunning(world, hooks, row, now);
  expirePeers(world, now);
  runSampling(world, now);
  for (const group of world.groups.values()) {
    runFailover(world, group, now);
    if (group.queue.length === 0) continue;
    group.demandAt = now;
    world.woken.add(group);
  }
  for (const target of [...world.targets.values()]) reviewTarget(world, target, now);
  reviewTransactions(world, now);
  if (world.drainingSince !== undefined) closeIdleSessions(world, now);
}

function reviewRunning(world: World, hooks: ExecutionHooks, row: RequestRow, now: Millis): void {
  if (row.stage === 'queued') {
    resumeInTransaction(world, hooks, row);
    return;
  }
  if (now >= row.deadlineAt) {
    expireRunning(world, hooks, row);
    return;
  }
  if (row.access !== 'read' || row.transaction || row.needsPrimary || row.running.size !== 1)
    return;
  const { settings } = world;
  const usualMs = row.group.runMs.read.value * settings.hedgeFactor;
  const hedgeMs = Math.min(Math.max(settings.hedgeMinMs, usualMs), row.route.aimMs / 2);
  if (now - row.lastSentAt >= hedgeMs && row.tries < settings.maxTries)
    hedgeRead(world, hooks, row);
}

/** Weight of one tick in a target's smoothed load: some hundred milliseconds count. */
const LOAD_WEIGHT = 0.2;

/** Keeps a connection to each target, and lets go of targets that are gone. */
function reviewTarget(world: World, target: TargetRow, now: Millis): void {
  const { settings } = world;
  target.load += LOAD_WEIGHT * (ownInFlight(target) - target.load);
  const isGone =
    target.missingSince !== undefined && now - target.missingSince > settings.missingMs;
  if (isGone) {
    for (const connection of [...target.idle]) dropConnection(world, connection);
    if (target.connections.size === 0) removeTarget(world, target);
    return;
  }
  if (target.connections.size > 0 || !isUsable(world, target, now)) return;
  const { group } = target;
  const isPrimary = group.primary === target.entry.id;
  if (isScarce(world, group) && !(isPrimary && isSampler(world, group))) return;
  if (now >= target.openBlockedUntil && mayOpen(world, target, now))
    openConnection(world, target, now);
}

/** Ends transactions whose callers have left them idle. */
function reviewTransactions(world: World, now: Millis): void {
  const { settings } = world;
  const idleMs = world.config?.transactionIdleMs;
  const drainMs = world.drainingSince === undefined ? 0 : now - world.drainingSince;
  for (const session of world.sessions.values()) {
    const { transaction } = session;
    if (!transaction || transaction.lost !== undefined || session.request) continue;
    const isIdle = idleMs !== undefined && now - transaction.lastUsedAt > idleMs;
    if (!isIdle && drainMs < settings.graceMs * settings.drainTransactionShare) continue;
    transaction.lost = isIdle ? 'the transaction was idle for too long' : 'the daemon shuts down';
    endAtTarget(world, transaction);
    world.sides.log({
      type: 'transaction_ended',
      session: session.id,
      reason: transaction.lost,
      idleMs: Math.round(now - transaction.lastUsedAt),
    });
  }
}

/** A short grace period leaves less time for callers that are still being sent. */
function drainHoldMs(world: World): Millis {
  const { drainHoldMs: holdMs, graceMs, drainTransactionShare } = world.settings;
  return Math.min(holdMs, graceMs * drainTransactionShare);
}

function closeIdleSessions(world: World, now: Millis): void {
  if (now - (world.drainingSince ?? now) < drainHoldMs(world)) return;
  let closed = 0;
  for (const session of world.sessions.values()) {
    if (session.state !== 'idle' || session.request) continue;
    world.sides.closeSession(session.id);
    closeSession(world, session.id);
    closed += 1;
    if (closed >= CLOSED_PER_TICK) return;
  }
}

function coversRoutes(world: World): boolean {
  for (const route of world.config?.routes.values() ?? []) {
    const group = world.groups.get(route.group);
    if (group?.targets.size === 0) return false;
  }
  return true;
}

function createReport(world: World, view: number): PeerReport {
  const now = world.clock.now();
  const opinions: { group: GroupId; target: TargetId; reachable: boolean }[] = [];
  for (const group of world.groups.values()) {
    const target = group.primary === undefined ? undefined : group.targets.get(group.primary);
    if (!target) continue;
    const reachable = target.failingSince === undefined;
    // Without recent proof of the lead this daemon knows nothing either way.
    const provenMs = now - (group.primaryProvenAt ?? -Infinity);
    if (reachable && provenMs > world.settings.opinionMs) continue;
    opinions.push({ group: group.id, target: target.entry.id, reachable });
  }
  const loads: [TargetId, number, number][] = [];
  for (const target of world.targets.values()) {
    const { size } = target.connections;
    if (size > 0) loads.push([target.entry.id, size, Math.round(target.load * 10) / 10]);
  }
  return {
    name: world.self.name,
    config: world.config?.version ?? 0,
    view,
    opinions,
    loads,
  };
}

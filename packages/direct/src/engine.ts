import type {
  ErrorKind,
  Failure,
  GroupId,
  InstanceId,
  Millis,
  RequestId,
  SessionId,
  TargetId,
} from '@rosedeck/shared';
import type { DirectConfig, ListedTarget } from './configuration';
import { applyReply, loseConnection, handleOpened } from './connections';
import { runDispatch } from './dispatch';
import type { ExecutionHooks } from './requestFailures';
import type { ConfirmerSet } from './confirmers';
import { applyConfirmers, applyLeaderships, hasQuorum, proposeMembers } from './fencing';
import { applyPromotionEnd, expectPrimary, mustOrder } from './failover';
import { applyListed, applyPeerReport, isDirectoryFilling } from './fleet';
import { recordDomainLoads, recordTotals } from './groupLoads';
import type {
  GroupLeadership,
  GroupLoads,
  ListedDaemon,
  PeerReport,
  SampleReply,
} from './peerReport';
import type { PromotionResult } from './promotionTypes';
import { isIsolated } from './isolation';
import { applyMissedClaim } from './missedClaims';
import { applyPoolLink } from './poolLinks';
import { isPooled } from './poolOwners';
import { shedPooledRequests } from './pooledAdmission';
import { createReport } from './ownReport';
import {
  applyQuotaDecisions,
  applyQuotaFleet,
  applyQuotaMessage,
  reviewQuotas,
} from './quotas/quotaGate';
import type { QuotaMessage } from './quotas/quotaMessages';
import { enqueueRequest, shedLateRequests } from './requests';
import { opinionReceivers } from './samplers';
import { applyPeerSamples, replyToRequest } from './sampling';
import {
  applyStatement,
  closeSession,
  finishRequest,
  isDenied,
  openSession,
  refuseStatement,
} from './sessions';
import type { CallerStatement, LossReason, TargetReply } from './statements';
import type { ConnectionId, PoolLoad } from './engineIo';
import type { GroupRow, World } from './tables';
import {
  applyConfig,
  applyTargets,
  hasTargetsForRoutes,
  recallTargets,
  resetAfterTimeJump,
} from './targetList';
import { runForEach, runSystem } from './systems';
import { effectiveDrainAcceptMs, nextTickMs, runTick } from './tick';
import { watchersOf } from './watchers';
import { createWorld } from './world';
import type { EngineOptions } from './world';

/**
 * Serves callers over this daemon's own connections to the targets. Each method passes one event to
 * the engine or queries its state.
 */
export interface DirectEngine {
  readonly world: World;
  /** Applies a configuration, unless the same or a newer version is in force. */
  applyConfig: (config: DirectConfig, source: string) => void;
  /** Applies the platform's complete list of targets. */
  applyTargets: (list: readonly ListedTarget[], source: string) => void;
  /** Uses targets of an earlier list for a short time, where the platform's list lacks them. */
  recallTargets: (earlier: readonly ListedTarget[]) => void;
  /** Applies the daemons of the platform's directory, this one included. */
  applyDirectory: (daemons: readonly ListedDaemon[]) => void;
  applyPeer: (report: PeerReport) => void;
  connectionOpened: (connection: ConnectionId) => void;
  connectionLost: (connection: ConnectionId, reason: LossReason) => void;
  targetReplied: (connection: ConnectionId, reply: TargetReply) => void;
  /** The owner of a target's pool tells the load there. */
  poolLoadSeen: (target: TargetId, load: PoolLoad) => void;
  /** Applies a message of another daemon about the caps of tenants. */
  quotaMessageReceived: (from: InstanceId, message: QuotaMessage) => void;
  /**
   * Passes the last stable count of daemons in the store, if there is one, and the age of the newest
   * proof that the view of the store is complete.
   */
  fleetSizeSeen: (stableCount: number | undefined, storeAgeMs: Millis) => void;
  /** A link to a daemon that pools connections has ended or is established again. */
  poolLinkChanged: (owner: InstanceId, isUp: boolean) => void;
  /** Opens a session for a caller with an API key, if any; returns the reason of a refusal. */
  openSession: (session: SessionId, database: string, key?: string) => ErrorKind | undefined;
  /** Each request is answered once; a session has one at a time. */
  statement: (session: SessionId, request: RequestId, statement: CallerStatement) => void;
  /**
   * Whether the configuration in force lets a statement only be refused, for its database or its key.
   */
  isDenied: (session: SessionId, statement: CallerStatement) => boolean;
  /** Answers a statement that has not been passed to `statement` with a refusal. */
  refuseStatement: (session: SessionId, request: RequestId, refusal: Failure) => void;
  closeSession: (session: SessionId) => void;
  /** A claim in the store names the target as the group's next primary. */
  claimSeen: (group: GroupId, target: TargetId) => void;
  /** As `claimSeen`, for a claim that was written at an unknown time while this daemon missed it. */
  claimMissed: (group: GroupId, target: TargetId) => void;
  /** Applies leaderships that claims or another daemon name; the older primaries get no work. */
  leadershipsSeen: (leaderships: readonly GroupLeadership[]) => void;
  /** Applies the set of confirmers of a complete view of the store. */
  confirmersSeen: (set: ConfirmerSet) => void;
  /** The next members of that set, where this daemon, at its `place` among the watchers, changes it. */
  proposeMembers: (place: number) => readonly InstanceId[] | undefined;
  /** All claims in the store have been applied, as read at `sentAt` or later. */
  claimsRead: (sentAt: Millis) => void;
  /** All changes in the store up to `sentAt` have been applied, as read by this daemon itself. */
  storeRead: (sentAt: Millis) => void;
  /** True when the store has to be read for claims, as too few confirmers are heard. */
  needsClaims: () => boolean;
  /** Whether the promotion of a target, once claimed, still has to be ordered. */
  mustOrder: (group: GroupId, target: TargetId) => boolean;
  promotionEnded: (group: GroupId, target: TargetId, result: PromotionResult) => void;
  /** The process was suspended or the time of day was set: recorded times may be wrong. */
  timeJumped: (byMs: Millis) => void;
  tick: () => void;
  /** Time until `tick` is to be called again. */
  nextTickMs: () => Millis;
  /** Dispatches queued requests; called as requested by `wakeAfter`. */
  wake: () => void;
  /** Starts to close sessions as they become idle. */
  drain: () => void;
  /** True once no session is open and the time for new ones has passed. */
  isDrained: () => boolean;
  /** Records the loads of another daemon and collects the reply to its request. */
  replyToRequest: (from: InstanceId, groups: readonly GroupLoads[]) => SampleReply;
  /** Applies a sampler's reply to a request of `askedAt`. */
  samplesReceived: (reply: SampleReply, askedAt: Millis, sampler: InstanceId) => void;
  /** True when this daemon may use no primary, since it hears neither a quorum nor the store. */
  isIsolated: () => boolean;
  /** True when every configured group that a route uses has a target. */
  hasTargetsForRoutes: () => boolean;
  /** True while the directory lacks many daemons of the last stable count. */
  isDirectoryFilling: () => boolean;
  /** Daemons that this daemon's reports have to reach, beside those chosen at random. */
  opinionReceivers: () => ReadonlySet<InstanceId>;
  /** Creates this daemon's report for the others; `view` and `storeAgeMs` are those of its view. */
  report: (view: number, storeAgeMs: Millis) => PeerReport;
}

/** Dispatches the queue of a group and refuses what cannot be served in time. */
function dispatchGroup(world: World, hooks: ExecutionHooks, group: GroupRow): void {
  if (group.queue.length + group.idleLeases.length === 0) return;
  runDispatch(world, hooks, group);
  if (group.queue.length === 0) return;
  if (isPooled(world, group)) shedPooledRequests(world, hooks, group);
  else shedLateRequests(world, hooks, group);
}

/** Creates an engine without configuration or targets. */
export function createDirectEngine(options: EngineOptions): DirectEngine {
  const world = createWorld(options);
  const hooks: ExecutionHooks = { finish: finishRequest, requeue: enqueueRequest };
  const { clock } = options;

  // Leases of this daemon's own pool may be granted during the request; the loop covers them.
  let isDispatching = false;
  const dispatchPending = (): void => {
    if (isDispatching) return;
    isDispatching = true;
    runSystem(world, 'quotas', () => {
      applyQuotaDecisions(world, hooks);
    });
    runForEach(world, 'dispatch', world.groupsToDispatch, (group) => {
      world.groupsToDispatch.delete(group);
      dispatchGroup(world, hooks, group);
    });
    isDispatching = false;
  };
  const reviewAllQuotas = (): void => {
    runSystem(world, 'quotas', () => {
      reviewQuotas(world);
    });
  };
  const withConnection = (
    id: ConnectionId,
    apply: (row: NonNullable<ReturnType<typeof world.connections.get>>, now: Millis) => void,
  ): void => {
    const row = world.connections.get(id);
    if (!row) return;
    apply(row, clock.now());
    dispatchPending();
  };

  return {
    world,
    applyConfig: (config, source) => {
      applyConfig(world, config, source);
      dispatchPending();
    },
    applyTargets: (list, source) => {
      applyTargets(world, list, source);
      dispatchPending();
    },
    recallTargets: (earlier) => {
      recallTargets(world, earlier);
      dispatchPending();
    },
    applyDirectory: (daemons) => {
      applyListed(world.fleet, daemons, clock.now());
      world.fleet.watchers = watchersOf(daemons);
      world.fleet.samplers.clear();
      applyQuotaFleet(world);
      world.fleet.poolOwners.clear();
      world.fleet.hasPoolOwners = daemons.some(({ poolsConnections }) => poolsConnections === true);
    },
    applyPeer: (report) => {
      applyPeerReport(world, report, clock.now());
      recordDomainLoads(world, report);
      applyLeaderships(world, report.leaderships);
      dispatchPending();
    },
    connectionOpened: (id) => {
      withConnection(id, (row, now) => {
        handleOpened(world, row, now);
      });
    },
    connectionLost: (id, reason) => {
      withConnection(id, (row, now) => {
        loseConnection(world, row, reason, now);
      });
    },
    targetReplied: (id, reply) => {
      withConnection(id, (row, now) => {
        applyReply(world, row, reply, now);
      });
    },
    quotaMessageReceived: (from, message) => {
      applyQuotaMessage(world, from, message);
      dispatchPending();
    },
    fleetSizeSeen: (stableCount, storeAgeMs) => {
      world.fleet.stableCount = stableCount;
      world.fleet.storeAgeMs = storeAgeMs;
      applyQuotaFleet(world);
    },
    poolLoadSeen: (id, load) => {
      const target = world.targets.get(id);
      if (target) target.poolLoad = { ...load, at: clock.now() };
    },
    poolLinkChanged: (owner, isUp) => {
      applyPoolLink(world, owner, isUp, clock.now());
      dispatchPending();
    },
    openSession: (session, database, key) => openSession(world, session, database, key),
    statement: (id, request, statement) => {
      const session = world.sessions.get(id);
      if (!session) return;
      applyStatement(world, hooks, session, request, statement);
      dispatchPending();
    },
    isDenied: (id, statement) => {
      const session = world.sessions.get(id);
      return session !== undefined && isDenied(world, session, statement);
    },
    refuseStatement: (id, request, refusal) => {
      const session = world.sessions.get(id);
      if (session) refuseStatement(world, session, request, refusal);
    },
    closeSession: (id) => {
      closeSession(world, id);
      dispatchPending();
    },
    claimSeen: (id, target) => {
      const group = world.groups.get(id);
      if (group) expectPrimary(world, group, target, clock.now());
      dispatchPending();
    },
    claimMissed: (id, target) => {
      const group = world.groups.get(id);
      if (group) applyMissedClaim(world, group, target, clock.now());
      dispatchPending();
    },
    leadershipsSeen: (leaderships) => {
      applyLeaderships(world, leaderships);
      dispatchPending();
    },
    confirmersSeen: (set) => {
      applyConfirmers(world, set);
    },
    proposeMembers: (place) => proposeMembers(world, place, clock.now()),
    claimsRead: (sentAt) => {
      if (sentAt <= world.timeJumpedAt) return;
      world.claimsReadAt = Math.max(world.claimsReadAt, sentAt);
      world.fleet.knowsClaims = true;
      dispatchPending();
    },
    storeRead: (sentAt) => {
      world.fleet.storeReadAt = Math.max(world.fleet.storeReadAt, sentAt);
    },
    needsClaims: () => !world.settings.promotionsFenced && !hasQuorum(world, clock.now()),
    mustOrder: (id, target) => {
      const group = world.groups.get(id);
      return group !== undefined && mustOrder(world, group, target, clock.now());
    },
    promotionEnded: (id, target, result) => {
      const group = world.groups.get(id);
      if (group) applyPromotionEnd(world, group, target, result, clock.now());
      dispatchPending();
    },
    timeJumped: (byMs) => {
      resetAfterTimeJump(world, byMs);
    },
    tick: () => {
      runTick(world, hooks);
      reviewAllQuotas();
      dispatchPending();
    },
    nextTickMs: () => nextTickMs(world),
    wake: () => {
      reviewAllQuotas();
      for (const group of world.groups.values())
        if (group.queue.length > 0) world.groupsToDispatch.add(group);
      dispatchPending();
    },
    drain: () => {
      world.drainingSince ??= clock.now();
      world.io.log({ type: 'drain_started', sessions: world.sessions.size });
    },
    isDrained: () => {
      if (world.drainingSince === undefined || world.sessions.size > 0) return false;
      return clock.now() - world.drainingSince >= effectiveDrainAcceptMs(world);
    },
    replyToRequest: (from, groups) => replyToRequest(world, from, groups),
    samplesReceived: ({ samples, totals }, askedAt, sampler) => {
      applyPeerSamples(world, samples, askedAt, sampler);
      recordTotals(world, totals);
      dispatchPending();
    },
    isIsolated: () => isIsolated(world, clock.now()),
    hasTargetsForRoutes: () => hasTargetsForRoutes(world),
    isDirectoryFilling: () => isDirectoryFilling(world),
    opinionReceivers: () => opinionReceivers(world),
    report: (view, storeAgeMs) => createReport(world, view, storeAgeMs),
  };
}

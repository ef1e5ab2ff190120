import type { Millis } from '@rosedeck/shared';
import { dropConnection, mayOpen, openConnection, reapConnections, timeoutAt } from './connections';
import { hedgeRead, ownInFlight, resumeInTransaction } from './dispatch';
import { isUsable } from './eligibility';
import { expireRunning } from './requestFailures';
import type { ExecutionHooks } from './requestFailures';
import { runFailover } from './failover';
import { reviewConfirmers } from './fencing';
import { expirePeers } from './fleet';
import { trackLease } from './isolation';
import { keepsOwnConnection } from './samplers';
import { runSampling } from './sampling';
import { closeSession, rollBackTransaction } from './sessions';
import { runForEach, runSystem } from './systems';
import type { GroupRow, RequestRow, SessionRow, TargetRow, World } from './tables';
import { removeTarget } from './targetList';

/** Sessions closed per tick while draining, so that their callers do not return all at once. */
const MAX_CLOSED_PER_TICK = 8;

/** Longest interval of the timed systems; every timeout is longer. */
const MAX_TICK_MS: Millis = 100;

/**
 * Time until the timed systems run next: at once where something waits, else when the first timeout or
 * hedge is due. Load pattern: fleets of daemons with a few statements a second each, where idle ticks
 * would take much of the processor time.
 */
export function nextTickMs(world: World): Millis {
  const { settings, clock } = world;
  const now = clock.now();
  const isBusy = [...world.groups.values()].some((group) => hasWork(group, now));
  if (isBusy || world.drainingSince !== undefined) return settings.tickMs;
  const dueMs = Math.min(nextDueAt(world) - now, shortestHedgeMs(world));
  return Math.min(MAX_TICK_MS, Math.max(settings.tickMs, dueMs));
}

/** Time without requests after which nobody waits for the proof of a group's primary. */
const IDLE_GROUP_MS: Millis = 1_000;

/** True while requests of a group wait, or its primary or one of its targets is about to change. */
function hasWork(group: GroupRow, now: Millis): boolean {
  if (group.queue.length > 0 || group.promotion || group.expectedPrimary) return true;
  if (group.primaryDownSince !== undefined) return true;
  if (group.unusableSince !== undefined && now - group.lastRequestAt < IDLE_GROUP_MS) return true;
  return [...group.targets.values()].some(
    ({ failingSince, leavingSince }) => failingSince !== undefined || leavingSince !== undefined,
  );
}

/** Shortest time after which a read that starts between two runs may have to be hedged. */
function shortestHedgeMs(world: World): Millis {
  let shortestMs = world.settings.hedgeMinMs;
  for (const { latencyObjectiveMs } of world.config?.routes.values() ?? [])
    shortestMs = Math.min(shortestMs, latencyObjectiveMs / 2);
  return shortestMs;
}

/** When the first timeout or hedge of running requests and of operations of rosedeck's own is due. */
function nextDueAt(world: World): Millis {
  let dueAt = Infinity;
  for (const row of world.running) {
    const at = row.stage === 'queued' ? row.notBefore : hedgeDueAt(world, row);
    dueAt = Math.min(dueAt, row.deadlineAt, at ?? Infinity);
  }
  for (const connection of world.connections.values())
    dueAt = Math.min(dueAt, timeoutAt(world, connection) ?? Infinity);
  return dueAt;
}

/** Runs the timed systems once. */
export function runTick(world: World, hooks: ExecutionHooks): void {
  const now = world.clock.now();
  runSystem(world, 'connections', () => {
    reapConnections(world, now);
  });
  runForEach(world, 'requests', [...world.running], (row) => {
    reviewRunning(world, hooks, row, now);
  });
  runSystem(world, 'peers', () => {
    expirePeers(world, now);
  });
  runSystem(world, 'lease', () => {
    reviewConfirmers(world, now);
    trackLease(world, now);
  });
  runSystem(world, 'sampling', () => {
    runSampling(world, now);
  });
  runForEach(world, 'groups', world.groups.values(), (group) => {
    runFailover(world, group, now);
  });
  for (const group of world.groups.values()) {
    if (group.queue.length === 0) continue;
    group.lastShortageAt = now;
    world.groupsToDispatch.add(group);
  }
  runForEach(world, 'targets', [...world.targets.values()], (target) => {
    reviewTarget(world, target, now);
  });
  runForEach(world, 'transactions', world.sessions.values(), (session) => {
    reviewTransaction(world, session, now);
  });
  if (world.drainingSince === undefined) return;
  runSystem(world, 'drain', () => {
    closeIdleSessions(world, now);
  });
}

function reviewRunning(world: World, hooks: ExecutionHooks, row: RequestRow, now: Millis): void {
  if (now >= row.deadlineAt) {
    expireRunning(world, hooks, row);
    return;
  }
  if (row.stage === 'queued') {
    resumeInTransaction(world, hooks, row);
    return;
  }
  if (now >= (hedgeDueAt(world, row) ?? Infinity)) hedgeRead(world, hooks, row);
}

/** When a request is to be hedged if it is still running; undefined if it is not. */
function hedgeDueAt(world: World, row: RequestRow): Millis | undefined {
  if (row.access !== 'read' || row.transaction || row.needsPrimary) return undefined;
  const { settings } = world;
  if (row.running.size !== 1 || row.tries >= settings.maxTries) return undefined;
  const slowMs = row.group.runMs.read.value * settings.hedgeFactor;
  const hedgeMs = Math.min(Math.max(settings.hedgeMinMs, slowMs), row.route.latencyObjectiveMs / 2);
  return row.lastSentAt + hedgeMs;
}

/** Time over which `smoothedInFlight` averages. */
const LOAD_AVERAGE_MS: Millis = 110;

/**
 * Whether a failing target is connected to although this daemon keeps no connection there. Requests
 * avoid failing targets, so that nothing else would show that one can be reached again.
 */
function mustRecheck({ failingSince, recheckAt, group }: TargetRow, now: Millis): boolean {
  if (failingSince === undefined || now < recheckAt) return false;
  return now - group.lastRequestAt < IDLE_GROUP_MS;
}

/** Keeps a connection open to each target, and removes targets that have been unlisted too long. */
function reviewTarget(world: World, target: TargetRow, now: Millis): void {
  const { settings } = world;
  const weight = 1 - Math.exp((target.smoothedAt - now) / LOAD_AVERAGE_MS);
  target.smoothedInFlight += weight * (ownInFlight(target) - target.smoothedInFlight);
  target.smoothedAt = now;
  const isExpired =
    target.unlistedSince !== undefined && now - target.unlistedSince > settings.unlistedGraceMs;
  if (isExpired) {
    for (const connection of [...target.idle]) dropConnection(world, connection);
    if (target.connections.size + target.leases.size === 0) removeTarget(world, target);
    return;
  }
  if (target.connections.size > 0 || !isUsable(world, target, now)) return;
  if (!keepsOwnConnection(world, target) && !mustRecheck(target, now)) return;
  if (now >= target.openBlockedUntil && mayOpen(world, target, now))
    openConnection(world, target, now);
}

/** Ends a transaction that is idle for too long or exceeds its share of a drain. */
function reviewTransaction(world: World, session: SessionRow, now: Millis): void {
  const { transaction } = session;
  if (!transaction || transaction.lostReason !== undefined || session.request) return;
  const { settings } = world;
  const idleMs = world.config?.transactionIdleMs;
  const drainMs = world.drainingSince === undefined ? 0 : now - world.drainingSince;
  const isIdle = idleMs !== undefined && now - transaction.lastUsedAt > idleMs;
  if (!isIdle && drainMs < settings.graceMs * settings.drainTransactionShare) return;
  transaction.lostReason = isIdle
    ? 'the transaction was idle for too long'
    : 'the daemon is shutting down';
  rollBackTransaction(world, transaction);
  world.io.log({
    type: 'transaction_ended',
    session: session.id,
    reason: transaction.lostReason,
    idleMs: Math.round(now - transaction.lastUsedAt),
  });
}

/** Time of a drain in which new sessions are accepted; a short grace period shortens it. */
export function effectiveDrainAcceptMs(world: World): Millis {
  const { drainAcceptMs, graceMs, drainTransactionShare } = world.settings;
  return Math.min(drainAcceptMs, graceMs * drainTransactionShare);
}

function closeIdleSessions(world: World, now: Millis): void {
  if (now - (world.drainingSince ?? now) < effectiveDrainAcceptMs(world)) return;
  let closed = 0;
  for (const session of world.sessions.values()) {
    if (session.state !== 'idle' || session.request) continue;
    world.io.closeSession(session.id);
    closeSession(world, session.id);
    closed += 1;
    if (closed >= MAX_CLOSED_PER_TICK) return;
  }
}

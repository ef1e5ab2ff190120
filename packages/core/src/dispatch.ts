import type { Millis } from '@rosedeck/shared';
import { refuseExpiredHolds, findSendRefusal, shedLateRequests } from './admission';
import {
  findIdleConnection,
  freeConnections,
  freeSlots,
  growConnectionShare,
  openConnectionsFor,
  slotShare,
  findTarget,
} from './connections';
import { executeRequest } from './execution';
import { isFreshEnough, resolveMinPosition } from './readFreshness';
import { estimatesFor, recordWait } from './estimates';
import { dequeueRequest, enqueueRequest } from './groupQueue';
import { isStalled, lockReserve, recordStall } from './lockStall';
import { endOutdatedWork, isSilent } from './outdatedWork';
import type { ReadCandidate } from './policies';
import { hasUsablePrimary, holdEndsAt, trackPrimaryGap } from './primaryGap';
import { handOverIfIsolated } from './isolatedOwner';
import { refuse } from './finishRequest';
import { isHeldBack, takesWork } from './switchover';
import type { FairQueue, GroupRow, RequestRow, TargetRow } from './tables';
import { runIdleCleanup } from './idleCleanup';
import { targetsOf } from './world';
import type { World } from './world';

/** Number of blocked requests after which a pass ends. */
const BLOCKED_LIMIT = 64;

/** One dispatch pass over the queue of a group. */
interface Pass {
  readonly world: World;
  readonly group: GroupRow;
  readonly now: Millis;
  /** Targets that reads can run on: they report, are not silent and take new work. */
  readonly targets: readonly TargetRow[];
  /** The primary; undefined while there is no usable one. */
  readonly primary: TargetRow | undefined;
  /** Number of requests that wait for a connection to open, by target. */
  readonly awaitingConnection: Map<TargetRow, number>;
  /** Number of requests that could not be dispatched. */
  blocked: number;
}

/**
 * Sends queued requests to targets in class order, after the periodic cleanup and load shedding.
 */
export function runDispatch(world: World, group: GroupRow, now: Millis): void {
  runIdleCleanup(world, group, now);
  trackPrimaryGap(world, group, now);
  endOutdatedWork(world, group, now);
  const { queue } = group;
  queue.awaitsReports = false;
  if (queue.length === 0) return;
  dispatchPinned(world, group, now);
  enqueueSampledReads(group, now);
  handOverIfIsolated(world, group, now);
  shedPeriodically(world, group, now);
  runPass(createPass(world, group, now));
  scheduleNextDispatch(world, group, now);
}

/**
 * Refuses requests that cannot be served in time. Periodic, since scanning the queue at each event
 * costs too much.
 */
function shedPeriodically(world: World, group: GroupRow, now: Millis): void {
  const holdEnd = holdEndsAt(world, group);
  const hasHoldExpired = holdEnd !== undefined && now >= holdEnd;
  if (now < group.nextShedAt && !hasHoldExpired) return;
  group.nextShedAt = now + world.settings.shedEveryMs;
  if (holdEnd !== undefined) refuseExpiredHolds(world, group, now);
  shedLateRequests(world, group, now);
}

/** Dispatches statements of open transactions first, since these hold a connection and locks. */
function dispatchPinned(world: World, group: GroupRow, now: Millis): void {
  for (const row of group.queue.pinned) dispatchInTransaction(world, group, row, now);
}

function dispatchInTransaction(world: World, group: GroupRow, row: RequestRow, now: Millis): void {
  const transaction = world.transactions.get(row.req.transaction ?? '');
  const connection = transaction && world.connections.get(transaction.connection);
  const target = findTarget(world, connection?.target);
  if (!transaction || !connection || !target) {
    refuse(world, row, 'transaction_lost', 'the transaction is not open here');
    return;
  }
  if (connection.state !== 'pinned') return;
  if (target.inFlight >= slotShare(world, group)) {
    if (!isStalled(world, group, target, row, now)) return;
    recordStall(group, now);
  }
  group.queue.pinned.delete(row);
  executeRequest(world, group, target, connection, row);
}

/** Moves reads whose position sample has come to the queue of their class. */
function enqueueSampledReads(group: GroupRow, now: Millis): void {
  const { queue } = group;
  for (const row of queue.unsampled) {
    if (!resolveMinPosition(group, row)) return;
    queue.unsampled.delete(row);
    row.queuedAt = now;
    enqueueRequest(queue, row);
  }
}

function createPass(world: World, group: GroupRow, now: Millis): Pass {
  const isUsable = hasUsablePrimary(world, group, now);
  const targets = targetsOf(world, group).filter((target) =>
    canTakeReads(world, group, target, now),
  );
  for (const target of targets) growConnectionShare(world, group, target, now);
  return {
    world,
    group,
    now,
    targets,
    primary: isUsable ? findTarget(world, group.primary) : undefined,
    awaitingConnection: new Map(),
    blocked: 0,
  };
}

function canTakeReads(world: World, group: GroupRow, target: TargetRow, now: Millis): boolean {
  const isReporting = target.report !== undefined && !isSilent(world, target, now);
  return isReporting && takesWork(world, group, target, now);
}

function runPass(pass: Pass): void {
  const { queue } = pass.group;
  dispatchAged(pass);
  const writes = createCursor(queue.writes, () => hasWriteRoom(pass));
  const reads = createCursor(queue.reads, () => hasReadRoom(pass));
  while (pass.blocked < BLOCKED_LIMIT) {
    const row = takeNext(writes, reads);
    if (!row) break;
    tryDispatch(pass, row);
  }
  const { world, now } = pass;
  for (const [target, count] of pass.awaitingConnection)
    openConnectionsFor(world, target, count, now);
}

/** Ageing: one in `agedEvery` dispatches goes to the oldest aged request of a lower class. */
function dispatchAged(pass: Pass): void {
  const { world, group, now } = pass;
  const { queue } = group;
  if (queue.dispatchesSinceAged + 1 < world.settings.agedEvery) return;
  const write = hasWriteRoom(pass)
    ? queue.writes.oldestAged(now, world.settings.ageingMs)
    : undefined;
  const read = hasReadRoom(pass) ? queue.reads.oldestAged(now, world.settings.ageingMs) : undefined;
  const row = write && read ? olderOf(write, read) : (write ?? read);
  if (!row) return;
  tryDispatch(pass, row);
  if (row.stage === 'running') queue.dispatchesSinceAged = 0;
}

function olderOf(a: RequestRow, b: RequestRow): RequestRow {
  return a.arrivedAt <= b.arrivedAt ? a : b;
}

/** Iterates over one queue while a target has room for its requests. */
interface Cursor {
  peek: () => RequestRow | undefined;
  advance: () => void;
}

function createCursor(queue: FairQueue, hasRoom: () => boolean): Cursor {
  let rows: Iterator<RequestRow> | undefined;
  let head: RequestRow | undefined;
  const pull = (): RequestRow | undefined => {
    rows ??= queue.inOrder()[Symbol.iterator]();
    const next = rows.next();
    return next.done ? undefined : next.value;
  };
  return {
    peek: () => {
      if (queue.length === 0 || !hasRoom()) return undefined;
      head ??= pull();
      return head;
    },
    advance: () => {
      head = undefined;
    },
  };
}

function takeNext(a: Cursor, b: Cursor): RequestRow | undefined {
  const first = a.peek();
  const second = b.peek();
  if (first && (!second || precedes(first, second))) {
    a.advance();
    return first;
  }
  b.advance();
  return second;
}

function precedes(a: RequestRow, b: RequestRow): boolean {
  return a.rank === b.rank ? a.arrivedAt <= b.arrivedAt : a.rank < b.rank;
}

function hasWriteRoom(pass: Pass): boolean {
  const reserve = lockReserve(pass.world, pass.group, pass.now);
  return pass.primary !== undefined && hasRoom(pass, pass.primary, reserve);
}

function hasReadRoom(pass: Pass): boolean {
  return pass.targets.some((target) => hasRoom(pass, target));
}

function hasRoom(pass: Pass, target: TargetRow, reservedSlots = 0): boolean {
  const { world, group, now } = pass;
  const awaiting = pass.awaitingConnection.get(target) ?? 0;
  if (freeSlots(world, group, target, now) - reservedSlots <= awaiting) return false;
  return freeConnections(target, now) > awaiting;
}

function tryDispatch(pass: Pass, row: RequestRow): void {
  const target = row.req.op === 'read' ? chooseReadTarget(pass, row) : choosePrimary(pass, row);
  if (!target) {
    row.hasOtherWait = true;
    pass.blocked += 1;
    pass.group.queue.awaitsReports = true;
    return;
  }
  if (!mayTakeConnection(pass, target, row)) {
    pass.blocked += 1;
    return;
  }
  const { world, group } = pass;
  const connection = findIdleConnection(world, target);
  if (!connection) {
    row.hasOtherWait = true;
    pass.awaitingConnection.set(target, (pass.awaitingConnection.get(target) ?? 0) + 1);
    return;
  }
  const lateRefusal = findSendRefusal(world, group, row, pass.now);
  if (lateRefusal) {
    refuse(world, row, lateRefusal.kind, lateRefusal.detail, lateRefusal.retryAfterMs);
    return;
  }
  dequeueRequest(group.queue, row, true);
  group.queue.dispatchesSinceAged += 1;
  recordQueueWait(group, row, pass.now);
  executeRequest(world, group, target, connection, row);
}

/**
 * Feeds the wait estimate. Retries and waits for a primary, replica or connection are not queueing
 * time.
 */
function recordQueueWait(group: GroupRow, row: RequestRow, now: Millis): void {
  if (row.hasOtherWait || row.tries > row.req.tries) return;
  if (group.primaryGap.endedAt >= row.queuedAt) return;
  recordWait(estimatesFor(group.estimates, row), row, now - row.queuedAt);
}

/**
 * False for a lower class when only one connection is free; the last one is kept for the first
 * class.
 */
function mayTakeConnection(pass: Pass, target: TargetRow, row: RequestRow): boolean {
  if (row.rank === 0 || target.connectionShare < 2) return true;
  const awaiting = pass.awaitingConnection.get(target) ?? 0;
  return freeConnections(target, pass.now) - awaiting >= 2;
}

function choosePrimary(pass: Pass, row: RequestRow): TargetRow | undefined {
  if (isHeldBack(pass.group, row.req.op === 'begin')) return undefined;
  const needsLaterTerm = (row.minPosition?.term ?? 0) > pass.group.term;
  return needsLaterTerm ? undefined : pass.primary;
}

function chooseReadTarget(pass: Pass, row: RequestRow): TargetRow | undefined {
  const { world, now } = pass;
  const candidates = pass.targets.map((target) => toReadCandidate(pass, target, row));
  const choice = world.policies.chooseReadTarget(
    candidates,
    now - row.arrivedAt,
    world.settings.replicaWaitMs,
  );
  return choice.kind === 'run' ? world.targets.get(choice.target) : undefined;
}

function toReadCandidate(pass: Pass, target: TargetRow, row: RequestRow): ReadCandidate {
  const { world, group, now } = pass;
  return {
    target: target.spec.id,
    isPrimary: target.spec.id === group.primary,
    isFresh: isFreshEnough(world, group, target, row, now),
    hasRoom: hasRoom(pass, target),
    inFlight: target.inFlight,
  };
}

/**
 * Schedules the next dispatch: when a read may go to the primary, a hold ends or shedding is due.
 */
function scheduleNextDispatch(world: World, group: GroupRow, now: Millis): void {
  const { queue } = group;
  if (queue.length === 0) return;
  const id = group.spec.id;
  const { replicaWaitMs, shedEveryMs } = world.settings;
  if (queue.awaitsReports) world.scheduler.queueJobAt('dispatch', id, now + replicaWaitMs);
  const holdEnd = holdEndsAt(world, group);
  if (holdEnd !== undefined && holdEnd > now) world.scheduler.queueJobAt('dispatch', id, holdEnd);
  world.scheduler.queueJobAt('dispatch', id, now + shedEveryMs);
}

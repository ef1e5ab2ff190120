import type { Millis } from '@rosedeck/shared';
import { endHolds, findLateSending, shedLateRequests } from './admission';
import {
  findIdleConnection,
  freeConnections,
  freeSlots,
  growShare,
  openConnectionsFor,
  slotShare,
  targetRow,
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

/** Requests that one pass may find blocked before it gives up. */
const BLOCKED_LIMIT = 64;

/** One pass over the queue of a group. */
interface Pass {
  readonly world: World;
  readonly group: GroupRow;
  readonly now: Millis;
  /** Targets that a request of this pass could run on. */
  readonly targets: readonly TargetRow[];
  /** The primary, while it takes writes. */
  readonly primary: TargetRow | undefined;
  /** Requests that wait for a connection to open, by target. */
  readonly wanted: Map<TargetRow, number>;
  blocked: number;
}

/** Sends queued requests to targets, in the order of their classes. */
export function runDispatch(world: World, group: GroupRow, now: Millis): void {
  runIdleCleanup(world, group, now);
  trackPrimaryGap(world, group, now);
  endOutdatedWork(world, group, now);
  const { queue } = group;
  queue.awaitsReports = false;
  if (queue.length === 0) return;
  dispatchPinned(world, group, now);
  resolveSampled(group, now);
  handOverIfIsolated(world, group, now);
  lookThrough(world, group, now);
  runPass(createPass(world, group, now));
  planNext(world, group, now);
}

/** Refuses what waits in vain; a look at the whole queue is too much for every event. */
function lookThrough(world: World, group: GroupRow, now: Millis): void {
  const holdEnd = holdEndsAt(world, group);
  const holdIsOver = holdEnd !== undefined && now >= holdEnd;
  if (now < group.nextShedAt && !holdIsOver) return;
  group.nextShedAt = now + world.settings.shedEveryMs;
  if (holdEnd !== undefined) endHolds(world, group, now);
  shedLateRequests(world, group, now);
}

/** Statements of open transactions go first: they hold a connection and locks. */
function dispatchPinned(world: World, group: GroupRow, now: Millis): void {
  for (const row of group.queue.pinned) dispatchInTransaction(world, group, row, now);
}

function dispatchInTransaction(world: World, group: GroupRow, row: RequestRow, now: Millis): void {
  const transaction = world.transactions.get(row.req.transaction ?? '');
  const connection = transaction && world.connections.get(transaction.connection);
  const target = targetRow(world, connection?.target);
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

function resolveSampled(group: GroupRow, now: Millis): void {
  const { queue } = group;
  for (const row of queue.unsampled) {
    if (!resolveMinPosition(group, row)) return;
    queue.unsampled.delete(row);
    row.queuedAt = now;
    enqueueRequest(queue, row);
  }
}

function createPass(world: World, group: GroupRow, now: Millis): Pass {
  const usable = hasUsablePrimary(world, group, now);
  const targets = targetsOf(world, group).filter((target) => takesReads(world, group, target, now));
  for (const target of targets) growShare(world, group, target, now);
  return {
    world,
    group,
    now,
    targets,
    primary: usable ? targetRow(world, group.primary) : undefined,
    wanted: new Map(),
    blocked: 0,
  };
}

function takesReads(world: World, group: GroupRow, target: TargetRow, now: Millis): boolean {
  const reported = target.report !== undefined && !isSilent(world, target, now);
  return reported && takesWork(world, group, target, now);
}

function runPass(pass: Pass): void {
  const { queue } = pass.group;
  serveAged(pass);
  const writes = createCursor(queue.writes, () => hasWriteRoom(pass));
  const reads = createCursor(queue.reads, () => hasReadRoom(pass));
  while (pass.blocked < BLOCKED_LIMIT) {
    const row = takeNext(writes, reads);
    if (!row) break;
    tryRow(pass, row);
  }
  const { world, now } = pass;
  for (const [target, count] of pass.wanted) openConnectionsFor(world, target, count, now);
}

/** Ageing: every so many dispatches one goes to the oldest request of a lower class. */
function serveAged(pass: Pass): void {
  const { world, group, now } = pass;
  const { queue } = group;
  if (queue.dispatchesSinceAged + 1 < world.settings.agedEvery) return;
  const write = hasWriteRoom(pass)
    ? queue.writes.oldestAged(now, world.settings.ageingMs)
    : undefined;
  const read = hasReadRoom(pass) ? queue.reads.oldestAged(now, world.settings.ageingMs) : undefined;
  const row = write && read ? olderOf(write, read) : (write ?? read);
  if (!row) return;
  tryRow(pass, row);
  if (row.stage === 'running') queue.dispatchesSinceAged = 0;
}

function olderOf(a: RequestRow, b: RequestRow): RequestRow {
  return a.arrivedAt <= b.arrivedAt ? a : b;
}

/** Walks one queue in order for as long as a target has room for its requests. */
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
  if (first && (!second || goesBefore(first, second))) {
    a.advance();
    return first;
  }
  b.advance();
  return second;
}

function goesBefore(a: RequestRow, b: RequestRow): boolean {
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
  const promised = pass.wanted.get(target) ?? 0;
  if (freeSlots(world, group, target, now) - reservedSlots <= promised) return false;
  return freeConnections(target, now) > promised;
}

function tryRow(pass: Pass, row: RequestRow): void {
  const target = row.req.op === 'read' ? chooseRead(pass, row) : choosePrimary(pass, row);
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
    pass.wanted.set(target, (pass.wanted.get(target) ?? 0) + 1);
    return;
  }
  const late = findLateSending(world, group, row, pass.now);
  if (late) {
    refuse(world, row, late.kind, late.detail, late.retryAfterMs);
    return;
  }
  dequeueRequest(group.queue, row, true);
  group.queue.dispatchesSinceAged += 1;
  noteDispatch(group, row, pass.now);
  executeRequest(world, group, target, connection, row);
}

/** A wait for a primary, a replica or a connection says nothing of the wait behind other requests. */
function noteDispatch(group: GroupRow, row: RequestRow, now: Millis): void {
  if (row.hasOtherWait || row.tries > row.req.tries) return;
  if (group.primaryGap.endedAt >= row.queuedAt) return;
  recordWait(estimatesFor(group.estimates, row), row, now - row.queuedAt);
}

/** The last free connection of a target is kept for the first class. */
function mayTakeConnection(pass: Pass, target: TargetRow, row: RequestRow): boolean {
  if (row.rank === 0 || target.connectionShare < 2) return true;
  const promised = pass.wanted.get(target) ?? 0;
  return freeConnections(target, pass.now) - promised >= 2;
}

function choosePrimary(pass: Pass, row: RequestRow): TargetRow | undefined {
  if (isHeldBack(pass.group, row.req.op === 'begin')) return undefined;
  const needsLaterTerm = (row.minPosition?.term ?? 0) > pass.group.term;
  return needsLaterTerm ? undefined : pass.primary;
}

function chooseRead(pass: Pass, row: RequestRow): TargetRow | undefined {
  const { world, now } = pass;
  const candidates = pass.targets.map((target) => describeTarget(pass, target, row));
  const choice = world.policies.chooseReadTarget(
    candidates,
    now - row.arrivedAt,
    world.settings.replicaWaitMs,
  );
  return choice.kind === 'run' ? world.targets.get(choice.target) : undefined;
}

function describeTarget(pass: Pass, target: TargetRow, row: RequestRow): ReadCandidate {
  const { world, group, now } = pass;
  return {
    target: target.spec.id,
    isPrimary: target.spec.id === group.primary,
    isFresh: isFreshEnough(world, group, target, row, now),
    hasRoom: hasRoom(pass, target),
    inFlight: target.inFlight,
  };
}

/** Looks again when a waiting read may go to the primary, a hold ends or the queue is due a check. */
function planNext(world: World, group: GroupRow, now: Millis): void {
  const { queue } = group;
  if (queue.length === 0) return;
  const id = group.spec.id;
  const { replicaWaitMs, shedEveryMs } = world.settings;
  if (queue.awaitsReports) world.scheduler.queueJobAt('dispatch', id, now + replicaWaitMs);
  const holdEnd = holdEndsAt(world, group);
  if (holdEnd !== undefined && holdEnd > now) world.scheduler.queueJobAt('dispatch', id, holdEnd);
  world.scheduler.queueJobAt('dispatch', id, now + shedEveryMs);
}

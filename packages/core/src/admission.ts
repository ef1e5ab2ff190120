import type { ErrorKind, Millis } from '@rosedeck/shared';
import { slotShare } from './connections';
import { expectedWait, estimatesFor, upperBound } from './estimates';
import { fairQueueOf } from './groupQueue';
import { remainingGap, holdEndsAt } from './primaryGap';
import { refuse } from './finishRequest';
import type { GroupQueue, GroupRow, RequestRow } from './tables';
import { targetsOf } from './world';
import type { World } from './world';

/**
 * Safety factor on the expected wait at arrival, since later requests of higher classes lengthen
 * the wait.
 */
const WAIT_MARGIN = 1.5;

/** Why a request is refused, as its failure answer states it. */
export interface Refusal {
  readonly kind: ErrorKind;
  readonly detail: string;
  /** Time until a retry makes sense, before jitter. */
  readonly retryAfterMs?: Millis;
}

/**
 * Finds a reason to refuse an arriving request: no primary in time, a wait beyond its deadline, or a
 * full queue. May evict a queued request instead.
 */
export function findLoadRefusal(
  world: World,
  group: GroupRow,
  row: RequestRow,
  now: Millis,
): Refusal | undefined {
  const holdRefusal = findHoldRefusal(world, group, row, now);
  if (holdRefusal) return holdRefusal;
  row.queuedAhead = fairQueueOf(group.queue, row).countAhead(row.rank, row.req.customer);
  const waitMs = estimateWait(world, group, row, row.queuedAhead);
  const lateRefusal = findLateRefusal(world, group, row, waitMs * WAIT_MARGIN, now);
  if (lateRefusal) return lateRefusal;
  return makeRoom(world, group, row) ? undefined : createQueueFullRefusal(world, group, waitMs);
}

/**
 * Finds a reason not to hold a request that needs a primary: the hold has expired, or the gap is
 * expected to outlast the deadline.
 */
export function findHoldRefusal(
  world: World,
  group: GroupRow,
  row: RequestRow,
  now: Millis,
): Refusal | undefined {
  const endsAt = holdEndsAt(world, group);
  if (endsAt === undefined || !needsPrimary(group, row)) return undefined;
  const remainingMs = remainingGap(group, now);
  const isHeld = world.policies.mayHold({
    holdExpired: now >= endsAt,
    remainingGapMs: remainingMs,
    leftMs: row.deadlineAt - now,
  });
  if (isHeld) return undefined;
  return {
    kind: 'group_unavailable',
    detail: 'no primary, and none expected in time',
    retryAfterMs: Math.max(remainingMs, world.settings.retryAfterMs),
  };
}

/** Load shedding: refuses queued requests that can no longer be served before their deadline. */
export function shedLateRequests(world: World, group: GroupRow, now: Millis): void {
  for (const queue of [group.queue.writes, group.queue.reads]) {
    let ahead = 0;
    for (const row of queue.inOrder()) {
      const waitMs = estimateWait(world, group, row, ahead);
      const lateRefusal = findLateRefusal(world, group, row, waitMs, now);
      if (lateRefusal)
        refuse(world, row, lateRefusal.kind, lateRefusal.detail, lateRefusal.retryAfterMs);
      else ahead += 1;
    }
  }
}

/**
 * Finds a reason not to send a request: its expected response time exceeds the time to its deadline.
 */
export function findSendRefusal(
  world: World,
  group: GroupRow,
  row: RequestRow,
  now: Millis,
): Refusal | undefined {
  return findLateRefusal(world, group, row, 0, now);
}

/** Refuses the queued requests that need a primary and may not be held any longer. */
export function refuseExpiredHolds(world: World, group: GroupRow, now: Millis): void {
  const { writes, reads, unsampled } = group.queue;
  for (const rows of [writes.inOrder(), reads.inOrder(), unsampled]) {
    for (const row of rows) {
      const holdRefusal = findHoldRefusal(world, group, row, now);
      if (holdRefusal)
        refuse(world, row, holdRefusal.kind, holdRefusal.detail, holdRefusal.retryAfterMs);
    }
  }
}

/** Writes, and reads that wait for a position sample, need the primary; other reads do not. */
function needsPrimary(group: GroupRow, row: RequestRow): boolean {
  return row.req.op !== 'read' || group.queue.unsampled.has(row) || row.sampleAfter !== undefined;
}

function estimateWait(world: World, group: GroupRow, row: RequestRow, ahead: number): Millis {
  const isRead = row.req.op === 'read';
  const estimates = estimatesFor(group.estimates, row);
  return expectedWait(estimates, row.rank, ahead, slotsFor(world, group, isRead));
}

function slotsFor(world: World, group: GroupRow, isRead: boolean): number {
  const slots = slotShare(world, group);
  if (!isRead) return slots;
  const usable = targetsOf(world, group).filter((target) => !target.leaving && target.report);
  return slots * Math.max(1, usable.length);
}

function findLateRefusal(
  world: World,
  group: GroupRow,
  row: RequestRow,
  waitMs: Millis,
  now: Millis,
): Refusal | undefined {
  const leftMs = row.deadlineAt - now;
  const neededMs = waitMs + expectedResponse(group, row);
  if (world.policies.canServeInTime(neededMs, leftMs)) return undefined;
  return {
    kind: 'overloaded',
    detail: `about ${Math.ceil(waitMs)} ms of work are queued`,
    retryAfterMs: Math.max(waitMs, world.settings.retryAfterMs),
  };
}

/**
 * Upper limit of the expected response time, as a share of the deadline, so that a request without
 * a wait is tried, however large the estimate.
 */
const MAX_RESPONSE_SHARE = 0.25;

function expectedResponse(group: GroupRow, row: RequestRow): Millis {
  const bound = upperBound(estimatesFor(group.estimates, row).responseTime);
  return Math.min(bound, MAX_RESPONSE_SHARE * row.req.deadlineMs);
}

/**
 * At the queue limit, evicts a request of a lower class or of a customer with more requests; false
 * when there is none.
 */
function makeRoom(world: World, group: GroupRow, row: RequestRow): boolean {
  const { queue } = group;
  if (queue.length < (group.spec.queueLimit ?? world.settings.queueLimit)) return true;
  const victim = findVictim(queue, row);
  if (!victim) return false;
  refuse(world, victim, 'overloaded', 'evicted from the full queue by a request with precedence');
  return true;
}

/** The request of the lowest class among the victims of the three parts of the queue. */
function findVictim(queue: GroupQueue, arriving: RequestRow): RequestRow | undefined {
  const { rank } = arriving;
  const { customer } = arriving.req;
  let victim = queue.reads.findVictim(rank, customer);
  const candidates = [queue.writes.findVictim(rank, customer), findUnsampledVictim(queue, rank)];
  for (const row of candidates) {
    if (row && (!victim || row.rank > victim.rank)) victim = row;
  }
  return victim;
}

function findUnsampledVictim(queue: GroupQueue, rank: number): RequestRow | undefined {
  let victim: RequestRow | undefined;
  for (const row of queue.unsampled) {
    if (row.rank > rank && (!victim || row.rank >= victim.rank)) victim = row;
  }
  return victim;
}

function createQueueFullRefusal(world: World, group: GroupRow, waitMs: Millis): Refusal {
  return {
    kind: 'overloaded',
    detail: `${group.queue.length} requests are queued`,
    retryAfterMs: Math.max(waitMs, world.settings.retryAfterMs),
  };
}

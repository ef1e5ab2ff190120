import type { ErrorKind, Millis } from '@rosedeck/shared';
import { slotShare } from './connections';
import { expectedWait, estimatesFor, upperBound } from './estimates';
import { fairQueueOf } from './groupQueue';
import { remainingGap, holdEndsAt } from './primaryGap';
import { refuse } from './finishRequest';
import type { GroupQueue, GroupRow, RequestRow } from './tables';
import { targetsOf } from './world';
import type { World } from './world';

/** Waits turn out longer than expected when higher classes arrive; a request is only taken in with this much to spare. */
const WAIT_MARGIN = 1.5;

/** Why a request is not taken in. */
export interface Refusal {
  readonly kind: ErrorKind;
  readonly detail: string;
  /** When a new try makes sense, before it is spread. */
  readonly retryAfterMs?: Millis;
}

/** Refuses a request that cannot be served before its deadline, or that no room is left for. */
export function findLoadRefusal(
  world: World,
  group: GroupRow,
  row: RequestRow,
  now: Millis,
): Refusal | undefined {
  const held = findHoldRefusal(world, group, row, now);
  if (held) return held;
  row.queuedAhead = fairQueueOf(group.queue, row).countBefore(row.rank, row.req.customer);
  const waitMs = estimateWait(world, group, row, row.queuedAhead);
  const late = findLateness(world, group, row, waitMs * WAIT_MARGIN, now);
  if (late) return late;
  return makeRoom(world, group, row) ? undefined : fullQueue(world, group, waitMs);
}

/** Refuses what waits for a primary longer than the expected gap and its deadline allow. */
export function findHoldRefusal(
  world: World,
  group: GroupRow,
  row: RequestRow,
  now: Millis,
): Refusal | undefined {
  const endsAt = holdEndsAt(world, group);
  if (endsAt === undefined || !needsPrimary(group, row)) return undefined;
  const rest = remainingGap(group, now);
  const holds = world.policies.mayHold({
    holdExpired: now >= endsAt,
    remainingGapMs: rest,
    leftMs: row.deadlineAt - now,
  });
  if (holds) return undefined;
  return {
    kind: 'group_unavailable',
    detail: 'no primary, and none expected in time',
    retryAfterMs: Math.max(rest, world.settings.retryAfterMs),
  };
}

/** Refuses queued requests that can no longer be served in time, so that none waits in vain. */
export function shedLateRequests(world: World, group: GroupRow, now: Millis): void {
  for (const queue of [group.queue.writes, group.queue.reads]) {
    let ahead = 0;
    for (const row of queue.inOrder()) {
      const waitMs = estimateWait(world, group, row, ahead);
      const late = findLateness(world, group, row, waitMs, now);
      if (late) refuse(world, row, late.kind, late.detail, late.retryAfterMs);
      else ahead += 1;
    }
  }
}

/** Refuses a request that would reach its target too late to be answered in time. */
export function findLateSending(
  world: World,
  group: GroupRow,
  row: RequestRow,
  now: Millis,
): Refusal | undefined {
  return findLateness(world, group, row, 0, now);
}

/** Refuses the requests that have waited for a primary as long as they may. */
export function endHolds(world: World, group: GroupRow, now: Millis): void {
  const { writes, reads, unsampled } = group.queue;
  for (const rows of [writes.inOrder(), reads.inOrder(), unsampled]) {
    for (const row of rows) {
      const held = findHoldRefusal(world, group, row, now);
      if (held) refuse(world, row, held.kind, held.detail, held.retryAfterMs);
    }
  }
}

/** A read goes on without a primary once it knows the position that it needs. */
function needsPrimary(group: GroupRow, row: RequestRow): boolean {
  return row.req.op !== 'read' || group.queue.unsampled.has(row) || row.sampleAfter !== undefined;
}

function estimateWait(world: World, group: GroupRow, row: RequestRow, ahead: number): Millis {
  const isRead = row.req.op === 'read';
  const times = estimatesFor(group.estimates, row);
  return expectedWait(times, row.rank, ahead, slotsFor(world, group, isRead));
}

function slotsFor(world: World, group: GroupRow, isRead: boolean): number {
  const slots = slotShare(world, group);
  if (!isRead) return slots;
  const usable = targetsOf(world, group).filter((target) => !target.leaving && target.report);
  return slots * Math.max(1, usable.length);
}

function findLateness(
  world: World,
  group: GroupRow,
  row: RequestRow,
  waitMs: Millis,
  now: Millis,
): Refusal | undefined {
  const leftMs = row.deadlineAt - now;
  const neededMs = waitMs + expectedFinish(group, row);
  if (world.policies.canServeInTime(neededMs, leftMs)) return undefined;
  return {
    kind: 'overloaded',
    detail: `about ${Math.ceil(waitMs)} ms of work are queued`,
    retryAfterMs: Math.max(waitMs, world.settings.retryAfterMs),
  };
}

/** Part of a deadline that an estimate alone may claim; beyond it the request is tried. */
const FINISH_SHARE = 0.25;

function expectedFinish(group: GroupRow, row: RequestRow): Millis {
  const bound = upperBound(estimatesFor(group.estimates, row).responseTime);
  return Math.min(bound, FINISH_SHARE * row.req.deadlineMs);
}

/** At the limit, a request of a lower class or of a customer with a larger share gives way. */
function makeRoom(world: World, group: GroupRow, row: RequestRow): boolean {
  const { queue } = group;
  if (queue.length < (group.spec.queueLimit ?? world.settings.queueLimit)) return true;
  const victim = findVictim(queue, row);
  if (!victim) return false;
  refuse(world, victim, 'overloaded', 'a request that comes first took its place');
  return true;
}

/** Of all that could give way, the newest of the lowest class. */
function findVictim(queue: GroupQueue, arriving: RequestRow): RequestRow | undefined {
  const { rank } = arriving;
  const { customer } = arriving.req;
  let victim = queue.reads.findVictim(rank, customer);
  const others = [queue.writes.findVictim(rank, customer), findSamplingVictim(queue, rank)];
  for (const row of others) {
    if (row && (!victim || row.rank > victim.rank)) victim = row;
  }
  return victim;
}

function findSamplingVictim(queue: GroupQueue, rank: number): RequestRow | undefined {
  let victim: RequestRow | undefined;
  for (const row of queue.unsampled) {
    if (row.rank > rank && (!victim || row.rank >= victim.rank)) victim = row;
  }
  return victim;
}

function fullQueue(world: World, group: GroupRow, waitMs: Millis): Refusal {
  return {
    kind: 'overloaded',
    detail: `${group.queue.length} requests are queued`,
    retryAfterMs: Math.max(waitMs, world.settings.retryAfterMs),
  };
}

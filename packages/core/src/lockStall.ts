import type { Millis } from '@rosedeck/shared';
import { slotShare } from './connections';
import type { GroupRow, RequestRow, TargetRow } from './tables';
import type { World } from './world';

/**
 * Least time without a finished statement after which all running ones may be waiting for a lock.
 */
const STALL_MIN_MS: Millis = 50;
/** The same as a multiple of the average slot time, for targets with long statements. */
const STALL_FACTOR = 3;
/** Upper limit of that time. */
const STALL_MAX_MS: Millis = 500;
/** After a stall, new writes leave a slot to open transactions for this long. */
const RESERVE_MS: Millis = 30_000;

/**
 * True when the statement's transaction may hold the locks that all running statements wait for.
 */
export function isStalled(
  world: World,
  group: GroupRow,
  target: TargetRow,
  row: RequestRow,
  now: Millis,
): boolean {
  if (target.inFlight > slotShare(world, group)) return false;
  const usualMs = group.estimates.writes.slotTime.mean ?? 0;
  const limitMs = Math.min(STALL_MAX_MS, Math.max(STALL_MIN_MS, STALL_FACTOR * usualMs));
  if (now - row.arrivedAt < limitMs) return false;
  for (const id of target.connections) {
    const connection = world.connections.get(id);
    if (connection?.state === 'busy' && now - connection.stateSince < limitMs) return false;
  }
  return true;
}

/** Starts or extends the reservation of a slot for open transactions, to avoid the next stall. */
export function recordStall(group: GroupRow, now: Millis): void {
  group.lockReserveUntil = now + RESERVE_MS;
}

/**
 * Number of slots that new writes leave to open transactions; 0 for an owner with a single slot.
 */
export function lockReserve(world: World, group: GroupRow, now: Millis): number {
  if (now >= group.lockReserveUntil || group.transactions.size === 0) return 0;
  return slotShare(world, group) > 1 ? 1 : 0;
}

import type { Millis } from '@rosedeck/shared';
import { slotShare } from './connections';
import type { GroupRow, RequestRow, TargetRow } from './tables';
import type { World } from './world';

/** Time without an end of any statement after which those in all slots may wait for a lock. */
const STALL_MS: Millis = 50;
/** The same as a multiple of the usual time, for targets whose statements take long. */
const STALL_FACTOR = 3;
/** Longest time after which a stall is assumed. */
const STALL_MAX_MS: Millis = 500;
/** After a stall, new writes leave a slot to open transactions for this long. */
const RESERVE_MS: Millis = 30_000;

/** True when the statement's transaction may hold the locks that all running statements wait for. */
export function isStalled(
  world: World,
  group: GroupRow,
  target: TargetRow,
  row: RequestRow,
  now: Millis,
): boolean {
  if (target.inFlight > slotShare(world, group)) return false;
  const usualMs = group.estimates.writes.slotTime.mean ?? 0;
  const limitMs = Math.min(STALL_MAX_MS, Math.max(STALL_MS, STALL_FACTOR * usualMs));
  if (now - row.arrivedAt < limitMs) return false;
  for (const id of target.connections) {
    const connection = world.connections.get(id);
    if (connection?.state === 'busy' && now - connection.stateSince < limitMs) return false;
  }
  return true;
}

/** Remembers a stall, so that the next one is avoided. */
export function recordStall(group: GroupRow, now: Millis): void {
  group.lockReserveUntil = now + RESERVE_MS;
}

/** Slots that new writes leave to open transactions. */
export function lockReserve(world: World, group: GroupRow, now: Millis): number {
  if (now >= group.lockReserveUntil || group.transactions.size === 0) return 0;
  return slotShare(world, group) > 1 ? 1 : 0;
}

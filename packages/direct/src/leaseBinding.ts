import type { Millis, Position } from '@rosedeck/shared';
import { dropConnection } from './connections';
import { findUsablePrimary, isLikelyCaughtUp, isUsable, resolvePosition } from './eligibility';
import { executeRequest } from './execution';
import { poolStateOf } from './leasePlacement';
import { exchangeLeases, withdrawLeases } from './leases';
import { isOnTime } from './leaseTerms';
import type { ExecutionHooks } from './requestFailures';
import type { ConnectionRow, GroupRow, Lease, RequestRow, TargetRow, World } from './tables';

/** A request that may use a lease, with the position that the target must have applied. */
interface Taker {
  readonly row: RequestRow;
  readonly after?: Position;
}

/**
 * Uses the leased connections of a group that are without work: each for the best queued request that
 * may run on it, whichever request it was asked for. The others are returned at once.
 */
export function bindLeases(
  world: World,
  hooks: ExecutionHooks,
  group: GroupRow,
  now: Millis,
): void {
  for (;;) {
    const connection = group.idleLeases.shift();
    const lease = connection?.lease;
    if (!connection || !lease) return;
    const hedge = findHedge(world, connection, lease, now);
    const taker = hedge ?? findTaker(world, connection, lease, now);
    if (!taker) {
      dropConnection(world, connection);
      continue;
    }
    const { row, after } = taker;
    if (hedge) logHedge(world, row, connection.target, now);
    else {
      group.queue.splice(group.queue.indexOf(row), 1);
      if (!lease.isUsed) exchangeLeases(row, lease.request, connection.target);
    }
    withdrawLeases(world, row);
    lease.isUsed = true;
    connection.state = 'busy';
    connection.takenAt = now;
    executeRequest(world, hooks, row, connection, after);
  }
}

/** The running request for whose second try the lease was asked, if that is still of use. */
function findHedge(
  world: World,
  { target }: ConnectionRow,
  { request: row, isUsed }: Lease,
  now: Millis,
): Taker | undefined {
  if (isUsed || row.stage !== 'running' || row.running.size !== 1) return undefined;
  return row.tried.has(target.listed.id) ? undefined : checkFit(world, row, target, now);
}

function logHedge(world: World, row: RequestRow, target: TargetRow, now: Millis): void {
  world.io.log({
    type: 'request_hedged',
    request: row.id,
    target: target.listed.id,
    reason: `no reply from ${row.target ?? 'any target'}`,
    afterMs: Math.round(now - row.arrivedAt),
  });
}

/** The best queued request that may use a lease: on-time work first, then in queue order. */
function findTaker(
  world: World,
  connection: ConnectionRow,
  lease: Lease,
  now: Millis,
): Taker | undefined {
  const { target, tenant } = connection;
  let late: Taker | undefined;
  for (const row of target.group.queue) {
    if (row.tenant !== tenant || row.notBefore > now || row.awaitsToken) continue;
    if (!mayTake(row, target, lease, now)) continue;
    const taker = checkFit(world, row, target, now);
    if (!taker) continue;
    if (isOnTime(row, now)) return taker;
    late ??= taker;
  }
  return late;
}

function mayTake(row: RequestRow, target: TargetRow, lease: Lease, now: Millis): boolean {
  const { request: asker, askedFor, isUsed } = lease;
  if (isUsed) {
    // Where others may wait, a request that the pool would order after theirs does not pass them by.
    // While a lease is kept, no load is told: the last one grows too old.
    if (poolStateOf(target, now) !== 'idle' && row.queueKey > askedFor.queueKey) return false;
    return !row.tried.has(target.listed.id);
  }
  if (row === asker) return true;
  if (row.tried.has(target.listed.id)) return false;
  if (asker.stage !== 'queued') return true;
  // The asker keeps a place at this target, or can ask again with the same key.
  const waiting = row.leaseWait?.waiting ?? [];
  return waiting.length === 0 || waiting.some((one) => one.target === target);
}

function checkFit(
  world: World,
  row: RequestRow,
  target: TargetRow,
  now: Millis,
): Taker | undefined {
  const after = resolvePosition(world, row);
  if (row.needsPrimary)
    return findUsablePrimary(world, row, now) === target ? { row, after } : undefined;
  const isFit =
    isUsable(world, target, now) && isLikelyCaughtUp(row.group, row, target, after, now);
  return isFit ? { row, after } : undefined;
}

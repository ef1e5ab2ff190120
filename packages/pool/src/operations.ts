import type { Millis } from '@rosedeck/shared';
import {
  closeConnection,
  closeUnvalidated,
  makeIdle,
  removeConnection,
  setInFlight,
} from './connectionSet';
import type { PooledLossReason } from './leases';
import type { OperationReply } from './pool';
import { endLease, isUnreachable, refuseAll } from './requests';
import type { ConnectionRow, LeaseRow, TargetRow, World } from './tables';

/** Records an operation on a granted lease; these are never held back. */
export function recordOperation(lease: LeaseRow, leavesTraces: boolean, now: Millis): boolean {
  const { connection } = lease;
  if (!connection) return false;
  if (connection.pending === 0) connection.busySince = now;
  connection.pending += 1;
  connection.hasTraces ||= leavesTraces;
  connection.isSettingUp = leavesTraces;
  setInFlight(connection, true, now);
  return true;
}

/** Records the reply to the oldest operation on a connection. */
export function recordReply(
  world: World,
  connection: ConnectionRow,
  reply: OperationReply,
  now: Millis,
): void {
  const { lease, target } = connection;
  if (!lease || connection.pending === 0) {
    // A reply that belongs to no operation leaves the order of replies unknown.
    loseConnection(world, connection, 'closed', now);
    world.io.close(connection.id);
    return;
  }
  target.progressAt = now;
  connection.pending -= 1;
  connection.inTransaction = reply.inTransaction;
  if (connection.pending === 0) {
    if (!reply.wasBusy) lease.usedMs += now - connection.busySince;
    if (connection.isSettingUp)
      target.reserved.push({ connection, since: connection.since, at: now });
    else setInFlight(connection, false, now);
  }
  if (reply.wasBusy && target.limit.cut(now))
    world.log({ type: 'in_flight_limited', target: target.id, limit: target.limit.value() });
}

/** Makes an opened connection available. */
export function recordOpened(world: World, connection: ConnectionRow, now: Millis): void {
  if (connection.state !== 'opening') return;
  const { target } = connection;
  world.counts.opened += 1;
  target.progressAt = now;
  if (target.failingSince !== undefined) {
    const afterMs = Math.round(now - target.failingSince);
    world.log({ type: 'target_regained', target: target.id, afterMs });
    target.failingSince = undefined;
  }
  if (target.wasShutOut) endShutOut(target);
  makeIdle(world, connection, now);
}

/**
 * Allows one connection for each slot once a target that had refused all of them accepts one: it has
 * probably dropped the connections that were lost in a power loss, which it does all at once.
 */
function endShutOut(target: TargetRow): void {
  target.wasShutOut = false;
  target.usable = Math.max(target.usable, Math.min(target.part, target.slots));
}

/** Makes a cleared connection available. */
export function recordCleared(world: World, connection: ConnectionRow, now: Millis): void {
  if (connection.state !== 'clearing') return;
  connection.hasTraces = false;
  makeIdle(world, connection, now);
}

/** Removes a connection that has ended, and tells its holder. */
export function loseConnection(
  world: World,
  connection: ConnectionRow,
  reason: PooledLossReason,
  now: Millis,
): void {
  const { lease, target, state } = connection;
  if (!removeConnection(world, connection, now)) return;
  if (state === 'clearing') closeUnvalidated(world, target, now);
  if (reason === 'limit') recordFull(world, target, now);
  else if (state === 'opening' || reason === 'refused' || reason === 'silent')
    recordFailure(world, target, reason, now);
  if (lease) {
    connection.lease = undefined;
    endLease(world, lease);
    world.io.lost(lease.id, reason);
  }
  // When an open connection is closed, an opening that failed earlier says nothing about the next one.
  const tellsReachability = state === 'opening' || reason !== 'closed';
  if (tellsReachability && isUnreachable(target)) refuseAll(world, target, 'unreachable', now);
}

/** Closes a connection whose opening or clearing takes too long. */
export function giveUp(world: World, connection: ConnectionRow, now: Millis): void {
  if (connection.state === 'clearing') {
    closeConnection(world, connection, now);
    closeUnvalidated(world, connection.target, now);
    return;
  }
  loseConnection(world, connection, 'silent', now);
  world.io.close(connection.id);
}

function recordFull(world: World, target: TargetRow, now: Millis): void {
  const { limitBackoffMs } = world.settings;
  const own = target.connections.size;
  target.openBlockedUntil = now + limitBackoffMs * (1 + world.random());
  target.usable = Math.max(1, own);
  target.wasShutOut = own === 0;
  target.regainedAt = target.openBlockedUntil;
  target.regainStep = 1;
  world.log({ type: 'target_full', target: target.id, own, part: target.part });
}

function recordFailure(
  world: World,
  target: TargetRow,
  reason: PooledLossReason,
  now: Millis,
): void {
  const until = now + world.settings.reopenDelayMs;
  target.openBlockedUntil = Math.max(target.openBlockedUntil, until);
  if (target.failingSince !== undefined) return;
  target.failingSince = now;
  world.log({ type: 'target_unreachable', target: target.id, reason });
}

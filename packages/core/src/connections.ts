import type { Millis, RequestId, TargetId, TransactionId } from '@rosedeck/shared';
import { isCircuitHalfOpen, isCircuitOpen, recordTargetFailure } from './circuitBreaker';
import type { ConnectionId } from './commands';
import { ownerCount, ownersOf } from './ownership';
import { takesWork } from './switchover';
import type { ConnectionRow, GroupRow, TargetRow } from './tables';
import { queueCommand, jitter } from './world';
import type { World } from './world';

/** Connections per target that each owner may use: an equal share of the limit less the reserve. */
export function plannedConnectionShare(world: World, group: GroupRow): number {
  const { connectionLimit, connectionReserve } = group.spec;
  const usable = connectionLimit - connectionReserve;
  return Math.max(1, Math.floor(usable / ownerCount(world)));
}

/** Statements that this owner runs on a target at a time; the first owners share the remainder. */
export function slotShare(world: World, group: GroupRow): number {
  const { slots } = group.spec;
  const owners = ownerCount(world);
  if (owners === 1) return slots;
  const index = ownersOf(world, group.spec.id).indexOf(world.self);
  const extra = index >= 0 && index < slots % owners ? 1 : 0;
  return Math.max(1, Math.floor(slots / owners) + extra);
}

/**
 * Free slots of a target for new work: none with an open circuit, at most one with a half-open one.
 */
export function freeSlots(world: World, group: GroupRow, target: TargetRow, now: Millis): number {
  if (isCircuitOpen(target, now)) return 0;
  const slots = isCircuitHalfOpen(world, target, now) ? 1 : slotShare(world, group);
  return slots - target.inFlight;
}

/**
 * Connections of a target available to new work: idle ones, opening ones and those that may be
 * opened.
 */
export function freeConnections(target: TargetRow, now: Millis): number {
  const openable =
    target.openBlockedUntil <= now ? target.connectionShare - target.connections.size : 0;
  return target.idle.length + target.openingCount + Math.max(0, openable);
}

/** The most recently used idle connection of a target. */
export function findIdleConnection(world: World, target: TargetRow): ConnectionRow | undefined {
  const id = target.idle.at(-1);
  return id === undefined ? undefined : world.connections.get(id);
}

/** Limits the share to the planned one, and grows a reduced share by one connection when due. */
export function growConnectionShare(
  world: World,
  group: GroupRow,
  target: TargetRow,
  now: Millis,
): void {
  const planned = plannedConnectionShare(world, group);
  target.connectionShare = Math.min(target.connectionShare, planned);
  if (target.connectionShare >= planned || now < target.connectionShareGrowsAt) return;
  target.connectionShare += 1;
  target.connectionShareGrowsAt = now + jitter(world, world.settings.shareRecoveryMs);
}

/** Opens connections for `wantedCount` waiting requests, less those already opening. */
export function openConnectionsFor(
  world: World,
  target: TargetRow,
  wantedCount: number,
  now: Millis,
): void {
  if (isOutOfService(world, target) || target.openBlockedUntil > now) return;
  const room = target.connectionShare - target.connections.size;
  const missing = wantedCount - target.openingCount;
  for (let count = Math.min(room, missing); count > 0; count -= 1)
    openConnection(world, target, now);
}

/** Makes a connection available, after it was opened or reset. */
export function markConnectionReady(world: World, id: ConnectionId): void {
  const connection = world.connections.get(id);
  const target = connection && world.targets.get(connection.target);
  if (!connection || !target) return;
  if (connection.state === 'opening') target.openingCount -= 1;
  putIdle(world, target, connection);
  world.scheduler.queueJob('dispatch', target.group);
}

/** Marks a connection as busy with a request. */
export function occupyConnection(
  world: World,
  connection: ConnectionRow,
  request: RequestId,
  transaction: TransactionId | undefined,
): void {
  const target = world.targets.get(connection.target);
  if (target) {
    target.inFlight += 1;
    if (connection.state === 'idle') removeIdle(target, connection.id);
  }
  connection.state = 'busy';
  connection.request = request;
  connection.transaction = transaction ?? connection.transaction;
  connection.stateSince = world.clock.now();
}

/** Releases a connection after its request has ended; one with a transaction stays pinned to it. */
export function releaseConnection(world: World, connection: ConnectionRow): void {
  const target = world.targets.get(connection.target);
  const isCounted = target?.connections.has(connection.id) === true;
  if (isCounted && connection.state === 'busy') target.inFlight -= 1;
  connection.request = undefined;
  connection.stateSince = world.clock.now();
  if (connection.transaction === undefined && target) {
    putIdle(world, target, connection);
    return;
  }
  connection.state = 'pinned';
  if (target) scheduleIdleCleanup(world, target, world.settings.transactionIdleMs);
}

/** Unpins a connection from its transaction and resets its session state before reuse. */
export function unpinConnection(world: World, connection: ConnectionRow): void {
  connection.transaction = undefined;
  connection.state = 'resetting';
  connection.stateSince = world.clock.now();
  queueCommand(world, { type: 'reset_connection', connection: connection.id });
}

/** Drops the connection of an abandoned transaction, since no other request may run on it. */
export function discardConnection(world: World, id: ConnectionId): ConnectionRow | undefined {
  if (world.policies.closesAbandonedConnections) return dropConnection(world, id);
  const connection = world.connections.get(id);
  if (!connection) return undefined;
  connection.transaction = undefined;
  releaseConnection(world, connection);
  return connection;
}

/** Closes a connection and removes it from the tables. */
export function dropConnection(world: World, id: ConnectionId): ConnectionRow | undefined {
  const connection = removeConnection(world, id);
  if (connection) queueCommand(world, { type: 'close_connection', connection: id });
  return connection;
}

/** Removes a closed connection from the tables and from the counts of its target. */
export function removeConnection(world: World, id: ConnectionId): ConnectionRow | undefined {
  const connection = world.connections.get(id);
  if (!connection) return undefined;
  world.connections.delete(id);
  const target = world.targets.get(connection.target);
  if (!target) return connection;
  // A target whose address has changed has a new row, which never counted this connection.
  if (!target.connections.delete(id)) return connection;
  if (connection.state === 'busy') target.inFlight -= 1;
  if (connection.state === 'opening') target.openingCount -= 1;
  if (connection.state === 'idle') removeIdle(target, id);
  return connection;
}

/**
 * Records a failed opening: a refusal cuts the share, any other failure counts for the circuit
 * breaker.
 */
export function recordOpenFailure(world: World, target: TargetRow, refused: boolean): void {
  const now = world.clock.now();
  if (refused) {
    target.connectionShare = Math.max(1, target.connections.size);
    target.connectionShareGrowsAt = now + jitter(world, world.settings.shareRecoveryMs);
    target.openBlockedUntil = target.connectionShareGrowsAt;
  } else {
    const pauseMs = jitter(world, OPEN_RETRY_MS);
    target.openBlockedUntil = Math.max(now + pauseMs, recordTargetFailure(world, target, now));
  }
  world.scheduler.queueJobAt('dispatch', target.group, target.openBlockedUntil);
}

/** Pause after one failed opening, before jitter. */
const OPEN_RETRY_MS: Millis = 50;

/**
 * Closes idle connections: at once where the target takes no new work, else after the idle timeout.
 */
export function closeIdleConnections(world: World, target: TargetRow, now: Millis): void {
  const limitMs = isOutOfService(world, target) ? 0 : world.settings.connectionIdleMs;
  for (const id of [...target.idle]) {
    const connection = world.connections.get(id);
    if (connection && now - connection.stateSince >= limitMs) dropConnection(world, id);
  }
  if (target.idle.length > 0) scheduleIdleCleanup(world, target, limitMs);
}

/** The target's row; undefined once this daemon no longer serves it. */
export function findTarget(world: World, id: TargetId | undefined): TargetRow | undefined {
  return id === undefined ? undefined : world.targets.get(id);
}

function openConnection(world: World, target: TargetRow, now: Millis): void {
  const id = world.nextConnectionId;
  world.nextConnectionId += 1;
  const row: ConnectionRow = {
    id,
    target: target.spec.id,
    state: 'opening',
    term: 0,
    stateSince: now,
  };
  world.connections.set(id, row);
  target.connections.add(id);
  target.openingCount += 1;
  queueCommand(world, { type: 'open_connection', connection: id, target: target.spec.id });
}

function putIdle(world: World, target: TargetRow, connection: ConnectionRow): void {
  connection.state = 'idle';
  if (connection.retired || isOutOfService(world, target)) {
    dropConnection(world, connection.id);
    return;
  }
  connection.stateSince = world.clock.now();
  target.idle.push(connection.id);
  scheduleIdleCleanup(world, target, world.settings.connectionIdleMs);
}

/** True when the target gets no new work at all. */
function isOutOfService(world: World, target: TargetRow): boolean {
  const group = world.groups.get(target.group);
  return group !== undefined && !takesWork(world, group, target, world.clock.now());
}

function removeIdle(target: TargetRow, id: ConnectionId): void {
  const index = target.idle.lastIndexOf(id);
  if (index >= 0) target.idle.splice(index, 1);
}

function scheduleIdleCleanup(world: World, target: TargetRow, afterMs: Millis): void {
  const group = world.groups.get(target.group);
  if (!group) return;
  const at = world.clock.now() + afterMs;
  if (at >= group.idleCleanupAt) return;
  group.idleCleanupAt = at;
  world.scheduler.queueJobAt('dispatch', target.group, at);
}

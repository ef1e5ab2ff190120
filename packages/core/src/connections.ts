import type { Millis, RequestId, TargetId, TransactionId } from '@rosedeck/shared';
import { isCircuitHalfOpen, isCircuitOpen, recordTargetFailure } from './circuitBreaker';
import type { ConnectionId } from './commands';
import { ownerCount, ownersOf } from './ownership';
import { takesWork } from './switchover';
import type { ConnectionRow, GroupRow, TargetRow } from './tables';
import { queueCommand, jitter } from './world';
import type { World } from './world';

/** Connections that an owner plans with, per target. */
export function plannedShare(world: World, group: GroupRow): number {
  const { connectionLimit, connectionReserve } = group.spec;
  const usable = connectionLimit - connectionReserve;
  return Math.max(1, Math.floor(usable / ownerCount(world)));
}

/** Statements that this owner runs on a target at a time; earlier owners get the remainder. */
export function slotShare(world: World, group: GroupRow): number {
  const { slots } = group.spec;
  const owners = ownerCount(world);
  if (owners === 1) return slots;
  const index = ownersOf(world, group.spec.id).indexOf(world.self);
  const extra = index >= 0 && index < slots % owners ? 1 : 0;
  return Math.max(1, Math.floor(slots / owners) + extra);
}

/** Slots of a target that new work can take. */
export function freeSlots(world: World, group: GroupRow, target: TargetRow, now: Millis): number {
  if (isCircuitOpen(target, now)) return 0;
  const slots = isCircuitHalfOpen(world, target, now) ? 1 : slotShare(world, group);
  return slots - target.inFlight;
}

/** Connections of a target that new work can take: idle ones, and those that may be opened. */
export function freeConnections(target: TargetRow, now: Millis): number {
  const openable =
    target.openBlockedUntil <= now ? target.connectionShare - target.connections.size : 0;
  return target.idle.length + target.openingCount + Math.max(0, openable);
}

/** The connection of a target that was used last, when one is idle. */
export function findIdleConnection(world: World, target: TargetRow): ConnectionRow | undefined {
  const id = target.idle.at(-1);
  return id === undefined ? undefined : world.connections.get(id);
}

/** A share that the target has cut grows back by one connection at a time. */
export function growShare(world: World, group: GroupRow, target: TargetRow, now: Millis): void {
  const planned = plannedShare(world, group);
  target.connectionShare = Math.min(target.connectionShare, planned);
  if (target.connectionShare >= planned || now < target.connectionShareGrowsAt) return;
  target.connectionShare += 1;
  target.connectionShareGrowsAt = now + jitter(world, world.settings.shareRecoveryMs);
}

/** Opens connections for `wanted` waiting requests, less those on their way. */
export function openConnectionsFor(
  world: World,
  target: TargetRow,
  wanted: number,
  now: Millis,
): void {
  if (isRetired(world, target) || target.openBlockedUntil > now) return;
  const room = target.connectionShare - target.connections.size;
  const missing = wanted - target.openingCount;
  for (let count = Math.min(room, missing); count > 0; count -= 1)
    openConnection(world, target, now);
}

/** Makes a connection available, after it was opened or reset. */
export function markReady(world: World, id: ConnectionId): void {
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

/** Takes the finished request off a connection; a connection of a transaction stays pinned to it. */
export function releaseConnection(world: World, connection: ConnectionRow): void {
  const target = world.targets.get(connection.target);
  const counted = target?.connections.has(connection.id) === true;
  if (counted && connection.state === 'busy') target.inFlight -= 1;
  connection.request = undefined;
  connection.stateSince = world.clock.now();
  if (connection.transaction === undefined && target) {
    putIdle(world, target, connection);
    return;
  }
  connection.state = 'pinned';
  if (target) planUpkeep(world, target, world.settings.transactionIdleMs);
}

/** Ends the use of a connection by a transaction; its state is reset before anyone else gets it. */
export function unpinConnection(world: World, connection: ConnectionRow): void {
  connection.transaction = undefined;
  connection.state = 'resetting';
  connection.stateSince = world.clock.now();
  queueCommand(world, { type: 'reset_connection', connection: connection.id });
}

/** Gives up the connection of an abandoned transaction, which no other request may run on. */
export function discardConnection(world: World, id: ConnectionId): ConnectionRow | undefined {
  if (world.policies.closesAbandonedConnections) return dropConnection(world, id);
  const connection = world.connections.get(id);
  if (!connection) return undefined;
  connection.transaction = undefined;
  releaseConnection(world, connection);
  return connection;
}

/** Closes a connection and forgets it. */
export function dropConnection(world: World, id: ConnectionId): ConnectionRow | undefined {
  const connection = forgetConnection(world, id);
  if (connection) queueCommand(world, { type: 'close_connection', connection: id });
  return connection;
}

/** Forgets a connection that is closed already. */
export function forgetConnection(world: World, id: ConnectionId): ConnectionRow | undefined {
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

/** Takes in that a connection could not be opened: a refusal cuts the share, a failure counts. */
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

/** Middle of the spread wait after one failed opening. */
const OPEN_RETRY_MS: Millis = 50;

/** Closes connections without work: at once at leaving targets, after the idle time elsewhere. */
export function closeIdleConnections(world: World, target: TargetRow, now: Millis): void {
  const limitMs = isRetired(world, target) ? 0 : world.settings.connectionIdleMs;
  for (const id of [...target.idle]) {
    const connection = world.connections.get(id);
    if (connection && now - connection.stateSince >= limitMs) dropConnection(world, id);
  }
  if (target.idle.length > 0) planUpkeep(world, target, limitMs);
}

/** The target's row, when this daemon still serves it. */
export function targetRow(world: World, id: TargetId | undefined): TargetRow | undefined {
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
  if (connection.retired || isRetired(world, target)) {
    dropConnection(world, connection.id);
    return;
  }
  connection.stateSince = world.clock.now();
  target.idle.push(connection.id);
  planUpkeep(world, target, world.settings.connectionIdleMs);
}

/** True when the target gets no new work at all. */
function isRetired(world: World, target: TargetRow): boolean {
  const group = world.groups.get(target.group);
  return group !== undefined && !takesWork(world, group, target, world.clock.now());
}

function removeIdle(target: TargetRow, id: ConnectionId): void {
  const index = target.idle.lastIndexOf(id);
  if (index >= 0) target.idle.splice(index, 1);
}

function planUpkeep(world: World, target: TargetRow, afterMs: Millis): void {
  const group = world.groups.get(target.group);
  if (!group) return;
  const at = world.clock.now() + afterMs;
  if (at >= group.idleCleanupAt) return;
  group.idleCleanupAt = at;
  world.scheduler.queueJobAt('dispatch', target.group, at);
}

import type { Millis } from '@rosedeck/shared';
import type { ConnectionRow, TargetRow, Tenant, World } from './tables';

/** Counts a connection among those in flight at its target, or no longer. */
export function setInFlight(row: ConnectionRow, isInFlight: boolean, now: Millis): void {
  if (row.isInFlight === isInFlight) return;
  const { target } = row;
  row.isInFlight = isInFlight;
  if (target.inFlight === 0) target.progressAt = now;
  target.inFlight += isInFlight ? 1 : -1;
  target.limit.record(now, target.inFlight);
}

function countPending(row: ConnectionRow, change: 1 | -1): void {
  const { target, tenant } = row;
  if (row.state === 'opening') target.opening += change;
  const count = (target.pendingByTenant.get(tenant) ?? 0) + change;
  if (count > 0) target.pendingByTenant.set(tenant, count);
  else target.pendingByTenant.delete(tenant);
}

/** Leaves the present state of a connection. */
function leaveState(row: ConnectionRow): void {
  const { target, tenant } = row;
  if (row.state === 'opening' || row.state === 'clearing') countPending(row, -1);
  if (row.state !== 'idle') return;
  target.idle.delete(row);
  const list = target.idleByTenant.get(tenant) ?? [];
  if (list.length === 1) target.idleByTenant.delete(tenant);
  else list.splice(list.lastIndexOf(row), 1);
}

/** Moves a connection into another state. */
export function enterState(row: ConnectionRow, state: ConnectionRow['state'], now: Millis): void {
  const { target, tenant } = row;
  leaveState(row);
  row.state = state;
  row.since = now;
  if (state === 'clearing') countPending(row, 1);
  if (state !== 'idle') return;
  target.idle.add(row);
  const list = target.idleByTenant.get(tenant);
  if (list) list.push(row);
  else target.idleByTenant.set(tenant, [row]);
}

/** Connections to a target that may be held now. */
function allowedConnections(world: World, target: TargetRow, now: Millis): number {
  const { regainEveryMs } = world.settings;
  while (target.usable < target.part && now - target.regainedAt >= regainEveryMs) {
    target.usable += target.regainStep;
    target.regainStep *= 2;
    target.regainedAt += regainEveryMs;
  }
  return Math.min(target.part, target.usable);
}

/** Whether a connection may be opened, if need be in place of an idle one of another tenant. */
export function mayOpen(world: World, target: TargetRow, tenant: Tenant, now: Millis): boolean {
  if (now < target.openBlockedUntil || target.opening >= target.slots) return false;
  const { size } = target.connections;
  if (size < allowedConnections(world, target, now)) return true;
  return size <= target.part && findEvictable(target, tenant) !== undefined;
}

/**
 * Opens a connection in a tenant's name, once `mayOpen` allows it. An opening takes a slot of the
 * target, so it counts as in flight.
 */
export function openConnection(world: World, target: TargetRow, tenant: Tenant, now: Millis): void {
  if (target.connections.size >= allowedConnections(world, target, now)) {
    const evicted = findEvictable(target, tenant);
    if (!evicted) return;
    world.counts.evicted += 1;
    world.log({ type: 'connection_evicted', target: target.id, idleMs: now - evicted.since });
    closeConnection(world, evicted, now);
  }
  const row: ConnectionRow = {
    id: world.nextConnectionId,
    target,
    tenant,
    state: 'opening',
    since: now,
    wasLent: false,
    pending: 0,
    busySince: now,
    inTransaction: false,
    hasTraces: false,
    isSettingUp: false,
    isInFlight: false,
  };
  world.nextConnectionId += 1;
  world.connections.set(row.id, row);
  target.connections.add(row);
  countPending(row, 1);
  setInFlight(row, true, now);
  world.io.open(row.id, target.id, tenant);
}

/**
 * The longest idle connection of another tenant; one whose tenant has waiting requests only if there
 * is no other, since it would be opened again at once, and only once it has been lent: else tenants
 * could replace each other's connections without end.
 */
function findEvictable(target: TargetRow, tenant: Tenant): ConnectionRow | undefined {
  let fallback: ConnectionRow | undefined;
  for (const row of target.idle) {
    if (row.tenant === tenant) continue;
    if (target.queue.queuedOf(row.tenant) === 0) return row;
    if (row.wasLent) fallback ??= row;
  }
  return fallback;
}

/** The most recently used idle connection of a tenant; the others may then reach the idle limit. */
export function findIdle(target: TargetRow, tenant: Tenant): ConnectionRow | undefined {
  return target.idleByTenant.get(tenant)?.at(-1);
}

/** Whether an idle connection has been without work for so long that it may have broken unnoticed. */
export function needsValidation(world: World, row: ConnectionRow, now: Millis): boolean {
  return now - row.since > world.settings.validateAfterIdleMs;
}

/**
 * Clears an idle connection, which shows whether it still works. It counts as in flight meanwhile, so
 * that the request that it is validated for keeps its turn.
 */
export function validateConnection(world: World, row: ConnectionRow, now: Millis): void {
  // As after an opening, other tenants do not replace it before the request that waits has used it.
  row.wasLent = false;
  enterState(row, 'clearing', now);
  setInFlight(row, true, now);
  world.io.clear(row.id);
}

/**
 * Closes the connections that have been idle for long, after one could not be cleared: they have
 * probably broken too, and a time-out for each would delay a waiting request in turn.
 */
export function closeUnvalidated(world: World, target: TargetRow, now: Millis): void {
  for (const row of target.idle) {
    if (!needsValidation(world, row, now)) return;
    closeConnection(world, row, now);
  }
}

/** Makes a clean connection available, unless it is one too many. */
export function makeIdle(world: World, row: ConnectionRow, now: Millis): void {
  const { target } = row;
  setInFlight(row, false, now);
  if (target.isRetired || world.isDraining || target.connections.size > target.part)
    closeConnection(world, row, now);
  else enterState(row, 'idle', now);
}

/** Removes a connection from all tables; false when it was removed before. */
export function removeConnection(world: World, row: ConnectionRow, now: Millis): boolean {
  if (!world.connections.delete(row.id)) return false;
  setInFlight(row, false, now);
  enterState(row, 'ended', now);
  row.target.connections.delete(row);
  return true;
}

/** Closes a connection on purpose. */
export function closeConnection(world: World, row: ConnectionRow, now: Millis): void {
  if (removeConnection(world, row, now)) world.io.close(row.id);
}

/** Closes idle connections that are not needed any more: too many, or idle for too long. */
export function closeSurplus(world: World, target: TargetRow, now: Millis): void {
  for (const row of target.idle) {
    const isNeeded = target.connections.size <= target.part && !target.isRetired;
    if (isNeeded && now - row.since < world.settings.idleMs) return;
    closeConnection(world, row, now);
  }
}

/** Connections whose opening or clearing takes too long. */
export function listOverdue(world: World, target: TargetRow, now: Millis): ConnectionRow[] {
  if (target.pendingByTenant.size === 0) return [];
  const { openTimeoutMs, clearTimeoutMs } = world.settings;
  return [...target.connections].filter(
    ({ state, since }) =>
      (state === 'opening' && now - since > openTimeoutMs) ||
      (state === 'clearing' && now - since > clearTimeoutMs),
  );
}

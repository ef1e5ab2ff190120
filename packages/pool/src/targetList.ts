import type { Millis } from '@rosedeck/shared';
import { createConcurrencyLimit } from './concurrencyLimit';
import { closeConnection, closeSurplus } from './connectionSet';
import { createFairShare } from './fairShare';
import { createLeaseQueue } from './leaseQueue';
import type { PooledTarget } from './leases';
import { refuseAll } from './requests';
import type { TargetRow, World } from './tables';

/** Applies the list of targets that are pooled here; returns those that it concerns. */
export function applyTargets(world: World, listed: readonly PooledTarget[], now: Millis): void {
  for (const target of listed) {
    const known = world.targets.get(target.id);
    if (known) updateTarget(world, known, target, now);
    else world.targets.set(target.id, createTarget(world, target, now));
  }
  const ids = new Set(listed.map(({ id }) => id));
  for (const target of world.targets.values())
    if (!ids.has(target.id) && !target.isRetired) retire(world, target, now);
}

function createTarget(world: World, listed: PooledTarget, now: Millis): TargetRow {
  const { classFloorMs, initialServiceMs } = world.settings;
  return {
    id: listed.id,
    slots: listed.slots,
    part: listed.connections,
    usable: listed.connections,
    wasShutOut: false,
    regainedAt: now,
    regainStep: 1,
    isRetired: false,
    connections: new Set(),
    idle: new Set(),
    idleByTenant: new Map(),
    pendingByTenant: new Map(),
    opening: 0,
    queue: createLeaseQueue({ classFloorMs, initialServiceMs, weightOf: world.weightOf }),
    fairShare: createFairShare(world.weightOf),
    limit: createConcurrencyLimit(listed.slots, world.settings),
    inFlight: 0,
    reserved: [],
    openBlockedUntil: -Infinity,
    progressAt: now,
    reviewedAt: now,
    isDispatching: false,
    needsDispatch: false,
  };
}

function updateTarget(world: World, target: TargetRow, listed: PooledTarget, now: Millis): void {
  target.isRetired = false;
  if (target.part !== listed.connections) {
    target.part = listed.connections;
    target.usable = listed.connections;
    closeSurplus(world, target, now);
  }
  if (target.slots !== listed.slots) {
    target.slots = listed.slots;
    target.limit.applySlots(listed.slots);
  }
}

/** Gives a target up: what is leased goes on, and is closed when it is returned. */
function retire(world: World, target: TargetRow, now: Millis): void {
  target.isRetired = true;
  refuseAll(world, target, 'not_owner', now);
  closeUnused(world, target, now);
  forgetIfEmpty(world, target);
}

/** Closes all connections of a target that no lease uses. */
export function closeUnused(world: World, target: TargetRow, now: Millis): void {
  for (const connection of [...target.connections])
    if (connection.state !== 'leased') closeConnection(world, connection, now);
}

/** Removes a target that was given up, once nothing of it is left. */
export function forgetIfEmpty(world: World, target: TargetRow): void {
  if (target.isRetired && target.connections.size === 0) world.targets.delete(target.id);
}

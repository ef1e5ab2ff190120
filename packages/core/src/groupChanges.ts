import type { GroupId, TargetId } from '@rosedeck/shared';
import { createCircuitBreaker } from './circuitBreaker';
import { dropConnection, plannedConnectionShare } from './connections';
import { createGroupEstimates } from './estimates';
import { createGroupQueue, isPinned } from './groupQueue';
import { refuse } from './finishRequest';
import { createRetryBudget } from './retryBudget';
import type { GroupRow, GroupSpec, TargetRow, TargetSpec } from './tables';
import type { World } from './world';

/** Updates groups and targets to the configuration; work in progress continues. */
export function applyGroups(world: World, specs: readonly GroupSpec[]): void {
  const keptIds = new Set(specs.map((spec) => spec.id));
  for (const group of [...world.groups.values()]) {
    if (!keptIds.has(group.spec.id)) removeGroup(world, group);
  }
  for (const spec of specs) applyGroup(world, spec);
}

function applyGroup(world: World, spec: GroupSpec): void {
  const existing = world.groups.get(spec.id);
  const group = existing ?? createGroup(world, spec);
  const removed = group.spec.targets.filter((old) => !spec.targets.some((t) => t.id === old.id));
  const haveLimitsChanged =
    group.spec.connectionLimit !== spec.connectionLimit ||
    group.spec.connectionReserve !== spec.connectionReserve;
  const hasLoginChanged = existing !== undefined && group.spec.loginId !== spec.loginId;
  group.spec = spec;
  world.removedGroups.delete(spec.id);
  world.groups.set(spec.id, group);
  for (const target of removed) removeTarget(world, target.id);
  for (const target of spec.targets) {
    const row = world.targets.get(target.id);
    const hasMoved = row !== undefined && !hasSameAddress(row.spec, target);
    if (!row || hasMoved) addTarget(world, group, target);
    else if (haveLimitsChanged) row.connectionShare = plannedConnectionShare(world, group);
    if (row && (hasMoved || hasLoginChanged)) retireConnections(world, row);
    if (row) row.leaving = world.leavingTargets.has(target.id);
  }
  world.scheduler.queueJob('rounds', spec.id);
  if (existing) world.scheduler.queueJob('dispatch', spec.id);
}

function addTarget(world: World, group: GroupRow, spec: TargetSpec): void {
  world.targets.set(spec.id, {
    spec,
    group: group.spec.id,
    leaving: world.leavingTargets.has(spec.id),
    reportAt: 0,
    failedProbes: 0,
    connectionShare: plannedConnectionShare(world, group),
    openBlockedUntil: 0,
    connectionShareGrowsAt: 0,
    connections: new Set(),
    idle: [],
    openingCount: 0,
    inFlight: 0,
    breaker: createCircuitBreaker(),
  });
}

/** Refuses queued requests, which have not run; running ones finish on their connections. */
function removeGroup(world: World, group: GroupRow): void {
  const id: GroupId = group.spec.id;
  for (const row of [...world.requests.values()]) {
    const isWaiting = row.req.group === id && row.stage === 'queued' && !isPinned(row);
    if (isWaiting) refuse(world, row, 'unknown_group', `group ${id} was removed`);
  }
  if (hasWork(world, group)) {
    world.removedGroups.add(id);
    return;
  }
  for (const target of group.spec.targets) removeTarget(world, target.id);
  world.groups.delete(id);
  world.removedGroups.delete(id);
}

/** Deletes groups that were removed while they had work, once that work has ended. */
export function sweepRemovedGroups(world: World): void {
  for (const id of world.removedGroups) {
    const group = world.groups.get(id);
    if (group) removeGroup(world, group);
  }
}

function removeTarget(world: World, id: TargetId): void {
  const row = world.targets.get(id);
  if (!row) return;
  row.leaving = true;
  retireConnections(world, row);
  if (row.connections.size === 0) world.targets.delete(id);
}

/** Closes idle connections at once; busy ones are closed when they are released. */
function retireConnections(world: World, target: TargetRow): void {
  for (const id of [...target.connections]) {
    const connection = world.connections.get(id);
    if (!connection) continue;
    if (connection.state === 'idle') dropConnection(world, id);
    else connection.retired = true;
  }
}

function hasWork(world: World, group: GroupRow): boolean {
  if (group.transactions.size > 0) return true;
  for (const row of world.requests.values()) if (row.req.group === group.spec.id) return true;
  return false;
}

function hasSameAddress(a: TargetSpec, b: TargetSpec): boolean {
  return a.host === b.host && a.port === b.port && a.controlPort === b.controlPort;
}

function createGroup(world: World, spec: GroupSpec): GroupRow {
  return {
    spec,
    term: 0,
    highestSeenTerm: 0,
    primarySince: 0,
    lastRoundAt: -Infinity,
    nextRoundId: 1,
    samples: [],
    promotionNotBefore: 0,
    lastRequestAt: world.clock.now(),
    queue: createGroupQueue(),
    transactions: new Set(),
    primaryGap: { endedAt: -Infinity, expectedMs: world.settings.expectedGapMs },
    estimates: createGroupEstimates(),
    entryRetryBudget: createRetryBudget(world.settings),
    ownerRetryBudget: createRetryBudget(world.settings),
    cleanedUpTerm: 0,
    idleCleanupAt: Infinity,
    lockReserveUntil: 0,
    nextShedAt: 0,
    confirming: [],
  };
}

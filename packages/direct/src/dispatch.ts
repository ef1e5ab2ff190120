import type { Millis, Position } from '@rosedeck/shared';
import {
  countIdle,
  makeRoom,
  mayOpen,
  mayOpenFor,
  openConnection,
  takeConnection,
} from './connections';
import { executeInTransaction, executeRequest } from './execution';
import { findEligible, findUsablePrimary, resolvePosition } from './eligibility';
import { bindLeases } from './leaseBinding';
import { askForLeases, hedgeOverLease } from './leaseDispatch';
import { withdrawLeases } from './leases';
import { isPooled } from './poolOwners';
import type { ExecutionHooks } from './requestFailures';
import { othersInFlight } from './otherLoads';
import { chooseReadTarget, chooseTargetToOpen, checkCapacity, latencyRatioAt } from './placement';
import type { PlacementCandidate, Capacity } from './placement';
import type { GroupRow, RequestRow, TargetRow, World } from './tables';
import type { TenantName } from './tenants';

/** Connections to one target that may be opening at a time; each takes a slot there. */
const MAX_OPENING = 2;

/** Statements of this daemon in flight at a target; idle transactions do not count. */
export function ownInFlight(target: TargetRow): number {
  let count = 0;
  for (const row of target.connections) if (row.pending.length > 0) count += 1;
  return count;
}

function findCapacity(world: World, target: TargetRow, now: Millis): Capacity {
  const inFlightLimit = target.listed.slots * world.settings.inFlightPerSlot;
  return checkCapacity({
    ownInFlight: ownInFlight(target),
    otherInFlight: othersInFlight(world, target),
    inFlightLimit,
    sinceDoneMs: now - target.lastStatementDoneAt,
    usualMs: target.group.runMs.read.value,
  });
}

/** True when a target has capacity now. If it must pause, also requests a wake after the pause. */
function hasCapacity(world: World, target: TargetRow, now: Millis): boolean {
  const capacity = findCapacity(world, target, now);
  if (capacity.kind === 'pause') world.io.wakeAfter(capacity.forMs);
  return capacity.kind === 'free';
}

/** Sends queued requests of a group to targets, over leases where its connections are pooled. */
export function runDispatch(world: World, hooks: ExecutionHooks, group: GroupRow): void {
  const now = world.clock.now();
  bindLeases(world, hooks, group, now);
  if (group.queue.length === 0) return;
  const rows = isPooled(world, group) ? askForLeases(world, group, now) : [...group.queue];
  dispatchToOwn(world, hooks, group, rows, now);
}

/** Sends requests over connections of this daemon, in queue order. */
function dispatchToOwn(
  world: World,
  hooks: ExecutionHooks,
  group: GroupRow,
  rows: readonly RequestRow[],
  now: Millis,
): void {
  const wanted = createWanted();
  for (const row of rows) {
    if (row.notBefore > now || row.awaitsToken) continue;
    const after = resolvePosition(world, row);
    const target = row.needsPrimary
      ? choosePrimary(world, row, wanted, now)
      : chooseAnyTarget(world, group, row, after, wanted, now);
    if (!target) continue;
    const connection = takeConnection(target, now, row.session.variables, row.tenant);
    if (!connection) continue;
    const index = group.queue.indexOf(row);
    if (index !== -1) group.queue.splice(index, 1);
    withdrawLeases(world, row);
    executeRequest(world, hooks, row, connection, after);
  }
  for (const [target, tenant, count] of wanted.list())
    openWanted(world, target, tenant, count, now);
}

/** Retries a statement of an open transaction whose target was busy. */
export function resumeInTransaction(world: World, hooks: ExecutionHooks, row: RequestRow): void {
  const connection = row.transaction?.connection;
  if (connection && row.notBefore <= world.clock.now())
    executeInTransaction(world, hooks, row, connection);
}

function choosePrimary(
  world: World,
  row: RequestRow,
  wanted: WantedConnections,
  now: Millis,
): TargetRow | undefined {
  const primary = findUsablePrimary(world, row, now);
  if (!primary || !hasCapacity(world, primary, now)) return undefined;
  if (countIdle(primary, row.tenant) > 0) return primary;
  wanted.add(primary, row.tenant);
  return undefined;
}

function chooseAnyTarget(
  world: World,
  group: GroupRow,
  row: RequestRow,
  after: Position | undefined,
  wanted: WantedConnections,
  now: Millis,
): TargetRow | undefined {
  const eligible = findEligible(world, group, row, after, now).filter((target) =>
    hasCapacity(world, target, now),
  );
  const { remoteFactor } = world.settings;
  const candidates = eligible.map((target) => describeTarget(world, target, row.tenant, now));
  const choice = chooseReadTarget(candidates, remoteFactor, world.random);
  if (choice) return group.targets.get(choice.id);
  const openable = eligible
    .filter((target) => mayOpenFor(world, target, row.tenant, now))
    .map((target): PlacementCandidate => {
      const described = describeTarget(world, target, row.tenant, now);
      return { ...described, ownInFlight: described.ownInFlight + wanted.count(target) };
    });
  const best = chooseTargetToOpen(openable, remoteFactor, world.random);
  const target = best && group.targets.get(best.id);
  if (target) wanted.add(target, row.tenant);
  return undefined;
}

function describeTarget(
  world: World,
  target: TargetRow,
  tenant: TenantName | undefined,
  now: Millis,
): PlacementCandidate {
  const { listed, group } = target;
  return {
    id: listed.id,
    isPrimary: listed.id === group.primary,
    sameDomain: listed.failureDomain === world.self.failureDomain,
    slots: listed.slots,
    ownInFlight: ownInFlight(target),
    otherInFlight: othersInFlight(world, target),
    latencyRatio: latencyRatioAt(target.rating, now, world.settings.latencyDecayMs),
    idle: countIdle(target, tenant),
  };
}

/** Connections that queued requests lack, by target and tenant. */
interface WantedConnections {
  add: (target: TargetRow, tenant: TenantName | undefined) => void;
  /** Connections wanted to a target, for all tenants together. */
  count: (target: TargetRow) => number;
  list: () => readonly (readonly [TargetRow, TenantName | undefined, number])[];
}

function createWanted(): WantedConnections {
  const counts = new Map<TargetRow, Map<TenantName | undefined, number>>();
  return {
    add: (target, tenant) => {
      const byTenant = counts.get(target) ?? new Map<TenantName | undefined, number>();
      byTenant.set(tenant, (byTenant.get(tenant) ?? 0) + 1);
      counts.set(target, byTenant);
    },
    count: (target) => {
      let sum = 0;
      for (const count of counts.get(target)?.values() ?? []) sum += count;
      return sum;
    },
    list: () =>
      [...counts].flatMap(([target, byTenant]) =>
        [...byTenant].map(([tenant, count]) => [target, tenant, count] as const),
      ),
  };
}

function openWanted(
  world: World,
  target: TargetRow,
  tenant: TenantName | undefined,
  count: number,
  now: Millis,
): void {
  let opening = 0;
  for (const row of target.connections)
    if (row.state === 'opening' && row.tenant === tenant) opening += 1;
  makeRoom(world, target, tenant, now);
  while (opening < Math.min(count, MAX_OPENING) && mayOpen(world, target, now)) {
    openConnection(world, target, now, tenant);
    opening += 1;
  }
}

function hasFreeSlot(world: World, target: TargetRow): boolean {
  return ownInFlight(target) + othersInFlight(world, target) < target.listed.slots;
}

/** Hedges a slow read at a second target, against lost replies and slow targets. */
export function hedgeRead(world: World, hooks: ExecutionHooks, row: RequestRow): boolean {
  const now = world.clock.now();
  const { group } = row;
  if (group.queue.length > 0) return false;
  if (isPooled(world, group)) return hedgeOverLease(world, row, now);
  const after = resolvePosition(world, row);
  if (row.needsPrimary) return false;
  const eligible = findEligible(world, group, row, after, now).filter(
    (target) => !row.tried.has(target.listed.id) && hasFreeSlot(world, target),
  );
  const candidates = eligible.map((target) => describeTarget(world, target, row.tenant, now));
  const choice = chooseReadTarget(candidates, world.settings.remoteFactor, world.random);
  const target = choice && group.targets.get(choice.id);
  const connection = target && takeConnection(target, now, row.session.variables, row.tenant);
  if (!connection) return false;
  world.io.log({
    type: 'request_hedged',
    request: row.id,
    target: target.listed.id,
    reason: `no reply from ${row.target ?? 'any target'}`,
    afterMs: Math.round(now - row.arrivedAt),
  });
  executeRequest(world, hooks, row, connection, after);
  return true;
}

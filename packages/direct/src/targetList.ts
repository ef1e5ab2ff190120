import type { GroupId, Millis, TargetId } from '@rosedeck/shared';
import type { DirectConfig, ListedTarget } from './configuration';
import { loseConnection } from './connections';
import { createGroupLoads } from './groupLoads';
import { addMissingLog, createMissingLogs, takeOverLog } from './logSafety';
import { reachConfigVersion } from './newerConfig';
import { createRetryBudget } from './retryBudget';
import { updateAverage } from './tables';
import type { GroupRow, TargetRow, World } from './tables';

/** Initial values of the moving averages, in milliseconds. */
const INITIAL_MS = {
  readMs: 25,
  writeMs: 15,
  primaryOccupancyMs: 60,
  anyOccupancyMs: 30,
  renewalMs: 1_200,
} as const;

/** Applies a configuration, unless the same or a newer version is in force. */
export function applyConfig(world: World, config: DirectConfig, source: string): void {
  if (world.config && config.version <= world.config.version) return;
  world.config = config;
  const heardMs = reachConfigVersion(world, config.version, world.clock.now());
  world.quotas.applyTenants(config.tenants);
  for (const [id, limits] of config.groups) {
    const known = world.groups.get(id);
    const group = known ?? createGroup(world, id, limits.connectionLimit);
    group.connectionLimit = limits.connectionLimit;
    group.syncReplicas = limits.syncReplicas ?? 0;
    if (!known) world.groups.set(id, group);
  }
  world.io.log({
    type: 'config_applied',
    version: config.version,
    routes: config.routes.size,
    source,
    heardMs: Math.round(heardMs),
  });
}

function createGroup(world: World, id: GroupId, connectionLimit: number): GroupRow {
  return {
    id,
    connectionLimit,
    syncReplicas: 0,
    targets: new Map(),
    missingLogs: createMissingLogs(),
    pauses: new Map(),
    primaryChangedAt: -Infinity,
    boundLoggedAt: -Infinity,
    term: 0,
    termSeenAt: -Infinity,
    leaderTerm: 0,
    samples: [],
    loads: createGroupLoads(),
    queue: [],
    idleLeases: [],
    retryBudget: createRetryBudget(),
    lastRequestAt: world.clock.now(),
    contested: false,
    lastShortageAt: -Infinity,
    primaryChosenAt: -Infinity,
    samplesRequestedAt: -Infinity,
    runMs: { read: { value: INITIAL_MS.readMs }, write: { value: INITIAL_MS.writeMs } },
    occupancyMs: {
      primary: { value: INITIAL_MS.primaryOccupancyMs },
      any: { value: INITIAL_MS.anyOccupancyMs },
    },
    routeMs: new Map(),
    promotionMs: { value: world.settings.expectedPromotionMs },
    renewalMs: { value: INITIAL_MS.renewalMs },
  };
}

/** Applies the platform's complete list of targets. */
export function applyTargets(world: World, list: readonly ListedTarget[], source: string): void {
  const now = world.clock.now();
  const added: TargetId[] = [];
  const removed: TargetId[] = [];
  const leaving: TargetId[] = [];
  const listedIds = new Set(list.map((listed) => listed.id));
  for (const listed of list) {
    const group = world.groups.get(listed.group);
    if (!group) continue;
    const known = group.targets.get(listed.id);
    if (
      known?.listed.incarnation !== listed.incarnation ||
      known.listed.address !== listed.address
    ) {
      if (known) removeTarget(world, known);
      addTarget(world, group, listed, now);
      added.push(listed.id);
    }
    const row = group.targets.get(listed.id);
    if (!row) continue;
    if (listed.leaving && row.leavingSince === undefined) {
      row.leavingSince = now;
      leaving.push(listed.id);
    }
    if (!listed.leaving) row.leavingSince = undefined;
    recordRenewal(row, listed, now);
    row.listed = listed;
    row.unlistedSince = undefined;
    row.isRecalled = false;
  }
  for (const row of world.targets.values()) {
    if (listedIds.has(row.listed.id) || row.unlistedSince !== undefined) continue;
    row.unlistedSince = now;
    removed.push(row.listed.id);
  }
  for (const group of world.groups.values()) world.groupsToDispatch.add(group);
  if (added.length + removed.length + leaving.length > 0)
    world.io.log({ type: 'targets_changed', added, removed, leaving, source });
}

/**
 * Uses targets of an earlier list that the platform's list lacks, as if their entries had just been
 * removed. Load pattern: all daemons restart in an outage of the store, in which the entries of living
 * targets expire; these are written again only seconds after its end.
 */
export function recallTargets(world: World, earlier: readonly ListedTarget[]): void {
  const now = world.clock.now();
  const addresses = new Set([...world.targets.values()].map(({ listed }) => listed.address));
  const recalled: TargetId[] = [];
  for (const listed of earlier) {
    const group = world.groups.get(listed.group);
    if (!group || world.targets.has(listed.id) || addresses.has(listed.address)) continue;
    const row = addTarget(world, group, listed, now);
    row.unlistedSince = now;
    row.isRecalled = true;
    if (listed.leaving) row.leavingSince = now;
    recalled.push(listed.id);
    world.groupsToDispatch.add(group);
  }
  if (recalled.length > 0) world.io.log({ type: 'targets_recalled', targets: recalled });
}

function recordRenewal(row: TargetRow, listed: ListedTarget, now: Millis): void {
  if (row.listed.revision === listed.revision && row.listed.era === listed.era) return;
  updateAverage(row.group.renewalMs, now - row.renewedAt);
  row.renewedAt = now;
}

function addTarget(world: World, group: GroupRow, listed: ListedTarget, now: Millis): TargetRow {
  const row: TargetRow = {
    listed,
    group,
    renewedAt: now,
    connections: new Set(),
    leases: new Set(),
    leaseAvoidedUntil: now,
    notOwners: new Map(),
    idle: [],
    openBlockedUntil: now,
    failures: 0,
    recheckAt: now,
    lastReplyAt: now,
    notPrimaryAt: -Infinity,
    isRecalled: false,
    rating: { latencyRatio: 1, at: now },
    lastStatementDoneAt: -Infinity,
    smoothedInFlight: 0,
    smoothedAt: now,
    idleTimeoutMs: world.settings.surplusIdleMs,
    probedAt: -Infinity,
    logState: 'told',
    rejectedAt: -Infinity,
    statusRequestedAt: -Infinity,
    stepDownAskedAt: -Infinity,
    resumeAskedAt: -Infinity,
  };
  group.targets.set(listed.id, row);
  takeOverLog(group.missingLogs, listed);
  world.targets.set(listed.id, row);
  if (group.primary === listed.id) {
    group.primaryProvenAt = undefined;
    group.primaryLearnedAt = undefined;
  }
  return row;
}

/** Removes a target and closes its connections. */
export function removeTarget(world: World, row: TargetRow): void {
  const now = world.clock.now();
  for (const connection of [...row.connections, ...row.leases])
    loseConnection(world, connection, 'closed', now);
  const { group, listed } = row;
  if (group.targets.get(listed.id) === row) {
    group.targets.delete(listed.id);
    addMissingLog(group.missingLogs, listed, row.unlistedSince ?? now);
  }
  if (world.targets.get(row.listed.id) === row) world.targets.delete(row.listed.id);
}

/**
 * Discards proofs, samples and what was decided on them after a time jump: their clock may have stood
 * still.
 */
export function resetAfterTimeJump(world: World, byMs: Millis): void {
  world.epoch += 1;
  const now = world.clock.now();
  world.timeJumpedAt = now;
  for (const group of world.groups.values()) {
    group.samples.length = 0;
    group.primaryProvenAt = undefined;
    group.primaryLearnedAt = undefined;
    group.primaryDownSince = undefined;
    group.promotionReasonSince = undefined;
    const expected = group.expectedPrimary;
    // The age of the claim is unknown now, but it stands.
    if (expected) group.expectedPrimary = { ...expected, since: now, isMissed: true };
    if (group.promotion?.stage === 'survey') group.promotion = undefined;
  }
  world.claimsReadAt = -Infinity;
  for (const target of world.targets.values()) {
    target.failingSince = undefined;
    target.failures = 0;
    target.lastFailure = undefined;
    target.poolLoad = undefined;
    target.leaseFailingSince = undefined;
  }
  world.fleet.peers.clear();
  world.fleet.totals.clear();
  world.quotas.timeJumped();
  world.io.log({ type: 'time_jumped', byMs: Math.round(byMs) });
}

/** True when every configured group that a route uses has a target. */
export function hasTargetsForRoutes(world: World): boolean {
  for (const route of world.config?.routes.values() ?? []) {
    const group = world.groups.get(route.group);
    if (group?.targets.size === 0) return false;
  }
  return true;
}

import type { GroupId, Millis, TargetId } from '@rosedeck/shared';
import type { DirectConfig, ListedTarget } from './configuration';
import { loseConnection } from './connections';
import type { GroupRow, TargetRow, World } from './tables';

/** Usual times until there are samples. */
const FIRST_GUESS = { readMs: 25, writeMs: 15, holdPrimaryMs: 60, holdAnyMs: 30 } as const;

/** Puts a configuration in force, unless a newer one is. */
export function applyConfig(world: World, config: DirectConfig, source: string): void {
  if (world.config && config.version <= world.config.version) return;
  world.config = config;
  for (const [id, limits] of config.groups) {
    const known = world.groups.get(id);
    if (known) known.connectionLimit = limits.connectionLimit;
    else world.groups.set(id, createGroup(world, id, limits.connectionLimit));
  }
  world.sides.log({
    type: 'config_applied',
    version: config.version,
    routes: config.routes.size,
    source,
  });
}

function createGroup(world: World, id: GroupId, connectionLimit: number): GroupRow {
  return {
    id,
    connectionLimit,
    targets: new Map(),
    term: 0,
    samples: [],
    queue: [],
    lastRequestAt: world.clock.now(),
    contested: false,
    demandAt: -Infinity,
    rotatedAt: -Infinity,
    askedAt: -Infinity,
    runMs: { read: { value: FIRST_GUESS.readMs }, write: { value: FIRST_GUESS.writeMs } },
    holdMs: {
      primary: { value: FIRST_GUESS.holdPrimaryMs },
      any: { value: FIRST_GUESS.holdAnyMs },
    },
    routeMs: new Map(),
    promoteMs: { value: world.settings.promotionGuessMs },
  };
}

/** Takes in the platform's list of targets, whole. */
export function applyTargets(world: World, list: readonly ListedTarget[], source: string): void {
  const now = world.clock.now();
  const added: TargetId[] = [];
  const removed: TargetId[] = [];
  const leaving: TargetId[] = [];
  const listed = new Set(list.map((entry) => entry.id));
  for (const entry of list) {
    const group = world.groups.get(entry.group);
    if (!group) continue;
    const known = group.targets.get(entry.id);
    if (known?.entry.life !== entry.life || known.entry.address !== entry.address) {
      if (known) removeTarget(world, known);
      addTarget(world, group, entry, now);
      added.push(entry.id);
    }
    const row = group.targets.get(entry.id);
    if (!row) continue;
    if (entry.leaving && row.leavingSince === undefined) {
      row.leavingSince = now;
      leaving.push(entry.id);
    }
    if (!entry.leaving) row.leavingSince = undefined;
    row.entry = entry;
    row.missingSince = undefined;
  }
  for (const row of world.targets.values()) {
    if (listed.has(row.entry.id) || row.missingSince !== undefined) continue;
    row.missingSince = now;
    removed.push(row.entry.id);
  }
  for (const group of world.groups.values()) world.woken.add(group);
  if (added.length + removed.length + leaving.length > 0)
    world.sides.log({ type: 'targets_changed', added, removed, leaving, source });
}

function addTarget(world: World, group: GroupRow, entry: ListedTarget, now: Millis): void {
  const row: TargetRow = {
    entry,
    group,
    connections: new Set(),
    idle: [],
    openBlockedUntil: now,
    failures: 0,
    lastReplyAt: now,
    notLeadingAt: -Infinity,
    rating: { slowness: 1, at: now },
    doneAt: -Infinity,
    load: 0,
    keepIdleMs: world.settings.surplusIdleMs,
    probedAt: -Infinity,
    rejectedAt: -Infinity,
  };
  group.targets.set(entry.id, row);
  world.targets.set(entry.id, row);
  if (group.primary === entry.id) group.primaryProvenAt = undefined;
}

/** Forgets a target and ends its connections. */
export function removeTarget(world: World, row: TargetRow): void {
  const now = world.clock.now();
  for (const connection of [...row.connections]) loseConnection(world, connection, 'closed', now);
  if (row.group.targets.get(row.entry.id) === row) row.group.targets.delete(row.entry.id);
  if (world.targets.get(row.entry.id) === row) world.targets.delete(row.entry.id);
}

/** Proofs and samples are dated by a clock that may have stood still. */
export function forgetAges(world: World, byMs: Millis): void {
  world.epoch += 1;
  world.jumpedAt = world.clock.now();
  for (const group of world.groups.values()) {
    group.samples.length = 0;
    group.primaryProvenAt = undefined;
    group.reasonSince = undefined;
    group.expected = undefined;
  }
  for (const target of world.targets.values()) target.failingSince = undefined;
  world.fleet.peers.clear();
  world.sides.log({ type: 'time_jumped', byMs: Math.round(byMs) });
}

/** True when the list shows a target of every group that a route leads to. */
export function coversRoutes(world: World): boolean {
  for (const route of world.config?.routes.values() ?? []) {
    const group = world.groups.get(route.group);
    if (group?.targets.size === 0) return false;
  }
  return true;
}

import type { GroupId, InstanceId, Millis, TargetId } from '@rosedeck/shared';
import type {
  GroupLoads,
  GroupLoadTable,
  LoadRow,
  PeerReport,
  TargetLoad,
  TargetLoads,
} from './peerReport';
import { isSampler, isScarce } from './samplers';
import type { GroupRow, World } from './tables';

/** Loads older than this no longer count; active daemons report theirs more than once a second. */
const MAX_AGE_MS: Millis = 2_500;

/** Creates an empty table. */
export function createGroupLoads(): GroupLoadTable {
  return { byDaemon: new Map(), byDomain: new Map(), own: [] };
}

/** This daemon's loads at the targets of a group. */
export function ownLoads(group: GroupRow): TargetLoads {
  const loads: [TargetId, number, number][] = [];
  for (const target of group.targets.values()) {
    const { size } = target.connections;
    if (size > 0)
      loads.push([target.listed.id, size, Math.round(target.smoothedInFlight * 10) / 10]);
  }
  return loads;
}

/** Records the loads that another daemon of this failure domain has reported to the sampler. */
export function recordDaemonLoads(
  world: World,
  group: GroupRow,
  daemon: InstanceId,
  loads: TargetLoads,
): void {
  group.loads.byDaemon.set(daemon, { at: world.clock.now(), loads });
}

/** Records the sums of another failure domain, which its samplers put into their reports. */
export function recordDomainLoads(world: World, report: PeerReport): void {
  if (report.groupLoads.length === 0) return;
  const sender = world.fleet.listed.find(({ name }) => name === report.name);
  if (!sender || sender.failureDomain === world.self.failureDomain) return;
  const at = world.clock.now();
  for (const { group, loads } of report.groupLoads)
    world.groups.get(group)?.loads.byDomain.set(sender.failureDomain, { at, loads });
}

/** Records the sums of all daemons from the sampler's reply. */
export function recordTotals(world: World, totals: readonly GroupLoads[]): void {
  const at = world.clock.now();
  for (const { group, loads } of totals) {
    const table = world.groups.get(group)?.loads;
    if (table) table.totals = { at, loads };
  }
}

/** Sums of this failure domain at the groups that this daemon samples, for the other samplers. */
export function listDomainLoads(world: World): GroupLoads[] {
  return sampledGroups(world).map((group) => ({
    group: group.id,
    loads: sumLoads([ownLoads(group), ...freshLoads(world, group.loads.byDaemon)]),
  }));
}

/** Sums of all daemons at a group's targets, as the sampler knows them. */
export function totalLoads(world: World, id: GroupId): GroupLoads[] {
  const group = world.groups.get(id);
  if (!group || !isScarce(world, group) || !isSampler(world, group)) return [];
  return [{ group: id, loads: sumLoads([ownLoads(group), ...othersAtSampler(world, group)]) }];
}

/**
 * Load of the other daemons at a target; undefined without a recent sum. Load pattern: hundreds of
 * daemons with less than a statement a second at each target, so that the loads of a few of them,
 * scaled up, say little about the whole.
 */
export function loadOfOthers(
  world: World,
  group: GroupRow,
  target: TargetId,
  field: keyof TargetLoad,
): number | undefined {
  if (isSampler(world, group))
    return findLoad(sumLoads(othersAtSampler(world, group)), target, field);
  const { totals, own } = group.loads;
  if (!totals || world.clock.now() - totals.at > MAX_AGE_MS) return undefined;
  return Math.max(0, findLoad(totals.loads, target, field) - findLoad(own, target, field));
}

function sampledGroups(world: World): GroupRow[] {
  return [...world.groups.values()].filter(
    (group) => isScarce(world, group) && isSampler(world, group),
  );
}

function othersAtSampler(world: World, group: GroupRow): TargetLoads[] {
  const { byDaemon, byDomain } = group.loads;
  return [...freshLoads(world, byDaemon), ...freshLoads(world, byDomain)];
}

/** Loads that are recent enough; older rows are removed. */
function freshLoads<Key>(world: World, rows: Map<Key, LoadRow>): TargetLoads[] {
  const now = world.clock.now();
  const fresh: TargetLoads[] = [];
  for (const [key, row] of rows) {
    if (now - row.at > MAX_AGE_MS) rows.delete(key);
    else fresh.push(row.loads);
  }
  return fresh;
}

function sumLoads(parts: readonly TargetLoads[]): TargetLoads {
  const sums = new Map<TargetId, [TargetId, number, number]>();
  for (const part of parts) {
    for (const [target, connections, inFlight] of part) {
      const sum = sums.get(target) ?? [target, 0, 0];
      sum[1] += connections;
      sum[2] += inFlight;
      sums.set(target, sum);
    }
  }
  return [...sums.values()];
}

function findLoad(loads: TargetLoads, target: TargetId, field: keyof TargetLoad): number {
  const found = loads.find(([id]) => id === target);
  if (!found) return 0;
  return field === 'connections' ? found[1] : found[2];
}

import type { GroupId, Millis, TargetId } from '@rosedeck/shared';
import { confirmedVersion, listLeaderships } from './fencing';
import { listDomainLoads, ownLoads } from './groupLoads';
import type { PeerReport } from './peerReport';
import { isScarce } from './samplers';
import type { World } from './tables';

/** Creates this daemon's report for the others; `view` and `storeAgeMs` are those of its view. */
export function createReport(world: World, view: number, storeAgeMs: Millis): PeerReport {
  const now = world.clock.now();
  const opinions: { group: GroupId; target: TargetId; reachable: boolean }[] = [];
  for (const group of world.groups.values()) {
    const target = group.primary === undefined ? undefined : group.targets.get(group.primary);
    if (!target) continue;
    const reachable = target.failingSince === undefined;
    // Without recent proof of the primary this daemon has no opinion.
    const provenMs = now - (group.primaryProvenAt ?? -Infinity);
    if (reachable && provenMs > world.settings.opinionMaxAgeMs) continue;
    opinions.push({ group: group.id, target: target.listed.id, reachable });
  }
  const loads = [...world.groups.values()]
    .filter((group) => !isScarce(world, group))
    .flatMap(ownLoads);
  return {
    name: world.self.name,
    config: world.config?.version ?? 0,
    view,
    storeAgeMs: Math.round(storeAgeMs),
    opinions,
    loads,
    groupLoads: listDomainLoads(world),
    leaderships: listLeaderships(world),
    confirms: confirmedVersion(world),
  };
}

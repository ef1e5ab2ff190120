import murmurhash from 'murmurhash';
import type { FailureDomain, GroupId, InstanceId } from '@rosedeck/shared';
import { daemonCount } from './fleet';
import type { ListedDaemon } from './peerReport';
import type { GroupRow, TargetRow, World } from './tables';

/** True when a target has too few connections for one from each daemon. */
export function isScarce(world: World, group: GroupRow): boolean {
  return group.connectionLimit * world.settings.connectionPlanShare < daemonCount(world);
}

/**
 * The daemon of each failure domain that samples a group's primary for the others, by rendezvous
 * hashing. Where there are more daemons than connections, each failure domain then needs one
 * connection for samples instead of one per daemon.
 */
export function samplersOf(
  daemons: readonly ListedDaemon[],
  group: GroupId,
): ReadonlyMap<FailureDomain, InstanceId> {
  const best = new Map<FailureDomain, { readonly name: InstanceId; readonly hash: number }>();
  for (const { name, failureDomain } of daemons) {
    const hash = murmurhash.v3(`${group}/${name}`);
    if (hash > (best.get(failureDomain)?.hash ?? -1)) best.set(failureDomain, { name, hash });
  }
  return new Map([...best].map(([failureDomain, { name }]) => [failureDomain, name]));
}

/** True when this daemon samples the group for its failure domain. */
export function isSampler(world: World, group: GroupRow): boolean {
  const sampler = findSampler(world, group.id);
  return sampler === undefined || sampler === world.self.name;
}

/**
 * True when this daemon keeps a connection of its own to a target, whether it is used or not. Where
 * connections are scarce only samplers do, and to the primary alone.
 */
export function keepsOwnConnection(world: World, target: TargetRow): boolean {
  const { group, listed } = target;
  return !isScarce(world, group) || (group.primary === listed.id && isSampler(world, group));
}

/** The daemon that samples the group for this daemon's failure domain. */
export function findSampler(world: World, group: GroupId): InstanceId | undefined {
  return findSamplers(world, group).get(world.self.failureDomain);
}

/** As `samplersOf`, worked out once for each directory and group. */
function findSamplers(world: World, group: GroupId): ReadonlyMap<FailureDomain, InstanceId> {
  const { listed, samplers } = world.fleet;
  const known = samplers.get(group);
  if (known) return known;
  const found = samplersOf(listed, group);
  samplers.set(group, found);
  return found;
}

/** The samplers of a group in the other failure domains. */
export function otherSamplers(world: World, group: GroupRow): InstanceId[] {
  return [...findSamplers(world, group.id).values()].filter((name) => name !== world.self.name);
}

/**
 * Daemons that need this daemon's opinions of primaries. Load pattern: a network partition isolates a
 * primary from some of hundreds of daemons, and each gets reports of a few others only. The samplers
 * of a group have connections to its primary and decide about it together.
 */
export function opinionReceivers(world: World): ReadonlySet<InstanceId> {
  const receivers = new Set<InstanceId>();
  for (const group of world.groups.values()) {
    if (!isScarce(world, group) || !isSampler(world, group)) continue;
    for (const name of otherSamplers(world, group)) receivers.add(name);
  }
  return receivers;
}

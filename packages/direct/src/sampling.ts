import murmurhash from 'murmurhash';
import type { GroupId, InstanceId, Millis } from '@rosedeck/shared';
import { daemonCount } from './fleet';
import type { ListedDaemon, PeerSample } from './peerReport';
import { addSample } from './sampleHistory';
import type { GroupRow, World } from './tables';

/** Interval of the requests for samples: keeps the newest one at most about a second old. */
const REQUEST_INTERVAL_MS: Millis = 700;

/** No samples are requested of a group that has had no requests for this long. */
const MAX_IDLE_MS: Millis = 3_000;

/** True when a target has too few connections for one from each daemon. */
export function isScarce(world: World, group: GroupRow): boolean {
  return group.connectionLimit * world.settings.connectionPlanShare < daemonCount(world);
}

/**
 * The daemon of a failure domain that samples a group's primary for the others, by rendezvous
 * hashing. Where there are more daemons than connections, each failure domain then needs one
 * connection for samples instead of one per daemon.
 */
export function samplerOf(
  daemons: readonly ListedDaemon[],
  group: GroupId,
  failureDomain: string,
): InstanceId | undefined {
  let best: InstanceId | undefined;
  let bestHash = -1;
  for (const daemon of daemons) {
    if (daemon.failureDomain !== failureDomain) continue;
    const hash = murmurhash.v3(`${group}/${daemon.name}`);
    if (hash <= bestHash) continue;
    best = daemon.name;
    bestHash = hash;
  }
  return best;
}

/** True when this daemon samples the group for its failure domain. */
export function isSampler(world: World, group: GroupRow): boolean {
  const sampler = findSampler(world, group.id);
  return sampler === undefined || sampler === world.self.name;
}

/** As `samplerOf` for this daemon's failure domain, worked out once per directory and group. */
function findSampler(world: World, group: GroupId): InstanceId | undefined {
  const { listed, samplers } = world.fleet;
  if (!samplers.has(group)) samplers.set(group, samplerOf(listed, group, world.self.failureDomain));
  return samplers.get(group);
}

/** Requests samples of the groups that this daemon does not sample itself. */
export function runSampling(world: World, now: Millis): void {
  const requests = new Map<InstanceId, GroupId[]>();
  for (const group of world.groups.values()) {
    if (
      now - group.samplesRequestedAt < REQUEST_INTERVAL_MS ||
      now - group.lastRequestAt > MAX_IDLE_MS
    )
      continue;
    if (!isScarce(world, group)) continue;
    const sampler = findSampler(world, group.id);
    if (sampler === undefined || sampler === world.self.name) continue;
    group.samplesRequestedAt = now;
    requests.set(sampler, [...(requests.get(sampler) ?? []), group.id]);
  }
  for (const [sampler, groups] of requests) world.io.requestSamples(sampler, groups, now);
}

/** Collects the newest samples of the groups, to answer another daemon. */
export function collectSamples(world: World, groups: readonly GroupId[]): PeerSample[] {
  const now = world.clock.now();
  return groups.flatMap((id) => {
    const group = world.groups.get(id);
    const sample = group?.samples.at(-1);
    if (!group?.primary || !sample) return [];
    const ageMs = now - sample.sentAt;
    return [{ group: id, primary: group.primary, position: sample.position, ageMs }];
  });
}

/**
 * Applies samples that were requested at `askedAt`. The sampler replied no earlier than that, so a
 * sample is never dated later than it was taken.
 */
export function applyPeerSamples(
  world: World,
  samples: readonly PeerSample[],
  askedAt: Millis,
): void {
  if (askedAt <= world.timeJumpedAt) return;
  for (const sample of samples) {
    const group = world.groups.get(sample.group);
    if (!group || sample.position.term < group.term || sample.ageMs < 0) continue;
    addSample(group.samples, { position: sample.position, sentAt: askedAt - sample.ageMs });
    if (sample.position.term > group.term || group.primary === undefined) {
      group.term = sample.position.term;
      if (group.targets.has(sample.primary)) group.primary = sample.primary;
    }
    world.groupsToDispatch.add(group);
  }
}

import type { GroupId, InstanceId, Millis } from '@rosedeck/shared';
import { daemonCount } from './fleet';
import type { ListedDaemon, PeerSample } from './peerReport';
import { addSample } from './sampleHistory';
import type { GroupRow, World } from './tables';

/** Time between questions for samples: with its own age, an answer stays well within a second. */
const REQUEST_INTERVAL_MS: Millis = 700;

/** A group without requests for this long is not asked about. */
const MAX_IDLE_MS: Millis = 3_000;

/** True when the targets' connections do not suffice for one of each daemon. */
export function isScarce(world: World, group: GroupRow): boolean {
  return group.connectionLimit * world.settings.connectionPlanShare < daemonCount(world);
}

/**
 * The daemon of a failure domain that samples a group's primary for the others. Answers more
 * daemons than connections: each domain needs one connection for it, not one of each daemon.
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
    const hash = fnv1aHash(`${group}/${daemon.name}`);
    if (hash <= bestHash) continue;
    best = daemon.name;
    bestHash = hash;
  }
  return best;
}

/** True when this daemon samples the group for its failure domain. */
export function isSampler(world: World, group: GroupRow): boolean {
  const { name, failureDomain } = world.self;
  const sampler = samplerOf(world.fleet.listed, group.id, failureDomain);
  return sampler === undefined || sampler === name;
}

/** Asks the samplers for what this daemon does not sample itself. */
export function runSampling(world: World, now: Millis): void {
  const requests = new Map<InstanceId, GroupId[]>();
  for (const group of world.groups.values()) {
    if (
      now - group.samplesRequestedAt < REQUEST_INTERVAL_MS ||
      now - group.lastRequestAt > MAX_IDLE_MS
    )
      continue;
    if (!isScarce(world, group)) continue;
    const sampler = samplerOf(world.fleet.listed, group.id, world.self.failureDomain);
    if (sampler === undefined || sampler === world.self.name) continue;
    group.samplesRequestedAt = now;
    requests.set(sampler, [...(requests.get(sampler) ?? []), group.id]);
  }
  for (const [sampler, groups] of requests) world.io.requestSamples(sampler, groups, now);
}

/** Newest samples of the groups, for a daemon that asks. */
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
 * Takes in samples that were asked for at `askedAt`. The sampler cannot have answered before that
 * time, so that a sample is dated no later than it was taken.
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

/** FNV-1a over UTF-16 units. */
export function fnv1aHash(text: string): number {
  let hash = 0x811c9dc5;
  for (let at = 0; at < text.length; at += 1)
    hash = Math.imul(hash ^ text.charCodeAt(at), 0x01000193);
  return hash >>> 0;
}

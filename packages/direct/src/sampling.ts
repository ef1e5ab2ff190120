import type { GroupId, InstanceId, Millis } from '@rosedeck/shared';
import { ownLoads, recordDaemonLoads, totalLoads } from './groupLoads';
import type { GroupLoads, PeerSample, SampleReply } from './peerReport';
import { adoptPrimary } from './primaryTracking';
import { recordSample } from './readBounds';
import { findSampler, isScarce } from './samplers';
import type { GroupRow, World } from './tables';

/** Interval of the requests for samples: keeps the newest one at most about a second old. */
const REQUEST_INTERVAL_MS: Millis = 700;

/** Interval while the primary is not known for sure; the sampler finds a new one by probes. */
const UNSURE_INTERVAL_MS: Millis = 200;

/** A primary that no proof or sample has shown for this long may have been replaced. */
const UNSURE_AGE_MS: Millis = 1_500;

/** No samples are requested of a group that has had no requests for this long. */
const MAX_IDLE_MS: Millis = 3_000;

/** Requests samples of the groups that this daemon does not sample itself. */
export function runSampling(world: World, now: Millis): void {
  const requests = new Map<InstanceId, GroupLoads[]>();
  for (const group of world.groups.values()) {
    if (now - group.lastRequestAt > MAX_IDLE_MS) continue;
    const intervalMs = isUnsure(group, now) ? UNSURE_INTERVAL_MS : REQUEST_INTERVAL_MS;
    if (now - group.samplesRequestedAt < intervalMs) continue;
    if (!isScarce(world, group)) continue;
    const sampler = findSampler(world, group.id);
    if (sampler === undefined || sampler === world.self.name) continue;
    group.samplesRequestedAt = now;
    group.loads.own = ownLoads(group);
    const request = { group: group.id, loads: group.loads.own };
    requests.set(sampler, [...(requests.get(sampler) ?? []), request]);
  }
  for (const [sampler, groups] of requests)
    world.io.requestSamples(sampler, { askedAt: now, groups });
}

/** True when the group's primary may have been replaced, or is not known. */
function isUnsure(group: GroupRow, now: Millis): boolean {
  const primary = group.primary === undefined ? undefined : group.targets.get(group.primary);
  if (!primary || primary.failingSince !== undefined || group.expectedPrimary) return true;
  const seenAt = Math.max(group.primaryProvenAt ?? -Infinity, group.primaryLearnedAt ?? -Infinity);
  return now - seenAt > UNSURE_AGE_MS;
}

/** Records the loads of another daemon and collects the reply to its request. */
export function replyToRequest(
  world: World,
  from: InstanceId,
  groups: readonly GroupLoads[],
): SampleReply {
  for (const { group: id, loads } of groups) {
    const group = world.groups.get(id);
    if (group) recordDaemonLoads(world, group, from, loads);
  }
  const ids = groups.map(({ group }) => group);
  return {
    samples: collectSamples(world, ids),
    totals: ids.flatMap((id) => totalLoads(world, id)),
  };
}

function collectSamples(world: World, groups: readonly GroupId[]): PeerSample[] {
  const now = world.clock.now();
  return groups.flatMap((id) => {
    const group = world.groups.get(id);
    return group ? collectGroupSamples(group, now) : [];
  });
}

/** The newest sample of a group, and the newest proof of its primary if that one told no position. */
function collectGroupSamples(group: GroupRow, now: Millis): PeerSample[] {
  const { id, leaderTerm, primaryProvenAt: provenAt } = group;
  const sample = group.samples.at(-1);
  const primary = provenAt === undefined ? undefined : group.primary;
  const told: PeerSample[] = [];
  if (sample) {
    const ageMs = now - sample.sentAt;
    told.push({ group: id, primary, position: sample.position, ageMs, leaderTerm });
  }
  if (provenAt !== undefined && provenAt > (sample?.sentAt ?? -Infinity))
    told.push({ group: id, primary, ageMs: now - provenAt, leaderTerm });
  return told;
}

/**
 * Applies samples that were requested of `sampler` at `askedAt`. The sampler replied no earlier than that, so a
 * sample is never dated later than it was taken.
 */
export function applyPeerSamples(
  world: World,
  samples: readonly PeerSample[],
  askedAt: Millis,
  sampler: InstanceId,
): void {
  if (askedAt <= world.timeJumpedAt) return;
  for (const sample of samples) {
    const group = world.groups.get(sample.group);
    if (!group || sample.ageMs < 0) continue;
    const sampledAt = askedAt - sample.ageMs;
    const target = sample.primary === undefined ? undefined : group.targets.get(sample.primary);
    if (target) adoptPrimary(world, target, sample, sampledAt);
    const { position } = sample;
    if (!position || position.term < group.term) continue;
    recordSample(world, group, {
      position,
      sentAt: sampledAt,
      takenBy: sampler,
      of: sample.primary,
    });
    world.groupsToDispatch.add(group);
  }
}

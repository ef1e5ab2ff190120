import murmurhash from 'murmurhash';
import type { FailureDomain, GroupId, InstanceId, Millis, RequestId } from '@rosedeck/shared';
import type { Operation } from './messages';
import type { OwnersCache, PeerRow } from './tables';
import type { World } from './world';

/** An instance that may own groups. */
export interface OwnerCandidate {
  readonly id: InstanceId;
  readonly failureDomain: FailureDomain;
}

interface ScoredCandidate extends OwnerCandidate {
  readonly score: number;
}

/** Ranks instances for a group by rendezvous hashing, the best of each failure domain first. */
export function rankOwners(group: GroupId, candidates: readonly OwnerCandidate[]): InstanceId[] {
  const scored = candidates.map((one): ScoredCandidate => ({
    ...one,
    score: murmurhash.v3(`${group}/${one.id}`),
  }));
  scored.sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1));
  const ranked: InstanceId[] = [];
  const usedDomains = new Set<FailureDomain>();
  const remaining: ScoredCandidate[] = [];
  for (const candidate of scored) {
    if (usedDomains.has(candidate.failureDomain)) {
      remaining.push(candidate);
      continue;
    }
    usedDomains.add(candidate.failureDomain);
    ranked.push(candidate.id);
  }
  return [...ranked, ...remaining.map((one) => one.id)];
}

/**
 * Instances that may own groups now: listed peers neither leaving nor suspected, and this daemon
 * unless it drains while such a peer exists.
 */
export function liveCandidates(world: World, now: Millis): OwnerCandidate[] {
  const live: OwnerCandidate[] = [];
  for (const peer of world.peers.values()) {
    if (peer.id === world.self) continue;
    if (isUsablePeer(peer, now)) live.push(peer);
  }
  const isSelfUsable = !world.draining || live.length === 0;
  if (isSelfUsable) live.push({ id: world.self, failureDomain: world.failureDomain });
  return live;
}

/** True when a peer is neither leaving nor suspected. */
function isUsablePeer(peer: PeerRow, now: Millis): boolean {
  return !peer.leaving && peer.leavingUntil <= now && peer.suspectedUntil <= now;
}

/** Creates an empty cache. */
export function createOwnersCache(): OwnersCache {
  return { owners: new Map(), validUntil: Infinity };
}

/** Clears the cache of owners; called whenever peers, suspicions or this daemon's draining change. */
export function invalidateOwners(world: World): void {
  world.ownersCache.owners.clear();
  world.ownersCache.validUntil = Infinity;
}

/** The owners of a group by this daemon's list and suspicions, best first. */
export function ownersOf(world: World, group: GroupId): readonly InstanceId[] {
  const now = world.clock.now();
  const cache = world.ownersCache;
  if (now >= cache.validUntil) invalidateOwners(world);
  const cached = cache.owners.get(group);
  if (cached) return cached;
  const ranked = rankOwners(group, liveCandidates(world, now));
  const owners = ranked.slice(0, world.settings.ownersPerGroup);
  cache.owners.set(group, owners);
  for (const peer of world.peers.values()) {
    for (const endsAt of [peer.suspectedUntil, peer.leavingUntil]) {
      if (endsAt > now) cache.validUntil = Math.min(cache.validUntil, endsAt);
    }
  }
  return owners;
}

/** True when this daemon is an owner of the group by its own list and suspicions. */
export function isOwner(world: World, group: GroupId): boolean {
  return ownersOf(world, group).includes(world.self);
}

/**
 * Chooses the owner of a new request. A write is assigned by its id, so that a repeat through
 * another entry reaches the same owner; other requests stay here when this daemon is an owner.
 */
export function pickOwner(
  world: World,
  group: GroupId,
  op: Operation,
  request: RequestId,
): InstanceId {
  const owners = ownersOf(world, group);
  if (owners.length < 2) return owners[0] ?? world.self;
  if (op !== 'write' && owners.includes(world.self)) return world.self;
  return owners[murmurhash.v3(request) % owners.length] ?? world.self;
}

/** Number of owners that share the connections of a group; suspicions do not change it, so shares stay. */
export function ownerCount(world: World): number {
  const { ownersPerGroup } = world.settings;
  if (ownersPerGroup <= 1) return 1;
  const unlisted = world.peers.has(world.self) ? 0 : 1;
  return Math.min(ownersPerGroup, world.peers.size + unlisted);
}

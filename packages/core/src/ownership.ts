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

interface Scored extends OwnerCandidate {
  readonly score: number;
}

/** Orders instances for a group by rendezvous hashing; each next one prefers a failure domain not used yet. */
export function rankOwners(group: GroupId, candidates: readonly OwnerCandidate[]): InstanceId[] {
  const scored = candidates.map((one): Scored => ({
    ...one,
    score: murmurhash.v3(`${group}/${one.id}`),
  }));
  scored.sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1));
  const ranked: InstanceId[] = [];
  const used = new Set<FailureDomain>();
  const rest: Scored[] = [];
  for (const one of scored) {
    if (used.has(one.failureDomain)) {
      rest.push(one);
      continue;
    }
    used.add(one.failureDomain);
    ranked.push(one.id);
  }
  return [...ranked, ...rest.map((one) => one.id)];
}

/** Instances that this daemon holds to be live: itself, and listed peers neither leaving nor suspected. */
export function liveCandidates(world: World, now: Millis): OwnerCandidate[] {
  const live: OwnerCandidate[] = [];
  for (const peer of world.peers.values()) {
    if (peer.id === world.self) continue;
    if (isUsablePeer(peer, now)) live.push(peer);
  }
  const selfUsable = !world.draining || live.length === 0;
  if (selfUsable) live.push({ id: world.self, failureDomain: world.failureDomain });
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

/** The owners of a group as this daemon sees them, best first. */
export function ownersOf(world: World, group: GroupId): readonly InstanceId[] {
  const now = world.clock.now();
  const cache = world.ownersCache;
  if (now >= cache.validUntil) invalidateOwners(world);
  const known = cache.owners.get(group);
  if (known) return known;
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

/** True when this daemon holds itself to be an owner of the group. */
export function isOwner(world: World, group: GroupId): boolean {
  return ownersOf(world, group).includes(world.self);
}

/**
 * The owner that a new request goes to. Writes go by their id, so that a repeat through another
 * entry meets the first; anything else stays on this daemon when it is an owner.
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

/** Owners that share a group's connections; suspicion does not change it, so that shares stay put. */
export function ownerCount(world: World): number {
  const { ownersPerGroup } = world.settings;
  if (ownersPerGroup <= 1) return 1;
  const unlisted = world.peers.has(world.self) ? 0 : 1;
  return Math.min(ownersPerGroup, world.peers.size + unlisted);
}

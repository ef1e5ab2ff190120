import { isConfigStale, mayVote, ownersOf } from '@rosedeck/core';
import type { GroupRow, World } from '@rosedeck/core';

/** Status of a daemon; body of `GET /status`. */
export interface DaemonStatus {
  readonly id: string;
  readonly failureDomain: string;
  readonly draining: boolean;
  readonly callers: number;
  readonly requests: number;
  readonly transactions: number;
  readonly config: {
    readonly revision: number;
    readonly fresh: boolean;
    /** True when this daemon's vote as a confirmer counts while the store is unavailable. */
    readonly mayVote: boolean;
    /** Time since the last confirmation; absent before the first one. */
    readonly confirmedAgoMs?: number;
    readonly confirmers: readonly string[];
  };
  readonly peers: readonly PeerStatus[];
  readonly groups: readonly GroupStatus[];
}

/** State of a peer by this daemon's own observations. */
export interface PeerStatus {
  readonly id: string;
  readonly failureDomain: string;
  readonly state: 'live' | 'leaving' | 'suspected';
}

/** State of a group by this daemon's own observations. */
export interface GroupStatus {
  readonly id: string;
  readonly owners: readonly string[];
  readonly primary?: string;
  readonly term: number;
  readonly queued: number;
  readonly connections: number;
  readonly leavingTargets: readonly string[];
}

/** Reads the status of a daemon from its tables; `callers` counts the open caller connections. */
export function describeDaemon(world: World, callers: number): DaemonStatus {
  const now = world.clock.now();
  const { config } = world;
  const ageMs = now - config.confirmedAt;
  return {
    id: world.self,
    failureDomain: world.failureDomain,
    draining: world.draining,
    callers,
    requests: world.requests.size,
    transactions: world.transactions.size,
    config: {
      revision: config.revision,
      fresh: !isConfigStale(world, now),
      mayVote: mayVote(world),
      confirmedAgoMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
      confirmers: config.confirmers,
    },
    peers: [...world.peers.values()].map((peer) => ({
      id: peer.id,
      failureDomain: peer.failureDomain,
      state: getPeerState(peer, now),
    })),
    groups: [...world.groups.values()].map((group) => describeGroup(world, group)),
  };
}

function getPeerState(
  peer: { leaving: boolean; leavingUntil: number; suspectedUntil: number },
  now: number,
): PeerStatus['state'] {
  if (peer.leaving || peer.leavingUntil > now) return 'leaving';
  return peer.suspectedUntil > now ? 'suspected' : 'live';
}

function describeGroup(world: World, group: GroupRow): GroupStatus {
  const targets = group.spec.targets.flatMap(({ id }) => world.targets.get(id) ?? []);
  return {
    id: group.spec.id,
    owners: ownersOf(world, group.spec.id),
    primary: group.primary,
    term: group.term,
    queued: group.queue.length,
    connections: targets.reduce((sum, target) => sum + target.connections.size, 0),
    leavingTargets: targets.filter((target) => target.leaving).map((target) => target.spec.id),
  };
}

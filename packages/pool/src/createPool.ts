import type { Clock } from '@rosedeck/shared';
import { closeSurplus, listOverdue } from './connectionSet';
import { dispatch, takeBack } from './grants';
import type { LinkId, PooledId } from './leases';
import type { PoolLogEvent } from './logEvents';
import { giveUp, loseConnection, recordCleared, recordOpened } from './operations';
import { recordOperation, recordReply } from './operations';
import type { Pool, PoolIo, PoolStats, TargetPoolStats } from './pool';
import { endLease, handleRequest, refuseAll, reviewQueue } from './requests';
import { DEFAULT_POOL_SETTINGS } from './settings';
import type { PoolSettings } from './settings';
import type { ConnectionRow, LeaseRow, TargetRow, World } from './tables';
import { applyTargets, closeUnused, forgetIfEmpty } from './targetList';

/** What a pool is built from. */
export interface PoolOptions {
  readonly clock: Clock;
  readonly io: PoolIo;
  /** Replaces some of the defaults. */
  readonly settings?: Partial<PoolSettings>;
  readonly log?: (event: PoolLogEvent) => void;
  /** Uniform numbers in [0, 1). */
  readonly random: () => number;
  /** Weight of a tenant's share; 1 for all unless given. */
  readonly weightOf?: (tenant: string | undefined) => number;
}

/** Creates a pool without targets. It has no timers: `tick` is to be called about every 25 ms. */
export function createPool(options: PoolOptions): Pool {
  const world = createWorld(options);
  const now = (): number => world.clock.now();

  const settle = (target: TargetRow): void => {
    dispatch(world, target, now());
    forgetIfEmpty(world, target);
  };
  const withConnection = (id: PooledId, change: (row: ConnectionRow) => void): void => {
    const row = world.connections.get(id);
    if (!row) return;
    change(row);
    settle(row.target);
  };
  const release = (lease: LeaseRow): void => {
    if (lease.state === 'granted') takeBack(world, lease, now());
    else endLease(world, lease);
  };

  return {
    applyTargets: (targets) => {
      applyTargets(world, targets, now());
      for (const target of [...world.targets.values()]) settle(target);
    },
    request: (request) => {
      handleRequest(world, request, now());
      const target = world.targets.get(request.target);
      if (target) settle(target);
    },
    giveBack: (id) => {
      const lease = world.leases.get(id);
      if (!lease) return;
      release(lease);
      settle(lease.target);
    },
    linkLost: (link) => {
      endLink(world, link, release).forEach(settle);
    },
    opened: (id) => {
      withConnection(id, (row) => {
        recordOpened(world, row, now());
      });
    },
    cleared: (id) => {
      withConnection(id, (row) => {
        recordCleared(world, row, now());
      });
    },
    connectionLost: (id, reason) => {
      withConnection(id, (row) => {
        loseConnection(world, row, reason, now());
      });
    },
    operationSent: (id, leavesTraces) => {
      const lease = world.leases.get(id);
      return lease !== undefined && recordOperation(lease, leavesTraces, now());
    },
    replied: (id, reply) => {
      withConnection(id, (row) => {
        recordReply(world, row, reply, now());
      });
    },
    tick: () => {
      for (const target of [...world.targets.values()]) tickTarget(world, target, settle);
    },
    drain: () => {
      if (world.isDraining) return;
      world.isDraining = true;
      world.log({ type: 'pool_drained', leased: world.leased });
      for (const target of world.targets.values()) {
        refuseAll(world, target, 'not_owner', now());
        closeUnused(world, target, now());
      }
    },
    isDrained: () => world.isDraining && world.leased === 0,
    stats: () => readStats(world),
  };
}

function createWorld(options: PoolOptions): World {
  return {
    clock: options.clock,
    io: options.io,
    settings: { ...DEFAULT_POOL_SETTINGS, ...options.settings },
    log: options.log ?? (() => undefined),
    random: options.random,
    weightOf: options.weightOf ?? (() => 1),
    targets: new Map(),
    connections: new Map(),
    leases: new Map(),
    links: new Map(),
    nextConnectionId: 1,
    isDraining: false,
    leased: 0,
    counts: {
      granted: 0,
      refused: { overloaded: 0, unreachable: 0, not_owner: 0 },
      evicted: 0,
      opened: 0,
      waitedMs: 0,
    },
  };
}

/** Ends all leases and requests of a link; returns the targets that they concern. */
function endLink(world: World, link: LinkId, release: (lease: LeaseRow) => void): Set<TargetRow> {
  const leases = [...(world.links.get(link) ?? [])];
  const returned = leases.filter(({ state }) => state === 'granted').length;
  // Requests first, so that no connection that comes back is lent to this link again.
  leases.sort((a, b) => Number(a.state === 'granted') - Number(b.state === 'granted'));
  leases.forEach(release);
  world.log({ type: 'link_lost', link, withdrawn: leases.length - returned, returned });
  return new Set(leases.map(({ target }) => target));
}

function tickTarget(world: World, target: TargetRow, settle: (target: TargetRow) => void): void {
  if (target.connections.size === 0 && target.queue.size() === 0) return;
  const now = world.clock.now();
  closeSurplus(world, target, now);
  for (const row of listOverdue(world, target, now)) giveUp(world, row, now);
  reviewQueue(world, target, now);
  settle(target);
}

function readStats(world: World): PoolStats {
  const targets = new Map<string, TargetPoolStats>();
  let queued = 0;
  for (const target of world.targets.values()) {
    queued += target.queue.size();
    targets.set(target.id, {
      queued: target.queue.size(),
      connections: target.connections.size,
      inFlight: target.inFlight,
      inFlightLimit: target.limit.value(),
    });
  }
  const { granted, refused, evicted, opened, waitedMs } = world.counts;
  return {
    connections: world.connections.size,
    leased: world.leased,
    queued,
    granted,
    refused: { ...refused },
    evicted,
    opened,
    waitedMs,
    targets,
  };
}

import type {
  ConnectionId,
  DirectEngine,
  LeaseTerms,
  ListedTarget,
  LossReason,
} from '../src/index';

/** Network time in one direction between two daemons. */
const LINK_MS = 1;

/** Time after which the link to an owner that does not reply is given up. */
const LINK_TIMEOUT_MS = 300;

/** Usual time for which a lease is held; for the expected wait. */
const HOLD_MS = 25;

/** How a fake pool owner behaves. */
export interface FakePool {
  /** `dead` closes links at once; `frozen` never answers. */
  readonly states: Map<string, 'dead' | 'frozen'>;
  /** Leases granted at a time for each target, by each owner; 0: requests wait. */
  limit: number;
  /** Time that each grant is delayed. */
  grantMs: number;
  /** Refuses every request with this reason, by target. */
  readonly refusals: Map<string, LossReason>;
  /** Loads told with each grant or refusal, by target; absent: the state of the fake pool. */
  readonly toldWaits: Map<string, number>;
  /** Time left to start by which a request is refused; decides which requests are refused at once. */
  startInMs: (terms: LeaseTerms) => number;
  /** False: the loss of an owner is not told, as with a fixed owner that has no successor. */
  tellsLosses: boolean;
  readonly requests: LeaseRecord[];
  request: (id: ConnectionId, target: ListedTarget, owner: string, terms: LeaseTerms) => void;
  /** False for a lease of an owner that passes on neither operations nor replies. */
  carries: (id: ConnectionId) => boolean;
  /** The engine returned or withdrew a lease. */
  close: (id: ConnectionId) => void;
  /** Ends the links to an owner, as when it is killed. */
  kill: (owner: string) => void;
  /** Freezes an owner; its links are given up after a time. */
  freeze: (owner: string) => void;
  /** The owner can be reached again. */
  revive: (owner: string) => void;
  /** Leases that are granted or wait at an owner, or at all. */
  heldAt: (target: string, owner?: string) => number;
}

/** A requested lease. */
export interface LeaseRecord {
  readonly id: ConnectionId;
  readonly target: string;
  readonly owner: string;
  readonly terms: LeaseTerms;
  readonly at: number;
  grantedAt?: number;
}

/** The requests and leases of one target at one owner. */
interface PoolOfTarget {
  readonly waiting: Set<LeaseRecord>;
  readonly granted: Set<LeaseRecord>;
}

/** What a fake pool needs of its rig. */
export interface FakePoolInputs {
  readonly schedule: (ms: number, action: () => void) => void;
  readonly now: () => number;
  readonly engine: () => DirectEngine;
  /** Opens the pooled connection of a lease at its target. */
  readonly open: (id: ConnectionId, target: string) => void;
}

/** Creates pool owners that grant leases in the order of their terms, up to a limit. */
export function createFakePool({ schedule, now, engine, open }: FakePoolInputs): FakePool {
  const active = new Map<ConnectionId, LeaseRecord>();
  const pools = new Map<string, PoolOfTarget>();
  const poolOf = ({ target, owner }: LeaseRecord): PoolOfTarget => {
    const key = `${owner} ${target}`;
    const known = pools.get(key) ?? { waiting: new Set(), granted: new Set() };
    pools.set(key, known);
    return known;
  };
  const remove = (lease: LeaseRecord): boolean => {
    poolOf(lease).waiting.delete(lease);
    poolOf(lease).granted.delete(lease);
    return active.delete(lease.id);
  };
  /** Waiting requests in order: those that can be on time first, then by key. */
  const sortWaiting = ({ waiting }: PoolOfTarget): LeaseRecord[] => {
    const late = (one: LeaseRecord): number => Number(one.at + one.terms.onTimeInMs < now());
    const key = (one: LeaseRecord): number => one.at + one.terms.keyInMs;
    return [...waiting].toSorted((a, b) => late(a) - late(b) || key(a) - key(b));
  };
  const waitAt = (index: number): number => ((index + 1) * HOLD_MS) / Math.max(1, pool.limit);
  const tellLoad = (lease: LeaseRecord): void => {
    const queued = poolOf(lease).waiting.size;
    const told = pool.toldWaits.get(lease.target);
    const waitMs = told ?? (queued === 0 ? 0 : waitAt(queued - 1));
    engine().poolLoadSeen(lease.target, { queued: waitMs === 0 ? 0 : Math.max(1, queued), waitMs });
  };
  const end = (lease: LeaseRecord, reason: LossReason): void => {
    poolOf(lease).waiting.delete(lease);
    schedule(LINK_MS, () => {
      if (!remove(lease)) return;
      if (reason !== 'owner_lost') tellLoad(lease);
      engine().connectionLost(lease.id, reason);
    });
  };
  const grant = (lease: LeaseRecord): void => {
    const { waiting, granted } = poolOf(lease);
    waiting.delete(lease);
    granted.add(lease);
    schedule(LINK_MS + pool.grantMs, () => {
      if (!active.has(lease.id) || pool.states.has(lease.owner)) return;
      lease.grantedAt = now();
      open(lease.id, lease.target);
      tellLoad(lease);
      engine().connectionOpened(lease.id);
    });
  };
  const serve = (like: LeaseRecord): void => {
    if (pool.states.has(like.owner)) return;
    const own = poolOf(like);
    const free = Math.max(0, pool.limit - own.granted.size);
    sortWaiting(own).forEach((lease, index) => {
      const startsInMs = index < free ? 0 : waitAt(index - free);
      if (now() + startsInMs > lease.at + pool.startInMs(lease.terms)) end(lease, 'overloaded');
      else if (own.granted.size < pool.limit) grant(lease);
    });
  };
  const loseOwner = (owner: string): void => {
    if (!pool.tellsLosses) return;
    engine().poolLinkChanged(owner, false);
    for (const lease of [...active.values()]) {
      if (lease.owner !== owner) continue;
      remove(lease);
      engine().connectionLost(lease.id, 'owner_lost');
    }
  };
  const pool: FakePool = {
    states: new Map(),
    limit: 4,
    grantMs: 0,
    refusals: new Map(),
    toldWaits: new Map(),
    startInMs: (terms) => terms.deadlineInMs,
    tellsLosses: true,
    requests: [],
    request: (id, target, owner, terms) => {
      const lease: LeaseRecord = {
        id,
        target: target.id,
        owner,
        terms,
        at: now(),
      };
      pool.requests.push(lease);
      active.set(id, lease);
      const state = pool.states.get(owner);
      if (state !== undefined) {
        if (!pool.tellsLosses) return;
        schedule(state === 'dead' ? LINK_MS : LINK_TIMEOUT_MS, () => {
          if (remove(lease)) engine().connectionLost(id, 'owner_lost');
        });
        return;
      }
      schedule(LINK_MS, () => {
        if (!active.has(id)) return;
        const refusal = pool.refusals.get(target.id);
        if (refusal !== undefined) {
          end(lease, refusal);
          return;
        }
        poolOf(lease).waiting.add(lease);
        serve(lease);
      });
    },
    carries: (id) => {
      const lease = active.get(id);
      return !lease || !pool.states.has(lease.owner);
    },
    close: (id) => {
      const lease = active.get(id);
      if (!lease) return;
      schedule(LINK_MS, () => {
        if (remove(lease)) serve(lease);
      });
    },
    kill: (owner) => {
      pool.states.set(owner, 'dead');
      loseOwner(owner);
    },
    freeze: (owner) => {
      pool.states.set(owner, 'frozen');
      schedule(LINK_TIMEOUT_MS, () => {
        if (pool.states.get(owner) === 'frozen') loseOwner(owner);
      });
    },
    revive: (owner) => {
      pool.states.delete(owner);
    },
    heldAt: (target, owner) =>
      [...active.values()].filter(
        (one) => one.target === target && (owner === undefined || one.owner === owner),
      ).length,
  };
  return pool;
}

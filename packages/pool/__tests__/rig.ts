import { createManualClock } from '@rosedeck/shared';
import type { ManualClock, Millis } from '@rosedeck/shared';
import { createPool } from '../src/index';
import type {
  LeaseId,
  LeaseRequest,
  Pool,
  PooledId,
  PooledLossReason,
  PoolLogEvent,
  PoolOptions,
  RefusalReason,
} from '../src/index';

/** A pool of target `t` whose input and output are recorded. */
export interface Rig {
  readonly clock: ManualClock;
  readonly pool: Pool;
  readonly events: PoolLogEvent[];
  /** Connections whose opening was requested, with the tenant. */
  readonly opens: Map<PooledId, string | undefined>;
  readonly closes: PooledId[];
  readonly clears: PooledId[];
  readonly grants: Map<LeaseId, PooledId>;
  readonly refusals: Map<LeaseId, { readonly reason: RefusalReason; readonly waitMs: Millis }>;
  readonly losses: Map<LeaseId, PooledLossReason>;
  /** Requests a lease; without fields, for no tenant and with time left. */
  readonly request: (lease: LeaseId, fields?: Partial<LeaseRequest>) => void;
  /** Reports all requested openings that are still pending as done. */
  readonly openAll: () => void;
  /** Runs one operation on a granted lease, and returns the lease. */
  readonly use: (lease: LeaseId, tookMs: Millis) => void;
  readonly advance: (ms: Millis) => void;
  readonly inFlight: () => number;
}

/** Creates a rig with `connections` for the pool and `slots` of the target. */
export function createRig(connections = 4, slots = 4, options: Partial<PoolOptions> = {}): Rig {
  const clock = createManualClock(1_000);
  const events: PoolLogEvent[] = [];
  const opens = new Map<PooledId, string | undefined>();
  const pending = new Set<PooledId>();
  const closes: PooledId[] = [];
  const clears: PooledId[] = [];
  const grants = new Map<LeaseId, PooledId>();
  const refusals: Rig['refusals'] = new Map();
  const losses = new Map<LeaseId, PooledLossReason>();
  const pool = createPool({
    clock,
    random: () => 0.5,
    log: (event) => events.push(event),
    io: {
      open: (id, _target, tenant) => {
        opens.set(id, tenant);
        pending.add(id);
      },
      close: (id) => {
        pending.delete(id);
        closes.push(id);
      },
      clear: (id) => clears.push(id),
      grant: (lease, id) => grants.set(lease, id),
      refuse: (lease, reason, { waitMs }) => refusals.set(lease, { reason, waitMs }),
      lost: (lease, reason) => losses.set(lease, reason),
    },
    ...options,
  });
  pool.applyTargets([{ id: 't', connections, slots }]);
  const advance = (ms: Millis): void => {
    clock.advance(ms);
    pool.tick();
  };
  return {
    clock,
    pool,
    events,
    opens,
    closes,
    clears,
    grants,
    refusals,
    losses,
    request: (lease, fields) => {
      pool.request({
        lease,
        link: 'l',
        target: 't',
        keyInMs: 200,
        onTimeInMs: 200,
        deadlineInMs: 1_000,
        priority: 0,
        ...fields,
      });
    },
    openAll: () => {
      for (const id of [...pending]) {
        pending.delete(id);
        pool.opened(id);
      }
    },
    use: (lease, tookMs) => {
      const id = grants.get(lease);
      if (id === undefined) throw new Error(`${lease} was not granted`);
      pool.operationSent(lease, false);
      clock.advance(tookMs);
      pool.replied(id, { inTransaction: false, wasBusy: false });
      pool.giveBack(lease);
    },
    advance,
    inFlight: () => pool.stats().targets?.get('t')?.inFlight ?? 0,
  };
}

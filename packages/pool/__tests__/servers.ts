import type { Millis } from '@rosedeck/shared';
import { createPool } from '../src/index';
import type { LeaseId, Pool, PoolLogEvent, PoolSettings } from '../src/index';
import type { Op, Server, SlotServer, Timeline } from './replay';
import { createRandom } from './replay';

/** Slot time of a new connection. */
const OPEN_MS = 12;

/** Time of a frame from one daemon to another. */
const LINK_MS = 0.5;

/** Mean work of the kinds, to which a statement's cost is compared in its key. */
const MEAN_WORK_MS = 33;

/** Sort key of a request relative to its arrival, as leasing daemons send it. */
export function keyInMs({ kind }: Op): Millis {
  const costRatio = Math.max(0.5, kind.workMs / MEAN_WORK_MS);
  return kind.objectiveMs * (1 + kind.priority) * costRatio ** 2;
}

/** A pool that serves a replay. */
export interface PoolServer extends Server {
  readonly pool: Pool;
  readonly events: PoolLogEvent[];
}

/** What a pool of a replay is built from. */
export interface PoolServerOptions {
  readonly slots: number;
  readonly part: number;
  readonly settings?: Partial<PoolSettings>;
  /** Connections that the target accepts from the pool at a time. */
  readonly accepted?: (now: Millis) => number;
}

/** Creates a pool of one target, whose leases are used for one statement each. */
export function createPoolServer(
  timeline: Timeline,
  server: SlotServer,
  options: PoolServerOptions,
): PoolServer {
  const { clock, after } = timeline;
  const ops = new Map<LeaseId, Op>();
  const events: PoolLogEvent[] = [];
  const accepted = new Set<number>();
  const pool = createPool({
    clock,
    random: createRandom(5),
    settings: options.settings,
    log: (event) => events.push(event),
    io: {
      open: (id) => {
        const room = options.accepted?.(clock.now()) ?? Infinity;
        if (accepted.size >= room)
          after(LINK_MS, () => {
            pool.connectionLost(id, 'limit');
          });
        else {
          accepted.add(id);
          server.run(OPEN_MS, () => {
            pool.opened(id);
          });
        }
      },
      close: (id) => accepted.delete(id),
      clear: (id) => {
        after(LINK_MS, () => {
          pool.cleared(id);
        });
      },
      grant: (lease, connection) => {
        const op = ops.get(lease);
        if (!op) throw new Error(`no request for ${lease}`);
        op.startedAt = clock.now();
        after(LINK_MS, () => {
          pool.operationSent(lease, false);
          server.run(op.kind.workMs, () => {
            pool.replied(connection, { inTransaction: false, wasBusy: false });
            op.outcome = 'done';
            op.tookMs = clock.now() - op.arrivedAt;
            after(LINK_MS, () => {
              pool.giveBack(lease);
            });
          });
        });
      },
      refuse: (lease, _reason, { waitMs }) => {
        const op = ops.get(lease);
        if (!op) throw new Error(`no request for ${lease}`);
        op.outcome = 'refused';
        op.startedAt = clock.now();
        op.namedMs = waitMs;
      },
      lost: () => undefined,
    },
  });
  pool.applyTargets([{ id: 't', connections: options.part, slots: options.slots }]);
  timeline.every(25, pool.tick);
  return {
    pool,
    events,
    submit: (op) => {
      ops.set(op.id, op);
      pool.request({
        lease: op.id,
        link: 'l',
        target: 't',
        tenant: op.tenant,
        keyInMs: keyInMs(op),
        onTimeInMs: op.kind.objectiveMs,
        deadlineInMs: op.kind.limitMs,
        priority: op.kind.priority,
      });
    },
  };
}

/** A simpler way to order and refuse requests, which has every connection that it could use. */
export interface NaivePolicy {
  /** The lowest rank is served first. */
  readonly rank: (op: Op) => number;
  /** Requests whose expected wait exceeds this are refused on arrival. */
  readonly maxWaitMs?: (op: Op) => Millis;
  /** Daemons that each order their own requests. */
  readonly daemons: number;
}

/** First come, first served. */
export const FIFO: NaivePolicy = { rank: ({ arrivedAt }) => arrivedAt, daemons: 1 };

/** Classes by priority whatever their requests' age; first come, first served in each. */
export const STRICT_PRIORITY: NaivePolicy = {
  rank: ({ kind, arrivedAt }) => kind.priority * 1e9 + arrivedAt,
  daemons: 1,
};

/** Each of the daemons that a target's queue has room for orders its own requests by their keys. */
export const ORDER_PER_DAEMON: NaivePolicy = {
  rank: (op) => op.arrivedAt + keyInMs(op),
  daemons: 40,
};

/** Refuses what is not expected to start within 0.75 of its objective. */
export const EARLY_REFUSAL: NaivePolicy = {
  rank: (op) => op.arrivedAt + keyInMs(op),
  maxWaitMs: ({ kind }) => kind.objectiveMs * 0.75,
  daemons: 1,
};

/** Creates a server that follows a naive policy; requests past their limit are not started. */
export function createNaiveServer(
  timeline: Timeline,
  server: SlotServer,
  policy: NaivePolicy,
  slots: number,
): Server {
  const { clock } = timeline;
  const limit = Math.max(1, Math.floor((slots * 1.25) / policy.daemons));
  const daemons = Array.from({ length: policy.daemons }, () => ({
    queue: [] as Op[],
    inFlight: 0,
  }));
  const pump = (daemon: (typeof daemons)[number]): void => {
    while (daemon.inFlight < limit) {
      const op = daemon.queue.shift();
      if (!op) return;
      op.startedAt = clock.now();
      if (op.startedAt - op.arrivedAt > op.kind.limitMs) {
        op.outcome = 'refused';
        continue;
      }
      daemon.inFlight += 1;
      server.run(op.kind.workMs, () => {
        daemon.inFlight -= 1;
        op.outcome = 'done';
        op.tookMs = clock.now() - op.arrivedAt;
        pump(daemon);
      });
    }
  };
  let turn = 0;
  return {
    submit: (op) => {
      const daemon = daemons[turn % daemons.length];
      turn += 1;
      if (!daemon) return;
      const at = daemon.queue.findIndex((other) => policy.rank(other) > policy.rank(op));
      const index = at === -1 ? daemon.queue.length : at;
      const workMs = daemon.queue.slice(0, index).reduce((sum, { kind }) => sum + kind.workMs, 0);
      if (policy.maxWaitMs && workMs / slots > policy.maxWaitMs(op)) op.outcome = 'refused';
      else daemon.queue.splice(index, 0, op);
      pump(daemon);
    },
  };
}

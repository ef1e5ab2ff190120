import { createManualClock } from '@rosedeck/shared';
import type { Millis } from '@rosedeck/shared';

/** A kind of requests, with what its callers need. */
export interface Kind {
  readonly name: string;
  readonly workMs: Millis;
  readonly objectiveMs: Millis;
  readonly limitMs: Millis;
  readonly priority: number;
  readonly ratePerS: number;
}

/** One request of a replay and its outcome. */
export interface Op {
  readonly id: string;
  readonly kind: Kind;
  readonly tenant?: string;
  readonly arrivedAt: Millis;
  outcome: 'waiting' | 'refused' | 'done';
  /** Time until the answer. */
  tookMs: Millis;
  startedAt?: Millis;
  /** Wait that a refusal named. */
  namedMs: Millis;
}

/** Steps of a simulated clock. */
export interface Timeline {
  readonly clock: { readonly now: () => Millis };
  readonly after: (delayMs: Millis, run: () => void) => void;
  readonly every: (intervalMs: Millis, run: () => void) => void;
  readonly runUntil: (end: Millis) => void;
}

/** Creates a timeline of events, each run at its time. */
export function createTimeline(): Timeline {
  const clock = createManualClock();
  // Times in order, each with its events; most events share no time, but insertions are near the front.
  const events: { readonly at: Millis; readonly run: () => void }[] = [];
  const after = (delayMs: Millis, run: () => void): void => {
    const at = clock.now() + delayMs;
    let low = 0;
    let high = events.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((events[middle]?.at ?? 0) > at) low = middle + 1;
      else high = middle;
    }
    events.splice(low, 0, { at, run });
  };
  const every = (intervalMs: Millis, run: () => void): void => {
    after(intervalMs, () => {
      run();
      every(intervalMs, run);
    });
  };
  return {
    clock,
    after,
    every,
    runUntil: (end) => {
      for (let next = events.at(-1); next && next.at <= end; next = events.at(-1)) {
        events.pop();
        clock.advance(next.at - clock.now());
        next.run();
      }
    },
  };
}

/** A target that runs work in a number of slots and queues the rest in the order of arrival. */
export interface SlotServer {
  readonly run: (workMs: Millis, done: () => void) => void;
}

/** Creates a target; `slowness` is the factor of all work at a time. */
export function createSlotServer(
  timeline: Timeline,
  slots: number,
  slowness: (now: Millis) => number = () => 1,
): SlotServer {
  const queue: (() => void)[] = [];
  let busy = 0;
  const start = (workMs: Millis, done: () => void): void => {
    busy += 1;
    timeline.after(workMs * slowness(timeline.clock.now()), () => {
      busy -= 1;
      queue.shift()?.();
      done();
    });
  };
  return {
    run: (workMs, done) => {
      if (busy < slots) start(workMs, done);
      else
        queue.push(() => {
          start(workMs, done);
        });
    },
  };
}

/** Creates pseudo-random numbers in [0, 1) for a seed. */
export function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** Something that serves requests: the pool, or a policy that it is compared with. */
export interface Server {
  readonly submit: (op: Op) => void;
}

/** Arrivals of a replay. */
export interface Load {
  readonly kinds: readonly Kind[];
  readonly seed: number;
  readonly endMs: Millis;
  /** Factor of the rate of a kind and tenant at a time. */
  readonly factor?: (kind: Kind, now: Millis, tenant: string | undefined) => number;
  /** Tenants with their factors of the rate; the sum is 1 where the usual rate is meant. */
  readonly tenants?: readonly { readonly name: string; readonly share: number }[];
}

/** Interval in which the rates of a load are constant. */
const STEP_MS = 50;

/** Schedules Poisson arrivals of a load; each kind and tenant has its own random numbers. */
export function scheduleLoad(timeline: Timeline, load: Load, server: Server): Op[] {
  const ops: Op[] = [];
  const tenants = load.tenants ?? [{ name: undefined, share: 1 }];
  load.kinds.forEach((kind, kindAt) => {
    tenants.forEach(({ name, share }, tenantAt) => {
      const random = createRandom(load.seed * 7_919 + kindAt * 1_009 + tenantAt);
      // Arrivals keep their random times when another tenant's rate changes.
      let at = 0;
      let due = -Math.log(1 - random());
      for (let step = 0; step < load.endMs; step += STEP_MS) {
        const perMs = (kind.ratePerS / 1_000) * share * (load.factor?.(kind, step, name) ?? 1);
        at = Math.max(at, step);
        while (perMs > 0 && at + due / perMs < step + STEP_MS) {
          at += due / perMs;
          due = -Math.log(1 - random());
          const op = createOp(`${kind.name}-${name ?? ''}-${ops.length}`, kind, name, at);
          ops.push(op);
          timeline.after(at, () => {
            server.submit(op);
          });
        }
        due -= perMs * (step + STEP_MS - at);
        at = step + STEP_MS;
      }
    });
  });
  return ops;
}

/** Creates a request that has no outcome yet. */
export function createOp(id: string, kind: Kind, tenant: string | undefined, at: Millis): Op {
  return { id, kind, tenant, arrivedAt: at, outcome: 'waiting', tookMs: Infinity, namedMs: 0 };
}

/** Share of requests answered within a time. */
export function shareWithin(ops: readonly Op[], limit: (op: Op) => Millis): number {
  return ops.filter((op) => op.tookMs <= limit(op)).length / Math.max(1, ops.length);
}

/** Share of requests answered within their objective. */
export function onTimeShare(ops: readonly Op[]): number {
  return shareWithin(ops, ({ kind }) => kind.objectiveMs);
}

/** Share of requests answered within the limit of their statement. */
export function servedShare(ops: readonly Op[]): number {
  return shareWithin(ops, ({ kind }) => kind.limitMs);
}

/** The 99th percentile of the times of answered requests. */
export function p99(ops: readonly Op[]): Millis {
  const times = ops.filter(({ outcome }) => outcome === 'done').map(({ tookMs }) => tookMs);
  times.sort((a, b) => a - b);
  return times[Math.floor(times.length * 0.99)] ?? 0;
}

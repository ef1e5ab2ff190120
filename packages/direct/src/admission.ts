import type { Millis } from '@rosedeck/shared';

/** Inputs of the decision to queue or refuse a request. */
export interface AdmissionInputs {
  /** Requests that go before it. */
  readonly ahead: number;
  /** Connections that serve the same kind of work. */
  readonly connections: number;
  /** Usual time that one request keeps a connection. */
  readonly occupancyMs: Millis;
  /** Expected time until the group has a primary; 0 when it has one or needs none. */
  readonly primaryWaitMs: Millis;
  readonly latencyObjectiveMs: Millis;
  /** Time left until the statement's own limit. */
  readonly remainingMs: Millis;
}

/** Whether a request is queued, or refused with a time to come back. */
export type Admission =
  | { readonly kind: 'queue' }
  | {
      readonly kind: 'refuse';
      readonly reason: 'overloaded' | 'group_unavailable';
      readonly waitMs: Millis;
    };

/** Expected wait for a connection behind the requests ahead. */
export function expectedWaitMs(inputs: AdmissionInputs): Millis {
  return ((inputs.ahead + 1) * inputs.occupancyMs) / Math.max(1, inputs.connections);
}

/**
 * Refuses at once what cannot start within its share of the objective. Answers more arrivals than
 * connections, and a group without a primary: callers can still try another daemon in time.
 */
export function admit(inputs: AdmissionInputs, queueTimeShare: number): Admission {
  const waitMs = expectedWaitMs(inputs);
  const limitMs = Math.min(inputs.latencyObjectiveMs * queueTimeShare, inputs.remainingMs);
  if (inputs.primaryWaitMs > limitMs)
    return { kind: 'refuse', reason: 'group_unavailable', waitMs: inputs.primaryWaitMs };
  if (waitMs > limitMs) return { kind: 'refuse', reason: 'overloaded', waitMs };
  return { kind: 'queue' };
}

/** Spread of the time to come back, so that refused callers do not return together. */
const RETRY_AFTER_JITTER = 0.5;

/** Least time to come back: a shorter one only adds load. */
const MIN_RETRY_AFTER_MS = 20;

/** The time after which a refused caller should come back. */
export function retryAfterMs(waitMs: Millis, random: () => number): Millis {
  return Math.round(Math.max(MIN_RETRY_AFTER_MS, waitMs) * (1 + RETRY_AFTER_JITTER * random()));
}

/**
 * Queue order: lower first. Answers classes of different urgency and cost in one queue: objectives
 * order them, a lower rank or a costlier statement stretches them, so that more callers are served
 * from the same slots; waiting makes up for both, so that no class starves.
 */
export function queueKey(
  arrivedAt: Millis,
  sloMs: Millis,
  priority: number,
  costRatio: number,
): number {
  return arrivedAt + sloMs * (1 + priority) * Math.max(MIN_COST_RATIO, costRatio) ** COST_EXPONENT;
}

/** Cost of a statement against the group's usual one, below which it makes no difference. */
const MIN_COST_RATIO = 0.5;

/** Power by which cost stretches a place in the queue. */
const COST_EXPONENT = 2;

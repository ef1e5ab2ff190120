import type { Millis } from '@rosedeck/shared';

/** Inputs of the decision to queue or refuse a request. */
export interface AdmissionInputs {
  /** Requests that are served before this one. */
  readonly ahead: number;
  /** Connections that serve the same kind of work. */
  readonly connections: number;
  /** Average time that one request occupies a connection. */
  readonly occupancyMs: Millis;
  /** Expected time until the group has a primary; 0 when it has one or needs none. */
  readonly primaryWaitMs: Millis;
  readonly latencyObjectiveMs: Millis;
  /** Time left until the statement's deadline. */
  readonly remainingMs: Millis;
}

/** Whether a request is queued, or refused with the expected wait. */
export type Admission =
  | { readonly kind: 'queue' }
  | {
      readonly kind: 'refuse';
      readonly reason: 'overloaded' | 'group_unavailable';
      readonly waitMs: Millis;
    };

/** Expected wait for a connection, given the requests ahead. */
export function expectedWaitMs(inputs: AdmissionInputs): Millis {
  return ((inputs.ahead + 1) * inputs.occupancyMs) / Math.max(1, inputs.connections);
}

/**
 * Admission control: refuses a request at once when it cannot start within `queueTimeShare` of its
 * objective, because of overload or because the group lacks a usable primary. Callers can then still
 * try another daemon in time.
 */
export function admit(inputs: AdmissionInputs, queueTimeShare: number): Admission {
  const waitMs = expectedWaitMs(inputs);
  const limitMs = Math.min(inputs.latencyObjectiveMs * queueTimeShare, inputs.remainingMs);
  if (inputs.primaryWaitMs > limitMs)
    return { kind: 'refuse', reason: 'group_unavailable', waitMs: inputs.primaryWaitMs };
  if (waitMs > limitMs) return { kind: 'refuse', reason: 'overloaded', waitMs };
  return { kind: 'queue' };
}

/** Inputs of the decision to queue or refuse a request of a pooled group. */
export interface PooledAdmissionInputs {
  /** Expected time until the group has a primary; 0 when it has one or needs none. */
  readonly primaryWaitMs: Millis;
  /** Expected wait for a lease, or for an own connection where no pool can be reached. */
  readonly poolWaitMs: () => Millis;
  /** Every pool that may serve the request has refused it, or no own connection will be free. */
  readonly isRefused: boolean;
  /** Time within which the statement has to start in order to end before its deadline. */
  readonly remainingMs: Millis;
}

/**
 * Admission control of a pooled group: a request waits while it can be served before its deadline.
 * Load pattern: bursts of more than twice the capacity, in which work that is late keeps part of its
 * worth and can be served once the load falls.
 */
export function admitPooled(inputs: PooledAdmissionInputs): Admission {
  const { primaryWaitMs, poolWaitMs, isRefused, remainingMs } = inputs;
  if (primaryWaitMs > 0 && primaryWaitMs > remainingMs)
    return { kind: 'refuse', reason: 'group_unavailable', waitMs: primaryWaitMs };
  if (isRefused || remainingMs <= 0)
    return { kind: 'refuse', reason: 'overloaded', waitMs: poolWaitMs() };
  return { kind: 'queue' };
}

/** Largest jitter of the retry-after time, as a share; refused callers must not return together. */
const RETRY_AFTER_JITTER = 0.5;

/** Minimum retry-after time; a shorter one only adds load. */
const MIN_RETRY_AFTER_MS = 20;

/** Time after which a refused caller should retry, with jitter. */
export function retryAfterMs(waitMs: Millis, random: () => number): Millis {
  return Math.round(Math.max(MIN_RETRY_AFTER_MS, waitMs) * (1 + RETRY_AFTER_JITTER * random()));
}

/**
 * Sort key of a request in its queue; the lowest is served first. The key is the arrival time plus
 * the latency objective. A higher `priority` number and a costlier statement lengthen the
 * objective, so that more callers are served from the same slots. No class starves, since later
 * arrivals get higher keys.
 */
export function queueKey(
  arrivedAt: Millis,
  sloMs: Millis,
  priority: number,
  costRatio: number,
): number {
  return arrivedAt + sloMs * (1 + priority) * Math.max(MIN_COST_RATIO, costRatio) ** COST_EXPONENT;
}

/** Cost ratios below this one give no further advantage. */
const MIN_COST_RATIO = 0.5;

/** Exponent with which the cost ratio lengthens the objective. */
const COST_EXPONENT = 2;

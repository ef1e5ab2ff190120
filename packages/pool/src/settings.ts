import type { Millis } from '@rosedeck/shared';

/** Tunable times, weights and limits of a pool. */
export interface PoolSettings {
  /** Initial limit of statements in flight, for each slot of the target. */
  readonly inFlightPerSlot: number;
  /** Lowest limit of statements in flight, for each slot. */
  readonly minInFlightPerSlot: number;
  /** Highest limit of statements in flight, for each slot. */
  readonly maxInFlightPerSlot: number;
  /** Factor by which a `busy` reply lowers the limit in flight. */
  readonly busyFactor: number;
  /** Minimum interval of two such cuts: the replies of one moment describe the same queue. */
  readonly busyEveryMs: Millis;
  /** Growth of the limit in flight while it is used up, in statements a second. */
  readonly growthPerS: number;
  /** Time for which a granted lease without an operation counts as in flight. */
  readonly reservedMs: Millis;
  /** Time after which an idle connection is closed. */
  readonly idleMs: Millis;
  /** Time that a target has to accept a connection. */
  readonly openTimeoutMs: Millis;
  /**
   * Time without work after which a connection is validated before it is granted. A connection that
   * broke unnoticed would leave a write with an unknown outcome.
   */
  readonly validateAfterIdleMs: Millis;
  /** Time that a target has to clear or validate a connection. */
  readonly clearTimeoutMs: Millis;
  /** Pause in openings after the target has refused one for its limit; random up to twice this. */
  readonly limitBackoffMs: Millis;
  /**
   * Interval in which more connections are used again, after the target's limit was met. A target
   * counts lost connections for 3 s; each try within that time costs a pause in openings.
   */
  readonly regainEveryMs: Millis;
  /** Pause in openings after a target was not reached. */
  readonly reopenDelayMs: Millis;
  /** A class with waiting requests is served at least once in this time. */
  readonly classFloorMs: Millis;
  /** Assumed time that a lease occupies a slot, until some have been measured. */
  readonly initialServiceMs: Millis;
  /** Minimum interval of the refusal of waiting requests by their expected wait. */
  readonly reviewEveryMs: Millis;
}

/** Defaults; the time-outs are those of the direct engine. */
export const DEFAULT_POOL_SETTINGS: PoolSettings = {
  inFlightPerSlot: 1.25,
  minInFlightPerSlot: 0.5,
  maxInFlightPerSlot: 1.25,
  busyFactor: 0.75,
  busyEveryMs: 100,
  growthPerS: 1,
  reservedMs: 50,
  idleMs: 10_000,
  openTimeoutMs: 400,
  validateAfterIdleMs: 500,
  clearTimeoutMs: 300,
  limitBackoffMs: 250,
  regainEveryMs: 1_000,
  reopenDelayMs: 100,
  classFloorMs: 200,
  initialServiceMs: 15,
  reviewEveryMs: 100,
};

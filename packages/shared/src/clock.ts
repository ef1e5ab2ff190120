/** A duration in milliseconds, or a time on a monotonic clock. */
export type Millis = number;

/** Source of time. It is injected everywhere, so that tests can control it. */
export interface Clock {
  /** Monotonic milliseconds with fractions; the origin is arbitrary. */
  now: () => Millis;
}

/** Creates a clock that reads `performance.now()`. */
export function createSystemClock(): Clock {
  return { now: () => performance.now() };
}

/** A clock for tests that moves only by `advance`. */
export interface ManualClock extends Clock {
  /** Moves the clock forward by `ms` milliseconds. */
  advance: (ms: Millis) => void;
}

/** Creates a clock for tests, starting at `start` milliseconds. */
export function createManualClock(start: Millis = 0): ManualClock {
  let current = start;
  return {
    now: () => current,
    advance: (ms) => {
      current += ms;
    },
  };
}

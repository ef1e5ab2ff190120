import type { Millis } from '@rosedeck/shared';

/** Average time of recent service. */
export interface ServiceTime {
  readonly valueMs: () => Millis;
  /** A time that most services do not exceed. */
  readonly usualMaxMs: () => Millis;
  readonly add: (sampleMs: Millis) => void;
}

/** Weight of the newest sample: a target that slows down shows within some twenty samples. */
const NEWEST_WEIGHT = 0.05;

/** Mean deviations above the mean that most services do not exceed. */
const DEVIATIONS = 2;

/** Creates an average that starts at `initialMs` and takes its first samples with more weight. */
export function createServiceTime(initialMs: Millis): ServiceTime {
  let valueMs = initialMs;
  let deviationMs = initialMs / 2;
  let samples = 0;
  return {
    valueMs: () => valueMs,
    usualMaxMs: () => valueMs + DEVIATIONS * deviationMs,
    add: (sampleMs) => {
      samples += 1;
      const weight = Math.max(NEWEST_WEIGHT, 1 / samples);
      deviationMs += weight * (Math.abs(sampleMs - valueMs) - deviationMs);
      valueMs += weight * (sampleMs - valueMs);
    },
  };
}

/** Amount per time of recent events. */
export interface Rate {
  readonly add: (now: Millis, amount: number) => void;
  readonly perMs: (now: Millis) => number;
}

/** Age of which a young rate is assumed to cover at least this share of its time constant. */
const MIN_AGE_SHARE = 0.25;

/** Creates a rate that decays exponentially with a time constant. */
export function createRate(decayMs: Millis): Rate {
  let total = 0;
  let at = 0;
  let startedAt: Millis | undefined;
  const decay = (now: Millis): void => {
    total *= Math.exp(-(now - at) / decayMs);
    at = now;
  };
  return {
    add: (now, amount) => {
      startedAt ??= now;
      decay(now);
      total += amount;
    },
    perMs: (now) => {
      if (startedAt === undefined) return 0;
      decay(now);
      // A young rate covers only its age.
      const age = Math.max(now - startedAt, decayMs * MIN_AGE_SHARE);
      return total / (decayMs * (1 - Math.exp(-age / decayMs)));
    },
  };
}

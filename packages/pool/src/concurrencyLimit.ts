import type { Millis } from '@rosedeck/shared';
import type { PoolSettings } from './settings';

/** Limit of the statements in flight at one target, which follows the target. */
export interface ConcurrencyLimit {
  /** Statements that may be in flight. */
  readonly value: () => number;
  /** Replaces the target's slots; the limit starts again. */
  readonly applySlots: (slots: number) => void;
  /** Records how many statements are in flight from now on. */
  readonly record: (now: Millis, inFlight: number) => void;
  /** Lowers the limit after a `busy` reply; false when it was lowered a moment ago. */
  readonly cut: (now: Millis) => boolean;
}

/** Creates the limit for a target of `slots` slots. */
export function createConcurrencyLimit(slots: number, settings: PoolSettings): ConcurrencyLimit {
  let current = 0;
  let lowest = 0;
  let highest = 0;
  let cutAt = -Infinity;
  let usedUpSince: Millis | undefined;
  const applySlots = (count: number): void => {
    current = Math.max(1, count * settings.inFlightPerSlot);
    lowest = Math.max(1, count * settings.minInFlightPerSlot);
    highest = Math.max(1, count * settings.maxInFlightPerSlot);
  };
  const grow = (now: Millis): void => {
    if (usedUpSince === undefined) return;
    current = Math.min(highest, current + ((now - usedUpSince) / 1_000) * settings.growthPerS);
    usedUpSince = now;
  };
  applySlots(slots);
  return {
    value: () => Math.floor(current),
    applySlots,
    record: (now, inFlight) => {
      grow(now);
      usedUpSince = inFlight >= Math.floor(current) ? now : undefined;
    },
    cut: (now) => {
      grow(now);
      if (now - cutAt < settings.busyEveryMs) return false;
      cutAt = now;
      current = Math.max(lowest, current * settings.busyFactor);
      return true;
    },
  };
}

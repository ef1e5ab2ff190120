import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Millis } from '@rosedeck/shared';

const TICK_MS = 1;

/** Generates Poisson arrivals in an open loop, without waiting for answers; `arrive` gets the intended start of each. */
export function runArrivals(
  ratePerS: number,
  seed: number,
  startAt: Millis,
  endAt: Millis,
  arrive: (intendedAt: Millis) => void,
): Promise<void> {
  const random = xoroshiro128plus(seed);
  const meanMs = 1_000 / ratePerS;
  const drawInterval = (): Millis => -Math.log(1 - uniformFloat64(random)) * meanMs;
  let nextAt = startAt + drawInterval();
  return new Promise((resolve) => {
    const timer = setInterval(() => {
      const now = performance.now();
      while (nextAt <= now && nextAt < endAt) {
        arrive(nextAt);
        nextAt += drawInterval();
      }
      if (nextAt < endAt) return;
      clearInterval(timer);
      resolve();
    }, TICK_MS);
  });
}

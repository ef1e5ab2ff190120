import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Millis } from '@rosedeck/shared';

/** Discrete-event simulation: a virtual clock, a job queue and one seeded random generator. */
export type Sim = ReturnType<typeof createSim>;

/** Spreads the seeds: neighbouring seeds would give similar first numbers. */
const SEED_MULTIPLIER = 0x9e3779b1;
const DISCARDED_DRAWS = 16;

/** Creates a simulation at time 0; equal seeds give equal random numbers. */
export function createSim(seed: number) {
  const generator = xoroshiro128plus(Math.imul(seed, SEED_MULTIPLIER));
  for (let n = 0; n < DISCARDED_DRAWS; n += 1) generator.next();
  const jobs: { at: Millis; run: () => void }[] = [];
  let now: Millis = 0;

  /** Index at which a job is inserted; jobs are sorted by descending time, the next one last. */
  const findInsertIndex = (at: Millis): number => {
    let [low, high] = [0, jobs.length];
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((jobs[middle]?.at ?? 0) > at) low = middle + 1;
      else high = middle;
    }
    return low;
  };
  const random = (): number => uniformFloat64(generator);
  return {
    clock: { now: () => now },
    random,
    drawBetween: (low: number, high: number): number => low + random() * (high - low),
    pick: <T>(items: readonly T[]): T => items[Math.floor(random() * items.length)] as T,
    schedule: (ms: Millis, run: () => void): void => {
      const at = now + Math.max(0, ms);
      if (at < Infinity) jobs.splice(findInsertIndex(at), 0, { at, run });
    },
    /** Runs all jobs that are due up to `end`, then sets the clock to `end`. */
    runUntil: (end: Millis): void => {
      for (let next = jobs.at(-1); next && next.at <= end; next = jobs.at(-1)) {
        jobs.pop();
        now = next.at;
        next.run();
      }
      now = end;
    },
  };
}

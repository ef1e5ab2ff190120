import murmurhash from 'murmurhash';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Millis } from '@rosedeck/shared';
import type { Target } from './target';

/** Apply lag of a target, redrawn every `CHANGE_INTERVAL_MS`. */
export interface RandomLag {
  /** Sets the upper bound; 0 turns the lag off. */
  set: (maxMs: Millis) => void;
}

const CHANGE_INTERVAL_MS = 100;

/** Creates the random lag of a target; the name seeds it, so the same name gives the same lags. */
export function createRandomLag(target: Target, name: string): RandomLag {
  const random = xoroshiro128plus(murmurhash.v3(name));
  let timer: NodeJS.Timeout | undefined;
  return {
    set: (maxMs) => {
      clearInterval(timer);
      target.setApplyLag(0);
      if (maxMs === 0) return;
      timer = setInterval(() => {
        target.setApplyLag(uniformInt(random, 0, maxMs));
      }, CHANGE_INTERVAL_MS);
    },
  };
}

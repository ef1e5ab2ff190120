import type { Millis, RequestId } from '@rosedeck/shared';
import { createTimerQueue } from './timerQueue';

/** Width of a bucket; a request expires up to this long after its deadline. */
const BUCKET_MS = 10;

/** Deadlines of requests, grouped in buckets so that adding and expiring stay cheap. */
export interface Deadlines {
  /** Adds a request that expires at `at`. */
  add: (request: RequestId, at: Millis) => void;
  /** Removes and returns the requests of all buckets that are due. */
  takeExpired: (now: Millis) => RequestId[];
  /** When the next bucket is due; undefined when there is none. */
  nextDueAt: () => Millis | undefined;
}

/** Creates an empty set of deadlines. */
export function createDeadlines(): Deadlines {
  const buckets = new Map<number, RequestId[]>();
  const timers = createTimerQueue<number>();
  return {
    add: (request, at) => {
      const bucket = Math.ceil(at / BUCKET_MS);
      const requests = buckets.get(bucket);
      if (requests) {
        requests.push(request);
        return;
      }
      buckets.set(bucket, [request]);
      timers.push(bucket * BUCKET_MS, bucket);
    },
    takeExpired: (now) => {
      const expired: RequestId[] = [];
      for (let next = timers.peek(); next && next.at <= now; next = timers.peek()) {
        timers.pop();
        expired.push(...(buckets.get(next.value) ?? []));
        buckets.delete(next.value);
      }
      return expired;
    },
    nextDueAt: () => timers.peek()?.at,
  };
}

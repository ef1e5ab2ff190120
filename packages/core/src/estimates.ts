import type { Millis } from '@rosedeck/shared';
import type { Estimate, GroupEstimates, RequestEstimates, RequestRow } from './tables';

/** Weight of the newest sample. */
const WEIGHT = 0.1;

/** Creates estimates without samples. */
export function createGroupEstimates(): GroupEstimates {
  return { reads: createLaneTimes(), writes: createLaneTimes() };
}

/** The estimates for the request's kind, reads or writes. */
export function estimatesFor(times: GroupEstimates, row: RequestRow): RequestEstimates {
  return row.req.op === 'read' ? times.reads : times.writes;
}

/** Adds one sample to the moving mean and its deviation. */
export function updateEstimate(estimate: Estimate, sample: Millis): void {
  if (estimate.mean === undefined) {
    estimate.mean = sample;
    estimate.deviation = sample / 2;
    return;
  }
  const error = sample - estimate.mean;
  estimate.mean += WEIGHT * error;
  estimate.deviation += WEIGHT * (Math.abs(error) - estimate.deviation);
}

/** A time that most samples stay below. */
export function upperBound(estimate: Estimate): Millis {
  return (estimate.mean ?? 0) + 2 * estimate.deviation;
}

/** Takes in how long a request has waited for those that were ahead of it. */
export function recordWait(times: RequestEstimates, row: RequestRow, waitedMs: Millis): void {
  let estimate = times.waitPerRequestAhead.get(row.rank);
  if (!estimate) {
    estimate = { deviation: 0 };
    times.waitPerRequestAhead.set(row.rank, estimate);
  }
  updateEstimate(estimate, waitedMs / (row.queuedAhead + 1));
}

/** Expected wait behind `ahead` requests; with all slots in use it is at least their share of a slot. */
export function expectedWait(
  times: RequestEstimates,
  rank: number,
  ahead: number,
  slots: number,
): Millis {
  const seen = times.waitPerRequestAhead.get(rank)?.mean ?? 0;
  return ahead * Math.max(seen, (times.slotTime.mean ?? 0) / slots);
}

function createLaneTimes(): RequestEstimates {
  return {
    slotTime: { deviation: 0 },
    responseTime: { deviation: 0 },
    waitPerRequestAhead: new Map(),
  };
}

import type { Millis } from '@rosedeck/shared';
import type { Estimate, GroupEstimates, RequestEstimates, RequestRow } from './tables';

/** Weight of the newest sample in the moving average. */
const SAMPLE_WEIGHT = 0.1;

/** Creates estimates without samples. */
export function createGroupEstimates(): GroupEstimates {
  return { reads: createRequestEstimates(), writes: createRequestEstimates() };
}

/** The estimates for the request's kind, reads or writes. */
export function estimatesFor(estimates: GroupEstimates, row: RequestRow): RequestEstimates {
  return row.req.op === 'read' ? estimates.reads : estimates.writes;
}

/**
 * Adds one sample to the moving average and its deviation; the first sample sets the deviation to
 * half its value.
 */
export function updateEstimate(estimate: Estimate, sample: Millis): void {
  if (estimate.mean === undefined) {
    estimate.mean = sample;
    estimate.deviation = sample / 2;
    return;
  }
  const error = sample - estimate.mean;
  estimate.mean += SAMPLE_WEIGHT * error;
  estimate.deviation += SAMPLE_WEIGHT * (Math.abs(error) - estimate.deviation);
}

/** Average plus two mean deviations, which most samples stay below; 0 without samples. */
export function upperBound(estimate: Estimate): Millis {
  return (estimate.mean ?? 0) + 2 * estimate.deviation;
}

/** Updates the wait per request ahead with the queueing time of one request. */
export function recordWait(estimates: RequestEstimates, row: RequestRow, waitedMs: Millis): void {
  let estimate = estimates.waitPerRequestAhead.get(row.rank);
  if (!estimate) {
    estimate = { deviation: 0 };
    estimates.waitPerRequestAhead.set(row.rank, estimate);
  }
  updateEstimate(estimate, waitedMs / (row.queuedAhead + 1));
}

/**
 * Expected wait behind `ahead` requests; at least the time in which `slots` slots, all in use, work
 * through them.
 */
export function expectedWait(
  estimates: RequestEstimates,
  rank: number,
  ahead: number,
  slots: number,
): Millis {
  const measuredMs = estimates.waitPerRequestAhead.get(rank)?.mean ?? 0;
  return ahead * Math.max(measuredMs, (estimates.slotTime.mean ?? 0) / slots);
}

function createRequestEstimates(): RequestEstimates {
  return {
    slotTime: { deviation: 0 },
    responseTime: { deviation: 0 },
    waitPerRequestAhead: new Map(),
  };
}

import type { Millis } from '@rosedeck/shared';
import type { Estimate, GroupTimes, LaneTimes, RequestRow } from './tables';

/** Weight of the newest sample. */
const WEIGHT = 0.1;

/** Creates estimates without samples. */
export function createGroupTimes(): GroupTimes {
  return { reads: createLaneTimes(), writes: createLaneTimes() };
}

/** The estimates that concern a request. */
export function laneTimesOf(times: GroupTimes, row: RequestRow): LaneTimes {
  return row.req.op === 'read' ? times.reads : times.writes;
}

/** Takes in one sample. */
export function noteSample(estimate: Estimate, sample: Millis): void {
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
export function noteWait(times: LaneTimes, row: RequestRow, waitedMs: Millis): void {
  let estimate = times.perRow.get(row.rank);
  if (!estimate) {
    estimate = { deviation: 0 };
    times.perRow.set(row.rank, estimate);
  }
  noteSample(estimate, waitedMs / (row.ahead + 1));
}

/** Expected wait behind `ahead` requests; with all slots in use it is at least their share of a slot. */
export function expectedWait(times: LaneTimes, rank: number, ahead: number, slots: number): Millis {
  const seen = times.perRow.get(rank)?.mean ?? 0;
  return ahead * Math.max(seen, (times.slot.mean ?? 0) / slots);
}

function createLaneTimes(): LaneTimes {
  return { slot: { deviation: 0 }, finish: { deviation: 0 }, perRow: new Map() };
}

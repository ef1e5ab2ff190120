import { covers } from '@rosedeck/shared';
import type { Millis } from '@rosedeck/shared';
import { newestSample } from './probeRounds';
import type { GroupRow, RequestRow, TargetRow } from './tables';
import type { World } from './world';

/**
 * Gives a read without a minimum position that of a sample sent after its arrival. Returns false while
 * there is no such sample.
 */
export function resolveMinPosition(group: GroupRow, row: RequestRow): boolean {
  if (row.sampleAfter === undefined) return true;
  const sample = newestSample(group);
  if (!sample || sample.sentAt < row.sampleAfter) return false;
  row.sampleAfter = undefined;
  const current = row.minPosition;
  row.minPosition = current && covers(current, sample.position) ? current : sample.position;
  return true;
}

/** True when the target's data satisfies the read's minimum position and maximum age. */
export function isFreshEnough(
  world: World,
  group: GroupRow,
  target: TargetRow,
  row: RequestRow,
  now: Millis,
): boolean {
  if (world.policies.ignoresPositions) return true;
  const report = target.report;
  if (report?.term !== group.term) return false;
  if (row.minPosition && !covers(report.applied, row.minPosition)) return false;
  const { maxAgeMs } = row.req;
  if (maxAgeMs === undefined) return true;
  if (target.dataAsOf === undefined) return false;
  return target.dataAsOf >= now - maxAgeMs || target.dataAsOf >= row.arrivedAt;
}

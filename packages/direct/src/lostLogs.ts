import { covers, formatPosition, ORIGIN } from '@rosedeck/shared';
import type { Millis, Position } from '@rosedeck/shared';
import { isUsable } from './eligibility';
import { leadsOutdatedTerm } from './fencing';
import { isLogDoubted } from './logLoss';
import { requestStatus } from './primaryProbes';
import type { GroupRow, TargetRow, World } from './tables';

/**
 * Asks targets that may have lost their logs for their status, and decides whether a primary goes on
 * without its log; called each tick. While another log holds more, that one is promoted. Where none does, as
 * when all targets of the group have started again, there is nothing to keep.
 */
export function reviewLostLog(
  world: World,
  group: GroupRow,
  primary: TargetRow | undefined,
  now: Millis,
): void {
  for (const target of group.targets.values())
    if (isLogDoubted(target)) requestStatus(world, target, now);
  const loss = primary?.logLoss;
  if (!primary || !loss) return;
  const usable = [...group.targets.values()].filter((target) => isUsable(world, target, now));
  for (const target of usable) requestStatus(world, target, now);
  const own = primary.status;
  if (!own || own.at < loss.at || own.report.role !== 'primary') return;
  const others = usable.filter((target) => target !== primary);
  const holdsNewest = others.every(({ status }) => {
    return status && status.at >= loss.at && coversLog(primary, status.report.received);
  });
  if (!holdsNewest || leadsOutdatedTerm(primary)) return;
  acceptLoss(world, primary, own.report.received, loss.missing);
}

/** Uses a primary with the log that it has left, which is compared with nothing of before. */
function acceptLoss(world: World, primary: TargetRow, received: Position, missing: Position): void {
  const { group, listed } = primary;
  primary.logLoss = undefined;
  primary.logState = 'untold';
  group.samples.length = 0;
  group.newestSample = undefined;
  group.term = received.term;
  group.missingLogs.floor = undefined;
  for (const target of group.targets.values()) {
    target.lastPosition = undefined;
    if (target !== primary) target.status = undefined;
  }
  world.io.log({
    type: 'log_loss_accepted',
    group: group.id,
    target: listed.id,
    received: formatPosition(received),
    missing: formatPosition(missing),
  });
}

/** Whether the log of a target, by its last status, holds all of one that ends at `end`. */
export function coversLog({ status }: TargetRow, end: Position | undefined): boolean {
  return status !== undefined && covers(status.report.received, end ?? ORIGIN);
}

import type { Millis } from '@rosedeck/shared';
import { silenceOf } from './silence';
import type { GroupRow, TargetRow } from './tables';
import { targetsOf } from './world';
import type { World } from './world';

/** Suspicion times after which a replica that still misses its primary no longer quickens the rounds. */
const ALERT_SPAN = 10;

/** Interval between probe rounds while no request waits for one. */
export function regularRoundInterval(world: World, group: GroupRow, now: Millis): Millis {
  if (isAlert(world, group, now)) return world.settings.alertRoundMs;
  const idle = now - group.lastRequestAt > world.settings.idleAfterMs;
  return idle ? world.settings.idleRoundMs : world.settings.activeRoundMs;
}

/** True at the first sign of trouble with the primary, long before it is suspected. */
function isAlert(world: World, group: GroupRow, now: Millis): boolean {
  const troubled = group.primaryDownSince !== undefined || group.leaderlessSince !== undefined;
  if (troubled || group.promotion) return true;
  const primary = group.primary === undefined ? undefined : world.targets.get(group.primary);
  if (!primary || isLate(world, primary, now)) return true;
  return targetsOf(world, group).some((target) => missesPrimary(world, group, target));
}

function isLate(world: World, primary: TargetRow, now: Millis): boolean {
  if (primary.failedProbes > 0) return true;
  return silenceOf(primary, now) >= world.settings.alertAfterMs;
}

function missesPrimary(world: World, group: GroupRow, target: TargetRow): boolean {
  if (!target.report || target.spec.id === group.primary) return false;
  const { alertAfterMs, suspectAfterMs } = world.settings;
  const age = target.report.primaryContactAgeMs;
  return age >= alertAfterMs && age < ALERT_SPAN * suspectAfterMs;
}

import type { Millis } from '@rosedeck/shared';
import { silenceOf } from './silence';
import type { GroupRow, TargetRow } from './tables';
import { targetsOf } from './world';
import type { World } from './world';

/**
 * A replica that has had no contact with the primary for this many times `suspectAfterMs` no longer
 * shortens the probe interval.
 */
const MAX_ALERT_FACTOR = 10;

/** Interval between the probe rounds of a group while no request waits for a round. */
export function regularRoundInterval(world: World, group: GroupRow, now: Millis): Millis {
  if (isAlert(world, group, now)) return world.settings.alertRoundMs;
  const isIdle = now - group.lastRequestAt > world.settings.idleAfterMs;
  return isIdle ? world.settings.idleRoundMs : world.settings.activeRoundMs;
}

/** True at the first sign that the primary may have failed, long before it is suspected. */
function isAlert(world: World, group: GroupRow, now: Millis): boolean {
  const isPrimaryDown = group.primaryDownSince !== undefined || group.leaderlessSince !== undefined;
  if (isPrimaryDown || group.promotion) return true;
  const primary = group.primary === undefined ? undefined : world.targets.get(group.primary);
  if (!primary || isPrimaryLate(world, primary, now)) return true;
  return targetsOf(world, group).some((target) => lacksPrimaryContact(world, group, target));
}

function isPrimaryLate(world: World, primary: TargetRow, now: Millis): boolean {
  if (primary.failedProbes > 0) return true;
  return silenceOf(primary, now) >= world.settings.alertAfterMs;
}

function lacksPrimaryContact(world: World, group: GroupRow, target: TargetRow): boolean {
  if (!target.report || target.spec.id === group.primary) return false;
  const { alertAfterMs, suspectAfterMs } = world.settings;
  const age = target.report.primaryContactAgeMs;
  return age >= alertAfterMs && age < MAX_ALERT_FACTOR * suspectAfterMs;
}

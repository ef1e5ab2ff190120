import type { Millis } from '@rosedeck/shared';
import { isCircuitOpen } from './circuitBreaker';
import { isHeldBack, takesWork } from './switchover';
import type { GroupRow } from './tables';
import type { World } from './world';

/** Weight of a gap shorter than the estimate, as a share; a longer gap replaces the estimate at once. */
const SHORTER_GAP_WEIGHT = 0.2;

/** True when writes can go to the group's primary. */
export function hasUsablePrimary(world: World, group: GroupRow, now: Millis): boolean {
  if (isHeldBack(group, false) || group.primary === undefined) return false;
  const primary = world.targets.get(group.primary);
  if (!primary || !takesWork(world, group, primary, now)) return false;
  return !isCircuitOpen(primary, now);
}

/** Records whether there is a usable primary; the end of a gap updates the expected length of the next. */
export function trackPrimaryGap(world: World, group: GroupRow, now: Millis): void {
  const { primaryGap } = group;
  if (!hasUsablePrimary(world, group, now)) {
    primaryGap.since ??= now;
    return;
  }
  if (primaryGap.since === undefined) return;
  const gapMs = now - primaryGap.since;
  primaryGap.since = undefined;
  primaryGap.endedAt = now;
  const next =
    gapMs > primaryGap.expectedMs
      ? gapMs
      : primaryGap.expectedMs + SHORTER_GAP_WEIGHT * (gapMs - primaryGap.expectedMs);
  primaryGap.expectedMs = Math.min(
    world.settings.holdLimitMs,
    Math.max(minExpectedGap(world), next),
  );
}

/** Until when requests are held for a primary; undefined while there is a usable one. */
export function holdEndsAt(world: World, group: GroupRow): Millis | undefined {
  const { since, expectedMs } = group.primaryGap;
  if (since === undefined) return undefined;
  return since + Math.min(2 * expectedMs, world.settings.holdLimitMs);
}

/** Time that the current gap is still expected to last; 0 without a gap. */
export function remainingGap(group: GroupRow, now: Millis): Millis {
  const { since, expectedMs } = group.primaryGap;
  return since === undefined ? 0 : Math.max(0, since + expectedMs - now);
}

/** A failover takes at least its detection, however short the last planned gap was. */
function minExpectedGap(world: World): Millis {
  return 2 * world.settings.suspectAfterMs;
}

import type { Millis } from '@rosedeck/shared';
import { isCircuitOpen } from './circuitBreaker';
import { isHeldBack, takesWork } from './switchover';
import type { GroupRow } from './tables';
import type { World } from './world';

/** Share of the estimate that one shorter gap replaces. */
const DECAY = 0.2;

/** True when writes can go to the group's primary. */
export function hasUsablePrimary(world: World, group: GroupRow, now: Millis): boolean {
  if (isHeldBack(group, false) || group.primary === undefined) return false;
  const primary = world.targets.get(group.primary);
  if (!primary || !takesWork(world, group, primary, now)) return false;
  return !isCircuitOpen(primary, now);
}

/** Notes whether there is a usable primary; the end of a gap teaches how long the next may last. */
export function trackGap(world: World, group: GroupRow, now: Millis): void {
  const { primaryGap } = group;
  if (!hasUsablePrimary(world, group, now)) {
    primaryGap.since ??= now;
    return;
  }
  if (primaryGap.since === undefined) return;
  const lasted = now - primaryGap.since;
  primaryGap.since = undefined;
  primaryGap.endedAt = now;
  const next =
    lasted > primaryGap.expectedMs
      ? lasted
      : primaryGap.expectedMs + DECAY * (lasted - primaryGap.expectedMs);
  primaryGap.expectedMs = Math.min(world.settings.holdLimitMs, Math.max(leastGap(world), next));
}

/** When requests that wait for a primary are given up on; undefined while there is one. */
export function holdEndsAt(world: World, group: GroupRow): Millis | undefined {
  const { since, expectedMs } = group.primaryGap;
  if (since === undefined) return undefined;
  return since + Math.min(2 * expectedMs, world.settings.holdLimitMs);
}

/** Time that the gap is still expected to last. */
export function expectedRest(group: GroupRow, now: Millis): Millis {
  const { since, expectedMs } = group.primaryGap;
  return since === undefined ? 0 : Math.max(0, since + expectedMs - now);
}

/** A failover takes its detection at least, however quick the last planned change was. */
function leastGap(world: World): Millis {
  return 2 * world.settings.suspectAfterMs;
}

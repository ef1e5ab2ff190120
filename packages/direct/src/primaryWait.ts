import type { Millis } from '@rosedeck/shared';
import { mayUsePrimary } from './fencing';
import type { GroupRow, World } from './tables';

/** Minimum expected wait while a group has no usable primary. */
const MIN_WAIT_MS: Millis = 50;

/** Time until the next reports of the witnesses, or the next read of the claims. */
const UNPROVEN_WAIT_MS: Millis = 250;

/** Time within which probes find a primary that has already taken over. */
const SEARCH_MS: Millis = 300;

/** Expected time until the group has a usable primary; 0 while it has one. */
export function expectedPrimaryWaitMs(world: World, group: GroupRow, now: Millis): Millis {
  const primary = group.primary === undefined ? undefined : group.targets.get(group.primary);
  const isUsable = mayUsePrimary(world, group, now);
  if (
    isUsable &&
    primary &&
    primary.failingSince === undefined &&
    group.expectedPrimary === undefined
  )
    return 0;
  if (isUsable && group.primaryProvenAt !== undefined && group.suspectedPrimary === undefined)
    return 0;
  if (group.expectedPrimary) {
    const remainingMs = group.expectedPrimary.since + group.promotionMs.value - now;
    return Math.max(MIN_WAIT_MS, remainingMs);
  }
  if (group.primaryDownSince === undefined) return isUsable ? 0 : UNPROVEN_WAIT_MS;
  // A primary that was just demoted has a successor, which a probe soon finds.
  if (!primary && now - group.primaryDownSince < SEARCH_MS) return MIN_WAIT_MS;
  const totalMs = world.settings.expectedDetectionMs + group.promotionMs.value;
  return Math.max(MIN_WAIT_MS, group.primaryDownSince + totalMs - now);
}

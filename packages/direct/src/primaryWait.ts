import type { Millis } from '@rosedeck/shared';
import { mayUsePrimary } from './fencing';
import type { GroupRow, World } from './tables';

/** Minimum expected wait while a group has no usable primary. */
const MIN_WAIT_MS: Millis = 50;

/** Time until the next reports of the confirmers, or the next read of the claims. */
const UNPROVEN_WAIT_MS: Millis = 250;

/** Time within which probes find a primary that has already taken over. */
const SEARCH_MS: Millis = 300;

/** Expected rest of a wait that is overdue, as a share of its time so far. */
const OVERDUE_SHARE = 0.3;

/**
 * Expected rest of a wait that usually takes `expectedMs`, after `elapsedMs` of it. Load pattern: a
 * network partition isolates some daemons from the new primary for seconds. The longer a wait is
 * overdue, the longer its expected rest, so callers are refused at once and try another daemon.
 */
export function remainingWaitMs(expectedMs: Millis, elapsedMs: Millis): Millis {
  return Math.max(MIN_WAIT_MS, expectedMs - elapsedMs, elapsedMs * OVERDUE_SHARE);
}

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
  const { expectedPrimary, primaryDownSince } = group;
  if (expectedPrimary) return remainingWaitMs(group.promotionMs.value, now - expectedPrimary.since);
  if (primaryDownSince === undefined) return isUsable ? 0 : UNPROVEN_WAIT_MS;
  const downMs = now - primaryDownSince;
  // A primary that was just demoted has a successor, which a probe soon finds.
  if (!primary && downMs < SEARCH_MS) return MIN_WAIT_MS;
  return remainingWaitMs(world.settings.expectedDetectionMs + group.promotionMs.value, downMs);
}

import type { Millis } from '@rosedeck/shared';
import { mayUsePrimary } from './fencing';
import type { GroupRow, TargetRow, World } from './tables';

/** Minimum expected wait while a group has no usable primary. */
const MIN_WAIT_MS: Millis = 50;

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

/**
 * True while a daemon has not yet proven the primary that the list and the newest claim name. Load
 * pattern: all daemons restart while the primaries live. A claim from before the restart is settled,
 * and the next probe proves the primary.
 */
function awaitsFirstProof(group: GroupRow, primary: TargetRow | undefined): boolean {
  if (group.leaderTerm > 0 || !primary || primary.failingSince !== undefined) return false;
  return group.newest === undefined || group.newest.target === primary.listed.id;
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
  const { expectedPrimary, primaryDownSince, unusableSince } = group;
  if (expectedPrimary) return remainingWaitMs(group.promotionMs.value, now - expectedPrimary.since);
  if (primaryDownSince === undefined && isUsable) return 0;
  if (primaryDownSince === undefined || awaitsFirstProof(group, primary))
    return remainingWaitMs(world.settings.probeEveryMs, now - (unusableSince ?? now));
  const downMs = now - primaryDownSince;
  // A primary that was just demoted has a successor, which a probe soon finds.
  if (!primary && downMs < SEARCH_MS) return MIN_WAIT_MS;
  return remainingWaitMs(world.settings.expectedDetectionMs + group.promotionMs.value, downMs);
}

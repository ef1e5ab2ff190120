import { formatPosition } from '@rosedeck/shared';
import type { Millis } from '@rosedeck/shared';
import { findPrimaryBlock } from './fencing';
import type { Opinions } from './fleet';
import { isCurrent } from './leadership';
import type { GroupRow, TargetRow, World } from './tables';

/**
 * Tracks how long this daemon has not reached the primary, and whether it suspects it; called each tick.
 */
export function detectPrimaryFailure(
  world: World,
  group: GroupRow,
  primary: TargetRow | undefined,
  now: Millis,
): void {
  const { settings } = world;
  const failingMs = primary?.failingSince === undefined ? 0 : now - primary.failingSince;
  const isRefusing = primary?.lastFailure === 'refused' || primary?.lastFailure === 'wrong_target';
  const limitMs = isRefusing ? settings.suspectRefusedMs : settings.suspectSilentMs;
  const suspected =
    primary !== undefined && failingMs >= limitMs && primary.failures > 1
      ? primary.listed.id
      : undefined;
  const isDown = primary?.failingSince !== undefined || primary?.logLoss !== undefined;
  if (!primary || isDown || isOutdated(group))
    group.primaryDownSince ??= primary?.failingSince ?? now;
  else group.primaryDownSince = undefined;
  trackPrimaryBlock(world, group, primary, now);
  if (suspected === group.suspectedPrimary) return;
  const subject = suspected ?? group.suspectedPrimary ?? '';
  group.suspectedPrimary = suspected;
  world.groupsToDispatch.add(group);
  world.io.log({
    type: suspected === undefined ? 'primary_cleared' : 'primary_suspected',
    group: group.id,
    target: subject,
    silentMs: Math.round(failingMs),
  });
}

/** Tracks since when and why this daemon may not use the primary, and logs each change. */
function trackPrimaryBlock(
  world: World,
  group: GroupRow,
  primary: TargetRow | undefined,
  now: Millis,
): void {
  const cause = findPrimaryBlock(world, group, now);
  const before = group.primaryBlock;
  if (cause === before) return;
  const unusableSince = group.unusableSince ?? now;
  group.primaryBlock = cause;
  group.unusableSince = cause && unusableSince;
  const subject = { group: group.id, primary: primary?.listed.id };
  if (cause === undefined) {
    const afterMs = Math.round(now - unusableSince);
    world.io.log({ type: 'primary_usable', ...subject, afterMs });
    return;
  }
  const status = primary?.status;
  world.io.log({
    type: 'primary_unusable',
    ...subject,
    cause,
    role: status?.report.role,
    term: status?.report.term,
    received: status && formatPosition(status.report.received),
    statusAgeMs: status && Math.round(now - status.at),
  });
}

/**
 * Tracks whether most daemons cannot reach the primary, so that it is about to be replaced. Writes
 * stop then: commits that an isolated primary acknowledges would be discarded by its successor.
 */
export function trackContested(world: World, group: GroupRow, opinions: Opinions): void {
  const contested =
    group.suspectedPrimary === undefined && opinions.suspecting > opinions.trusting + 1;
  if (contested === group.contested) return;
  group.contested = contested;
  world.groupsToDispatch.add(group);
  world.io.log({ type: 'primary_contested', group: group.id, contested, ...opinions });
}

/** True when a newer leadership than that of the known primary has been claimed. */
export function isOutdated(group: GroupRow): boolean {
  return !isCurrent(group.newest, group.leaderTerm, group.primary);
}

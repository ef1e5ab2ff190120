import type { Millis } from '@rosedeck/shared';
import { isOwner } from './ownership';
import { cancelPromotion, startPromotion } from './promotion';
import { silenceOf } from './silence';
import { isSwitchoverDue } from './switchover';
import type { GroupRow, Promotion, TargetRow } from './tables';
import { majorityOf, recordLogEvent, targetsOf } from './world';
import type { World } from './world';

/**
 * Checks whether a group lacks a working primary or has a leaving one, and starts a promotion; ends one
 * that is still being claimed when its reason is gone.
 */
export function runDetection(world: World, group: GroupRow, now: Millis): void {
  if (group.promotion && !isPreparing(group.promotion)) {
    const mayEnd = group.promotion.stage === 'claiming';
    if (mayEnd && findPromotionReason(world, group, now) === undefined)
      cancelPromotion(world, group, now);
    return;
  }
  const delayMs = promotionDelay(world, group);
  if (delayMs === undefined) return;
  const reason = findPromotionReason(world, group, now);
  if (reason === undefined) {
    group.primaryDownSince = undefined;
    if (delayMs === 0 && isSwitchoverDue(world, group, now))
      startPromotion(world, group, now, true);
    return;
  }
  group.primaryDownSince ??= group.leaderlessSince ?? now;
  const at = Math.max(group.promotionNotBefore, group.primaryDownSince + delayMs);
  if (now < at) {
    world.scheduler.queueJobAt('detection', group.spec.id, at);
    return;
  }
  recordLogEvent(world, {
    type: 'primary_suspected',
    group: group.spec.id,
    primary: group.primary,
    reason,
  });
  startPromotion(world, group, now, false, group.primary);
}

/**
 * How long the primary must have been down before this daemon starts a promotion. A stand-in, which
 * has requests of the group without being an owner, waits for the owner first; other daemons start
 * none (undefined).
 */
function promotionDelay(world: World, group: GroupRow): Millis | undefined {
  if (isOwner(world, group.spec.id)) return 0;
  const isStandIn = group.queue.length > 0 || group.confirming.length > 0;
  return isStandIn ? world.settings.orphanWaitMs : undefined;
}

/** True while a planned switch-over has fenced no target, so that a failover may replace it. */
function isPreparing({ planned, stage }: Promotion): boolean {
  return planned && (stage === 'claiming' || stage === 'draining' || stage === 'holding');
}

function findPromotionReason(world: World, group: GroupRow, now: Millis): string | undefined {
  const answering = targetsOf(world, group).filter((target) => isAnswering(world, target, now));
  if (answering.length < majorityOf(group)) return undefined;
  const primary = group.primary === undefined ? undefined : world.targets.get(group.primary);
  if (!primary) return checkLeaderless(world, group, now);
  group.leaderlessSince = undefined;
  const isNewPrimary = now - group.primarySince < world.settings.suspectAfterMs;
  if (!isNewPrimary && haveReplicasLostPrimary(world, group, answering)) {
    return isAnswering(world, primary, now) ? 'cut off from its group' : 'silent';
  }
  return checkLaterTerm(world, group, answering, now);
}

function isAnswering(world: World, target: TargetRow, now: Millis): boolean {
  if (!target.report) return false;
  if (target.failedProbes >= 2) return false;
  if (now - target.reportAt >= world.settings.suspectAfterMs) return false;
  return silenceOf(target, now) < world.settings.suspectAfterMs;
}

/** True when enough replicas have lost the primary for a majority to be fenced without it. */
function haveReplicasLostPrimary(
  world: World,
  group: GroupRow,
  answering: readonly TargetRow[],
): boolean {
  const others = group.spec.targets.length - 1;
  const needed = Math.min(majorityOf(group), others);
  let lost = 0;
  for (const target of answering) {
    if (target.spec.id === group.primary) continue;
    const age = target.report?.primaryContactAgeMs ?? 0;
    if (age >= world.settings.suspectAfterMs) lost += 1;
  }
  return lost >= needed;
}

/**
 * Returns a reason once the latest term has had no primary for the time of one promotion
 * (`orphanWaitMs`): the promoter of that term may still be working until then.
 */
function checkLeaderless(world: World, group: GroupRow, now: Millis): string | undefined {
  group.leaderlessSince ??= now;
  const at = group.leaderlessSince + world.settings.orphanWaitMs;
  if (now >= at) return 'no primary in the latest term';
  world.scheduler.queueJobAt('detection', group.spec.id, at);
  return undefined;
}

/**
 * Returns a reason once a target has been in a later term than the primary for `promotionTimeoutMs`. If
 * its promoter has died, the target follows no primary until a later term begins.
 */
function checkLaterTerm(
  world: World,
  group: GroupRow,
  answering: readonly TargetRow[],
  now: Millis,
): string | undefined {
  const hasLaterTerm = answering.some((target) => (target.report?.term ?? 0) > group.term);
  if (!hasLaterTerm) {
    group.laterTermSince = undefined;
    return undefined;
  }
  group.laterTermSince ??= now;
  const at = group.laterTermSince + world.settings.promotionTimeoutMs;
  if (now >= at) return 'a target is in a later term';
  world.scheduler.queueJobAt('detection', group.spec.id, at);
  return undefined;
}

import type { Millis } from '@rosedeck/shared';
import { isOwner } from './ownership';
import { startPromotion } from './promotion';
import { silenceOf } from './silence';
import { isSwitchoverDue } from './switchover';
import type { GroupRow, Promotion, TargetRow } from './tables';
import { majorityOf, recordLogEvent, targetsOf } from './world';
import type { World } from './world';

/** Looks for a group without a working primary and starts a promotion. */
export function runDetection(world: World, group: GroupRow, now: Millis): void {
  if (group.promotion && !isPreparing(group.promotion)) return;
  const waitMs = promoterWait(world, group);
  if (waitMs === undefined) return;
  const reason = findTrouble(world, group, now);
  if (reason === undefined) {
    group.primaryDownSince = undefined;
    if (waitMs === 0 && isSwitchoverDue(world, group, now)) startPromotion(world, group, now, true);
    return;
  }
  group.primaryDownSince ??= group.leaderlessSince ?? now;
  const at = Math.max(group.promotionNotBefore, group.primaryDownSince + waitMs);
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

/** Time that trouble must have lasted before this daemon acts; a stand-in leaves it to the owner at first. */
function promoterWait(world: World, group: GroupRow): Millis | undefined {
  if (isOwner(world, group.spec.id)) return 0;
  const standsIn = group.queue.length > 0 || group.confirming.length > 0;
  return standsIn ? world.settings.orphanWaitMs : undefined;
}

/** True while a planned switch-over has not fenced anything: it gives way to a failure. */
function isPreparing({ planned, stage }: Promotion): boolean {
  return planned && (stage === 'claiming' || stage === 'draining' || stage === 'holding');
}

function findTrouble(world: World, group: GroupRow, now: Millis): string | undefined {
  const answering = targetsOf(world, group).filter((target) => isAnswering(world, target, now));
  if (answering.length < majorityOf(group)) return undefined;
  const primary = group.primary === undefined ? undefined : world.targets.get(group.primary);
  if (!primary) return orphanReason(world, group, now);
  group.leaderlessSince = undefined;
  const isNew = now - group.primarySince < world.settings.suspectAfterMs;
  if (!isNew && haveReplicasLostPrimary(world, group, answering)) {
    return isAnswering(world, primary, now) ? 'cut off from its group' : 'silent';
  }
  return splitReason(world, group, answering, now);
}

function isAnswering(world: World, target: TargetRow, now: Millis): boolean {
  if (!target.report) return false;
  if (target.failedProbes >= 2) return false;
  if (now - target.reportAt >= world.settings.suspectAfterMs) return false;
  return silenceOf(target, now) < world.settings.suspectAfterMs;
}

/** Second opinion: enough replicas that, without the primary, a majority can be fenced have lost it too. */
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

/** A term without a primary: its promoter may still be at work, so it gets the time of one promotion. */
function orphanReason(world: World, group: GroupRow, now: Millis): string | undefined {
  group.leaderlessSince ??= now;
  const at = group.leaderlessSince + world.settings.orphanWaitMs;
  if (now >= at) return 'no primary in the latest term';
  world.scheduler.queueJobAt('detection', group.spec.id, at);
  return undefined;
}

/** A target left in a later term by a promoter that is gone follows no primary until a later term begins. */
function splitReason(
  world: World,
  group: GroupRow,
  answering: readonly TargetRow[],
  now: Millis,
): string | undefined {
  const isSplit = answering.some((target) => (target.report?.term ?? 0) > group.term);
  if (!isSplit) {
    group.laterTermSince = undefined;
    return undefined;
  }
  group.laterTermSince ??= now;
  const at = group.laterTermSince + world.settings.promotionTimeoutMs;
  if (now >= at) return 'a target is in a later term';
  world.scheduler.queueJobAt('detection', group.spec.id, at);
  return undefined;
}

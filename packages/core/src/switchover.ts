import { covers } from '@rosedeck/shared';
import type { Millis } from '@rosedeck/shared';
import type { GroupRow, Promotion, TargetRow } from './tables';
import { targetsOf } from './world';
import type { World } from './world';

/**
 * True when a promotion keeps a write or BEGIN off the primary. An unplanned one does so from its start;
 * a planned switch-over for a BEGIN from its stage `draining` on, and for a write from `holding` on.
 */
export function isHeldBack(group: GroupRow, isBegin: boolean): boolean {
  const { promotion } = group;
  if (!promotion) return false;
  if (promotion.planned && promotion.stage === 'claiming') return false;
  return promotion.stage === 'draining' ? isBegin : true;
}

/**
 * True when a target may get new work. A leaving primary may for `leavingGraceMs`, until another target
 * is primary; a leaving replica may not.
 */
export function takesWork(world: World, group: GroupRow, target: TargetRow, now: Millis): boolean {
  if (!target.leaving || !world.policies.avoidsLeaving) return true;
  if (target.spec.id !== group.primary) return false;
  return now - (target.leavingSince ?? -Infinity) < world.settings.leavingGraceMs;
}

/** True when the primary is leaving and a target that stays can replace it. */
export function isSwitchoverDue(world: World, group: GroupRow, now: Millis): boolean {
  const primary = group.primary === undefined ? undefined : world.targets.get(group.primary);
  if (!primary?.leaving || group.promotion) return false;
  if (findSuccessors(world, group).length === 0) return false;
  if (now >= group.promotionNotBefore) return true;
  world.scheduler.queueJobAt('detection', group.spec.id, group.promotionNotBefore);
  return false;
}

/** True when the primary's transactions have ended, or `switchoverDrainMs` is over. */
export function isDrained(
  world: World,
  group: GroupRow,
  promotion: Promotion,
  now: Millis,
): boolean {
  if (now - promotion.stageSince >= world.settings.switchoverDrainMs) return true;
  return !hasPrimaryConnection(
    world,
    group,
    (id) => world.connections.get(id)?.transaction !== undefined,
  );
}

/** True when no write runs or awaits confirmation and a successor has the primary's whole log. */
export function isCaughtUp(world: World, group: GroupRow, promotion: Promotion): boolean {
  const primary = group.primary === undefined ? undefined : world.targets.get(group.primary);
  const primaryPosition = primary?.report?.received;
  if (!primary || !primaryPosition || primary.reportAt < promotion.stageSince) return false;
  if (group.confirming.length > 0 || hasPrimaryConnection(world, group, isWriting(world)))
    return false;
  return findSuccessors(world, group).some((target) => {
    const received = target.report?.received;
    return received !== undefined && covers(received, primaryPosition);
  });
}

function isWriting(world: World): (id: number) => boolean {
  return (id) => {
    const request = world.connections.get(id)?.request;
    const row = request === undefined ? undefined : world.requests.get(request);
    return row !== undefined && row.req.op !== 'read';
  };
}

function hasPrimaryConnection(
  world: World,
  group: GroupRow,
  matches: (connection: number) => boolean,
): boolean {
  const primary = group.primary === undefined ? undefined : world.targets.get(group.primary);
  return primary !== undefined && [...primary.connections].some(matches);
}

function findSuccessors(world: World, group: GroupRow): TargetRow[] {
  return targetsOf(world, group).filter((target) => {
    if (target.spec.id === group.primary || target.leaving) return false;
    return target.failedProbes === 0 && target.report?.term === group.term;
  });
}

import { covers } from '@rosedeck/shared';
import type { Millis } from '@rosedeck/shared';
import type { GroupRow, Promotion, TargetRow } from './tables';
import { targetsOf } from './world';
import type { World } from './world';

/** True when a planned switch-over holds an operation back from the primary, or a promotion does. */
export function isHeldBack(group: GroupRow, isBegin: boolean): boolean {
  const { promotion } = group;
  if (!promotion) return false;
  if (promotion.planned && promotion.stage === 'claiming') return false;
  return promotion.stage === 'draining' ? isBegin : true;
}

/** A leaving primary takes new work for a little longer, until another target leads. */
export function takesWork(world: World, group: GroupRow, target: TargetRow, now: Millis): boolean {
  if (!target.leaving || !world.policies.avoidsLeaving) return true;
  if (target.spec.id !== group.primary) return false;
  return now - (target.leavingSince ?? -Infinity) < world.settings.leavingGraceMs;
}

/** True when the primary is leaving and another target of its term could lead. */
export function isSwitchoverDue(world: World, group: GroupRow, now: Millis): boolean {
  const primary = group.primary === undefined ? undefined : world.targets.get(group.primary);
  if (!primary?.leaving || group.promotion) return false;
  if (successors(world, group).length === 0) return false;
  if (now >= group.promotionNotBefore) return true;
  world.scheduler.queueJobAt('detection', group.spec.id, group.promotionNotBefore);
  return false;
}

/** True when the primary's transactions have ended, or have had their time. */
export function isDrained(
  world: World,
  group: GroupRow,
  promotion: Promotion,
  now: Millis,
): boolean {
  if (now - promotion.stageSince >= world.settings.switchoverDrainMs) return true;
  return !hasConnection(world, group, (id) => world.connections.get(id)?.transaction !== undefined);
}

/** True when nothing is being written and a successor has all that the primary has. */
export function isCaughtUp(world: World, group: GroupRow, promotion: Promotion): boolean {
  const primary = group.primary === undefined ? undefined : world.targets.get(group.primary);
  const last = primary?.report?.received;
  if (!primary || !last || primary.reportAt < promotion.stageSince) return false;
  if (group.confirming.length > 0 || hasConnection(world, group, isWriting(world))) return false;
  return successors(world, group).some((target) => {
    const received = target.report?.received;
    return received !== undefined && covers(received, last);
  });
}

function isWriting(world: World): (id: number) => boolean {
  return (id) => {
    const request = world.connections.get(id)?.request;
    const row = request === undefined ? undefined : world.requests.get(request);
    return row !== undefined && row.req.op !== 'read';
  };
}

function hasConnection(
  world: World,
  group: GroupRow,
  matches: (connection: number) => boolean,
): boolean {
  const primary = group.primary === undefined ? undefined : world.targets.get(group.primary);
  return primary !== undefined && [...primary.connections].some(matches);
}

function successors(world: World, group: GroupRow): TargetRow[] {
  return targetsOf(world, group).filter((target) => {
    if (target.spec.id === group.primary || target.leaving) return false;
    return target.failedProbes === 0 && target.report?.term === group.term;
  });
}

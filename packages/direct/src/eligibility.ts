import { covers, ORIGIN } from '@rosedeck/shared';
import type { Millis, Position } from '@rosedeck/shared';
import { mayUsePrimary } from './fencing';
import { findSample, laterOf } from './sampleHistory';
import type { GroupRow, RequestRow, SessionRow, TargetRow, World } from './tables';

/** Age up to which a target's last measured lag counts; after it the target is tried again. */
const LAG_MAX_AGE_MS: Millis = 150;

/** True while new work may be sent to a target. */
export function isUsable(world: World, target: TargetRow, now: Millis): boolean {
  const { settings } = world;
  if (target.unlistedSince !== undefined && now - target.unlistedSince > settings.unlistedGraceMs)
    return false;
  const { leavingSince } = target;
  if (leavingSince === undefined) return true;
  return now - leavingSince < settings.targetDrainMs * settings.leavingShare;
}

/**
 * The minimum position for a request; undefined where any log will do. A read without a usable sample
 * needs the primary.
 */
export function resolvePosition(world: World, row: RequestRow): Position | undefined {
  const position = findMinPosition(world, row);
  return position && covers(ORIGIN, position) ? undefined : position;
}

function findMinPosition(world: World, row: RequestRow): Position | undefined {
  const { route, group, transaction } = row;
  if (route.policy === 'primary' || row.access === 'write') return undefined;
  if (transaction && !transaction.readOnly) return undefined;
  const own = ownPosition(group, row.session);
  const startedAt = transaction?.beganAt ?? row.arrivedAt;
  const boundAt = startedAt - (route.maxStalenessMs ?? Infinity) + world.settings.stalenessMarginMs;
  const notBefore = Math.max(boundAt, row.session.untoldCommitAt ?? -Infinity);
  if (notBefore === -Infinity) return own;
  const sample = findSample(group.samples, notBefore);
  row.needsPrimary = sample === undefined;
  return laterOf(sample?.position, own);
}

/**
 * The position that covers a session's commits. A sample that was taken since they were acknowledged
 * covers those that still stand; one that ends before them shows that a promotion has discarded some.
 */
function ownPosition(group: GroupRow, session: SessionRow): Position | undefined {
  const { position, positionAt } = session;
  const sample = position && findSample(group.samples, positionAt);
  return sample && !covers(sample.position, position) ? sample.position : position;
}

/** True for a request that may lead to a commit. */
export function mayWrite(row: RequestRow): boolean {
  return row.access === 'write' || (row.transaction !== undefined && !row.transaction.readOnly);
}

/** The primary, where it may be sent a request now. */
export function findUsablePrimary(
  world: World,
  row: RequestRow,
  now: Millis,
): TargetRow | undefined {
  const { group } = row;
  const primary = group.primary === undefined ? undefined : group.targets.get(group.primary);
  if (!primary || !isUsable(world, primary, now)) return undefined;
  if (group.contested && mayWrite(row)) return undefined;
  return mayUsePrimary(world, group, now) ? primary : undefined;
}

/** Whether a target is known not to serve reads at present. */
type IsFailing = (target: TargetRow) => boolean;

/** Targets that can serve a read; leaving and already tried ones only when there are no others. */
export function findEligible(
  world: World,
  group: GroupRow,
  row: RequestRow,
  after: Position | undefined,
  now: Millis,
  isFailing: IsFailing = (target) => target.failingSince !== undefined,
): TargetRow[] {
  const usable = [...group.targets.values()].filter(
    (target) => isUsable(world, target, now) && !isFailing(target) && !target.logLoss,
  );
  const caughtUp = usable.filter((target) => isLikelyCaughtUp(group, row, target, after, now));
  const staying = caughtUp.filter((target) => target.leavingSince === undefined);
  const pool = staying.length > 0 ? staying : caughtUp;
  const untried = pool.filter((target) => !row.tried.has(target.listed.id));
  return untried.length > 0 ? untried : pool;
}

/**
 * Whether a target is expected to have applied a position. A read that a lagging replica refuses
 * costs a round trip on a scarce connection, and replicas may lag for seconds.
 */
export function isLikelyCaughtUp(
  group: GroupRow,
  row: RequestRow,
  target: TargetRow,
  after: Position | undefined,
  now: Millis,
): boolean {
  if (after === undefined || target.listed.id === group.primary) return true;
  if (target.applied && covers(target.applied, after)) return true;
  const { lag: lastLag } = target;
  // Without a recent measurement the target is tried, which shows whether it has caught up.
  if (!lastLag || now - lastLag.at >= LAG_MAX_AGE_MS) return true;
  return now - estimateWriteTime(group, row, after) >= lastLag.ms;
}

/** When the sample of a position was requested, or the session's own commit acknowledged. */
function estimateWriteTime(group: GroupRow, row: RequestRow, after: Position): Millis {
  if (row.session.position === after) return row.session.positionAt;
  const sample = group.samples.find((one) => one.position === after);
  return sample?.sentAt ?? row.arrivedAt;
}

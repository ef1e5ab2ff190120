import type { Millis } from '@rosedeck/shared';
import { isUsable } from './eligibility';
import { keepStatus, sendOwnOp } from './ownOps';
import { requestStatus } from './primaryProbes';
import type { Pause } from './promotionTypes';
import type { TargetCode, TargetStatus } from './statements';
import type { GroupRow, TargetRow, World } from './tables';

/** Interval at which a target is told again to pause or to resume, until it replies. */
const RETRY_MS: Millis = 100;

/** A promotion order may be carried out up to this long after its call. */
const LATE_ORDER_MS: Millis = 10_000;

/** A pause of another daemon that lasts longer has been left behind. */
const FOREIGN_PAUSE_MS: Millis = 15_000;

/** Interval at which a target is asked whether it has been left paused. */
const STATUS_INTERVAL_MS: Millis = 3_000;

/** Time for which a rejected request is not repeated. */
const UNSUPPORTED_MS: Millis = 5_000;

/** Codes by which a target that does not know a request rejects it. */
const UNKNOWN_REQUEST: ReadonlySet<TargetCode> = new Set(['malformed', 'other']);

/** The term at which a target is paused; undefined for one that receives. */
export function pausedTerm({ role, term, held = 0 }: TargetStatus): number | undefined {
  return role === 'replica' && held > term ? held : undefined;
}

/** The term for a pause: above all terms, and unlike those of other daemons' pauses. */
function nextPauseTerm(group: GroupRow): number {
  const terms = [...group.targets.values()].flatMap(({ status }) =>
    status ? [status.report.term, status.report.held ?? 0] : [],
  );
  return Math.max(group.leaderTerm, group.term, ...terms) + 1;
}

/**
 * Tells a replica to receive nothing more, for a promotion that started at `startedAt`. Returns whether
 * its log is final since; a target that does not know the request is taken as it is.
 */
export function pauseLog(world: World, target: TargetRow, startedAt: Millis, now: Millis): boolean {
  const { group, listed } = target;
  const pause = group.pauses.get(listed.id);
  if (pause?.isUnsupported === true && now - pause.askedAt < UNSUPPORTED_MS) return true;
  if ((pause?.confirmedAt ?? -Infinity) >= startedAt) return true;
  if (pause && now - pause.askedAt < RETRY_MS) return false;
  const term = nextPauseTerm(group);
  const isSent = sendOwnOp(world, target, { op: 'pause', term }, now, (reply, sent) => {
    const asked = group.pauses.get(listed.id);
    if (asked?.askedAt !== now) return;
    if (reply.kind === 'failed') {
      asked.isUnsupported = UNKNOWN_REQUEST.has(reply.code);
      if (asked.isUnsupported)
        world.io.log({ type: 'pause_rejected', group: group.id, target: listed.id });
      return;
    }
    keepStatus(world, target, reply, sent);
    // A server that is paused already may keep its term.
    const held = reply.status && pausedTerm(reply.status);
    if (held === undefined) return;
    asked.term = held;
    asked.confirmedAt = sent.sentAt;
    world.io.log({ type: 'log_paused', group: group.id, target: listed.id, term: held });
  });
  if (isSent) group.pauses.set(listed.id, { term, askedAt: now, isUnsupported: false });
  return false;
}

/**
 * Lets paused targets receive again once no promotion needs their logs; called each tick. An order that was
 * given up may still be carried out for some time, unless its target leads by now. Pauses of other
 * daemons end when they have lasted too long: the daemon may have been killed.
 */
export function reviewPauses(world: World, group: GroupRow, now: Millis): void {
  if (group.syncReplicas === 0) return;
  const primary = group.primary === undefined ? undefined : group.targets.get(group.primary);
  // A replica that follows a primary without its log may drop what it holds.
  const isOver = !group.promotion && !group.expectedPrimary && !primary?.logLoss;
  const order = group.lastOrder;
  const isCarriedOut =
    order !== undefined &&
    group.primary === order.target &&
    (group.primaryProvenAt ?? -Infinity) > order.at;
  // The promotion has ended the pause of its own target.
  if (isCarriedOut) group.pauses.delete(order.target);
  const mayBeLate = order !== undefined && !isCarriedOut && now - order.at < LATE_ORDER_MS;
  for (const target of group.targets.values()) {
    const { id } = target.listed;
    const pause = group.pauses.get(id);
    if (pause && isOver && !mayBeLate) endPause(world, target, pause, now);
    else if (!pause) reviewForeignPause(world, target, now);
  }
  for (const id of group.pauses.keys()) if (!group.targets.has(id)) group.pauses.delete(id);
}

function endPause(world: World, target: TargetRow, pause: Pause, now: Millis): void {
  const { group, listed, status } = target;
  const held = status ? pausedTerm(status.report) : undefined;
  const isOther = held !== undefined && held !== pause.term && status && status.at > pause.askedAt;
  if (pause.isUnsupported || isOther) {
    group.pauses.delete(listed.id);
    return;
  }
  resume(world, target, now, () => {
    if (group.pauses.get(listed.id) === pause) group.pauses.delete(listed.id);
  });
}

function reviewForeignPause(world: World, target: TargetRow, now: Millis): void {
  const { group, status } = target;
  const held = status ? pausedTerm(status.report) : undefined;
  if (held === undefined) target.heldSince = undefined;
  else if (target.heldSince?.term !== held) target.heldSince = { term: held, at: now };
  const isCalm = group.primaryProvenAt !== undefined && !group.promotion && !group.expectedPrimary;
  if (!isCalm || target.listed.id === group.primary) return;
  if (target.heldSince && now - target.heldSince.at > FOREIGN_PAUSE_MS)
    resume(world, target, now, () => (target.heldSince = undefined));
  else if (isUsable(world, target, now) && now - target.statusRequestedAt > STATUS_INTERVAL_MS)
    requestStatus(world, target, now);
}

function resume(world: World, target: TargetRow, now: Millis, onDone: () => void): void {
  if (now - target.resumeAskedAt < RETRY_MS) return;
  const isSent = sendOwnOp(world, target, { op: 'resume' }, now, (reply, sent) => {
    if (reply.kind === 'failed' && !UNKNOWN_REQUEST.has(reply.code)) return;
    keepStatus(world, target, reply, sent);
    world.io.log({ type: 'log_resumed', group: target.group.id, target: target.listed.id });
    onDone();
  });
  if (isSent) target.resumeAskedAt = now;
}

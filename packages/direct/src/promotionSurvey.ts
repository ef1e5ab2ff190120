import { covers, formatPosition, ORIGIN } from '@rosedeck/shared';
import type { Millis } from '@rosedeck/shared';
import { leadsOutdatedTerm } from './fencing';
import { newestEffective } from './promotionHistory';
import type { KnownHistory } from './promotionHistory';
import type { PromotionCandidate } from './promotionPolicy';
import type { Promotion, StoredClaim } from './promotionTypes';
import type { GroupRow, TargetRow, World } from './tables';

/** True when the target has replied to a status request of the promotion. */
export function hasStatus({ status }: TargetRow, promotion: Promotion): boolean {
  return status !== undefined && status.at >= promotion.startedAt;
}

/**
 * A target that reports to be the primary of a later term: this daemon has missed a promotion. One whose
 * term a newer claim has ended is none.
 */
export function findOtherPrimary(group: GroupRow, promotion: Promotion): TargetRow | undefined {
  return [...group.targets.values()].find((row) => {
    const { listed, status } = row;
    if (!status || listed.id === group.primary || status.at < promotion.startedAt) return false;
    if (leadsOutdatedTerm(row)) return false;
    return status.report.role === 'primary' && status.report.term > group.term;
  });
}

/** Replies from before the promotion do not count: the log may have been cut back since. */
export function describeCandidate(target: TargetRow, promotion: Promotion): PromotionCandidate {
  const { listed, status, lastPosition, leavingSince, failingSince } = target;
  const common = {
    id: listed.id,
    leaving: leavingSince !== undefined,
    failing: failingSince !== undefined,
    isLeading: leadsOutdatedTerm(target),
  };
  if (status && hasStatus(target, promotion))
    return { ...common, received: status.report.received, reply: 'status' };
  if (lastPosition && lastPosition.sentAt >= promotion.startedAt)
    return { ...common, received: lastPosition.position, reply: 'position' };
  return common;
}

/** What this daemon knows of the log of a group, by proofs, the survey and the claims of the store. */
export function knownHistory(world: World, group: GroupRow, promotion: Promotion): KnownHistory {
  if (areLogsEmpty(group, promotion)) return { term: ORIGIN.term };
  // Without a fence a claim needs a quorum, which has used the newest primary and knows its term.
  if (!world.settings.promotionsFenced) return { term: group.term };
  const claim = newestEffective(promotion.basis.claim, (one) =>
    isRefuted(world, group, promotion, one),
  );
  return { term: group.term, claim: claim && mayLeadUnseen(group, claim) ? claim : undefined };
}

/** Whether each target that the group is known to have had has told the promotion that it holds nothing. */
function areLogsEmpty({ targets, missingLogs }: GroupRow, promotion: Promotion): boolean {
  if (missingLogs.logs.size > 0) return false;
  return [...targets.values()].every((target) => {
    if (target.unlistedSince !== undefined || !hasStatus(target, promotion)) return false;
    return target.status !== undefined && covers(ORIGIN, target.status.report.received);
  });
}

/**
 * Whether a claim counts: any that names its log does. One of an earlier release, which names none,
 * counts until its target has been seen to lead, whose term then tells the logs apart, or has left
 * the list.
 */
function mayLeadUnseen({ targets, knownClaim, lastProof }: GroupRow, claim: StoredClaim): boolean {
  if (claim.received) return true;
  const hasLed = lastProof?.target === claim.target && lastProof.sentAt >= (knownClaim?.since ?? 0);
  return !hasLed && targets.has(claim.target);
}

/**
 * Whether a claim has not taken effect: its target reports that it is a replica, or another target has
 * led for longer than an order may be under way.
 */
function isRefuted(
  world: World,
  group: GroupRow,
  promotion: Promotion,
  claim: StoredClaim,
): boolean {
  const target = group.targets.get(claim.target);
  if (target && hasStatus(target, promotion) && target.status?.report.role === 'replica')
    return true;
  const { knownClaim, lastProof } = group;
  if (!knownClaim || !lastProof || lastProof.target === claim.target) return false;
  return lastProof.sentAt - knownClaim.since > world.settings.promotionTimeoutMs * 2;
}

/** Logs what the choice of a candidate is based on. */
export function logSurveyed(
  world: World,
  group: GroupRow,
  candidate: PromotionCandidate,
  now: Millis,
): void {
  const { id, reply, failing, received } = candidate;
  const status = group.targets.get(id)?.status;
  world.io.log({
    type: 'promotion_surveyed',
    group: group.id,
    target: id,
    reply: reply ?? 'none',
    failing,
    role: status?.report.role,
    term: status?.report.term,
    received: received ? formatPosition(received) : 'unknown',
    statusAgeMs: status && Math.round(now - status.at),
  });
}

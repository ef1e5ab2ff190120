import { formatPosition, positionOrd } from '@rosedeck/shared';
import type { Millis, TargetId } from '@rosedeck/shared';
import { isUsable } from './eligibility';
import { demoteOutdated, driveStepDown, mayClaim } from './fencing';
import { countOpinions } from './fleet';
import type { Opinions } from './fleet';
import { probeTargets, requestStatus } from './primaryProbes';
import { reviewPauses } from './pauses';
import { presumePrimary, reviewPrimary } from './primaryTracking';
import type { LogVerdict } from './logSafety';
import { coversLog, reviewLostLog } from './lostLogs';
import { limitChain, mayHoldDiscarded } from './promotionHistory';
import { reviewLogs } from './promotionLogs';
import { detectPrimaryFailure, isOutdated, trackContested } from './primaryFailure';
import { chooseCandidate, findPromotionReason, promotionDelayMs } from './promotionPolicy';
import type { PromotionCandidate } from './promotionPolicy';
import {
  describeCandidate,
  findOtherPrimary,
  hasStatus,
  knownHistory,
  logSurveyed,
} from './promotionSurvey';
import type { Promotion, PromotionReason, PromotionResult } from './promotionTypes';
import { isSampler, isScarce, otherSamplers } from './samplers';
import { trackLaggingReplicas } from './laggingReplicas';
import type { GroupRow, TargetRow, World } from './tables';

/** Time for which a rejected candidate is not chosen again. */
const REJECTED_MS: Millis = 2_000;

/** Pause after a promotion that found no candidate or could not be ordered. */
const UNAVAILABLE_PAUSE_MS: Millis = 400;

/** Time in which the samplers of a group replace its primary, before other daemons start to. */
const SAMPLERS_FIRST_MS: Millis = 2_000;

/** Time in which a target that leads an outdated term steps down, before another one is chosen. */
const STEP_DOWN_WAIT_MS: Millis = 1_000;

/** A replica that has not received a position of this age counts as not receiving. */
const MAX_RECEIVE_LAG_MS: Millis = 500;

/** Probes a group's primary, runs its failure detector and drives promotions; called each tick. */
export function runFailover(world: World, group: GroupRow, now: Millis): void {
  if (group.targets.size === 0) return;
  reviewPrimary(world, group);
  const primary = group.primary === undefined ? undefined : group.targets.get(group.primary);
  detectPrimaryFailure(world, group, primary, now);
  driveStepDown(world, group, now);
  reviewPauses(world, group, now);
  reviewLostLog(world, group, primary, now);
  probeTargets(world, group, primary, now);
  expireExpectedPrimary(world, group, now);
  if (group.promotion) {
    continuePromotion(world, group, primary, group.promotion, now);
    return;
  }
  startPromotionIfNeeded(world, group, primary, now);
}

function expireExpectedPrimary(world: World, group: GroupRow, now: Millis): void {
  const expected = group.expectedPrimary;
  if (!expected || now - expected.since <= world.settings.promotionTimeoutMs) return;
  group.expectedPrimary = undefined;
  const seenAt = Math.max(group.primaryProvenAt ?? -Infinity, group.primaryLearnedAt ?? -Infinity);
  if (seenAt < expected.since && group.targets.has(expected.target))
    presumePrimary(world, group, expected.target);
}

function startPromotionIfNeeded(
  world: World,
  group: GroupRow,
  primary: TargetRow | undefined,
  now: Millis,
): void {
  if (world.drainingSince !== undefined) return;
  const opinions = countOpinions(world, group.id, primary?.listed.id, now);
  trackContested(world, group, opinions);
  if (!mayClaim(world, group, now)) {
    group.promotionReasonSince = undefined;
    return;
  }
  const reason = currentReason(world, group, primary, opinions, now);
  // The staggered delays restart if an expected primary does not appear.
  if (reason === undefined || group.expectedPrimary) {
    group.promotionReasonSince = undefined;
    return;
  }
  if (group.promotionNotBefore !== undefined && now < group.promotionNotBefore) return;
  group.promotionReasonSince ??= now;
  const delayMs = ownPromotionDelayMs(world, group);
  if (now - group.promotionReasonSince < delayMs) return;
  world.io.log({ type: 'promotion_started', group: group.id, reason, ...opinions });
  const basis = world.io.readClaimBasis(group.id);
  group.promotion = { reason, startedAt: now, epoch: world.epoch, basis, stage: 'survey' };
}

/** Why the group needs another primary at this moment; undefined while it does not. */
function currentReason(
  world: World,
  group: GroupRow,
  primary: TargetRow | undefined,
  opinions: Opinions,
  now: Millis,
): PromotionReason | undefined {
  const { primaryDownSince } = group;
  const isDown = primaryDownSince !== undefined;
  return findPromotionReason({
    known: primary !== undefined && !isOutdated(group),
    leaving: primary?.leavingSince !== undefined,
    unlisted: primary?.unlistedSince !== undefined && !primary.isRecalled,
    logLost: primary?.logLoss !== undefined,
    suspected: group.suspectedPrimary !== undefined,
    primaryDownMs: isDown ? now - primaryDownSince : 0,
    storeAgeMs: isDown ? world.io.readClaimBasis(group.id).ageMs : 0,
    // Without a fence a promotion leaves the group without a primary for a time, and may cost commits.
    replicasLaggingMs: world.settings.promotionsFenced
      ? trackLaggingReplicas(world, group, now)
      : 0,
    proven: group.primaryProvenAt !== undefined || group.primaryLearnedAt !== undefined,
    hasPeers: world.fleet.listed.length > 1,
    ...opinions,
  });
}

/** Why a promotion that has been started must not be ordered any more, as a short text. */
function findObsoleteCause(
  world: World,
  group: GroupRow,
  primary: TargetRow | undefined,
  promotion: Promotion,
  now: Millis,
): string | undefined {
  if (promotion.epoch !== world.epoch) return 'a time jump';
  const { era, revision } = world.io.readClaimBasis(group.id);
  if (era !== promotion.basis.era || revision !== promotion.basis.revision) return 'a newer claim';
  if (!mayClaim(world, group, now)) return 'no quorum';
  const opinions = countOpinions(world, group.id, primary?.listed.id, now);
  return currentReason(world, group, primary, opinions, now) === undefined
    ? 'no reason'
    : undefined;
}

/** Ends a promotion without a candidate. */
function reportNoCandidate(
  world: World,
  group: GroupRow,
  candidates: readonly PromotionCandidate[],
  now: Millis,
): void {
  for (const candidate of candidates) logSurveyed(world, group, candidate, now);
  abandonPromotion(world, group, 'no candidate', now);
}

/** Ends a promotion that has claimed nothing. */
function abandonPromotion(world: World, group: GroupRow, cause: string, now: Millis): void {
  world.io.log({ type: 'promotion_abandoned', group: group.id, cause });
  group.promotion = undefined;
  group.promotionNotBefore = now + UNAVAILABLE_PAUSE_MS;
}

function continuePromotion(
  world: World,
  group: GroupRow,
  primary: TargetRow | undefined,
  promotion: Promotion,
  now: Millis,
): void {
  const { settings } = world;
  if (promotion.stage === 'ordered') {
    if (now - (promotion.orderedAt ?? now) > settings.promotionTimeoutMs)
      group.promotion = undefined;
    return;
  }
  if (group.expectedPrimary) {
    group.promotion = undefined;
    return;
  }
  const otherPrimary = findOtherPrimary(group, promotion);
  if (otherPrimary) {
    group.promotion = undefined;
    expectPrimary(world, group, otherPrimary.listed.id, now);
    return;
  }
  const surveyed = [...group.targets.values()].filter((target) =>
    mayBeCandidate(world, group, target, promotion, now),
  );
  // Where commits wait for replicas each log may have one that all others lack.
  for (const target of group.syncReplicas > 0 ? group.targets.values() : surveyed)
    if (!hasStatus(target, promotion)) requestStatus(world, target, now);
  demoteOutdated(world, group, now);
  const candidates = surveyed.map((target) => describeCandidate(target, promotion));
  const isComplete = candidates.every((one) => one.reply === 'status' || one.failing);
  const surveyMs = now - promotion.startedAt;
  if (!isComplete && surveyMs < settings.statusWaitMs) return;
  // Its log may be the newest.
  if (candidates.some((one) => one.isLeading) && surveyMs < STEP_DOWN_WAIT_MS) return;
  const obsoleteCause = findObsoleteCause(world, group, primary, promotion, now);
  if (obsoleteCause !== undefined) {
    // The others' opinions may change back, while a proof of the primary stands.
    const isProven = (group.lastProof?.sentAt ?? -Infinity) >= promotion.startedAt;
    const mayReturn = obsoleteCause === 'no reason' && !isProven;
    if (mayReturn && now - promotion.startedAt < settings.promotionTimeoutMs) return;
    abandonPromotion(world, group, obsoleteCause, now);
    return;
  }
  const history = knownHistory(world, group, promotion);
  const fit = candidates.filter((one) => !mayHoldDiscarded(one, history));
  const choice = chooseCandidate(fit, group.syncReplicas > 0 ? 'newest' : 'staying');
  // A target that replies late still counts while there is no other candidate.
  const waitMs = isComplete ? 0 : settings.promotionTimeoutMs;
  if (!choice && now - promotion.startedAt < waitMs) return;
  if (!choice) {
    reportNoCandidate(world, group, candidates, now);
    return;
  }
  if (group.syncReplicas > 0) {
    const verdict = reviewLogs(world, group, promotion, choice, history, now);
    if (verdict.kind !== 'complete') {
      awaitLogs(world, group, promotion, choice, verdict, now);
      return;
    }
  }
  if (isTooFarBehind(world, group, promotion.reason, choice, now)) {
    group.promotion = undefined;
    group.promotionNotBefore = now + UNAVAILABLE_PAUSE_MS;
    return;
  }
  promotion.stage = 'ordered';
  promotion.orderedAt = now;
  promotion.candidate = choice.id;
  group.lastOrder = { target: choice.id, at: now };
  world.io.log({
    type: 'promotion_ordered',
    group: group.id,
    candidate: choice.id,
    received: choice.received ? formatPosition(choice.received) : 'unknown',
    surveyed: candidates.filter((one) => one.reply !== undefined).length,
    knownTerm: group.term,
  });
  for (const candidate of candidates) logSurveyed(world, group, candidate, now);
  const { basis } = promotion;
  const { id: target, received } = choice;
  const previous = limitChain(history.claim);
  world.io.promote(group.id, { target, received, previous, term: nextTerm(group), basis });
}

/** Whether a target may be promoted if its log is the newest. */
function mayBeCandidate(
  world: World,
  group: GroupRow,
  target: TargetRow,
  promotion: Promotion,
  now: Millis,
): boolean {
  if (now - target.rejectedAt <= REJECTED_MS) return false;
  // Where commits wait for replicas, one that is leaving receives until it ends.
  if (group.syncReplicas === 0 && !isUsable(world, target, now)) return false;
  if (target.listed.id !== group.primary || isOutdated(group)) return true;
  // The primary is back as a replica; nobody else may have been promoted.
  const isReplica = hasStatus(target, promotion) && target.status?.report.role === 'replica';
  return group.syncReplicas > 0 && isReplica;
}

/** Waits for logs that may have acknowledged commits; gives the promotion up when that takes too long. */
function awaitLogs(
  world: World,
  group: GroupRow,
  promotion: Promotion,
  choice: PromotionCandidate,
  verdict: Exclude<LogVerdict, { kind: 'complete' }>,
  now: Millis,
): void {
  const waitedMs = now - promotion.startedAt;
  const awaited = verdict.awaited.join(' ');
  if (waitedMs >= world.settings.statusWaitMs && !promotion.isAwaitLogged) {
    promotion.isAwaitLogged = true;
    const { kind } = verdict;
    const candidate = choice.id;
    world.io.log({ type: 'promotion_awaits', group: group.id, candidate, verdict: kind, awaited });
  }
  if (waitedMs >= world.settings.promotionTimeoutMs)
    abandonPromotion(world, group, `acknowledged commits may be missing; awaited: ${awaited}`, now);
}

/** Time that this daemon leaves to those that are ranked before it, in a large fleet the samplers. */
function ownPromotionDelayMs(world: World, group: GroupRow): Millis {
  const { name } = world.self;
  const { promotionStaggerMs } = world.settings;
  const peers = [...world.fleet.peers.keys()];
  if (!isScarce(world, group)) return promotionDelayMs(name, peers, group.id, promotionStaggerMs);
  const samplers = otherSamplers(world, group);
  if (isSampler(world, group))
    return promotionDelayMs(name, samplers, group.id, promotionStaggerMs);
  return SAMPLERS_FIRST_MS + promotionDelayMs(name, peers, group.id, promotionStaggerMs);
}

/** The term of the next primary, as far as known here. */
function nextTerm(group: GroupRow): number {
  const reported = [...group.targets.values()].map(({ status }) => status?.report.term ?? 0);
  return Math.max(group.leaderTerm, ...reported) + 1;
}

/**
 * While time allows, a working primary is not replaced by a replica that receives no data, nor one that
 * has lost its log by one that holds no more.
 */
function isTooFarBehind(
  world: World,
  group: GroupRow,
  reason: PromotionReason,
  choice: PromotionCandidate,
  now: Millis,
): boolean {
  if (reason === 'replicas_behind') return isNotReceiving(group, choice, now);
  const primary = group.primary === undefined ? undefined : group.targets.get(group.primary);
  if (reason === 'log_lost') return primary !== undefined && coversLog(primary, choice.received);
  if (reason !== 'leaving') return false;
  const { settings } = world;
  const leavingMs = now - (primary?.leavingSince ?? now);
  if (leavingMs > (settings.targetDrainMs * settings.leavingShare) / 2) return false;
  return isNotReceiving(group, choice, now);
}

function isNotReceiving(group: GroupRow, choice: PromotionCandidate, now: Millis): boolean {
  const old = group.samples.findLast((sample) => now - sample.sentAt > MAX_RECEIVE_LAG_MS);
  if (!old) return false;
  return !choice.received || positionOrd.compare(choice.received, old.position) < 0;
}

/**
 * Whether a claimed promotion still has to be ordered: the store may have taken seconds. Where
 * promotions are not fenced, the claim itself has ended the use of the old primary.
 */
export function mustOrder(
  world: World,
  group: GroupRow,
  candidate: TargetId,
  now: Millis,
): boolean {
  const { promotion, primary } = group;
  if (promotion?.candidate !== candidate || promotion.epoch !== world.epoch) return false;
  if (!world.settings.promotionsFenced) return true;
  const row = primary === undefined ? undefined : group.targets.get(primary);
  const opinions = countOpinions(world, group.id, primary, now);
  return currentReason(world, group, row, opinions, now) !== undefined;
}

/** Applies the result of a promotion order. */
export function applyPromotionEnd(
  world: World,
  group: GroupRow,
  candidate: TargetId,
  result: PromotionResult,
  now: Millis,
): void {
  world.io.log({ type: 'promotion_ended', group: group.id, candidate, outcome: result });
  // The result of an earlier promotion, which took too long, does not end the present one.
  if (group.promotion?.candidate === candidate) group.promotion = undefined;
  const wasSent = result !== 'lost_claim' && result !== 'obsolete';
  group.lastOrder = wasSent ? { target: candidate, at: now } : undefined;
  if (result === 'ordered' || result === 'unknown') {
    expectPrimary(world, group, candidate, now);
    return;
  }
  group.promotionNotBefore = now + UNAVAILABLE_PAUSE_MS;
  const target = group.targets.get(candidate);
  if (result === 'rejected' && target) target.rejectedAt = now;
}

/** Records that this or another daemon has chosen a target as the next primary. */
export function expectPrimary(world: World, group: GroupRow, target: TargetId, now: Millis): void {
  if (group.expectedPrimary?.target === target || !group.targets.has(target)) return;
  if (group.primary === target && group.primaryProvenAt !== undefined) return;
  group.expectedPrimary = { target, since: now };
  group.primaryChosenAt = now;
  group.promotionReasonSince = undefined;
  world.groupsToDispatch.add(group);
}

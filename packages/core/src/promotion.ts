import type { Millis, TargetId } from '@rosedeck/shared';
import type { AdoptReply, TargetReport } from './messages';
import { applyReport } from './probeRounds';
import { isCaughtUp, isDrained } from './switchover';
import type { GroupRow, Promotion, PromotionStage, TargetRow } from './tables';
import { majorityOf, queueCommand, recordLogEvent, targetsOf } from './world';
import type { World } from './world';

/** Starts to replace the primary of a group by claiming the next term in the platform's store. */
export function startPromotion(
  world: World,
  group: GroupRow,
  now: Millis,
  planned: boolean,
  replacedPrimary?: TargetId,
): void {
  const term = Math.max(group.term, group.highestSeenTerm) + 1;
  group.highestSeenTerm = term;
  group.promotion = {
    term,
    startedAt: now,
    endsAt: now + world.settings.promotionTimeoutMs,
    planned,
    replacedPrimary,
    stage: 'claiming',
    stageSince: now,
    grants: new Map(),
    refusals: new Set(),
  };
  recordLogEvent(world, { type: 'promotion_started', group: group.spec.id, term, planned });
  queueCommand(world, { type: 'claim_term', group: group.spec.id, term });
  world.scheduler.queueJob('promotion', group.spec.id);
}

/** Advances the promotion of a group through its stages and ends it when it is done or out of time. */
export function runPromotion(world: World, group: GroupRow, now: Millis): void {
  const promotion = group.promotion;
  if (!promotion) return;
  if (group.term > promotion.term) {
    endPromotion(world, group, promotion, 'overtaken', now);
    return;
  }
  const isCandidatePrimary =
    promotion.candidate !== undefined && group.primary === promotion.candidate;
  if (isCandidatePrimary && group.term === promotion.term) {
    endPromotion(world, group, promotion, 'done', now);
    return;
  }
  if (now >= promotion.endsAt) {
    endPromotion(world, group, promotion, 'timed_out', now);
    return;
  }
  if (promotion.stage === 'claiming') runClaiming(world, group, promotion, now);
  if (promotion.stage === 'draining') runDraining(world, group, promotion, now);
  if (promotion.stage === 'holding') runHolding(world, group, promotion, now);
  if (promotion.stage === 'fencing') runFencing(world, group, promotion, now);
  if (promotion.stage === 'promoting') runPromoting(world, group, promotion, now);
  if (group.promotion !== promotion) return;
  queueNextRun(world, group, promotion);
}

/** Ends a promotion that has fenced no target and whose reason is gone. */
export function cancelPromotion(world: World, group: GroupRow, now: Millis): void {
  if (group.promotion) endPromotion(world, group, group.promotion, 'reason_gone', now);
}

/** Applies the store's result of a claim; when the store is unavailable, the targets' terms decide. */
export function applyClaim(
  world: World,
  group: GroupRow,
  term: number,
  result: 'granted' | 'refused' | 'unavailable',
  heldTerm = 0,
): void {
  const promotion = group.promotion;
  if (promotion?.term !== term || promotion.stage !== 'claiming') return;
  const now = world.clock.now();
  if (result === 'refused') {
    group.highestSeenTerm = Math.max(group.highestSeenTerm, heldTerm);
    endPromotion(world, group, promotion, 'claim_refused', now);
    return;
  }
  endClaiming(world, group, promotion, now);
}

/** Applies a target's reply to the new term; no reply counts as a refusal. */
export function applyAdoptReply(
  world: World,
  group: GroupRow,
  target: TargetRow,
  term: number,
  reply: AdoptReply | undefined,
): void {
  const promotion = group.promotion;
  if (promotion?.term !== term || promotion.stage !== 'fencing') return;
  if (reply?.granted) promotion.grants.set(target.spec.id, reply.report);
  else promotion.refusals.add(target.spec.id);
  if (reply) group.highestSeenTerm = Math.max(group.highestSeenTerm, reply.report.term);
  world.scheduler.queueJob('promotion', group.spec.id);
}

/** Applies the candidate's reply to its promotion; `report` is undefined if the call failed. */
export function applyPromoteReply(
  world: World,
  group: GroupRow,
  target: TargetRow,
  term: number,
  report: TargetReport | undefined,
): void {
  const promotion = group.promotion;
  if (promotion?.term !== term || promotion.stage !== 'promoting') return;
  const now = world.clock.now();
  const hasPromoted = report?.role === 'primary' && report.term === term;
  if (!hasPromoted) {
    endPromotion(world, group, promotion, 'candidate_failed', now);
    return;
  }
  applyReport(world, group, target, report, now);
  endPromotion(world, group, promotion, 'done', now);
}

/**
 * The grants without that of the replaced primary if they are a majority, which holds all acknowledged
 * writes; otherwise all grants.
 */
function usableGrants(group: GroupRow, promotion: Promotion): Map<TargetId, TargetReport> {
  const grants = new Map(promotion.grants);
  if (promotion.replacedPrimary !== undefined) grants.delete(promotion.replacedPrimary);
  return grants.size >= majorityOf(group) ? grants : promotion.grants;
}

function runPromoting(world: World, group: GroupRow, promotion: Promotion, now: Millis): void {
  if (now - promotion.stageSince < world.settings.promoteWaitMs) return;
  endPromotion(world, group, promotion, 'candidate_silent', now);
}

function runClaiming(world: World, group: GroupRow, promotion: Promotion, now: Millis): void {
  if (now - promotion.stageSince >= world.settings.claimWaitMs)
    endClaiming(world, group, promotion, now);
}

/** A planned switch-over first lets the primary finish its open transactions. */
function endClaiming(world: World, group: GroupRow, promotion: Promotion, now: Millis): void {
  if (!promotion.planned) {
    startFencing(world, group, promotion, now);
    return;
  }
  const { switchoverDrainMs, switchoverHoldMs, promotionTimeoutMs } = world.settings;
  promotion.endsAt = now + switchoverDrainMs + switchoverHoldMs + promotionTimeoutMs;
  enterStage(promotion, 'draining', now);
  world.scheduler.queueJob('promotion', group.spec.id);
}

function runDraining(world: World, group: GroupRow, promotion: Promotion, now: Millis): void {
  if (!isDrained(world, group, promotion, now)) return;
  enterStage(promotion, 'holding', now);
  world.scheduler.queueJob('rounds', group.spec.id);
}

function runHolding(world: World, group: GroupRow, promotion: Promotion, now: Millis): void {
  if (isCaughtUp(world, group, promotion)) startFencing(world, group, promotion, now);
  else if (now - promotion.stageSince >= world.settings.switchoverHoldMs)
    endPromotion(world, group, promotion, 'not_caught_up', now);
}

function startFencing(world: World, group: GroupRow, promotion: Promotion, now: Millis): void {
  enterStage(promotion, 'fencing', now);
  for (const target of targetsOf(world, group)) {
    queueCommand(world, {
      type: 'adopt_term',
      group: group.spec.id,
      target: target.spec.id,
      term: promotion.term,
    });
  }
  queueNextRun(world, group, promotion);
}

function runFencing(world: World, group: GroupRow, promotion: Promotion, now: Millis): void {
  const total = group.spec.targets.length;
  const majority = majorityOf(group);
  if (promotion.refusals.size > total - majority) {
    endPromotion(world, group, promotion, 'refused', now);
    return;
  }
  if (!world.policies.isFenced(promotion.grants.size, majority)) return;
  promotion.majorityAt ??= now;
  const haveAllReplied = promotion.grants.size + promotion.refusals.size >= total;
  const isGraceOver = now - promotion.majorityAt >= world.settings.fenceGraceMs;
  if (!haveAllReplied && !isGraceOver) return;
  promoteCandidate(world, group, promotion, now);
}

function promoteCandidate(world: World, group: GroupRow, promotion: Promotion, now: Millis): void {
  const isLeaving = (id: TargetId): boolean => world.targets.get(id)?.leaving ?? false;
  const candidate = world.policies.chooseCandidate(usableGrants(group, promotion), isLeaving);
  if (candidate === undefined) return;
  promotion.candidate = candidate;
  enterStage(promotion, 'promoting', now);
  queueCommand(world, {
    type: 'promote',
    group: group.spec.id,
    target: candidate,
    term: promotion.term,
  });
}

function enterStage(promotion: Promotion, stage: PromotionStage, now: Millis): void {
  promotion.stage = stage;
  promotion.stageSince = now;
}

function queueNextRun(world: World, group: GroupRow, promotion: Promotion): void {
  const { settings } = world;
  const waits: Readonly<Record<PromotionStage, Millis>> = {
    claiming: settings.claimWaitMs,
    draining: settings.switchoverDrainMs,
    holding: settings.switchoverHoldMs,
    fencing: settings.fenceGraceMs,
    promoting: settings.promoteWaitMs,
  };
  const from = promotion.stage === 'fencing' ? promotion.majorityAt : promotion.stageSince;
  const at = Math.min((from ?? Infinity) + waits[promotion.stage], promotion.endsAt);
  const next = Math.max(at, world.clock.now() + 1);
  world.scheduler.queueJobAt('promotion', group.spec.id, next);
}

function endPromotion(
  world: World,
  group: GroupRow,
  promotion: Promotion,
  result: string,
  now: Millis,
): void {
  group.promotion = undefined;
  const tookMs = now - promotion.startedAt;
  recordLogEvent(world, {
    type: 'promotion_ended',
    group: group.spec.id,
    term: promotion.term,
    result,
    tookMs,
  });
  if (result !== 'done') {
    const backoff = world.settings.promotionBackoffMs;
    group.promotionNotBefore = now + backoff * (1 + world.random());
    world.scheduler.queueJobAt('detection', group.spec.id, group.promotionNotBefore);
  }
  world.scheduler.queueJob('rounds', group.spec.id);
  world.scheduler.queueJob('dispatch', group.spec.id);
}

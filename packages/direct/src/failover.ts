import { formatPosition, positionOrd } from '@rosedeck/shared';
import type { GroupId, InstanceId, Millis, Position, TargetId } from '@rosedeck/shared';
import {
  releaseConnection,
  sendOps,
  takeConnection,
  loseConnection,
  mayOpen,
  openConnection,
} from './connections';
import { isUsable } from './dispatch';
import { isSampler, isScarce, spreadHash } from './sampling';
import { countOpinions } from './fleet';
import type { Opinions } from './fleet';
import { noteLead, noteNotLeading, reviewPrimary } from './leadership';
import type { Promotion, PromotionReason, PromotionResult } from './promotionTypes';
import type { GroupRow, TargetRow, World } from './tables';

/** What decides whether a group needs a promotion. */
export interface PrimaryView {
  readonly known: boolean;
  readonly leaving: boolean;
  readonly gone: boolean;
  /** This daemon cannot reach it. */
  readonly suspected: boolean;
  /** Time without a primary that proves its lead. */
  readonly troubledMs: Millis;
  /** Time that the primary has been alone with more reads than it can serve. */
  readonly strandedMs: Millis;
  /** The directory shows other daemons. */
  readonly hasPeers: boolean;
  /** Other daemons that cannot reach it, and that can. */
  readonly suspecting: number;
  readonly trusting: number;
  /** Other daemons that have proof of another target's lead. */
  readonly elsewhere: number;
}

/** A group in which nobody leads is given this long to settle by itself. */
const NOBODY_LEADS_MS: Millis = 1_200;

/** A daemon that hears nothing of the others may be the one that is cut off; it waits this long. */
const ALONE_MS: Millis = 4_000;

/** Replicas that fall behind for less than this catch up by themselves. */
const STRANDED_MS: Millis = 1_000;

/** Time after a change of primary in which lagging replicas cause no other. */
const ROTATION_PAUSE_MS: Millis = 8_000;

/** Time for which a refusal or a queue shows that the primary alone is not enough. */
const DEMAND_MS: Millis = 500;

/** Time that a rejected candidate is passed over. */
const REJECTED_MS: Millis = 2_000;

/** Pause after an order that could not be placed. */
const UNAVAILABLE_PAUSE_MS: Millis = 400;

/** A replica that lacks a position this old receives nothing at present. */
const DEAF_MS: Millis = 500;

/**
 * Whether the group needs another primary, and why. Answers a primary that is lost, leaves, or is
 * cut off from most daemons; a cut from a few is left alone, since their callers can go elsewhere.
 * Also answers replicas that apply what they receive too late for any read: one that leads has
 * applied all of it, and the old primary serves reads beside it.
 *
 * Never answers a daemon's own view alone: where others have proof of another lead, this daemon is
 * cut off from it, and a promotion would bring back commits that the other lead has cut off.
 */
export function findPromotionReason(view: PrimaryView): PromotionReason | undefined {
  if (view.elsewhere > 0) return undefined;
  if (view.known && view.leaving) return 'leaving';
  const isAlone = view.hasPeers && view.suspecting + view.trusting === 0;
  if (!view.known && isAlone && view.troubledMs < ALONE_MS) return undefined;
  if (!view.known) return view.troubledMs > NOBODY_LEADS_MS ? 'nobody_leads' : undefined;
  if (!view.suspected) return view.strandedMs > STRANDED_MS ? 'replicas_behind' : undefined;
  if (view.gone) return 'gone';
  if (isAlone && view.troubledMs < ALONE_MS) return undefined;
  return view.suspecting + 1 > view.trusting ? 'unreachable' : undefined;
}

/** One replica that may be promoted. */
export interface PromotionCandidate {
  readonly id: TargetId;
  readonly leaving: boolean;
  /** Last position that it is known to hold. */
  readonly received?: Position;
  readonly answered: boolean;
  readonly failing: boolean;
}

/** The replica with the newest log; ties go to one that answered and stays. */
export function chooseCandidate(
  candidates: readonly PromotionCandidate[],
): PromotionCandidate | undefined {
  const fit = candidates.filter((one) => !one.failing);
  const staying = fit.filter((one) => !one.leaving);
  const pool = staying.length > 0 ? staying : fit;
  return pool.reduce<PromotionCandidate | undefined>(
    (best, one) => (best === undefined || isBetter(one, best) ? one : best),
    undefined,
  );
}

function isBetter(a: PromotionCandidate, b: PromotionCandidate): boolean {
  if (!a.received || !b.received) return a.received !== undefined && b.received === undefined;
  const order = positionOrd.compare(a.received, b.received);
  return order === 0 ? a.answered && !b.answered : order > 0;
}

/** Head start order of the daemons for a group: each name has its own place in each group. */
export function promotionTurn(
  self: InstanceId,
  others: readonly InstanceId[],
  group: GroupId,
): number {
  const own = spreadHash(`${group}/${self}`);
  return others.filter((name) => spreadHash(`${group}/${name}`) < own).length;
}

/** Keeps the belief about a group's primary current, and starts promotions. */
export function runFailover(world: World, group: GroupRow, now: Millis): void {
  if (group.targets.size === 0) return;
  reviewPrimary(world, group);
  const primary = group.primary === undefined ? undefined : group.targets.get(group.primary);
  trackTrouble(world, group, primary, now);
  probeTargets(world, group, primary, now);
  if (group.expected && now - group.expected.since > world.settings.promotionWaitMs)
    group.expected = undefined;
  if (group.promotion) {
    continuePromotion(world, group, group.promotion, now);
    return;
  }
  maybeStart(world, group, primary, now);
}

function trackTrouble(
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
      ? primary.entry.id
      : undefined;
  if (!primary || primary.failingSince !== undefined)
    group.troubledSince ??= primary?.failingSince ?? now;
  else group.troubledSince = undefined;
  if (suspected === group.suspected) return;
  const subject = suspected ?? group.suspected ?? '';
  group.suspected = suspected;
  world.woken.add(group);
  world.sides.log({
    type: suspected === undefined ? 'primary_cleared' : 'primary_suspected',
    group: group.id,
    target: subject,
    silentMs: Math.round(failingMs),
  });
}

/** Asks for proof of the lead: of the primary when its newest proof is old, of all when it is unknown. */
function probeTargets(
  world: World,
  group: GroupRow,
  primary: TargetRow | undefined,
  now: Millis,
): void {
  const { settings } = world;
  if (isScarce(world, group) && !isSampler(world, group)) return;
  const provenAt = group.primaryProvenAt;
  const isSettled = primary !== undefined && provenAt !== undefined && !group.expected;
  if (isSettled) {
    if (now - group.lastRequestAt > settings.sampleIdleMs) return;
    if (now - provenAt >= settings.sampleEveryMs) probeLead(world, primary, now);
    return;
  }
  for (const target of group.targets.values())
    if (isUsable(world, target, now)) probeLead(world, target, now);
}

function probeLead(world: World, target: TargetRow, now: Millis): void {
  if (now - target.probedAt < world.settings.probeEveryMs) return;
  const connection = takeConnection(target, now, NO_VALUES);
  if (!connection) {
    if (target.connections.size === 0 && mayOpen(world, target, now))
      openConnection(world, target, now);
    return;
  }
  target.probedAt = now;
  sendOps(world, connection, [
    [
      { op: 'begin', readOnly: false },
      (reply, sent) => {
        if (reply.kind === 'done') noteLead(world, target, reply.position, sent);
        else if (reply.code === 'read_only') noteNotLeading(world, target, sent);
      },
    ],
    [
      { op: 'rollback' },
      (reply) => {
        const at = world.clock.now();
        if (reply.inTransaction) loseConnection(world, connection, 'protocol', at);
        else releaseConnection(world, connection, at);
      },
    ],
  ]);
}

const NO_VALUES: ReadonlyMap<string, string> = new Map();

/**
 * Notes whether the primary is about to be replaced for want of reach. Answers a primary that is
 * cut off with some daemons: what it acknowledged to them would be cut back by its successor.
 */
function noteContested(world: World, group: GroupRow, opinions: Opinions): void {
  const contested = group.suspected === undefined && opinions.suspecting > opinions.trusting + 1;
  if (contested === group.contested) return;
  group.contested = contested;
  world.woken.add(group);
  world.sides.log({ type: 'primary_contested', group: group.id, contested, ...opinions });
}

function maybeStart(
  world: World,
  group: GroupRow,
  primary: TargetRow | undefined,
  now: Millis,
): void {
  if (world.drainingSince !== undefined) return;
  const opinions = countOpinions(world, group.id, primary?.entry.id, now);
  noteContested(world, group, opinions);
  const reason = findPromotionReason({
    known: primary !== undefined,
    leaving: primary?.leavingSince !== undefined,
    gone: primary?.missingSince !== undefined,
    suspected: group.suspected !== undefined,
    troubledMs: group.troubledSince === undefined ? 0 : now - group.troubledSince,
    strandedMs: trackStranded(world, group, now),
    hasPeers: world.fleet.listed.length > 1,
    ...opinions,
  });
  if (reason === undefined) {
    group.reasonSince = undefined;
    return;
  }
  if (group.expected) {
    // The turns start anew if what is expected does not come.
    group.reasonSince = undefined;
    return;
  }
  if (group.pausedUntil !== undefined && now < group.pausedUntil) return;
  group.reasonSince ??= now;
  const peers = [...world.fleet.peers.keys()];
  const turn = promotionTurn(world.self.name, peers, group.id);
  if (now - group.reasonSince < turn * world.settings.promotionStepMs) return;
  world.sides.log({ type: 'promotion_started', group: group.id, reason, ...opinions });
  group.promotion = { reason, startedAt: now, stage: 'survey' };
  for (const target of group.targets.values()) survey(world, target, now);
}

/** Time since when all replicas have been too far behind for any read, while reads wait. */
function trackStranded(world: World, group: GroupRow, now: Millis): Millis {
  const isWanted = now - group.demandAt < DEMAND_MS && now - group.rotatedAt > ROTATION_PAUSE_MS;
  if (!isWanted || !areReplicasBehind(world, group, now)) group.strandedSince = undefined;
  else group.strandedSince ??= now;
  return group.strandedSince === undefined ? 0 : now - group.strandedSince;
}

function areReplicasBehind(world: World, group: GroupRow, now: Millis): boolean {
  const allowedMs = longestStaleness(world, group);
  if (allowedMs === undefined) return false;
  const replicas = [...group.targets.values()].filter(
    (target) =>
      target.entry.id !== group.primary &&
      target.leavingSince === undefined &&
      target.failingSince === undefined &&
      isUsable(world, target, now),
  );
  return replicas.length > 0 && replicas.every((target) => (target.lag?.ms ?? 0) > allowedMs);
}

/** The greatest age of data that a route of the group accepts; undefined when none is limited. */
function longestStaleness(world: World, group: GroupRow): Millis | undefined {
  let longest: Millis | undefined;
  for (const route of world.config?.routes.values() ?? []) {
    if (route.group !== group.id || route.maxStalenessMs === undefined) continue;
    longest = Math.max(longest ?? 0, route.maxStalenessMs);
  }
  return longest;
}

/** Asks a target for its status. */
function survey(world: World, target: TargetRow, now: Millis): void {
  if (target.entry.id === target.group.primary) return;
  const connection = takeConnection(target, now, NO_VALUES);
  if (!connection) {
    if (mayOpen(world, target, now)) openConnection(world, target, now);
    return;
  }
  sendOps(world, connection, [
    [
      { op: 'status' },
      (reply) => {
        const at = world.clock.now();
        if (reply.kind === 'done' && reply.status) target.status = { report: reply.status, at };
        releaseConnection(world, connection, at);
      },
    ],
  ]);
}

function continuePromotion(world: World, group: GroupRow, promotion: Promotion, now: Millis): void {
  const { settings } = world;
  if (promotion.stage === 'ordered') {
    if (now - (promotion.orderedAt ?? now) > settings.promotionWaitMs) group.promotion = undefined;
    return;
  }
  if (group.expected) {
    group.promotion = undefined;
    return;
  }
  const leader = findOtherLeader(group, promotion);
  if (leader) {
    group.promotion = undefined;
    expectPrimary(world, group, leader.entry.id, now);
    return;
  }
  const candidates = [...group.targets.values()]
    .filter((target) => target.entry.id !== group.primary && isUsable(world, target, now))
    .filter((target) => now - target.rejectedAt > REJECTED_MS)
    .map((target) => describeCandidate(target, promotion));
  const isComplete = candidates.every((one) => one.answered || one.failing);
  if (!isComplete && now - promotion.startedAt < settings.surveyMs) return;
  const choice = chooseCandidate(candidates);
  if (!choice || isTooFarBehind(world, group, promotion.reason, choice, now)) {
    group.promotion = undefined;
    group.pausedUntil = now + UNAVAILABLE_PAUSE_MS;
    return;
  }
  promotion.stage = 'ordered';
  promotion.orderedAt = now;
  promotion.candidate = choice.id;
  world.sides.log({
    type: 'promotion_ordered',
    group: group.id,
    candidate: choice.id,
    received: choice.received ? formatPosition(choice.received) : 'unknown',
    surveyed: candidates.filter((one) => one.answered).length,
  });
  world.sides.promote(group.id, choice.id);
}

/** A target that says that it leads already; this daemon has missed a promotion. */
function findOtherLeader(group: GroupRow, promotion: Promotion): TargetRow | undefined {
  return [...group.targets.values()].find(({ entry, status }) => {
    if (!status || entry.id === group.primary || status.at < promotion.startedAt) return false;
    return status.report.role === 'primary' && status.report.term > group.term;
  });
}

function describeCandidate(target: TargetRow, promotion: Promotion): PromotionCandidate {
  const { status } = target;
  const answered = status !== undefined && status.at >= promotion.startedAt;
  return {
    id: target.entry.id,
    leaving: target.leavingSince !== undefined,
    received: answered ? status.report.received : target.applied,
    answered,
    failing: target.failingSince !== undefined,
  };
}

/** A working primary is not replaced by a replica that receives nothing, while there is time. */
function isTooFarBehind(
  world: World,
  group: GroupRow,
  reason: PromotionReason,
  choice: PromotionCandidate,
  now: Millis,
): boolean {
  if (reason === 'replicas_behind') return isDeaf(group, choice, now);
  if (reason !== 'leaving') return false;
  const primary = group.primary === undefined ? undefined : group.targets.get(group.primary);
  const { settings } = world;
  const leavingMs = now - (primary?.leavingSince ?? now);
  if (leavingMs > (settings.targetDrainMs * settings.leavingShare) / 2) return false;
  return isDeaf(group, choice, now);
}

function isDeaf(group: GroupRow, choice: PromotionCandidate, now: Millis): boolean {
  const old = group.samples.findLast((sample) => now - sample.sentAt > DEAF_MS);
  if (!old) return false;
  return !choice.received || positionOrd.compare(choice.received, old.position) < 0;
}

/** Takes in how an order ended. */
export function applyPromotionEnd(
  world: World,
  group: GroupRow,
  result: PromotionResult,
  now: Millis,
): void {
  const { promotion } = group;
  world.sides.log({
    type: 'promotion_ended',
    group: group.id,
    candidate: promotion?.candidate,
    outcome: result,
  });
  group.promotion = undefined;
  const candidate = promotion?.candidate;
  if (candidate === undefined) return;
  if (result === 'ordered' || result === 'unknown') {
    expectPrimary(world, group, candidate, now);
    return;
  }
  group.pausedUntil = now + UNAVAILABLE_PAUSE_MS;
  const target = group.targets.get(candidate);
  if (result === 'rejected' && target) target.rejectedAt = now;
}

/** Takes in that a target has been chosen to lead, here or by another daemon. */
export function expectPrimary(world: World, group: GroupRow, target: TargetId, now: Millis): void {
  if (group.expected?.target === target || !group.targets.has(target)) return;
  if (group.primary === target && group.primaryProvenAt !== undefined) return;
  group.expected = { target, since: now };
  group.rotatedAt = now;
  group.reasonSince = undefined;
  world.woken.add(group);
}

import { createFailure, runStateOf } from '@rosedeck/shared';
import type { Millis, RequestId } from '@rosedeck/shared';
import { findLoadRefusal } from './admission';
import { isConfigStale } from './configFreshness';
import { finishRequest, refuse } from './finishRequest';
import { enqueueRequest, isPinned } from './groupQueue';
import type { Answer, OwnerRequest } from './messages';
import { fingerprintOf, statementIdentity } from './outcomes';
import { isOwner, ownersOf } from './ownership';
import { earnRetry } from './retryBudget';
import type { GroupRow, RequestRow } from './tables';
import type { World } from './world';

/** Redirections of a request after which the receiver serves it even if it is not an owner. */
export const FORWARDS_LIMIT = 2;

/** Handles a request at its owner: queues it, or answers at once. */
export function acceptRequest(world: World, req: OwnerRequest): void {
  const now = world.clock.now();
  if (req.op === 'outcome') {
    answerOutcomeQuery(world, createRow(world, req, now));
    return;
  }
  if (answerDuplicate(world, req, now)) return;
  const row = createRow(world, req, now);
  const group = world.groups.get(req.group);
  if (!group) {
    refuse(world, row, 'unknown_group', `no group ${req.group} in this configuration`);
    return;
  }
  row.rank = rankOf(group, row);
  if (!isPinned(row) && refuseByConfig(world, group, row)) return;
  if (!isPinned(row) && redirectToOwner(world, group, row)) return;
  activateGroup(world, group, row, now);
  if (req.tries === 0) earnRetry(group.ownerRetryBudget, world.settings);
  const refusal = isPinned(row) ? undefined : findLoadRefusal(world, group, row, now);
  if (refusal) {
    refuse(world, row, refusal.kind, refusal.detail, refusal.retryAfterMs);
    return;
  }
  enqueueRequest(group.queue, row);
  world.requests.set(req.id, row);
  world.deadlines.add(req.id, row.deadlineAt);
  world.scheduler.queueJob('dispatch', req.group);
}

/**
 * Refuses new work of a removed group, and all new work while a later configuration may be in force
 * or the list that shows leaving targets has not been read.
 */
function refuseByConfig(world: World, group: GroupRow, row: RequestRow): boolean {
  const { id } = group.spec;
  const isRemoved = world.removedGroups.has(id);
  if (isRemoved) refuse(world, row, 'unknown_group', `group ${id} was removed`);
  else if (!world.hasList) {
    const detail = 'the list of instances and targets has not been read yet';
    refuse(world, row, 'stale_configuration', detail);
  } else if (isConfigStale(world, world.clock.now())) {
    const detail = `revision ${world.config.revision} could not be confirmed`;
    refuse(world, row, 'stale_configuration', detail);
  } else return false;
  return true;
}

function createRow(world: World, req: OwnerRequest, now: Millis): RequestRow {
  return {
    req,
    arrivedAt: now,
    deadlineAt: now + req.deadlineMs,
    stage: 'queued',
    sampleAfter: needsSample(world, req) ? now : undefined,
    minPosition: req.minPosition,
    rank: 0,
    queuedAt: now,
    queuedAhead: 0,
    hasOtherWait: false,
    tries: req.tries,
    mayHaveRun: false,
    outcomeWaiters: [],
  };
}

function needsSample(world: World, req: OwnerRequest): boolean {
  if (world.policies.ignoresPositions || !world.policies.requiresArrivalSample) return false;
  if (req.op === 'read') return req.minPosition === undefined || req.maxAgeMs === 0;
  // A transaction reads from the primary, which a sample sent after the arrival must prove.
  if (req.op === 'begin') return req.minPosition === undefined;
  return false;
}

/**
 * Requests a probe round if the request needs one, and drops a primary gap that no recent round
 * confirms.
 */
function activateGroup(world: World, group: GroupRow, row: RequestRow, now: Millis): void {
  const { id } = group.spec;
  group.lastRequestAt = now;
  const isProbed = now - group.lastRoundAt <= 2 * world.settings.idleRoundMs;
  if (!isProbed) group.primaryGap.since = undefined;
  if (row.sampleAfter !== undefined || !isOwner(world, id)) world.scheduler.queueJob('rounds', id);
}

/** Rank of a request's class; a class missing from the configuration comes last. */
function rankOf(group: GroupRow, row: RequestRow): number {
  const ranks = group.spec.classRanks;
  return ranks[row.req.cls] ?? Math.max(0, ...Object.values(ranks)) + 1;
}

/**
 * Answers a repeated request id with the answer of the first request, so that it does not run twice.
 * Returns false for a new id, and for one whose first request has not run.
 */
function answerDuplicate(world: World, req: OwnerRequest, now: Millis): boolean {
  const running = world.requests.get(req.id);
  if (running) {
    joinRunning(world, running, createRow(world, req, now));
    return true;
  }
  const known = world.outcomes.find(req.id);
  if (!known || isNotRun(known.answer)) return false;
  if (known.fingerprint === fingerprintOf(req))
    finishRequest(world, createRow(world, req, now), known.answer);
  else refuseReusedId(world, createRow(world, req, now));
  return true;
}

function joinRunning(world: World, running: RequestRow, duplicate: RequestRow): void {
  if (statementIdentity(running.req) !== statementIdentity(duplicate.req)) {
    refuseReusedId(world, duplicate);
    return;
  }
  const { entry } = duplicate.req;
  const isJoined = [running, ...running.outcomeWaiters].some(
    (row) => row.req.id === duplicate.req.id && row.req.entry === entry,
  );
  if (!isJoined) running.outcomeWaiters.push(duplicate);
}

function refuseReusedId(world: World, row: RequestRow): void {
  refuse(world, row, 'bad_mark', 'the request id belongs to another statement');
}

function isNotRun(answer: Answer): boolean {
  return answer.kind === 'failure' && runStateOf(answer.failure) === 'not_run';
}

function answerOutcomeQuery(world: World, row: RequestRow): void {
  const subject: RequestId = row.req.subject ?? '';
  const running = world.requests.get(subject);
  if (running) {
    running.outcomeWaiters.push(row);
    return;
  }
  const known = world.outcomes.find(subject);
  if (known) finishRequest(world, row, known.answer);
  else refuse(world, row, 'outcome_unknown', 'this owner has no record of the request');
}

/**
 * Refuses the request and names the group's owner, unless this daemon owns the group or the redirection
 * limit is reached.
 */
function redirectToOwner(world: World, group: GroupRow, row: RequestRow): boolean {
  if (row.req.forwards >= FORWARDS_LIMIT || isOwner(world, group.spec.id)) return false;
  const owner = ownersOf(world, group.spec.id)[0];
  const failure = createFailure('not_owner', `the owner is ${owner ?? 'unknown'}`);
  finishRequest(world, row, { kind: 'failure', failure, owner });
  return true;
}

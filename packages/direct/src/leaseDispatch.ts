import type { InstanceId, Millis, Position } from '@rosedeck/shared';
import { dropConnection } from './connections';
import { findEligible, findUsablePrimary, isUsable, resolvePosition } from './eligibility';
import { chooseLeaseTarget, poolStateOf, poolWaitMs } from './leasePlacement';
import { leaseWaitOf, requestLease } from './leases';
import { findOwnerToProbe, findPoolOwner, recordOwnerLost } from './poolOwners';
import { takeRetry } from './retryBudget';
import type { GroupRow, LeaseWait, RequestRow, TargetRow, World } from './tables';

/** Shortest wait of a read for a lease after which it asks at one more target. */
const SECOND_LEASE_MS: Millis = 50;

/** Waiting leases of one request; more would only lengthen the queues of the pools. */
const MAX_WAITING = 2;

/** Share of a wait below which another pool counts as faster; waits that were told earlier decay. */
const FASTER_SHARE = 0.8;

/** Expected rest of a wait for a lease, as a share of its time so far, where no load is told. */
const REST_SHARE = 0.5;

/**
 * Asks for leases for the queued requests of a pooled group. Returns the requests for which no pool
 * owner can be reached: connections of this daemon serve them.
 */
export function askForLeases(world: World, group: GroupRow, now: Millis): RequestRow[] {
  const own: RequestRow[] = [];
  for (const row of [...group.queue]) {
    if (row.notBefore > now || row.awaitsToken) continue;
    const wait = leaseWaitOf(row);
    if (isWaiting(world, row, wait, now)) {
      if (now >= wait.reviewAt) askAtSecondTarget(world, row, wait, now);
      continue;
    }
    wait.usesOwn = askAtFirstTarget(world, row, wait, now) === 'no owner';
    if (wait.usesOwn) own.push(row);
  }
  return own;
}

/** True while a request waits for a lease that can serve it; others are withdrawn. */
function isWaiting(world: World, row: RequestRow, wait: LeaseWait, now: Millis): boolean {
  for (const connection of [...wait.waiting]) {
    const { target } = connection;
    const isOutdated = row.needsPrimary && target.listed.id !== row.group.primary;
    if (isOutdated || !isUsable(world, target, now)) dropConnection(world, connection);
  }
  return wait.waiting.length > 0;
}

function askAtFirstTarget(
  world: World,
  row: RequestRow,
  wait: LeaseWait,
  now: Millis,
): 'asked' | 'no target' | 'no owner' {
  const candidates = findCandidates(world, row, now).filter((target) =>
    isPromising(target, wait, now),
  );
  const [first] = candidates;
  if (!first) return 'no target';
  const choice = choosePool(world, candidates, now);
  if (!choice) {
    probeLostOwner(world, row, first, now);
    return 'no owner';
  }
  const { target, owner } = choice;
  wait.reviewAt = now + Math.max(SECOND_LEASE_MS, poolWaitMs(target, now) / 2);
  requestLease(world, row, target, owner, now);
  probeLostOwner(world, row, target, now);
  return 'asked';
}

/** The target with the best pool among those whose pool owner can be reached. */
function choosePool(
  world: World,
  targets: readonly TargetRow[],
  now: Millis,
): { readonly target: TargetRow; readonly owner: InstanceId } | undefined {
  const owned = targets.filter((target) => findPoolOwner(world, target, now) !== undefined);
  const target = chooseLeaseTarget(world, owned, now);
  const owner = target && findPoolOwner(world, target, now);
  return target && owner !== undefined ? { target, owner } : undefined;
}

/** True unless a pool that refused the request promised to be as fast. */
function isPromising(target: TargetRow, { refusals }: LeaseWait, now: Millis): boolean {
  if (refusals.size === 0) return true;
  if (refusals.has(target.listed.id)) return false;
  return poolWaitMs(target, now) < FASTER_SHARE * Math.min(...refusals.values());
}

function findCandidates(world: World, row: RequestRow, now: Millis): TargetRow[] {
  const after = resolvePosition(world, row);
  if (!row.needsPrimary) return findLeasable(world, row, after, now);
  const primary = findUsablePrimary(world, row, now);
  return primary ? [primary] : [];
}

/** Targets at which a read may ask for a lease; those that do not reply to this daemon come last. */
function findLeasable(
  world: World,
  row: RequestRow,
  after: Position | undefined,
  now: Millis,
): TargetRow[] {
  const eligible = findEligible(
    world,
    row.group,
    row,
    after,
    now,
    (target) => now < target.leaseAvoidedUntil,
  );
  const replying = eligible.filter((target) => target.failingSince === undefined);
  return replying.length > 0 ? replying : eligible;
}

function probeLostOwner(world: World, row: RequestRow, target: TargetRow, now: Millis): void {
  const owner = findOwnerToProbe(world, target, now);
  if (owner === undefined) return;
  recordOwnerLost(world, owner, now);
  requestLease(world, row, target, owner, now, true);
}

/** A read that has waited long asks for a lease at one more target, if that promises to be faster. */
function askAtSecondTarget(world: World, row: RequestRow, wait: LeaseWait, now: Millis): void {
  const [first] = wait.waiting;
  if (!first) return;
  const waitedMs = now - first.openedAt;
  wait.reviewAt = now + Math.max(SECOND_LEASE_MS, waitedMs);
  if (wait.waiting.length >= MAX_WAITING) return;
  const candidates = findCandidates(world, row, now);
  if (row.needsPrimary) return;
  const restMs =
    poolStateOf(first.target, now) === 'queueing'
      ? poolWaitMs(first.target, now)
      : waitedMs * REST_SHARE;
  const others = candidates.filter(
    (target) =>
      target !== first.target &&
      isPromising(target, wait, now) &&
      poolWaitMs(target, now) < FASTER_SHARE * restMs,
  );
  const choice = choosePool(world, others, now);
  if (choice) requestLease(world, row, choice.target, choice.owner, now);
}

/** Asks for a lease at a second target, without a queue, for a slow read; true when it was asked. */
export function hedgeOverLease(world: World, row: RequestRow, now: Millis): boolean {
  if (leaseWaitOf(row).waiting.length > 0) return false;
  const after = resolvePosition(world, row);
  if (row.needsPrimary) return false;
  const candidates = findLeasable(world, row, after, now).filter(
    (target) => !row.tried.has(target.listed.id) && poolStateOf(target, now) === 'idle',
  );
  const choice = choosePool(world, candidates, now);
  if (!choice || !takeRetry(row.group.retryBudget, false)) return false;
  requestLease(world, row, choice.target, choice.owner, now);
  return true;
}

/** True when every target that may serve a request has a queue at its pool. */
export function isPoolQueueing(world: World, row: RequestRow, now: Millis): boolean {
  const candidates = findCandidates(world, row, now);
  return candidates.every((target) => poolStateOf(target, now) === 'queueing');
}

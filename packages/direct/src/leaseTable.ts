import type { Millis } from '@rosedeck/shared';
import { poolWaitMs } from './leasePlacement';
import { recordOwnerLost, recordOwnerReached } from './poolOwners';
import type { LossReason } from './statements';
import type { ConnectionRow, Lease, RequestRow, TargetRow, World } from './tables';

/** Time for which reads avoid a target that its pool could not reach. */
const AVOID_MS: Millis = 300;

/** Pause of a request whose lease the target's pool could not open; only this target can serve it. */
const RETRY_MS: Millis = 50;

/** Records that a lease was granted; the dispatch that follows uses or returns it. */
export function acceptLease(world: World, row: ConnectionRow, lease: Lease, now: Millis): void {
  recordOwnerReached(world, lease.owner, now);
  row.target.leaseFailingSince = undefined;
  row.lastReplyAt = now;
  removeWaiting(lease.request, row);
}

/** Removes a lease that ended, was returned or withdrawn from the tables. */
export function forgetLease(row: ConnectionRow, lease: Lease): void {
  const { leases, group } = row.target;
  leases.delete(row);
  const index = group.idleLeases.indexOf(row);
  if (index !== -1) group.idleLeases.splice(index, 1);
  removeWaiting(lease.request, row);
}

function removeWaiting(request: RequestRow, row: ConnectionRow): void {
  const waiting = request.leaseWait?.waiting;
  const index = waiting?.indexOf(row) ?? -1;
  if (index !== -1) waiting?.splice(index, 1);
}

/**
 * Records why a lease ended or was refused. It says nothing about this daemon's own connections to the
 * target, by which the primary is judged.
 */
export function recordLeaseLoss(
  world: World,
  row: ConnectionRow,
  lease: Lease,
  reason: LossReason,
  now: Millis,
): void {
  const { target } = row;
  if (reason === 'owner_lost') {
    recordOwnerLost(world, lease.owner, now);
    return;
  }
  if (reason === 'not_owner') {
    target.notOwners.set(lease.owner, now);
    return;
  }
  const wasWaiting = row.state === 'opening';
  if (wasWaiting) recordOwnerReached(world, lease.owner, now);
  if (wasWaiting)
    world.io.log({
      type: 'lease_refused',
      target: target.listed.id,
      owner: lease.owner,
      reason,
      waitMs: Math.round(poolWaitMs(target, now)),
    });
  if (reason === 'overloaded') {
    // Terms of another request say nothing about the one that waits after an exchange.
    if (lease.request === lease.askedFor && !lease.isProbe)
      lease.request.leaseWait?.refusals.set(target.listed.id, poolWaitMs(target, now));
    return;
  }
  if (wasWaiting && !lease.isProbe) pauseRequest(lease.request, now);
  if (wasWaiting || reason === 'silent') avoidTarget(target, reason, now);
}

function pauseRequest(request: RequestRow, now: Millis): void {
  if (request.needsPrimary) request.notBefore = Math.max(request.notBefore, now + RETRY_MS);
}

function avoidTarget(target: TargetRow, reason: LossReason, now: Millis): void {
  target.leaseAvoidedUntil = now + AVOID_MS;
  if (reason !== 'limit') target.leaseFailingSince ??= now;
}

import type { Millis } from '@rosedeck/shared';
import { STAGES } from './leaseQueue';
import type { LeaseRequest, RefusalReason } from './leases';
import type { LeaseRow, TargetRow, World } from './tables';
import { anyWaitMs, lastWaitMs, newWaitMs } from './waitEstimate';

function createLease(
  request: LeaseRequest,
  target: TargetRow,
  exceedsShare: boolean,
  now: Millis,
): LeaseRow {
  return {
    id: request.lease,
    link: request.link,
    target,
    tenant: request.tenant,
    priority: request.priority,
    arrivedAt: now,
    key: now + request.keyInMs,
    onTimeAt: now + request.onTimeInMs,
    deadlineAt: now + request.deadlineInMs,
    state: 'queued',
    exceedsShare,
    stage: 'onTime',
    usedMs: 0,
    chargedMs: 0,
  };
}

/** Queues a request, or refuses it at once; a request with the name of a running lease is ignored. */
export function handleRequest(world: World, request: LeaseRequest, now: Millis): void {
  if (world.leases.has(request.lease)) return;
  const target = world.targets.get(request.target);
  if (!target || target.isRetired || world.isDraining) {
    world.counts.refused.not_owner += 1;
    const queued = target?.queue.size() ?? 0;
    world.io.refuse(request.lease, 'not_owner', { queued, waitMs: 0 });
    return;
  }
  const workMs = target.queue.classOf(request.priority).service.valueMs();
  const isWithinShare = target.fairShare.offer(now, request.tenant, workMs);
  const lease = createLease(request, target, !isWithinShare, now);
  if (isUnreachable(target) && now < target.openBlockedUntil) {
    refuse(world, lease, 'unreachable', target.openBlockedUntil - now, now);
    return;
  }
  const waitMs = newWaitMs(target, lease, now);
  if (waitMs > request.deadlineInMs || request.deadlineInMs <= 0) {
    refuse(world, lease, 'overloaded', waitMs, now);
    return;
  }
  world.leases.set(lease.id, lease);
  const ofLink = world.links.get(lease.link);
  if (ofLink) ofLink.add(lease);
  else world.links.set(lease.link, new Set([lease]));
  target.queue.add(lease, now);
}

/** Whether the last openings at a target have failed, and nothing is open or being opened there. */
export function isUnreachable(target: TargetRow): boolean {
  return target.failingSince !== undefined && target.connections.size === 0;
}

/** Removes a lease or request from the tables. */
export function endLease(world: World, lease: LeaseRow): void {
  if (lease.state === 'queued') lease.target.queue.remove(lease);
  if (lease.state === 'granted') {
    world.leased -= 1;
    lease.target.queue.settle(lease);
  }
  lease.state = 'ended';
  lease.connection = undefined;
  world.leases.delete(lease.id);
  const ofLink = world.links.get(lease.link);
  ofLink?.delete(lease);
  if (ofLink?.size === 0) world.links.delete(lease.link);
}

/** Refuses a request, with the time after which another may be served. */
export function refuse(
  world: World,
  lease: LeaseRow,
  reason: RefusalReason,
  waitMs: Millis,
  now: Millis,
): void {
  const { target } = lease;
  endLease(world, lease);
  world.counts.refused[reason] += 1;
  world.log({
    type: 'lease_refused',
    lease: lease.id,
    target: target.id,
    reason,
    waitedMs: Math.round(now - lease.arrivedAt),
    expectedWaitMs: Math.round(waitMs),
  });
  world.io.refuse(lease.id, reason, { queued: target.queue.size(), waitMs });
}

/** Refuses all waiting requests of a target. */
export function refuseAll(
  world: World,
  target: TargetRow,
  reason: RefusalReason,
  now: Millis,
): void {
  const waitMs = reason === 'unreachable' ? Math.max(0, target.openBlockedUntil - now) : 0;
  for (const lease of [...target.queue.list()])
    if (lease.state === 'queued') refuse(world, lease, reason, waitMs, now);
}

/** Refuses the waiting requests whose deadline has passed, or is certain to pass before a grant. */
export function reviewQueue(world: World, target: TargetRow, now: Millis): void {
  const { queue } = target;
  for (const lease of [...queue.list()]) {
    if (lease.state !== 'queued') continue;
    if (lease.deadlineAt <= now) refuse(world, lease, 'overloaded', anyWaitMs(target, now), now);
    else queue.demote(lease, now);
  }
  if (now - target.reviewedAt < world.settings.reviewEveryMs) return;
  target.reviewedAt = now;
  target.fairShare.review(now, Math.min(target.slots, target.limit.value()));
  if (queue.size() === 0) return;
  refuseHopeless(world, target, now);
  queue.prune();
}

/** Refuses the last requests of tenants while they are not expected to start in time. */
function refuseHopeless(world: World, target: TargetRow, now: Millis): void {
  for (const row of target.queue.classes)
    for (const flow of [...row.flows.values()])
      for (const stage of STAGES)
        for (let lease = flow[stage].at(-1); lease; lease = flow[stage].at(-1)) {
          const waitMs = lastWaitMs(target, row, stage, flow, now);
          if (now + waitMs <= lease.deadlineAt) break;
          refuse(world, lease, 'overloaded', waitMs, now);
        }
}

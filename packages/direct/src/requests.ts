import type { ErrorKind, Millis, RequestId } from '@rosedeck/shared';
import { admit, queueKey, retryAfterMs } from './admission';
import type { AdmissionInputs } from './admission';
import type { Route } from './configuration';
import { isUsable, mayWrite } from './eligibility';
import { failRequest, mayHaveRun } from './requestFailures';
import { othersInFlight } from './otherLoads';
import type { ExecutionHooks } from './requestFailures';
import { earnRetry } from './retryBudget';
import { allowedConnections } from './connections';
import type { Access } from './statements';
import type { TenantName } from './tenants';
import { expectedPrimaryWaitMs } from './primaryWait';
import type { GroupRow, RequestRow, SessionRow, TargetRow, TransactionRow, World } from './tables';

/** The part of a request that comes from the caller's statement. */
export interface RequestSpec {
  readonly id: RequestId;
  readonly access: Access | 'commit';
  readonly text: string;
  readonly prepared?: RequestRow['prepared'];
  readonly transaction?: TransactionRow;
  /** Tenant on whose behalf the statement runs, if any. */
  readonly tenant?: TenantName;
}

/** Creates a request, not yet queued. */
export function createRequest(
  world: World,
  session: SessionRow,
  route: Route,
  group: GroupRow,
  spec: RequestSpec,
): RequestRow {
  const now = world.clock.now();
  group.lastRequestAt = now;
  earnRetry(group.retryBudget);
  const isReadWrite = spec.transaction !== undefined && !spec.transaction.readOnly;
  return {
    ...spec,
    session,
    route,
    group,
    needsPrimary: isReadWrite || spec.access === 'write' || route.policy === 'primary',
    arrivedAt: now,
    deadlineAt: now + route.timeoutMs,
    queueKey: queueKey(now, route.latencyObjectiveMs, route.priority, costRatio(group, route)),
    stage: 'queued',
    awaitsToken: false,
    tried: new Set(),
    tries: 0,
    running: new Set(),
    unansweredTries: 0,
    hasUnusedResult: false,
    lastSentAt: now,
    notBefore: now,
    lastError: '',
  };
}

/** Average time of the route's statements over that of the group's reads. */
function costRatio(group: GroupRow, route: Route): number {
  const own = group.routeMs.get(route.name);
  return own === undefined ? 1 : own.value / group.runMs.read.value;
}

/** Inserts a request into the queue of its group, ordered by `queueKey`. */
export function enqueueRequest(world: World, row: RequestRow): void {
  const { queue } = row.group;
  row.stage = 'queued';
  world.running.delete(row);
  let index = queue.length;
  while (index > 0 && (queue[index - 1]?.queueKey ?? 0) > row.queueKey) index -= 1;
  queue.splice(index, 0, row);
  world.groupsToDispatch.add(row.group);
}

/** Sheds queued requests of a group that cannot be served in time. */
export function shedLateRequests(world: World, hooks: ExecutionHooks, group: GroupRow): void {
  const now = world.clock.now();
  const ahead = { primary: 0, any: 0 };
  for (const row of [...group.queue]) {
    const pool = poolOf(row);
    const inputs = collectAdmissionInputs(world, row, ahead[pool], now);
    const waited = now - row.arrivedAt;
    const adjusted = {
      ...inputs,
      latencyObjectiveMs: Math.max(0, row.route.latencyObjectiveMs - waited),
    };
    const admission = admit(adjusted, world.settings.queueTimeShare);
    if (admission.kind === 'queue') ahead[pool] += 1;
    else refuseRequest(world, hooks, row, admission.reason, admission.waitMs);
  }
}

/**
 * Which connections serve a request: those to the primary, or any. Without samples, a read counts
 * as served by any, since the first sample soon follows.
 */
export function poolOf(row: RequestRow): 'primary' | 'any' {
  if (row.route.policy === 'primary' || row.access === 'write') return 'primary';
  if (row.transaction && !row.transaction.readOnly) return 'primary';
  return row.group.samples.length === 0 ? 'any' : row.needsPrimary ? 'primary' : 'any';
}

/** Inputs of the admission of a request that own connections serve. */
export function collectAdmissionInputs(
  world: World,
  row: RequestRow,
  ahead: number,
  now: Millis,
): AdmissionInputs {
  const { group } = row;
  const pool = poolOf(row);
  let connections = 0;
  for (const target of group.targets.values()) {
    if (pool === 'primary' && target.listed.id !== group.primary) continue;
    if (!isUsable(world, target, now)) continue;
    const canOpen = now >= target.openBlockedUntil;
    const held = target.connections.size;
    const usable = canOpen ? Math.max(held, allowedConnections(world, target)) : held;
    connections += Math.min(usable, inFlightShare(world, target));
  }
  return {
    ahead,
    connections,
    occupancyMs: group.occupancyMs[pool].value,
    primaryWaitMs: primaryWaitOf(world, row, now),
    latencyObjectiveMs: row.route.latencyObjectiveMs,
    remainingMs: row.deadlineAt - now,
  };
}

/** Expected time until a request has the primary that it needs; 0 when it needs none. */
export function primaryWaitOf(world: World, row: RequestRow, now: Millis): Millis {
  const { group } = row;
  if (!row.needsPrimary) return 0;
  if (group.contested && mayWrite(row)) return group.promotionMs.value;
  return expectedPrimaryWaitMs(world, group, now);
}

/** Statements of this daemon that may be in flight at a target. */
function inFlightShare(world: World, target: TargetRow): number {
  const inFlightLimit = target.listed.slots * world.settings.inFlightPerSlot;
  return Math.max(1, inFlightLimit - othersInFlight(world, target));
}

/** Refuses a queued request, with a retry-after time. */
export function refuseRequest(
  world: World,
  hooks: ExecutionHooks,
  row: RequestRow,
  reason: ErrorKind,
  waitMs: Millis,
): void {
  const now = world.clock.now();
  const { group } = row;
  world.io.log({
    type: 'request_refused',
    request: row.id,
    route: row.route.name,
    reason,
    queued: group.queue.length,
    expectedWaitMs: Math.round(waitMs),
    primary: group.primary,
    primaryAgeMs:
      group.primaryProvenAt === undefined ? undefined : Math.round(now - group.primaryProvenAt),
  });
  group.lastShortageAt = now;
  dequeueRequest(row);
  const detail = row.lastError === '' ? 'the wait would be too long' : row.lastError;
  if (mayHaveRun(row) && row.access === 'read') {
    failRequest(world, hooks, row, 'read_interrupted', detail);
    return;
  }
  failRequest(world, hooks, row, reason, detail, retryAfterMs(waitMs, world.random));
}

/** Removes a request from the queue of its group, if it is there. */
export function dequeueRequest(row: RequestRow): void {
  const index = row.group.queue.indexOf(row);
  if (index !== -1) row.group.queue.splice(index, 1);
}

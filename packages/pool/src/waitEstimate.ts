import type { Millis } from '@rosedeck/shared';
import { STAGES, stageAt } from './leaseQueue';
import type { ClassRow, LeaseRow, Stage, TargetRow, Tenant, TenantFlow } from './tables';

/**
 * Largest share of the target that is expected to go to requests that arrive later and are served
 * earlier. Bursts end: with a larger share, work that waits for the end of one would be refused.
 */
const MAX_OVERTAKING_SHARE = 0.5;

/** Where a request waits; `ahead` are the requests of its tenant before it in the same stage. */
interface Place {
  readonly row: ClassRow;
  readonly stage: Stage;
  readonly tenant: Tenant;
  readonly ahead: number;
}

/** Requests of a class that are served before those of a later class in a stage. */
function countBefore(row: ClassRow, stage: Stage): number {
  return row.onTime + row.tight + (stage === 'deferred' ? row.deferred : 0);
}

/** Requests of its own class that are served before a place. */
function countInClass({ row, stage, tenant, ahead }: Place): number {
  let count = 0;
  for (const earlier of STAGES.slice(0, STAGES.indexOf(stage))) count += row[earlier];
  // Tenants of a class take turns: of each other tenant, about as many are served before.
  for (const flow of row.flows.values())
    count += flow.tenant === tenant ? ahead : Math.min(flow[stage].length, ahead + 1);
  return count;
}

/** Slot time of the requests that are served before a place. */
function workAheadMs(target: TargetRow, place: Place): Millis {
  let workMs = 0;
  for (const row of target.queue.classes) {
    let count = 0;
    if (row === place.row) count = countInClass(place);
    else if (row.priority < place.row.priority) count = countBefore(row, place.stage);
    else if (place.stage === 'deferred') count = row.onTime + row.tight;
    workMs += count * row.service.valueMs();
  }
  return workMs;
}

/** Share of the target that goes to later arrivals that are served before a place. */
function overtakingShare(target: TargetRow, { row, stage }: Place, now: Millis): number {
  let perMs = 0;
  for (const other of target.queue.classes)
    if (stage === 'deferred' || other.priority < row.priority) perMs += other.arrivals.perMs(now);
  return Math.min(MAX_OVERTAKING_SHARE, perMs / target.limit.value());
}

function waitAt(target: TargetRow, place: Place, now: Millis): Millis {
  const isFull = target.inFlight >= target.limit.value();
  const noConnection = target.connections.size === target.opening;
  const blockedMs = noConnection ? Math.max(0, target.openBlockedUntil - now) : 0;
  if (!isFull && target.queue.size() === 0) return blockedMs;
  const serviceMs = place.row.service.valueMs();
  const workMs = workAheadMs(target, place) + (isFull ? serviceMs : 0);
  const queuedMs = workMs / target.limit.value() / (1 - overtakingShare(target, place, now));
  // Without replies, the measured times are those from before the target stalled.
  const stalledMs = isFull ? Math.max(0, now - target.progressAt - serviceMs) : 0;
  return queuedMs + Math.max(blockedMs, stalledMs);
}

/** Expected wait of a request that is not queued yet. */
export function newWaitMs(target: TargetRow, lease: LeaseRow, now: Millis): Millis {
  const row = target.queue.classOf(lease.priority);
  const stage = stageAt(row, lease, now);
  const list = row.flows.get(lease.tenant)?.[stage] ?? [];
  const later = list.findIndex(({ key }) => key > lease.key);
  const ahead = later === -1 ? list.length : later;
  return waitAt(target, { row, stage, tenant: lease.tenant, ahead }, now);
}

/** Expected wait of the last request of a tenant in a class and stage. */
export function lastWaitMs(
  target: TargetRow,
  row: ClassRow,
  stage: Stage,
  flow: TenantFlow,
  now: Millis,
): Millis {
  const { tenant } = flow;
  return waitAt(target, { row, stage, tenant, ahead: flow[stage].length - 1 }, now);
}

/** Expected wait of one more request of the last class. */
export function anyWaitMs(target: TargetRow, now: Millis): Millis {
  const row = target.queue.classes.at(-1);
  if (!row) return 0;
  let longest: TenantFlow | undefined;
  for (const flow of row.flows.values())
    if (flow.onTime.length > (longest?.onTime.length ?? 0)) longest = flow;
  const ahead = longest?.onTime.length ?? 0;
  return waitAt(target, { row, stage: 'onTime', tenant: longest?.tenant, ahead }, now);
}

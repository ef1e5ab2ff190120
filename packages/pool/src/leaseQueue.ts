import type { Millis } from '@rosedeck/shared';
import { createRate, createServiceTime } from './serviceTime';
import type { CanServe, ClassRow, LeaseQueue, LeaseRow, Stage, Tenant, TenantFlow } from './tables';

/** Time constant of the arrivals of a class; covers some dozens of requests at one target. */
const ARRIVALS_DECAY_MS = 500;

/** Settings of a queue, and what varies by caller. */
export interface LeaseQueueOptions {
  readonly classFloorMs: Millis;
  readonly initialServiceMs: Millis;
  readonly weightOf: (tenant: Tenant) => number;
}

/**
 * Creates an empty queue. Order: requests that can still be on time before late ones; among classes
 * the lowest key first, so that a class gains rank as it waits; among the tenants of a class
 * start-time fair queueing, so that a tenant with many requests delays mainly its own. Requests whose
 * time is tight are served after the others of their class: under overload most requests would else
 * start at the last moment, and a part of them would be answered just after their objective.
 */
export function createLeaseQueue(options: LeaseQueueOptions): LeaseQueue {
  const classes: ClassRow[] = [];
  const queued = new Set<LeaseRow>();
  const byTenant = new Map<Tenant, number>();

  const classOf = (priority: number): ClassRow => {
    const known = classes.find((row) => row.priority === priority);
    if (known) return known;
    const created: ClassRow = {
      priority,
      flows: new Map(),
      virtualTime: 0,
      onTime: 0,
      tight: 0,
      deferred: 0,
      servedAt: -Infinity,
      service: createServiceTime(options.initialServiceMs),
      arrivals: createRate(ARRIVALS_DECAY_MS),
    };
    classes.push(created);
    classes.sort((a, b) => a.priority - b.priority);
    return created;
  };

  const insert = (row: ClassRow, flow: TenantFlow, lease: LeaseRow): void => {
    insertByKey(flow[lease.stage], lease);
    row[lease.stage] += 1;
  };

  const extract = (row: ClassRow, flow: TenantFlow, lease: LeaseRow): void => {
    const list = flow[lease.stage];
    list.splice(list.indexOf(lease), 1);
    row[lease.stage] -= 1;
  };

  const forget = (row: ClassRow, flow: TenantFlow): void => {
    if (countOf(row) === 0) {
      // The end of a busy period: what tenants were served in it counts no longer.
      for (const { start } of row.flows.values())
        row.virtualTime = Math.max(row.virtualTime, start);
      row.flows.clear();
    } else if (isEmpty(flow) && flow.start <= row.virtualTime) row.flows.delete(flow.tenant);
  };

  const removeFrom = (lease: LeaseRow): { row: ClassRow; flow: TenantFlow } | undefined => {
    const row = classOf(lease.priority);
    const flow = row.flows.get(lease.tenant);
    if (!flow || !queued.delete(lease)) return undefined;
    extract(row, flow, lease);
    const left = (byTenant.get(lease.tenant) ?? 1) - 1;
    if (left > 0) byTenant.set(lease.tenant, left);
    else byTenant.delete(lease.tenant);
    return { row, flow };
  };

  const demote = (lease: LeaseRow, now: Millis): boolean => {
    const row = classOf(lease.priority);
    const flow = row.flows.get(lease.tenant);
    const stage = stageAt(row, lease, now);
    if (!flow || STAGES.indexOf(stage) <= STAGES.indexOf(lease.stage)) return false;
    extract(row, flow, lease);
    lease.stage = stage;
    insert(row, flow, lease);
    return true;
  };

  const findNext = (now: Millis, canServe: CanServe): LeaseRow | undefined => {
    for (const row of classes)
      if (countOf(row) > 0 && now - row.servedAt > options.classFloorMs) {
        const overdue = firstOfClass(row, canServe, STAGES, isWithinShare);
        if (overdue) return overdue;
      }
    return (
      firstOf(classes, canServe, ['onTime', 'tight']) ?? firstOf(classes, canServe, ['deferred'])
    );
  };

  return {
    classes,
    classOf,
    size: () => queued.size,
    queuedOf: (tenant) => byTenant.get(tenant) ?? 0,
    list: () => queued,
    add: (lease, now) => {
      const row = classOf(lease.priority);
      if (countOf(row) === 0) row.servedAt = now;
      let flow = row.flows.get(lease.tenant);
      if (!flow) {
        flow = {
          tenant: lease.tenant,
          onTime: [],
          tight: [],
          deferred: [],
          start: row.virtualTime,
        };
        row.flows.set(lease.tenant, flow);
      } else if (isEmpty(flow)) flow.start = Math.max(flow.start, row.virtualTime);
      lease.stage = stageAt(row, lease, now);
      if (lease.stage !== 'deferred') row.arrivals.add(now, row.service.valueMs());
      insert(row, flow, lease);
      queued.add(lease);
      byTenant.set(lease.tenant, (byTenant.get(lease.tenant) ?? 0) + 1);
    },
    remove: (lease) => {
      const place = removeFrom(lease);
      if (place) forget(place.row, place.flow);
    },
    first: (now, canServe) => {
      let lease = findNext(now, canServe);
      while (lease && demote(lease, now)) lease = findNext(now, canServe);
      return lease;
    },
    take: (lease, now) => {
      const place = removeFrom(lease);
      if (!place) return;
      const { row, flow } = place;
      row.servedAt = now;
      row.virtualTime = Math.max(row.virtualTime, flow.start);
      lease.chargedMs = row.service.valueMs();
      flow.start += lease.chargedMs / options.weightOf(lease.tenant);
      forget(row, flow);
    },
    settle: (lease) => {
      const flow = classOf(lease.priority).flows.get(lease.tenant);
      const excessMs = lease.usedMs - lease.chargedMs;
      if (flow) flow.start += excessMs / options.weightOf(lease.tenant);
    },
    demote,
    prune: () => {
      for (const row of classes)
        for (const flow of row.flows.values())
          if (isEmpty(flow) && flow.start <= row.virtualTime) row.flows.delete(flow.tenant);
    },
  };
}

/** Stages in the order in which a request moves through them as it waits. */
export const STAGES: readonly Stage[] = ['onTime', 'tight', 'deferred'];

/** The stage of a request, were it to start now. */
export function stageAt(row: ClassRow, lease: LeaseRow, now: Millis): Stage {
  const leftMs = lease.onTimeAt - now;
  if (lease.exceedsShare || leftMs < row.service.valueMs()) return 'deferred';
  return leftMs < row.service.usualMaxMs() ? 'tight' : 'onTime';
}

function countOf(row: ClassRow): number {
  return row.onTime + row.tight + row.deferred;
}

function isEmpty(flow: TenantFlow): boolean {
  return STAGES.every((stage) => flow[stage].length === 0);
}

/** The next request of all classes in some stages; in each class, the first of the stages first. */
function firstOf(
  classes: readonly ClassRow[],
  canServe: CanServe,
  stages: readonly Stage[],
): LeaseRow | undefined {
  let best: LeaseRow | undefined;
  for (const row of classes) {
    const lease = firstOfClass(row, canServe, stages);
    if (lease && (!best || lease.key < best.key)) best = lease;
  }
  return best;
}

function isWithinShare({ exceedsShare }: LeaseRow): boolean {
  return !exceedsShare;
}

function firstOfClass(
  row: ClassRow,
  canServe: CanServe,
  stages: readonly Stage[],
  isEligible?: (lease: LeaseRow) => boolean,
): LeaseRow | undefined {
  for (const stage of stages) {
    if (row[stage] === 0) continue;
    const lease = firstOfStage(row, canServe, (flow) =>
      isEligible ? flow[stage].find(isEligible) : flow[stage][0],
    );
    if (lease) return lease;
  }
  return undefined;
}

/** The head of the tenant that is next in its class; tenants with the same tag go by their keys. */
function firstOfStage(
  row: ClassRow,
  canServe: CanServe,
  headOf: (flow: TenantFlow) => LeaseRow | undefined,
): LeaseRow | undefined {
  let best: LeaseRow | undefined;
  let bestStart = Infinity;
  for (const flow of row.flows.values()) {
    const lease = headOf(flow);
    if (!lease || flow.start > bestStart) continue;
    if (best && flow.start === bestStart && lease.key >= best.key) continue;
    if (!canServe(lease)) continue;
    best = lease;
    bestStart = flow.start;
  }
  return best;
}

function insertByKey(list: LeaseRow[], lease: LeaseRow): void {
  let low = 0;
  let high = list.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((list[middle]?.key ?? 0) <= lease.key) low = middle + 1;
    else high = middle;
  }
  list.splice(low, 0, lease);
}

import type { Millis } from '@rosedeck/shared';
import { admitPooled, expectedWaitMs } from './admission';
import type { PooledAdmissionInputs } from './admission';
import { poolWaitMs } from './leasePlacement';
import { timeToStartMs } from './leaseTerms';
import { remainingWaitMs } from './primaryWait';
import type { ExecutionHooks } from './requestFailures';
import { collectAdmissionInputs, poolOf, primaryWaitOf, refuseRequest } from './requests';
import type { GroupRow, RequestRow, World } from './tables';

/** Time for which a pool has not reached the primary, after which it is taken for failed. */
const PRIMARY_FAILED_MS: Millis = 150;

/**
 * Refuses queued requests of a pooled group that cannot be served before their deadline. The pools
 * order the requests of all daemons, so that their refusals count, and not an estimate made here.
 */
export function shedPooledRequests(world: World, hooks: ExecutionHooks, group: GroupRow): void {
  const now = world.clock.now();
  const ahead = { primary: 0, any: 0 };
  // Worked out at most once for the whole queue, since this runs after each event.
  let failedWaitMs: Millis | undefined;
  for (const row of [...group.queue]) {
    const pool = poolOf(row);
    let inputs: PooledAdmissionInputs;
    if (row.leaseWait?.usesOwn === true) inputs = collectOwnInputs(world, row, ahead[pool], now);
    else {
      if (row.needsPrimary) failedWaitMs ??= failedPrimaryWaitMs(world, group, now);
      inputs = collectLeaseInputs(world, row, failedWaitMs ?? 0, now);
    }
    const admission = admitPooled(inputs);
    if (admission.kind === 'queue') ahead[pool] += 1;
    else refuseRequest(world, hooks, row, admission.reason, admission.waitMs);
  }
}

/** Inputs for a request that is served over a lease. */
function collectLeaseInputs(
  world: World,
  row: RequestRow,
  failedWaitMs: Millis,
  now: Millis,
): PooledAdmissionInputs {
  const wait = row.leaseWait;
  return {
    primaryWaitMs: row.needsPrimary ? Math.max(primaryWaitOf(world, row, now), failedWaitMs) : 0,
    poolWaitMs: () => shortestPoolWaitMs(row, now),
    isRefused: wait !== undefined && wait.refusals.size > 0 && wait.waiting.length === 0,
    remainingMs: timeToStartMs(row, now),
  };
}

/** Inputs for a request that an own connection serves, since no pool owner can be reached. */
function collectOwnInputs(
  world: World,
  row: RequestRow,
  ahead: number,
  now: Millis,
): PooledAdmissionInputs {
  const own = collectAdmissionInputs(world, row, ahead, now);
  const waitMs = expectedWaitMs(own);
  const remainingMs = timeToStartMs(row, now);
  return {
    primaryWaitMs: own.primaryWaitMs,
    poolWaitMs: () => waitMs,
    isRefused: waitMs > remainingMs,
    remainingMs,
  };
}

/** Shortest wait of the pools that may serve a request, or that refused it, as last told. */
function shortestPoolWaitMs(row: RequestRow, now: Millis): Millis {
  const refused = row.leaseWait?.refusals.values() ?? [];
  const waits = [...refused];
  if (waits.length > 0) return Math.min(...waits);
  for (const target of row.group.targets.values()) {
    if (row.needsPrimary && target.listed.id !== row.group.primary) continue;
    waits.push(poolWaitMs(target, now));
  }
  return waits.length === 0 ? 0 : Math.min(...waits);
}

/** Expected time until a primary that its pool cannot reach is replaced; 0 while it is reached. */
function failedPrimaryWaitMs(world: World, group: GroupRow, now: Millis): Millis {
  const primary = group.primary === undefined ? undefined : group.targets.get(group.primary);
  const failingMs = now - (primary?.leaseFailingSince ?? now);
  if (failingMs < PRIMARY_FAILED_MS) return 0;
  const usualMs = world.settings.expectedDetectionMs + group.promotionMs.value;
  return remainingWaitMs(usualMs, failingMs);
}

import type { Millis } from '@rosedeck/shared';
import type { LeaseTerms } from './engineIo';
import type { RequestRow } from './tables';

/** Largest share of a statement's time limit that its usual run time may count for. */
const MAX_RUN_SHARE = 0.5;

/** Usual time that the statement takes at a target. */
function usualRunMs(row: RequestRow): Millis {
  const { group, route, access } = row;
  const usual = group.routeMs.get(route.name) ?? group.runMs[access === 'read' ? 'read' : 'write'];
  return Math.min(usual.value, route.timeoutMs * MAX_RUN_SHARE);
}

/** Time within which a request has to start in order to be answered before its deadline. */
export function timeToStartMs(row: RequestRow, now: Millis): Millis {
  return row.deadlineAt - usualRunMs(row) - now;
}

/** Time within which a request has to start in order to meet its objective; negative: it is late. */
function onTimeInMs(row: RequestRow, now: Millis): Millis {
  return row.arrivedAt + row.route.latencyObjectiveMs - usualRunMs(row) - now;
}

/** True while a request can still meet its objective. */
export function isOnTime(row: RequestRow, now: Millis): boolean {
  return onTimeInMs(row, now) >= 0;
}

/**
 * Terms of a request for a lease. The times are those by which the statement has to start, since the
 * pool does not know how long it runs.
 */
export function termsOf(row: RequestRow, now: Millis): LeaseTerms {
  return {
    tenant: row.tenant,
    keyInMs: row.queueKey - now,
    onTimeInMs: onTimeInMs(row, now),
    deadlineInMs: timeToStartMs(row, now),
    priority: row.route.priority,
  };
}

import type { InstanceId, Millis } from '@rosedeck/shared';
import { dequeueRequest } from '../requests';
import { failRequest } from '../requestFailures';
import type { ExecutionHooks } from '../requestFailures';
import type { RequestRow, World } from '../tables';
import { findFast } from './homes';
import { isDirectoryFilling } from '../fleet';
import type { QuotaMessage } from './quotaMessages';
import type { QuotaDecision } from './tenantRows';

/**
 * Age of the view of the store after which a daemon that hears no other one owns no share. The others
 * drop it from their count after the lease of its entry, 10 s, and 15 s of a stable lower count.
 */
const ISOLATED_AFTER_MS: Millis = 20_000;

/** Passes the listed daemons and the stable count to the caps. */
export function applyQuotaFleet(world: World): void {
  const { fleet } = world;
  const { listed } = fleet;
  const isAlone = fleet.peers.size === 0 && listed.length > 1;
  world.quotas.applyFleet({
    listed: fleet.names,
    fast: findFast(listed),
    stableCount: fleet.stableCount,
    isFilling: isDirectoryFilling(world),
    // A share counts only once the stable count has been looked up.
    isIsolated: fleet.storeAgeMs === Infinity || (isAlone && fleet.storeAgeMs > ISOLATED_AFTER_MS),
  });
}

/**
 * Counts a queued request as an operation of its tenant, unless its transaction is counted already.
 * Without a token it stays in the queue until `applyQuotaDecisions`.
 */
export function countOperation(world: World, row: RequestRow): void {
  const { tenant, transaction } = row;
  if (tenant === undefined || transaction?.isCounted === true) return;
  if (transaction) transaction.isCounted = true;
  row.awaitsToken = !world.quotas.request(tenant, row);
  wakeWhenDue(world);
}

/** Runs what is due of the caps: renewals, repeated requests, ends of waits. */
export function reviewQuotas(world: World): void {
  world.quotas.review();
  wakeWhenDue(world);
}

/** Applies a message of another daemon about the caps. */
export function applyQuotaMessage(world: World, from: InstanceId, message: QuotaMessage): void {
  world.quotas.received(from, message);
  wakeWhenDue(world);
}

function wakeWhenDue(world: World): void {
  const dueInMs = world.quotas.dueInMs();
  if (dueInMs !== undefined) world.io.wakeAfter(dueInMs);
}

/** Releases the requests that got a token, and refuses those over the cap. */
export function applyQuotaDecisions(world: World, hooks: ExecutionHooks): void {
  for (;;) {
    const decisions = world.quotas.takeDecisions();
    if (decisions.length === 0) return;
    for (const decision of decisions) applyDecision(world, hooks, decision);
  }
}

function applyDecision(
  world: World,
  hooks: ExecutionHooks,
  decision: QuotaDecision<RequestRow>,
): void {
  const { waiter: row } = decision;
  if (row.stage === 'done') return;
  row.awaitsToken = false;
  if (decision.kind === 'admitted') {
    world.groupsToDispatch.add(row.group);
    return;
  }
  const { tenant, reason } = decision;
  const retryAfterMs = Math.ceil(decision.waitMs);
  world.io.log({ type: 'quota_refused', request: row.id, tenant, reason, retryAfterMs });
  dequeueRequest(row);
  const detail =
    reason === 'no_home'
      ? `the cap of tenant ${tenant} cannot be counted, as its home daemon does not reply`
      : `the cap of tenant ${tenant} is reached`;
  failRequest(world, hooks, row, 'overloaded', detail, retryAfterMs);
}

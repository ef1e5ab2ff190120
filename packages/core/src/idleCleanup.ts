import type { Millis } from '@rosedeck/shared';
import { closeIdleConnections } from './connections';
import { abandonTransaction } from './transactions';
import type { GroupRow } from './tables';
import { targetsOf } from './world';
import type { World } from './world';

/**
 * Closes idle connections and rolls back idle transactions once the next of their timeouts is due. Idle
 * connections to leaving targets are checked on each call, since they close as soon as the target gets
 * no new work.
 */
export function runIdleCleanup(world: World, group: GroupRow, now: Millis): void {
  for (const target of targetsOf(world, group)) {
    if (target.leaving && target.idle.length > 0) closeIdleConnections(world, target, now);
  }
  if (now < group.idleCleanupAt) return;
  group.idleCleanupAt = Infinity;
  for (const target of targetsOf(world, group)) closeIdleConnections(world, target, now);
  endIdleTransactions(world, group, now);
}

function endIdleTransactions(world: World, group: GroupRow, now: Millis): void {
  const limitMs = world.settings.transactionIdleMs;
  let nextAt = Infinity;
  for (const id of group.transactions) {
    const transaction = world.transactions.get(id);
    const connection = transaction && world.connections.get(transaction.connection);
    if (connection?.state !== 'pinned') continue;
    const endsAt = connection.stateSince + limitMs;
    if (endsAt <= now) abandonTransaction(world, id, 'the transaction was idle for too long');
    else nextAt = Math.min(nextAt, endsAt);
  }
  if (nextAt >= group.idleCleanupAt) return;
  group.idleCleanupAt = nextAt;
  world.scheduler.queueJobAt('dispatch', group.spec.id, nextAt);
}

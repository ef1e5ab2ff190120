import type { InstanceId } from '@rosedeck/shared';
import { discardConnection, unpinConnection } from './connections';
import { findOutcomeRule } from './outcomeRules';
import { refuse } from './finishRequest';
import type { ConnectionRow, RequestRow } from './tables';
import type { World } from './world';

/**
 * Rolls back a transaction by closing its connection; its running statement fails with `detail`.
 */
export function abandonTransaction(world: World, id: string, detail: string): void {
  const transaction = world.transactions.get(id);
  if (!transaction) return;
  removeTransaction(world, id);
  const connection = discardConnection(world, transaction.connection);
  if (!connection) return;
  queueGroupDispatch(world, connection);
  const row = connection.request === undefined ? undefined : world.requests.get(connection.request);
  if (!row) return;
  const { kind } = findOutcomeRule('target', true, row.req.op);
  refuse(world, row, kind, detail);
}

/** Rolls back the transactions of an entry daemon that was lost. */
export function abandonTransactionsOf(world: World, entry: InstanceId): void {
  for (const transaction of [...world.transactions.values()]) {
    if (transaction.entry !== entry) continue;
    abandonTransaction(world, transaction.id, `entry daemon ${entry} was lost`);
  }
}

/** Registers the transaction of a BEGIN on its connection. */
export function openTransaction(world: World, row: RequestRow, connection: ConnectionRow): void {
  const id = row.req.transaction;
  if (id === undefined) return;
  // An earlier try of the same BEGIN may have opened it on another connection.
  abandonTransaction(world, id, 'the transaction was restarted by a retried BEGIN');
  const { group, entry } = row.req;
  world.transactions.set(id, { id, group, entry, connection: connection.id });
  world.groups.get(group)?.transactions.add(id);
}

/** Ends a transaction; its connection returns to the pool after a reset. */
export function closeTransaction(world: World, connection: ConnectionRow): void {
  removeTransactionOf(world, connection);
  unpinConnection(world, connection);
}

/** Removes the transaction of a connection from the tables; does not roll it back. */
export function removeTransactionOf(world: World, connection: ConnectionRow): void {
  if (connection.transaction !== undefined) removeTransaction(world, connection.transaction);
}

function removeTransaction(world: World, id: string): void {
  const transaction = world.transactions.get(id);
  if (!transaction) return;
  world.transactions.delete(id);
  world.groups.get(transaction.group)?.transactions.delete(id);
}

/** Queues a dispatch for the group of a connection. */
export function queueGroupDispatch(world: World, connection: ConnectionRow): void {
  const target = world.targets.get(connection.target);
  if (target) world.scheduler.queueJob('dispatch', target.group);
}

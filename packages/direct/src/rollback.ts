import { loseConnection, releaseConnection, sendOps } from './connections';
import type { TargetOp } from './statements';
import type { ConnectionRow, ReplyHandler, World } from './tables';

/** An operation with the handler of its reply. */
export type Step = readonly [TargetOp, ReplyHandler];

/** Rolls back the open transaction of a connection and releases it. */
export function rollBack(world: World, connection: ConnectionRow): void {
  connection.onLost = undefined;
  sendOps(world, connection, [rollbackStep(world, connection)]);
}

/** The operation that rolls back, then releases the connection. */
export function rollbackStep(world: World, connection: ConnectionRow): Step {
  return [
    { op: 'rollback' },
    (reply) => {
      const now = world.clock.now();
      if (reply.inTransaction) loseConnection(world, connection, 'protocol', now);
      else releaseConnection(world, connection, now);
    },
  ];
}

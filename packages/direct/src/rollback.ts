import { loseConnection, releaseConnection, sendOps } from './connections';
import type { TargetOp } from './statements';
import type { ConnectionRow, ReplyHandler, World } from './tables';

/** An operation, and what is to be done with its reply. */
export type Step = readonly [TargetOp, ReplyHandler];

/** Rolls back what a connection has open and frees it. */
export function rollBack(world: World, connection: ConnectionRow): void {
  connection.onLost = undefined;
  sendOps(world, connection, [rollbackStep(world, connection)]);
}

/** Rolls back, then frees the connection. */
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

import type { Millis } from '@rosedeck/shared';
import {
  mayOpen,
  openConnection,
  releaseConnection,
  sendOps,
  takeAnyConnection,
} from './connections';
import type { TargetOp, TargetReply } from './statements';
import type { SentOp, TargetRow, World } from './tables';

/**
 * Sends an operation of rosedeck's own over an idle connection; false, and opens a connection, if
 * there is none.
 */
export function sendOwnOp(
  world: World,
  target: TargetRow,
  op: TargetOp,
  now: Millis,
  handle: (reply: TargetReply, sent: SentOp) => void,
): boolean {
  const connection = takeAnyConnection(target, now);
  if (!connection) {
    if (mayOpen(world, target, now)) openConnection(world, target, now);
    return false;
  }
  sendOps(world, connection, [
    [
      op,
      (reply, sent) => {
        handle(reply, sent);
        releaseConnection(world, connection, world.clock.now());
      },
    ],
  ]);
  return true;
}

/** Keeps the status in a reply, unless a newer one is known. */
export function keepStatus(
  world: World,
  target: TargetRow,
  reply: TargetReply,
  { sentAt }: SentOp,
): void {
  if (reply.kind !== 'done' || !reply.status) return;
  if (sentAt >= (target.status?.at ?? -Infinity))
    target.status = { report: reply.status, at: sentAt, heardAt: world.clock.now() };
}

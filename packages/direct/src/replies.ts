import type { Millis } from '@rosedeck/shared';
import { loseConnection, releaseConnection } from './connections';
import { noteResponse } from './placement';
import { lagBehind, laterOf } from './samples';
import type { TargetReply } from './statements';
import { noteMean } from './tables';
import type { ConnectionRow, RequestRow, TargetRow, World } from './tables';

/** Takes in how long finished work kept its connection. */
export function noteHold(
  world: World,
  row: RequestRow,
  connection: ConnectionRow,
  now: Millis,
): void {
  if (row.transaction && row.access !== 'commit') return;
  noteMean(row.group.holdMs[row.needsPrimary ? 'primary' : 'any'], now - connection.takenAt);
}

/** Frees a connection after the last reply of its work; one with anything unclear is closed. */
export function freeAfter(world: World, connection: ConnectionRow, inTransaction: boolean): void {
  const now = world.clock.now();
  if (inTransaction || connection.pending.length > 0)
    loseConnection(world, connection, 'protocol', now);
  else releaseConnection(world, connection, now);
}

/** Takes in what a reply tells of the target's data. */
export function noteReply(target: TargetRow, reply: TargetReply, now: Millis): void {
  target.applied = laterOf(target.applied, reply.position);
  if (!reply.position) return;
  target.lag = { ms: lagBehind(target.group.samples, reply.position, now) ?? Infinity, at: now };
}

/** Takes in how long a statement took. */
export function noteRun(world: World, row: RequestRow, target: TargetRow, tookMs: Millis): void {
  if (row.access === 'commit') return;
  const usual = row.group.runMs[row.access];
  const expectedMs = row.group.routeMs.get(row.route.name)?.value ?? usual.value;
  const now = world.clock.now();
  noteResponse(target.rating, tookMs / expectedMs, now, world.settings.slownessFadeMs);
  noteMean(usual, tookMs);
  const own = row.group.routeMs.get(row.route.name);
  if (own) noteMean(own, tookMs);
  else row.group.routeMs.set(row.route.name, { value: tookMs });
}

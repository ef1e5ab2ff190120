import type { Millis } from '@rosedeck/shared';
import { loseConnection, releaseConnection } from './connections';
import { recordResponseTime } from './placement';
import { measureLag, laterOf } from './sampleHistory';
import type { TargetReply } from './statements';
import { updateAverage } from './tables';
import type { ConnectionRow, RequestRow, TargetRow, World } from './tables';

/** Records how long finished work occupied its connection. */
export function recordOccupancy(
  world: World,
  row: RequestRow,
  connection: ConnectionRow,
  now: Millis,
): void {
  if (row.transaction && row.access !== 'commit') return;
  updateAverage(
    row.group.occupancyMs[row.needsPrimary ? 'primary' : 'any'],
    now - connection.takenAt,
  );
}

/** Releases a connection after the last reply of its work, or closes it if its state is unclear. */
export function releaseAfterReply(
  world: World,
  connection: ConnectionRow,
  inTransaction: boolean,
): void {
  const now = world.clock.now();
  if (inTransaction || connection.pending.length > 0)
    loseConnection(world, connection, 'protocol', now);
  else releaseConnection(world, connection, now);
}

/** Records the applied position of a reply and the replication lag that follows from it. */
export function recordReplyPosition(target: TargetRow, reply: TargetReply, now: Millis): void {
  target.applied = laterOf(target.applied, reply.position);
  if (!reply.position) return;
  target.lag = {
    ms: measureLag(target.group.samples, reply.position, now) ?? Infinity,
    at: now,
  };
}

/** Records how long a statement took. */
export function recordRunTime(
  world: World,
  row: RequestRow,
  target: TargetRow,
  tookMs: Millis,
): void {
  if (row.access === 'commit') return;
  const usual = row.group.runMs[row.access];
  const expectedMs = row.group.routeMs.get(row.route.name)?.value ?? usual.value;
  const now = world.clock.now();
  recordResponseTime(target.rating, tookMs / expectedMs, now, world.settings.latencyDecayMs);
  updateAverage(usual, tookMs);
  const own = row.group.routeMs.get(row.route.name);
  if (own) updateAverage(own, tookMs);
  else row.group.routeMs.set(row.route.name, { value: tookMs });
}

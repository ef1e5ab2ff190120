import { formatPosition, ORIGIN } from '@rosedeck/shared';
import type { Millis, Position } from '@rosedeck/shared';
import type { BoundBasis } from './logEvents';
import { settleMissingLogs } from './logSafety';
import { addSample } from './sampleHistory';
import type { PositionSample } from './sampleHistory';
import type { GroupRow, RequestRow, TargetRow, World } from './tables';

/** Time after a change of the primary in which a group still counts as unsettled. */
const UNSETTLED_MS: Millis = 3_000;

/** Shortest interval between two logged bounds of one group. */
const LOG_INTERVAL_MS: Millis = 250;

/** True while the primary of a group is about to change, may have to, or has just changed. */
export function isUnsettled(group: GroupRow, now: Millis): boolean {
  if (group.promotion || group.expectedPrimary || group.contested) return true;
  if (group.primaryDownSince !== undefined || group.suspectedPrimary !== undefined) return true;
  return now - group.primaryChangedAt < UNSETTLED_MS;
}

/**
 * Logs what a read, or the transaction that it opens, demands of its target: a position, or with
 * `proven` that the target leads. Nothing is logged while the group's primary is settled.
 */
export function logReadBound(
  world: World,
  row: RequestRow,
  target: TargetRow,
  after: Position | undefined,
): void {
  const { group, transaction } = row;
  const now = world.clock.now();
  if (row.access !== 'read' || !isUnsettled(group, now)) return;
  if (now - group.boundLoggedAt < LOG_INTERVAL_MS) return;
  group.boundLoggedAt = now;
  const position = row.needsPrimary ? undefined : after;
  const basis = basisOf(row, position);
  const sample =
    basis === 'sample' ? group.samples.find((one) => one.position === position) : undefined;
  world.io.log({
    type: 'read_bound',
    request: row.id,
    group: group.id,
    target: target.listed.id,
    policy: row.route.policy,
    position: position ? formatPosition(position) : 'none',
    basis,
    sampleAgeMs: sample && Math.round((transaction?.beganAt ?? row.arrivedAt) - sample.sentAt),
    takenBy: sample && (sample.takenBy ?? world.self.name),
    proven: row.needsPrimary,
  });
}

function basisOf(row: RequestRow, position: Position | undefined): BoundBasis {
  if (!position) return 'none';
  return position === row.session.position ? 'session' : 'sample';
}

/**
 * Whether a log that ended in `term` when it replied to what this daemon sent at `sentAt` may be that
 * of the newest primary. Two promotions in a row can discard all commits of the term between them.
 * Where the platform ends the lead of the old primary, what was sent after the newest sample had
 * arrived shows the same lead or a later one. A log of which no position was told may be empty.
 */
export function mayBeNewest(
  world: World,
  group: GroupRow,
  term: number | undefined,
  sentAt: Millis,
): boolean {
  if ((term ?? ORIGIN.term) >= group.term) return true;
  return world.settings.promotionsFenced && sentAt > group.termSeenAt;
}

/** Adds a sample of a log that may be that of the newest primary, and logs which ones it replaces. */
export function recordSample(world: World, group: GroupRow, sample: PositionSample): void {
  const newest = group.samples.at(-1);
  let dropped = 0;
  if (newest && sample.position.term < newest.position.term) {
    dropped = group.samples.length;
    group.samples.length = 0;
  }
  dropped += addSample(group.samples, sample);
  group.newestSample = group.samples.at(-1);
  settleMissingLogs(group.missingLogs, sample);
  group.term = sample.position.term;
  group.termSeenAt = world.clock.now();
  if (!newest || dropped === 0) return;
  // Replies that overtake each other drop samples of a living primary.
  const isNewTerm = newest.position.term !== sample.position.term;
  if (isNewTerm || isUnsettled(group, world.clock.now()))
    logDropped(world, group, newest.position, dropped, { by: sample.position });
}

/** Drops all samples of a group, since its primary leads in a newer term. */
export function dropSamples(world: World, group: GroupRow, leaderTerm: number): void {
  const newest = group.samples.at(-1);
  const dropped = group.samples.length;
  group.samples.length = 0;
  group.newestSample = undefined;
  if (newest) logDropped(world, group, newest.position, dropped, { leaderTerm });
}

function logDropped(
  world: World,
  group: GroupRow,
  newest: Position,
  dropped: number,
  cause: { readonly by?: Position; readonly leaderTerm?: number },
): void {
  world.io.log({
    type: 'samples_dropped',
    group: group.id,
    dropped,
    newest: formatPosition(newest),
    by: cause.by && formatPosition(cause.by),
    leaderTerm: cause.leaderTerm,
  });
}

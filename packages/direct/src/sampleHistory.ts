import { covers, positionOrd } from '@rosedeck/shared';
import type { InstanceId, Millis, Position, TargetId } from '@rosedeck/shared';

/** A position of the primary's log that covers every commit acknowledged before `sentAt`. */
export interface PositionSample {
  readonly position: Position;
  /** When the request that returned the position was sent. */
  readonly sentAt: Millis;
  /** The daemon that told the sample; absent: this one has taken it. */
  readonly takenBy?: InstanceId;
  /** The target whose log it shows; absent: not told. */
  readonly of?: TargetId;
}

/** Samples of one group, oldest first, all of its newest term; no position is beyond a later one. */
export type SampleHistory = PositionSample[];

/** Samples closer together than this do not improve the choice of a sample for a read. */
const MIN_SPACING_MS = 40;

/** Older samples meet no staleness limit that a route is likely to have. */
const MAX_SAMPLE_AGE_MS = 10_000;

/**
 * Adds a sample. Samples of older terms are dropped, since their log may have been truncated, and so
 * are those of its term beyond it: until its first commit, the log of a new primary ends in an older
 * term, maybe before entries that the promotion has discarded. Returns how many were dropped.
 */
export function addSample(history: SampleHistory, sample: PositionSample): number {
  const newest = history.at(-1);
  let dropped = 0;
  if (newest) {
    if (sample.position.term < newest.position.term) return 0;
    if (sample.position.term > newest.position.term) {
      dropped = history.length;
      history.length = 0;
    } else if (sample.sentAt <= newest.sentAt) return 0;
    else dropped = dropBeyond(history, sample.position);
    if (sample.sentAt - (history.at(-2)?.sentAt ?? -Infinity) < MIN_SPACING_MS) history.pop();
  }
  history.push(sample);
  while (history[0] && sample.sentAt - history[0].sentAt > MAX_SAMPLE_AGE_MS) history.shift();
  return dropped;
}

function dropBeyond(history: SampleHistory, position: Position): number {
  const { length } = history;
  while (history.length > 0 && !covers(position, history.at(-1)?.position ?? position))
    history.pop();
  return length - history.length;
}

/**
 * Finds the oldest sample that was taken at `notBefore` or later, since replicas are most likely
 * to have applied it.
 */
export function findSample(history: SampleHistory, notBefore: Millis): PositionSample | undefined {
  return history.find((sample) => sample.sentAt >= notBefore);
}

/**
 * Replication lag of a target that has applied `applied`: the age of the newest sample that it
 * covers; 0 when it covers them all, undefined when it covers none.
 */
export function measureLag(
  history: SampleHistory,
  applied: Position,
  now: Millis,
): Millis | undefined {
  const newest = history.at(-1);
  if (!newest || covers(applied, newest.position)) return 0;
  const covered = history.findLast((sample) => covers(applied, sample.position));
  return covered && now - covered.sentAt;
}

/** Returns the later of two positions, either of which may be unknown. */
export function laterOf(a: Position | undefined, b: Position | undefined): Position | undefined {
  if (!a || !b) return a ?? b;
  return positionOrd.compare(a, b) >= 0 ? a : b;
}

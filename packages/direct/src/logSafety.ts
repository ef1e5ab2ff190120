import { covers } from '@rosedeck/shared';
import type { Millis, Position, TargetId } from '@rosedeck/shared';
import type { ListedTarget } from './configuration';
import { laterOf } from './sampleHistory';
import type { PositionSample } from './sampleHistory';

/** What is known of the log of a target when another one is to be promoted. */
export interface OtherLog {
  readonly id: TargetId;
  /** Its end, as told since the promotion started; absent: not told. */
  readonly received?: Position;
  /** Nothing is added to it any more, or it cannot be told to stop receiving. */
  readonly isFinal: boolean;
}

/** Whether a candidate's log has all acknowledged commits; `awaited` are the logs that may have others. */
export type LogVerdict =
  | { readonly kind: 'complete' }
  | { readonly kind: 'awaits' | 'behind'; readonly awaited: readonly TargetId[] };

/** Inputs of the decision whether a candidate has all acknowledged commits. */
export interface LogInputs {
  /** Replicas that have received a commit before it is acknowledged; at least 1. */
  readonly syncReplicas: number;
  /** The end of the candidate's log. */
  readonly received?: Position;
  /** All other logs of the group that may have an acknowledged commit, that of the primary included. */
  readonly others: readonly OtherLog[];
  /** A position that a complete log covers in any case. */
  readonly floor?: Position;
}

/**
 * Whether a candidate has all acknowledged commits. Each of them stands in the log of the primary and
 * in those of `syncReplicas` others, so that as many logs may be unknown, and the candidate has to cover the
 * known ones. A log that may still receive counts as unknown: the primary may go on to acknowledge.
 * Load pattern: a network partition in which daemons reach some logs, and the primary acknowledges
 * commits with the help of the others.
 */
export function checkLogs({ syncReplicas, received, others, floor }: LogInputs): LogVerdict {
  const known = others.filter((one) => one.isFinal && one.received !== undefined);
  const awaited = others.filter((one) => !known.includes(one)).map(({ id }) => id);
  if (awaited.length > syncReplicas) return { kind: 'awaits', awaited };
  const newer = known.filter(
    (one) => !received || (one.received && !covers(received, one.received)),
  );
  if (newer.length > 0) return { kind: 'behind', awaited: newer.map(({ id }) => id) };
  if (floor && (!received || !covers(received, floor))) return { kind: 'behind', awaited };
  return { kind: 'complete' };
}

/** A target that is not used any more, and whose log may have acknowledged commits. */
export interface MissingLog {
  readonly listed: ListedTarget;
  /** When the target was known to be gone, so that it receives nothing more. */
  readonly goneAt: Millis;
}

/** The missing logs of a group. */
export interface MissingLogs {
  readonly logs: Map<TargetId, MissingLog>;
  /** Covers all acknowledged commits that a missing log had and that is not awaited any more. */
  floor?: Position;
}

/** Creates an empty table. */
export function createMissingLogs(): MissingLogs {
  return { logs: new Map() };
}

/** Time after which a target whose entry is missing counts as gone, by the platform's rules. */
export const GONE_MS: Millis = 2_000;

/** Records a target that is not used any more. */
export function addMissingLog(missing: MissingLogs, listed: ListedTarget, now: Millis): void {
  missing.logs.set(listed.id, { listed, goneAt: now + GONE_MS });
}

/**
 * A target is listed: a log that was missing under its id is its own now, and so is that of a target at
 * its address that has left as planned.
 */
export function takeOverLog(missing: MissingLogs, { id, address }: ListedTarget): void {
  for (const [key, { listed }] of missing.logs) {
    const hasMoved = listed.leaving && listed.address === address;
    if (key === id || hasMoved) missing.logs.delete(key);
  }
}

/**
 * Ends the wait for logs that were gone when a sample of the primary was taken. Commits that they
 * helped to acknowledge are in any log that covers the sample, and they help with no later ones.
 */
export function settleMissingLogs(missing: MissingLogs, sample: PositionSample): void {
  for (const [id, { goneAt }] of missing.logs) {
    if (sample.sentAt < goneAt) continue;
    missing.logs.delete(id);
    missing.floor = laterOf(missing.floor, sample.position);
  }
}

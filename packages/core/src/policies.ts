import { positionOrd } from '@rosedeck/shared';
import type { Millis, Position, TargetId } from '@rosedeck/shared';
import type { TargetReport } from './messages';

/** A target that could serve a read. */
export interface ReadCandidate {
  readonly target: TargetId;
  readonly isPrimary: boolean;
  /** True when its data is new enough for this read. */
  readonly freshEnough: boolean;
  /** True when a connection and a slot are free. */
  readonly hasRoom: boolean;
  readonly inFlight: number;
}

/** Where a read goes next. */
export type ReadChoice =
  { readonly kind: 'run'; readonly target: TargetId } | { readonly kind: 'wait' };

/** Inputs of the decision whether a request may wait for a primary. */
export interface HoldContext {
  /** True once the group has had no primary for longer than a request may wait. */
  readonly holdExpired: boolean;
  /** Time that the gap is still expected to last. */
  readonly expectedMs: Millis;
  /** Time left until the deadline. */
  readonly leftMs: Millis;
}

/** Decisions that differ between experiments, passed in as functions. */
export interface Policies {
  /** Chooses the target of a read that has waited for `waitedMs`. */
  readonly chooseReadTarget: (
    candidates: readonly ReadCandidate[],
    waitedMs: Millis,
    replicaWaitMs: Millis,
  ) => ReadChoice;
  /** True when a write with `holders` of `majority` copies may be acknowledged. */
  readonly isConfirmed: (holders: number, majority: number) => boolean;
  /** True when a request may wait for a primary. */
  readonly mayHold: (facts: HoldContext) => boolean;
  /** True when a request that is expected to wait for `waitMs` is worth queueing. */
  readonly canServeInTime: (waitMs: Millis, leftMs: Millis) => boolean;
  /** True when enough targets have adopted a new term for its primary to be chosen. */
  readonly isFenced: (grants: number, majority: number) => boolean;
  /** Chooses the next primary among the targets that adopted the new term. */
  readonly chooseCandidate: (
    grants: ReadonlyMap<TargetId, TargetReport>,
    isLeaving: (target: TargetId) => boolean,
  ) => TargetId | undefined;
  /** True when a replica's report shows that it holds a write, of which it may count as a copy. */
  readonly holdsWrite: (report: TargetReport, written: Position) => boolean;
  /** True when a sample of the primary counts with `inTerm` targets seen in its term since. */
  readonly isSampleConfirmed: (inTerm: number, majority: number) => boolean;
  /** The time at which the content of a report counts as valid. */
  readonly reportValidAt: (sentAt: Millis, receivedAt: Millis) => Millis;
  /**
   * True when a read without a minimum position waits for a sample sent after its arrival; false
   * only in the naive policy.
   */
  readonly requiresArrivalSample: boolean;
  /** True when a request that may have run may be run again. */
  readonly mayRunTwice: (idempotent: boolean) => boolean;
  /** True when a leaving target is given no new work; false only in the naive policy. */
  readonly avoidsLeaving: boolean;
  /** True when the connection of an abandoned transaction is closed; false only in the naive policy. */
  readonly closesAbandonedConnections: boolean;
  /** True when a daemon drops what it observed before a pause; false only in the naive policy. */
  readonly resetsAfterPause: boolean;
  /** True when a session read may skip the minimum position; only the naive policy does. */
  readonly ignoresPositions: boolean;
}

function leastLoaded(candidates: readonly ReadCandidate[]): ReadCandidate | undefined {
  let best: ReadCandidate | undefined;
  for (const one of candidates) if (!best || one.inFlight < best.inFlight) best = one;
  return best;
}

/** Prefers a fresh replica with room, then waits a little for one, then takes the primary. */
export function chooseReplicaFirst(
  candidates: readonly ReadCandidate[],
  waitedMs: Millis,
  replicaWaitMs: Millis,
): ReadChoice {
  const usable = candidates.filter((one) => one.freshEnough);
  const free = usable.filter((one) => one.hasRoom);
  const replica = leastLoaded(free.filter((one) => !one.isPrimary));
  if (replica) return { kind: 'run', target: replica.target };
  if (waitedMs < replicaWaitMs) return { kind: 'wait' };
  const primary = leastLoaded(free);
  return primary ? { kind: 'run', target: primary.target } : { kind: 'wait' };
}

/** Chooses the target with the latest log among those that granted; on a tie, one that is not leaving. */
export function chooseLatestLog(
  grants: ReadonlyMap<TargetId, TargetReport>,
  isLeaving: (target: TargetId) => boolean,
): TargetId | undefined {
  let best: { target: TargetId; report: TargetReport } | undefined;
  for (const [target, report] of grants) {
    if (!best) {
      best = { target, report };
      continue;
    }
    const order = positionOrd.compare(report.received, best.report.received);
    const breaksTie = order === 0 && isLeaving(best.target) && !isLeaving(target);
    if (order > 0 || breaksTie) best = { target, report };
  }
  return best?.target;
}

/** A replica confirms a write only while it is in the term that wrote it: equal indexes of other terms differ. */
export function holdsInTerm(report: TargetReport, written: Position): boolean {
  if (report.term !== written.term || report.received.term !== written.term) return false;
  return report.received.index >= written.index;
}

/** The policies in use. */
export const DEFAULT_POLICIES: Policies = {
  chooseReadTarget: chooseReplicaFirst,
  isConfirmed: (holders, majority) => holders >= majority,
  mayHold: ({ holdExpired, expectedMs, leftMs }) => !holdExpired && expectedMs < leftMs,
  canServeInTime: (waitMs, leftMs) => waitMs < leftMs,
  isFenced: (grants, majority) => grants >= majority,
  chooseCandidate: chooseLatestLog,
  holdsWrite: holdsInTerm,
  isSampleConfirmed: (inTerm, majority) => inTerm >= majority,
  reportValidAt: (sentAt) => sentAt,
  requiresArrivalSample: true,
  mayRunTwice: (idempotent) => idempotent,
  avoidsLeaving: true,
  closesAbandonedConnections: true,
  resetsAfterPause: true,
  ignoresPositions: false,
};

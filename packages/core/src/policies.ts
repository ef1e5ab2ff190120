import { positionOrd } from '@rosedeck/shared';
import type { Millis, Position, TargetId } from '@rosedeck/shared';
import type { TargetReport } from './messages';

/** A target that could serve a read. */
export interface ReadCandidate {
  readonly target: TargetId;
  readonly isPrimary: boolean;
  /** True when its data is new enough for this read. */
  readonly isFresh: boolean;
  /** True when a connection and a slot are free. */
  readonly hasRoom: boolean;
  readonly inFlight: number;
}

/** Where a read goes next. */
export type ReadChoice =
  { readonly kind: 'run'; readonly target: TargetId } | { readonly kind: 'wait' };

/** Inputs of `Policies.mayHold`. */
export interface HoldContext {
  /** True once the group has had no primary for longer than a request may wait. */
  readonly holdExpired: boolean;
  /** Time that the gap is still expected to last. */
  readonly remainingGapMs: Millis;
  /** Time left until the deadline. */
  readonly leftMs: Millis;
}

/** Decisions of the core that experiments replace, such as by a naive policy. */
export interface Policies {
  /** Chooses the target of a read that has waited for `waitedMs`. */
  readonly chooseReadTarget: (
    candidates: readonly ReadCandidate[],
    waitedMs: Millis,
    replicaWaitMs: Millis,
  ) => ReadChoice;
  /** True when a write that `holders` targets hold may be acknowledged, given the group's majority. */
  readonly isConfirmed: (holders: number, majority: number) => boolean;
  /** True when a request may wait for a primary. */
  readonly mayHold: (context: HoldContext) => boolean;
  /** True when a request that is expected to wait for `waitMs` is worth queueing. */
  readonly canServeInTime: (waitMs: Millis, leftMs: Millis) => boolean;
  /** True when enough targets have adopted a new term to choose its primary. */
  readonly isFenced: (grants: number, majority: number) => boolean;
  /** Chooses the next primary among the targets that adopted the new term. */
  readonly chooseCandidate: (
    grants: ReadonlyMap<TargetId, TargetReport>,
    isLeaving: (target: TargetId) => boolean,
  ) => TargetId | undefined;
  /** True when a replica's report proves that it holds a write, so that it counts as a holder. */
  readonly holdsWrite: (report: TargetReport, written: Position) => boolean;
  /** True when a sample counts, given the number of targets that reported its term after it was sent. */
  readonly isSampleConfirmed: (inTerm: number, majority: number) => boolean;
  /** Time as of which the content of a report is valid. */
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
  /** True when a daemon discards what it observed before a pause; false only in the naive policy. */
  readonly resetsAfterPause: boolean;
  /** True when a read may ignore its minimum position; only in the naive policy. */
  readonly ignoresPositions: boolean;
}

function findLeastLoaded(candidates: readonly ReadCandidate[]): ReadCandidate | undefined {
  let best: ReadCandidate | undefined;
  for (const candidate of candidates)
    if (!best || candidate.inFlight < best.inFlight) best = candidate;
  return best;
}

/** Prefers a fresh replica with room, waits up to `replicaWaitMs` for one, then takes the primary. */
export function chooseReplicaFirst(
  candidates: readonly ReadCandidate[],
  waitedMs: Millis,
  replicaWaitMs: Millis,
): ReadChoice {
  const usable = candidates.filter((candidate) => candidate.isFresh);
  const free = usable.filter((candidate) => candidate.hasRoom);
  const replica = findLeastLoaded(free.filter((candidate) => !candidate.isPrimary));
  if (replica) return { kind: 'run', target: replica.target };
  if (waitedMs < replicaWaitMs) return { kind: 'wait' };
  const primary = findLeastLoaded(free);
  return primary ? { kind: 'run', target: primary.target } : { kind: 'wait' };
}

/** Chooses the target with the latest log among those that granted; at equal logs one that stays. */
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

/** A replica holds a write only while it is in the write's term: equal indexes of other terms differ. */
export function holdsInTerm(report: TargetReport, written: Position): boolean {
  if (report.term !== written.term || report.received.term !== written.term) return false;
  return report.received.index >= written.index;
}

/** The policies of a daemon outside experiments. */
export const DEFAULT_POLICIES: Policies = {
  chooseReadTarget: chooseReplicaFirst,
  isConfirmed: (holders, majority) => holders >= majority,
  mayHold: ({ holdExpired, remainingGapMs, leftMs }) => !holdExpired && remainingGapMs < leftMs,
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

import { positionOrd } from '@rosedeck/shared';
import type { GroupId, InstanceId, Millis, Position, TargetId } from '@rosedeck/shared';
import type { PromotionReason } from './promotionTypes';
import { fnv1aHash } from './sampling';

/** Inputs of the decision whether a group needs a promotion. */
export interface PrimaryHealth {
  readonly known: boolean;
  readonly leaving: boolean;
  readonly unlisted: boolean;
  /** This daemon cannot reach it. */
  readonly suspected: boolean;
  /** Time without a primary that answers. */
  readonly primaryDownMs: Millis;
  /** Time that all replicas have lagged too far for any read, while reads wait for the primary. */
  readonly replicasLaggingMs: Millis;
  /** The directory shows other daemons. */
  readonly hasPeers: boolean;
  /** Other daemons that cannot reach it, and that can. */
  readonly suspecting: number;
  readonly trusting: number;
  /** Other daemons that have proof of another target's lead. */
  readonly elsewhere: number;
}

/** A group in which nobody leads is given this long to settle by itself. */
const LEADERLESS_WAIT_MS: Millis = 1_200;

/** A daemon that hears nothing of the others may be the one that is cut off; it waits this long. */
const NO_OPINIONS_WAIT_MS: Millis = 4_000;

/** Replicas that fall behind for less than this catch up by themselves. */
const REPLICAS_LAGGING_MS: Millis = 1_000;

/**
 * Whether the group needs another primary, and why. Answers a primary that is lost, leaves, or is
 * cut off from most daemons; a cut from a few is left alone, since their callers can go elsewhere.
 * Also answers replicas that apply what they receive too late for any read: one that leads has
 * applied all of it, and the old primary serves reads beside it.
 *
 * Never answers a daemon's own view alone: where others have proof of another lead, this daemon is
 * cut off from it, and a promotion would bring back commits that the other lead has cut off.
 */
export function findPromotionReason(view: PrimaryHealth): PromotionReason | undefined {
  if (view.elsewhere > 0) return undefined;
  if (view.known && view.leaving) return 'leaving';
  const lacksOpinions = view.hasPeers && view.suspecting + view.trusting === 0;
  if (!view.known && lacksOpinions && view.primaryDownMs < NO_OPINIONS_WAIT_MS) return undefined;
  if (!view.known) return view.primaryDownMs > LEADERLESS_WAIT_MS ? 'nobody_leads' : undefined;
  if (!view.suspected)
    return view.replicasLaggingMs > REPLICAS_LAGGING_MS ? 'replicas_behind' : undefined;
  if (view.unlisted) return 'gone';
  if (lacksOpinions && view.primaryDownMs < NO_OPINIONS_WAIT_MS) return undefined;
  return view.suspecting + 1 > view.trusting ? 'unreachable' : undefined;
}

/** One replica that may be promoted. */
export interface PromotionCandidate {
  readonly id: TargetId;
  readonly leaving: boolean;
  /** Last position that it is known to hold. */
  readonly received?: Position;
  readonly answered: boolean;
  readonly failing: boolean;
}

/** The replica with the newest log; ties go to one that answered and stays. */
export function chooseCandidate(
  candidates: readonly PromotionCandidate[],
): PromotionCandidate | undefined {
  const fit = candidates.filter((one) => !one.failing);
  const staying = fit.filter((one) => !one.leaving);
  const pool = staying.length > 0 ? staying : fit;
  return pool.reduce<PromotionCandidate | undefined>(
    (best, one) => (best === undefined || isBetter(one, best) ? one : best),
    undefined,
  );
}

function isBetter(a: PromotionCandidate, b: PromotionCandidate): boolean {
  if (!a.received || !b.received) return a.received !== undefined && b.received === undefined;
  const order = positionOrd.compare(a.received, b.received);
  return order === 0 ? a.answered && !b.answered : order > 0;
}

/** Daemons that a full head start is meant for; the steps of a larger fleet are shorter. */
const FULL_STAGGER_DAEMONS = 8;

/**
 * How long this daemon leaves a promotion to the others: each has its own place in each group.
 * Answers a lost primary that all daemons notice at once, and first ones that do not notice it;
 * the last of a large fleet must not wait longer than that of a small one.
 */
export function promotionDelayMs(
  self: InstanceId,
  others: readonly InstanceId[],
  group: GroupId,
  staggerMs: Millis,
): Millis {
  const own = fnv1aHash(`${group}/${self}`);
  const rank = others.filter((name) => fnv1aHash(`${group}/${name}`) < own).length;
  return rank * staggerMs * Math.min(1, FULL_STAGGER_DAEMONS / Math.max(1, others.length));
}

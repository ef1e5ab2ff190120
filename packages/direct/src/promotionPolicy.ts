import murmurhash from 'murmurhash';
import { positionOrd } from '@rosedeck/shared';
import type { GroupId, InstanceId, Millis, Position, TargetId } from '@rosedeck/shared';
import type { PromotionReason } from './promotionTypes';

/** Inputs of the decision whether a group needs a promotion. */
export interface PrimaryHealth {
  /** The group has a known primary. */
  readonly known: boolean;
  readonly leaving: boolean;
  readonly unlisted: boolean;
  /** It leads without entries that its log had. */
  readonly logLost: boolean;
  /** The failure detector of this daemon suspects it. */
  readonly suspected: boolean;
  /** Time without a usable primary. */
  readonly primaryDownMs: Millis;
  /** Age of the newest proof that this daemon's view of the store is complete. */
  readonly storeAgeMs: Millis;
  /** Time that all replicas have lagged too far for any read, while reads wait for the primary. */
  readonly replicasLaggingMs: Millis;
  /** This or another daemon has proof of the primary; false for one that was only claimed. */
  readonly proven: boolean;
  /** The directory lists other daemons. */
  readonly hasPeers: boolean;
  /** Other daemons that cannot reach the primary. */
  readonly suspecting: number;
  /** Other daemons with recent proof of the primary. */
  readonly trusting: number;
  /** Other daemons with recent proof that another target is the primary. */
  readonly elsewhere: number;
}

/** A leaderless group may recover by itself within this time. */
const LEADERLESS_WAIT_MS: Millis = 1_200;

/** A daemon without opinions of others may itself be isolated; it waits this long. */
const NO_OPINIONS_WAIT_MS: Millis = 4_000;

/** Replicas that lag for less than this time catch up by themselves. */
const REPLICAS_LAGGING_MS: Millis = 1_000;

/**
 * Whether the group needs another primary, and why: the primary is lost, is leaving, or is isolated
 * from most daemons. A primary that only a few daemons cannot reach stays, since their callers can
 * use other daemons. Replicas that apply received data too late for any read are also a reason: a
 * promoted replica has applied all of it, and the old primary then serves reads beside it. So is a primary
 * that has started again without its log.
 *
 * Where other daemons have proof of another primary, or a primary was claimed that this daemon never
 * reached and nobody else suspects, this one may be isolated from it. A promotion could then restore
 * commits that the other primary has discarded. The same holds for a daemon that has heard neither of
 * the others' opinions nor from the store since it lost the primary.
 */
export function findPromotionReason(health: PrimaryHealth): PromotionReason | undefined {
  if (health.elsewhere > 0) return undefined;
  if (health.logLost) return 'log_lost';
  if (health.known && health.leaving) return 'leaving';
  const lacksOpinions = health.hasPeers && health.suspecting + health.trusting === 0;
  const isUninformed = lacksOpinions && health.storeAgeMs > health.primaryDownMs;
  if (!health.known && isUninformed) return undefined;
  if (!health.known && lacksOpinions && health.primaryDownMs < NO_OPINIONS_WAIT_MS)
    return undefined;
  if (!health.known) return health.primaryDownMs > LEADERLESS_WAIT_MS ? 'nobody_leads' : undefined;
  if (!health.suspected)
    return health.replicasLaggingMs > REPLICAS_LAGGING_MS ? 'replicas_behind' : undefined;
  if (health.unlisted) return 'gone';
  if (isUninformed) return undefined;
  if (lacksOpinions && !health.proven) return undefined;
  if (lacksOpinions && health.primaryDownMs < NO_OPINIONS_WAIT_MS) return undefined;
  return health.suspecting + 1 > health.trusting ? 'unreachable' : undefined;
}

/** One replica that may be promoted. */
export interface PromotionCandidate {
  readonly id: TargetId;
  readonly leaving: boolean;
  /** The newest log entry that it holds, by its reply. */
  readonly received?: Position;
  /**
   * What it has replied since the promotion started: its status, or another reply with the position
   * that it has applied. Absent: nothing.
   */
  readonly reply?: 'status' | 'position';
  readonly failing: boolean;
  /** It leads an outdated term: it can be promoted once it has stepped down. */
  readonly isLeading?: boolean;
}

/** What decides between candidates first: the newest log, or that a target stays. */
export type CandidatePreference = 'newest' | 'staying';

/**
 * Chooses the replica with the newest log, among those that have replied; ties go to one that has sent
 * its status. A failing one is never chosen, nor one that still leads: ordering it changes nothing. A
 * leaving replica is chosen when all are leaving or, where the newest log goes first, when no other log
 * is as new: it has commits that all others lack, and is replaced in its turn.
 */
export function chooseCandidate(
  candidates: readonly PromotionCandidate[],
  preference: CandidatePreference = 'staying',
): PromotionCandidate | undefined {
  const fit = candidates.filter(
    (one) => !one.failing && one.isLeading !== true && one.reply !== undefined,
  );
  const staying = fit.filter((one) => !one.leaving);
  const best = findBest(staying);
  if (best && preference === 'staying') return best;
  const bestLeaving = findBest(fit.filter((one) => one.leaving));
  if (!best || !bestLeaving) return best ?? bestLeaving;
  return hasNewerLog(bestLeaving, best) ? bestLeaving : best;
}

function findBest(candidates: readonly PromotionCandidate[]): PromotionCandidate | undefined {
  return candidates.reduce<PromotionCandidate | undefined>(
    (best, one) => (best === undefined || isBetter(one, best) ? one : best),
    undefined,
  );
}

function hasNewerLog(a: PromotionCandidate, b: PromotionCandidate): boolean {
  if (!a.received || !b.received) return a.received !== undefined;
  return positionOrd.compare(a.received, b.received) > 0;
}

function isBetter(a: PromotionCandidate, b: PromotionCandidate): boolean {
  if (!a.received || !b.received) return a.received !== undefined && b.received === undefined;
  const order = positionOrd.compare(a.received, b.received);
  return order === 0 ? a.reply === 'status' && b.reply !== 'status' : order > 0;
}

/** Other daemons up to which the full stagger applies; larger fleets use a shorter one. */
const FULL_STAGGER_DAEMONS = 8;

/**
 * Time that this daemon waits before it starts a promotion. Each daemon has its own rank in each
 * group: all may detect a lost primary at once, and then start one after the other. Those ranked
 * first may not detect it at all, and then the next ones start.
 * The last daemon of a large fleet waits no longer than that of a small one.
 */
export function promotionDelayMs(
  self: InstanceId,
  others: readonly InstanceId[],
  group: GroupId,
  staggerMs: Millis,
): Millis {
  const own = murmurhash.v3(`${group}/${self}`);
  const rank = others.filter((name) => murmurhash.v3(`${group}/${name}`) < own).length;
  return rank * staggerMs * Math.min(1, FULL_STAGGER_DAEMONS / Math.max(1, others.length));
}

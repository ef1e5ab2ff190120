import type { Millis, TargetId } from '@rosedeck/shared';

/** A target that a statement may run on. */
export interface PlacementCandidate {
  readonly id: TargetId;
  readonly isPrimary: boolean;
  readonly sameDomain: boolean;
  readonly slots: number;
  /** Statements of this daemon in flight at the target. */
  readonly ownInFlight: number;
  /** Statements of the other daemons in flight there, as last reported. */
  readonly otherInFlight: number;
  /** Response time over the usual one; 1 is normal. */
  readonly latencyRatio: number;
  /** Idle connections of this daemon. */
  readonly idle: number;
}

/**
 * Expected response time of one more statement, as a multiple of the usual one. The cost grows with
 * the target's response time and its load, so that slow or loaded targets get less work.
 */
export function placementCost(candidate: PlacementCandidate, remoteFactor: number): number {
  const load = (candidate.ownInFlight + candidate.otherInFlight) / Math.max(1, candidate.slots);
  const distance = candidate.sameDomain ? 1 : remoteFactor;
  return candidate.latencyRatio * (1 + load) * distance;
}

/**
 * Chooses the target of a read. The primary serves a read only while another connection to it stays
 * idle, so that reads do not crowd out work that needs the primary.
 */
export function chooseReadTarget(
  candidates: readonly PlacementCandidate[],
  remoteFactor: number,
  random: () => number,
): PlacementCandidate | undefined {
  const available = candidates.filter(({ idle, isPrimary }) => idle >= (isPrimary ? 2 : 1));
  return chooseCheapest(available, (one) => placementCost(one, remoteFactor), random);
}

/** Cost factor of a connection to the primary for reads; other work may need it more. */
const PRIMARY_FACTOR = 2;

/**
 * Chooses the target to which a connection is opened for a read that no idle one can serve. Load
 * pattern: with more daemons than connections nearly every read opens one, so that this choice
 * decides where it runs.
 */
export function chooseTargetToOpen(
  candidates: readonly PlacementCandidate[],
  remoteFactor: number,
  random: () => number,
): PlacementCandidate | undefined {
  const costOf = (one: PlacementCandidate): number =>
    placementCost(one, remoteFactor) * (one.isPrimary ? PRIMARY_FACTOR : 1);
  return chooseCheapest(candidates, costOf, random);
}

/** The candidate of lowest cost. Jitter keeps daemons with the same data from all choosing it. */
function chooseCheapest(
  candidates: readonly PlacementCandidate[],
  costOf: (candidate: PlacementCandidate) => number,
  random: () => number,
): PlacementCandidate | undefined {
  let best: PlacementCandidate | undefined;
  let bestCost = Infinity;
  for (const candidate of candidates) {
    const cost = costOf(candidate) * (1 + PLACEMENT_JITTER * random());
    if (cost >= bestCost) continue;
    best = candidate;
    bestCost = cost;
  }
  return best;
}

/** Largest jitter, as a share of the cost. */
const PLACEMENT_JITTER = 0.15;

/** Inputs of the decision whether a target gets one more statement of this daemon. */
export interface CapacityInputs {
  /** Statements of this daemon in flight at the target. */
  readonly ownInFlight: number;
  /** Statements of the other daemons in flight there. */
  readonly otherInFlight: number;
  /** Statements of all daemons that the target should have in flight. */
  readonly inFlightLimit: number;
  /** Time since the target last replied to a statement of this daemon. */
  readonly sinceDoneMs: Millis;
  /** Usual time of a statement. */
  readonly usualMs: Millis;
}

/** Whether a target has capacity for a statement, or the time after which to check again. */
export type Capacity =
  { readonly kind: 'free' | 'full' } | { readonly kind: 'pause'; readonly forMs: Millis };

/**
 * Limits the statements in flight at a target. A statement that is queued in the daemon can be
 * reordered, refused or sent elsewhere; one that waits at the target cannot. A daemon whose fair
 * share is below one statement pauses between statements instead.
 */
export function checkCapacity(inputs: CapacityInputs): Capacity {
  const { ownInFlight, otherInFlight, inFlightLimit, usualMs, sinceDoneMs } = inputs;
  if (ownInFlight + otherInFlight < inFlightLimit) return { kind: 'free' };
  if (ownInFlight > 0) return { kind: 'full' };
  const pauseMs = usualMs * ((otherInFlight + 1) / inFlightLimit - 1) - sinceDoneMs;
  return pauseMs > 0 ? { kind: 'pause', forMs: pauseMs } : { kind: 'free' };
}

/** Weight of the newest response time in a target's rating. */
const RATING_WEIGHT = 0.15;

/** Moving average of a target's response time over the usual one (1 is normal). */
export interface LatencyRating {
  latencyRatio: number;
  /** When `latencyRatio` was last updated. */
  at: Millis;
}

/** Adds one response time, as a multiple of the usual one. */
export function recordResponseTime(
  rating: LatencyRating,
  ratio: number,
  now: Millis,
  decayMs: Millis,
): void {
  const current = latencyRatioAt(rating, now, decayMs);
  rating.latencyRatio = current + RATING_WEIGHT * (Math.min(ratio, MAX_LATENCY_RATIO) - current);
  rating.at = now;
}

/** Limits the effect of a single outlier on a target's rating. */
const MAX_LATENCY_RATIO = 12;

/** The ratio at `now`. It decays to 1 without samples, so a recovered target is tried again. */
export function latencyRatioAt(rating: LatencyRating, now: Millis, decayMs: Millis): number {
  return 1 + (rating.latencyRatio - 1) * Math.exp((rating.at - now) / decayMs);
}

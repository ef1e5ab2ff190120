import type { Millis, TargetId } from '@rosedeck/shared';

/** One target that a statement may run on. */
export interface PlacementCandidate {
  readonly id: TargetId;
  readonly isPrimary: boolean;
  readonly sameDomain: boolean;
  readonly slots: number;
  /** Statements of this daemon that the target is working on. */
  readonly ownInFlight: number;
  /** Statements of the other daemons there, as they last reported. */
  readonly otherInFlight: number;
  /** Response time against the usual one; 1 is normal. */
  readonly latencyRatio: number;
  /** Connections of this daemon that are free at once. */
  readonly idle: number;
}

/**
 * Expected delay of one more statement, in multiples of a normal one. Answers a slow or crowded
 * target beside free ones: its cost grows with its response time and with what it already holds.
 */
export function placementCost(candidate: PlacementCandidate, remoteFactor: number): number {
  const load = (candidate.ownInFlight + candidate.otherInFlight) / Math.max(1, candidate.slots);
  const distance = candidate.sameDomain ? 1 : remoteFactor;
  return candidate.latencyRatio * (1 + load) * distance;
}

/**
 * Chooses the target of a read. Answers reads that crowd out writers: the primary serves a read
 * only while it keeps another free connection for work that cannot go elsewhere.
 */
export function chooseReadTarget(
  candidates: readonly PlacementCandidate[],
  remoteFactor: number,
  random: () => number,
): PlacementCandidate | undefined {
  let best: PlacementCandidate | undefined;
  let bestCost = Infinity;
  for (const candidate of candidates) {
    if (candidate.idle < (candidate.isPrimary ? 2 : 1)) continue;
    // A little noise keeps daemons with the same view from choosing the same target.
    const cost = placementCost(candidate, remoteFactor) * (1 + PLACEMENT_JITTER * random());
    if (cost >= bestCost) continue;
    best = candidate;
    bestCost = cost;
  }
  return best;
}

/** Spread of the placement noise, as a share of the cost. */
const PLACEMENT_JITTER = 0.15;

/** What decides whether a target takes one more statement of this daemon. */
export interface CapacityInputs {
  /** Statements of this daemon that the target is working on. */
  readonly ownInFlight: number;
  /** Those of the other daemons. */
  readonly otherInFlight: number;
  /** Statements that the target should have at a time. */
  readonly inFlightLimit: number;
  /** Time since the target last answered this daemon. */
  readonly sinceDoneMs: Millis;
  /** Usual time of a statement. */
  readonly usualMs: Millis;
}

/** Whether there is room at a target, or when to look again. */
export type Capacity =
  { readonly kind: 'free' | 'full' } | { readonly kind: 'pause'; readonly forMs: Millis };

/**
 * Whether a target takes one more statement. Answers more arrivals than slots: what waits here can
 * still be ordered, refused or sent elsewhere, what waits at the target cannot. Where a daemon's
 * fair share is below one statement, it pauses between them instead.
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

/** Response time of a target against the usual one (1 is normal), and when it last changed. */
export interface LatencyRating {
  latencyRatio: number;
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

/** One outlier must not shut a target out. */
const MAX_LATENCY_RATIO = 12;

/** The rating now; without samples it fades to normal, so that a recovered target is tried again. */
export function latencyRatioAt(rating: LatencyRating, now: Millis, decayMs: Millis): number {
  return 1 + (rating.latencyRatio - 1) * Math.exp((rating.at - now) / decayMs);
}

import type { Millis } from '@rosedeck/shared';
import { createRate } from './serviceTime';
import type { Rate } from './serviceTime';

/** Finds the tenants that ask for more than their fair share of a target. */
export interface FairShare {
  /** Records a request and its expected work; false when its tenant exceeds its share. */
  readonly offer: (now: Millis, tenant: string | undefined, workMs: Millis) => boolean;
  /** Compares the tenants anew; `capacity` is in slot time per time. Called each 100 ms or so. */
  readonly review: (now: Millis, capacity: number) => void;
}

/** What a tenant asks for. */
interface Demand {
  readonly rate: Rate;
  readonly weight: number;
  perMs: number;
  /** Usual share of the demand of all tenants. */
  usualShare: number;
  isExcessive: boolean;
  /** Part of the requests that is served in turn with those of the others. */
  promptPart: number;
  /** Sum of these parts since the last such request. */
  credit: number;
}

/** Time constant of the demand of a tenant; covers dozens of requests of a busy one. */
const DEMAND_DECAY_MS = 400;

/**
 * A tenant exceeds its share only once its demand, relative to that of the others, is this multiple of
 * the usual one; the demand of a busy tenant varies by up to a third within the time constant. In a
 * burst of all tenants, the classes decide: the urgent requests of a large tenant stay urgent.
 */
const USUAL_TOLERANCE = 2;

/** Share of the capacity that is shared out; with more demand than this, queues begin to grow. */
const SHARED_OUT = 0.9;

/** Reviews that the usual share covers: about a minute. */
const USUAL_REVIEWS = 600;

/** Reviews after which the usual share is known. */
const MIN_REVIEWS = 20;

/** Weight of a review in the average of what excessive tenants lack: it covers about 2 s. */
const LACKING_WEIGHT = 0.05;

/** Demand below which a tenant is forgotten, together with such a usual share. */
const FORGOTTEN_BELOW = 1e-4;

/**
 * Creates the shares of one target. They are max-min fair: a tenant that asks for less than the level
 * is not limited, and the others get the level. The requests of a tenant that exceeds it are served in
 * the gaps that the others leave, which add up to its share; what these lack is served in turn. Without
 * this, a tenant that multiplies
 * its requests of an urgent class displaces the requests of all tenants in the classes after it.
 */
export function createFairShare(weightOf: (tenant: string | undefined) => number): FairShare {
  const demands = new Map<string | undefined, Demand>();
  let reviews = 0;
  let lacking = 0;

  const measure = (now: Millis): number => {
    let total = 0;
    for (const [tenant, demand] of demands) {
      demand.perMs = demand.rate.perMs(now);
      total += demand.perMs;
      if (demand.perMs < FORGOTTEN_BELOW && demand.usualShare < FORGOTTEN_BELOW)
        demands.delete(tenant);
    }
    return total;
  };

  const updateUsual = (demand: Demand, total: number): void => {
    // The excess of a tenant does not become its usual demand.
    if (demand.isExcessive) return;
    const weight = Math.max(1 / reviews, 1 / USUAL_REVIEWS);
    demand.usualShare += weight * (demand.perMs / total - demand.usualShare);
  };

  return {
    offer: (now, tenant, workMs) => {
      let demand = demands.get(tenant);
      if (!demand) {
        const rate = createRate(DEMAND_DECAY_MS);
        demand = {
          rate,
          weight: weightOf(tenant),
          perMs: 0,
          usualShare: 0,
          isExcessive: false,
          promptPart: 0,
          credit: 0,
        };
        demands.set(tenant, demand);
      }
      demand.rate.add(now, workMs);
      if (!demand.isExcessive) return true;
      demand.credit += demand.promptPart;
      if (demand.credit < 1) return false;
      demand.credit -= 1;
      return true;
    },
    review: (now, capacity) => {
      const total = measure(now);
      if (total === 0) return;
      reviews += 1;
      // What a single tenant asks for too much displaces nobody else's work.
      const isShared = demands.size > 1 && total > capacity * SHARED_OUT && reviews >= MIN_REVIEWS;
      const level = isShared ? fairLevel([...demands.values()], capacity * SHARED_OUT) : Infinity;
      for (const demand of demands.values()) {
        const { perMs, weight, usualShare } = demand;
        const usualRatio = usualShare / (1 - usualShare);
        const hasGrown = perMs > (total - perMs) * usualRatio * USUAL_TOLERANCE;
        demand.isExcessive = perMs > level * weight && hasGrown;
        updateUsual(demand, total);
      }
      const lackingNow = lackingPerWeight([...demands.values()], level, capacity * SHARED_OUT);
      lacking += LACKING_WEIGHT * (lackingNow - lacking);
      for (const demand of demands.values())
        demand.promptPart =
          Math.max(0, lacking * demand.weight) / Math.max(demand.perMs, FORGOTTEN_BELOW);
    },
  };
}

/**
 * What the tenants that are not excessive leave too little for the level of the others, per weight.
 * It is positive only if some of them exceed the level too, at their usual demand.
 */
function lackingPerWeight(demands: readonly Demand[], level: number, capacity: number): number {
  let left = capacity;
  let weights = 0;
  for (const { isExcessive, weight, perMs } of demands)
    if (isExcessive) weights += weight;
    else left -= perMs;
  return weights === 0 ? 0 : level - Math.max(0, left) / weights;
}

/** The rate per weight that uses up the capacity when no tenant gets more than it asks for. */
function fairLevel(demands: readonly Demand[], capacity: number): number {
  const sorted = [...demands].sort((a, b) => a.perMs / a.weight - b.perMs / b.weight);
  let left = capacity;
  let weights = sorted.reduce((sum, { weight }) => sum + weight, 0);
  for (const { perMs, weight } of sorted) {
    const level = left / weights;
    if (perMs / weight > level) return level;
    left -= perMs;
    weights -= weight;
  }
  return Infinity;
}

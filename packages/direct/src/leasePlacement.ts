import type { Millis } from '@rosedeck/shared';
import { latencyRatioAt } from './placement';
import type { TargetRow, World } from './tables';

/**
 * Time constant by which a told wait decays: a target that is avoided for its wait tells no other one,
 * and has to be tried again.
 */
const WAIT_DECAY_MS: Millis = 1_000;

/** Age up to which a told load shows that a pool has or has no queue. */
const LOAD_MAX_AGE_MS: Millis = 2_000;

/** Largest jitter of the cost, as a share; keeps daemons with the same data apart. */
const COST_JITTER = 0.15;

/** Cost factor of the primary for reads; other work needs it. */
const PRIMARY_FACTOR = 2;

/** Expected wait at the pool of a target, as last told; 0 when it has not been told. */
export function poolWaitMs(target: TargetRow, now: Millis): Millis {
  const { poolLoad } = target;
  if (!poolLoad || poolLoad.waitMs === 0) return 0;
  return poolLoad.waitMs * Math.exp((poolLoad.at - now) / WAIT_DECAY_MS);
}

/** State of a target's pool: whether requests wait there, as far as known. */
export function poolStateOf(target: TargetRow, now: Millis): 'idle' | 'queueing' | 'unknown' {
  const { poolLoad } = target;
  if (!poolLoad || now - poolLoad.at > LOAD_MAX_AGE_MS) return 'unknown';
  return poolLoad.queued > 0 || poolLoad.waitMs > 0 ? 'queueing' : 'idle';
}

/**
 * Expected time until a read over a lease is answered. Own leases count because the pool has not told
 * their effect yet.
 */
function leaseCost(world: World, target: TargetRow, now: Millis): number {
  const { listed, group, leases } = target;
  const ratio = latencyRatioAt(target.rating, now, world.settings.latencyDecayMs);
  const runMs = group.runMs.read.value * ratio * (1 + leases.size / Math.max(1, listed.slots));
  const distance =
    listed.failureDomain === world.self.failureDomain ? 1 : world.settings.remoteFactor;
  const factor = listed.id === group.primary ? PRIMARY_FACTOR : 1;
  return (poolWaitMs(target, now) + runMs) * distance * factor;
}

/** Chooses the target at whose pool a read asks for a lease. */
export function chooseLeaseTarget(
  world: World,
  targets: readonly TargetRow[],
  now: Millis,
): TargetRow | undefined {
  let best: TargetRow | undefined;
  let bestCost = Infinity;
  for (const target of targets) {
    const cost = leaseCost(world, target, now) * (1 + COST_JITTER * world.random());
    if (cost >= bestCost) continue;
    best = target;
    bestCost = cost;
  }
  return best;
}

import type { Millis } from '@rosedeck/shared';
import type { CircuitBreaker, TargetRow } from './tables';
import { jitter } from './world';
import type { World } from './world';

/** Creates a closed circuit breaker. */
export function createCircuitBreaker(): CircuitBreaker {
  return { failures: 0, openUntil: 0 };
}

/**
 * Counts a failure. From `circuitFailures` on, each one opens the circuit for twice as long as the
 * one before, up to a limit. Returns when the next try may start.
 */
export function recordTargetFailure(world: World, target: TargetRow, now: Millis): Millis {
  const { breaker } = target;
  const { circuitFailures, circuitOpenMs, circuitOpenMaxMs } = world.settings;
  breaker.failures += 1;
  const excess = breaker.failures - circuitFailures;
  if (excess < 0) return now;
  const middleMs = Math.min(circuitOpenMaxMs, circuitOpenMs * 2 ** excess);
  breaker.openUntil = now + jitter(world, middleMs);
  world.scheduler.queueJobAt('dispatch', target.group, breaker.openUntil);
  return breaker.openUntil;
}

/** Closes the circuit breaker after a success. */
export function recordTargetSuccess(target: TargetRow): void {
  target.breaker.failures = 0;
  target.breaker.openUntil = 0;
}

/** True while the target gets no new work. */
export function isCircuitOpen(target: TargetRow, now: Millis): boolean {
  return target.breaker.openUntil > now;
}

/** True when the target gets one request at a time, to test whether it works again. */
export function isCircuitHalfOpen(world: World, target: TargetRow, now: Millis): boolean {
  return target.breaker.failures >= world.settings.circuitFailures && !isCircuitOpen(target, now);
}

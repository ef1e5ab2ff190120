import type { Millis } from '@rosedeck/shared';
import type { CircuitBreaker, TargetRow } from './tables';
import { jitter } from './world';
import type { World } from './world';

/** Creates a closed circuit breaker. */
export function createCircuitBreaker(): CircuitBreaker {
  return { failures: 0, openUntil: 0 };
}

/** Counts a failure: each one opens the circuit for longer; returns when the next try may come. */
export function recordTargetFailure(world: World, target: TargetRow, now: Millis): Millis {
  const { breaker } = target;
  const { circuitFailures, circuitOpenMs, circuitOpenMaxMs } = world.settings;
  breaker.failures += 1;
  const excess = breaker.failures - circuitFailures;
  if (excess < 0) return now;
  const middle = Math.min(circuitOpenMaxMs, circuitOpenMs * 2 ** excess);
  breaker.openUntil = now + jitter(world, middle);
  world.scheduler.queueJobAt('dispatch', target.group, breaker.openUntil);
  return breaker.openUntil;
}

/** Closes the circuit breaker after a success. */
export function recordTargetSuccess(target: TargetRow): void {
  target.breaker.failures = 0;
  target.breaker.openUntil = 0;
}

/** True while no new work may go to the target. */
export function isCircuitOpen(target: TargetRow, now: Millis): boolean {
  return target.breaker.openUntil > now;
}

/** True when the target is given one request at a time, to find out whether it works again. */
export function isCircuitHalfOpen(world: World, target: TargetRow, now: Millis): boolean {
  return target.breaker.failures >= world.settings.circuitFailures && !isCircuitOpen(target, now);
}

import type { Millis } from '@rosedeck/shared';
import type { Circuit, TargetRow } from './tables';
import { spreadAround } from './world';
import type { World } from './world';

/** Creates a closed circuit. */
export function createCircuit(): Circuit {
  return { failures: 0, openUntil: 0 };
}

/** Counts a failure: each one opens the circuit for longer; returns when the next try may come. */
export function recordFailure(world: World, target: TargetRow, now: Millis): Millis {
  const { circuit } = target;
  const { circuitFailures, circuitOpenMs, circuitOpenMaxMs } = world.settings;
  circuit.failures += 1;
  const excess = circuit.failures - circuitFailures;
  if (excess < 0) return now;
  const middle = Math.min(circuitOpenMaxMs, circuitOpenMs * 2 ** excess);
  circuit.openUntil = now + spreadAround(world, middle);
  world.scheduler.queueJobAt('dispatch', target.group, circuit.openUntil);
  return circuit.openUntil;
}

/** Closes the circuit after a success. */
export function recordSuccess(target: TargetRow): void {
  target.circuit.failures = 0;
  target.circuit.openUntil = 0;
}

/** True while no new work may go to the target. */
export function isOpen(target: TargetRow, now: Millis): boolean {
  return target.circuit.openUntil > now;
}

/** True when the target is given one request at a time, to find out whether it works again. */
export function isHalfOpen(world: World, target: TargetRow, now: Millis): boolean {
  return target.circuit.failures >= world.settings.circuitFailures && !isOpen(target, now);
}

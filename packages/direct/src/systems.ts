import { describeError } from '@rosedeck/shared';
import type { SystemName } from './logEvents';
import type { World } from './tables';

/** Runs a system; an error in it is logged, so that the others run all the same. */
export function runSystem(world: World, system: SystemName, run: () => void): void {
  try {
    run();
  } catch (error) {
    world.io.log({ type: 'system_failed', system, detail: describeError(error) });
  }
}

/** Runs a system over rows; an error with one of them is logged, so that the others get their turn. */
export function runForEach<Row>(
  world: World,
  system: SystemName,
  rows: Iterable<Row>,
  run: (row: Row) => void,
): void {
  for (const row of rows) {
    try {
      run(row);
    } catch (error) {
      world.io.log({ type: 'system_failed', system, detail: describeError(error) });
    }
  }
}

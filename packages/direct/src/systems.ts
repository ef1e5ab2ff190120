import { describeError } from '@rosedeck/shared';
import type { SystemName } from './logEvents';
import type { World } from './tables';

/** Runs a system. An error in it is logged, so that the others run all the same; false after one. */
export function runSystem(world: World, system: SystemName, run: () => void): boolean {
  try {
    run();
    return true;
  } catch (error) {
    world.io.log({ type: 'system_failed', system, detail: describeError(error) });
    return false;
  }
}

/** Runs a system over rows, so that an error with one of them does not cost the others their turn. */
export function runForEach<Row>(
  world: World,
  system: SystemName,
  rows: Iterable<Row>,
  run: (row: Row) => void,
): void {
  for (const row of rows)
    runSystem(world, system, () => {
      run(row);
    });
}

import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { bundleProgram } from '../../../scripts/bundle';

/** Entry points of the programs that the bench starts as processes. */
const ENTRY_POINTS = {
  daemon: 'packages/cli/src/main.ts',
  standin: 'packages/standins/src/main.ts',
  load: 'packages/bench/src/load/main.ts',
  roam: 'packages/bench/src/load/roamMain.ts',
  saturate: 'packages/bench/src/load/saturateMain.ts',
  relay: 'packages/bench/src/relay.ts',
} as const;

/** Name of a program that the bench can start. */
export type ProgramName = keyof typeof ENTRY_POINTS;

const bundles = new Map<ProgramName, Promise<string>>();
let folder: string | undefined;

/** Bundles a program into the folder of this run, once per run, and returns the path of the bundle. */
export function prepareProgram(name: ProgramName): Promise<string> {
  const cached = bundles.get(name);
  if (cached) return cached;
  const file = path.join(getRunFolder(), `${name}.mjs`);
  const created = bundleProgram(ENTRY_POINTS[name], file).then(() => file);
  bundles.set(name, created);
  return created;
}

/** Returns the temporary folder of this run, which is removed at exit. */
export function getRunFolder(): string {
  if (folder !== undefined) return folder;
  const created = mkdtempSync(path.join(tmpdir(), 'rosedeck-bench-'));
  process.once('exit', () => {
    rmSync(created, { recursive: true, force: true });
  });
  folder = created;
  return created;
}

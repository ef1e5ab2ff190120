import type { Policies } from '@rosedeck/core';
import { runSeed } from './run';
import type { RunResult } from './run';

/** Removes faults for as long as the run still fails with the same kind of violation. */
export function shrinkFaults(failed: RunResult, policies: Policies | undefined): RunResult {
  const kind = failed.violations[0]?.kind;
  for (const removed of failed.faults) {
    const faults = failed.faults.filter((fault) => fault !== removed);
    const reduced = runSeed({ seed: failed.seed, policies, faults });
    const isSameFailure = reduced.violations.some((violation) => violation.kind === kind);
    if (isSameFailure) return shrinkFaults(reduced, policies);
  }
  return failed;
}

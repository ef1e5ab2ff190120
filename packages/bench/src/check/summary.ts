import type { RunResult } from './run';

/** Formats one line for many runs: failures, longest write gaps, share of reads on replicas. */
export function summarise(results: readonly RunResult[]): string {
  const failed = results.filter((result) => result.violations.length > 0).length;
  const reads = results.reduce((sum, result) => sum + result.reads, 0);
  const replicaReads = results.reduce((sum, result) => sum + result.replicaReads, 0);
  const calls = results.reduce((sum, result) => sum + result.calls, 0);
  const single = results.filter((result) => result.faults.length === 1);
  const [worst, worstSingle] = [findWorst(results), findWorst(single)];
  const share = reads === 0 ? 0 : (100 * replicaReads) / reads;
  return [
    `${results.length} seeds, ${failed} failed, ${calls} calls`,
    `worst gap ${describeGap(worst)}; with one fault ${describeGap(worstSingle)}`,
    `replica reads ${share.toFixed(1)} %`,
  ].join('; ');
}

/** Formats the longest write gap for each kind of fault, of runs with one fault, longest first. */
export function listGapsByKind(results: readonly RunResult[]): string[] {
  const worst = new Map<string, RunResult>();
  for (const result of results) {
    const kind = result.faults[0]?.kind;
    if (result.faults.length !== 1 || kind === undefined) continue;
    const previous = worst.get(kind);
    if (!previous || result.worstWriteGapMs > previous.worstWriteGapMs) worst.set(kind, result);
  }
  const sorted = [...worst].sort(([, a], [, b]) => b.worstWriteGapMs - a.worstWriteGapMs);
  return sorted.map(([kind, result]) => `  ${kind}: ${describeGap(result)}`);
}

function findWorst(results: readonly RunResult[]): RunResult | undefined {
  let worst: RunResult | undefined;
  for (const result of results)
    if (!worst || result.worstWriteGapMs > worst.worstWriteGapMs) worst = result;
  return worst;
}

function describeGap(result: RunResult | undefined): string {
  if (!result) return 'none';
  return `${result.worstWriteGapMs.toFixed(0)} ms (seed ${result.seed})`;
}

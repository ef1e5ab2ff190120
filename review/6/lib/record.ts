import { appendFileSync, writeFileSync } from 'node:fs';

/** The record of a case: what was sent, answered and run, with the time since its start. */
export interface CaseRecord {
  note: (text: string) => void;
  /** Time since the start, in milliseconds. */
  now: () => number;
  flush: () => void;
}

/** Starts an empty record in a file. */
export function startRecord(file: string): CaseRecord {
  const startedAt = performance.now();
  let lines: string[] = [];
  writeFileSync(file, '');
  const now = (): number => performance.now() - startedAt;
  return {
    now,
    note: (text) => {
      lines.push(`${now().toFixed(1).padStart(9)} ms  ${text}\n`);
    },
    flush: () => {
      appendFileSync(file, lines.join(''));
      lines = [];
    },
  };
}

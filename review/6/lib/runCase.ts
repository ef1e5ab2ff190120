import type { CaseRecord } from './record';

/** Exit code of a script that could not run; 1 and 0 are those of a rule that was broken or held. */
const COULD_NOT_RUN = 2;

/** Runs a case and ends the process with its exit code. */
export function runCase(record: CaseRecord, main: () => Promise<number>): void {
  const end = (code: number): void => {
    record.flush();
    process.exit(code);
  };
  const fail = (error: unknown): void => {
    record.note(`the case could not run: ${String(error)}`);
    end(COULD_NOT_RUN);
  };
  // An error in a stand-in is no verdict.
  process.on('uncaughtException', fail);
  for (const signal of ['SIGTERM', 'SIGINT'] as const)
    process.once(signal, () => {
      fail(signal);
    });
  main().then(end, fail);
}

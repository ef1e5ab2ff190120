import type { Millis } from '@rosedeck/shared';
import type { Sim } from './sim';

/** Behaviour of the fake store; when `lossy`, claims take effect but their answers are lost. */
export type StoreMode = 'up' | 'down' | 'slow' | 'lossy';

/** Answer to a claim of a term; a refusal carries the term that the store holds. */
export interface ClaimAnswer {
  readonly result: 'granted' | 'refused' | 'unavailable';
  readonly heldTerm?: number;
}

/** Fake of the platform's store that keeps only the claims of terms. */
export type FakeStore = ReturnType<typeof createFakeStore>;

const CALL_DURATION_MS = 3;
const MAX_SLOW_CALL_MS = 900;

/** Creates the store. Each claim is answered `unavailable` after `timeoutMs`, even after an earlier answer. */
export function createFakeStore(sim: Sim, timeoutMs: Millis) {
  let mode: StoreMode = 'up';
  let heldTerm = 0;
  return {
    setMode: (next: StoreMode): void => {
      mode = next;
    },
    claim: (term: number, done: (answer: ClaimAnswer) => void): void => {
      const modeAtCall = mode;
      sim.schedule(timeoutMs, () => {
        done({ result: 'unavailable' });
      });
      if (modeAtCall === 'down') return;
      sim.schedule(
        modeAtCall === 'slow' ? MAX_SLOW_CALL_MS * sim.random() : CALL_DURATION_MS,
        () => {
          const granted = term > heldTerm;
          const answer: ClaimAnswer = granted
            ? { result: 'granted' }
            : { result: 'refused', heldTerm };
          heldTerm = Math.max(heldTerm, term);
          if (modeAtCall !== 'lossy') done(answer);
        },
      );
    },
  };
}

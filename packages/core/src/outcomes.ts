import murmurhash from 'murmurhash';
import type { Millis, RequestId } from '@rosedeck/shared';
import type { Answer, OwnerRequest } from './messages';
import { createTimerQueue } from './timerQueue';

/** Outcome of a finished write. */
export interface OutcomeRow {
  readonly answer: Answer;
  /** Distinguishes a repeated request from another statement under the same id. */
  readonly fingerprint: number;
  /** When the request finished. */
  readonly at: Millis;
}

/** Answers of finished writes, kept for a while so that a lost answer can be queried. */
export interface Outcomes {
  keep: (request: RequestId, statement: StatementContent, answer: Answer, at: Millis) => void;
  find: (request: RequestId) => OutcomeRow | undefined;
  /** Drops the outcomes that were kept before `before`. */
  expire: (before: Millis) => void;
}

/** Greatest number of outcomes kept; the oldest are dropped first. */
const OUTCOMES_LIMIT = 50_000;

/** Fields that distinguish statements under the same request id. */
type StatementContent = Pick<OwnerRequest, 'sql' | 'params' | 'variables'>;

/** Text that is equal only for statements with the same SQL, parameters and session variables. */
export function statementIdentity({ sql, params, variables }: StatementContent): string {
  if (!params && !variables) return sql;
  return JSON.stringify([sql, params ?? null, variables ?? null]);
}

/** 32-bit hash of a statement's identity. */
export function fingerprintOf(statement: StatementContent): number {
  return murmurhash.v3(statementIdentity(statement));
}

/** Creates an empty table of outcomes. */
export function createOutcomes(): Outcomes {
  const rows = new Map<RequestId, OutcomeRow>();
  // Finding the first key of a map is slow after many deletions before it; hence a heap by time.
  const byTime = createTimerQueue<RequestId>();

  const dropOldest = (): void => {
    const oldest = byTime.pop();
    if (oldest && rows.get(oldest.value)?.at === oldest.at) rows.delete(oldest.value);
  };

  return {
    keep: (request, statement, answer, at) => {
      rows.set(request, { answer, fingerprint: fingerprintOf(statement), at });
      byTime.push(at, request);
      while (rows.size > OUTCOMES_LIMIT) dropOldest();
    },
    find: (request) => rows.get(request),
    expire: (before) => {
      for (let next = byTime.peek(); next && next.at < before; next = byTime.peek()) dropOldest();
    },
  };
}

import murmurhash from 'murmurhash';
import type { Millis, RequestId } from '@rosedeck/shared';
import type { Answer, OwnerRequest } from './messages';
import { createTimerQueue } from './timerQueue';

/** What is kept of a finished write. */
export interface OutcomeRow {
  readonly answer: Answer;
  /** Tells a repeat of the request from another statement under the same id. */
  readonly fingerprint: number;
  readonly at: Millis;
}

/** Answers of finished writes, kept for a while so that a lost answer can be asked for. */
export interface Outcomes {
  keep: (request: RequestId, statement: StatementContent, answer: Answer, at: Millis) => void;
  find: (request: RequestId) => OutcomeRow | undefined;
  /** Drops the outcomes that were kept before `before`. */
  expire: (before: Millis) => void;
}

/** Outcomes kept at most; the oldest go first. */
const OUTCOMES_LIMIT = 50_000;

/** What tells one statement from another under the same request id. */
type StatementContent = Pick<OwnerRequest, 'sql' | 'params' | 'variables'>;

/** Text that two statements share only if they do the same. */
export function statementIdentity({ sql, params, variables }: StatementContent): string {
  if (!params && !variables) return sql;
  return JSON.stringify([sql, params ?? null, variables ?? null]);
}

/** Short hash of a statement. */
export function fingerprintOf(statement: StatementContent): number {
  return murmurhash.v3(statementIdentity(statement));
}

/** Creates an empty table of outcomes. */
export function createOutcomes(): Outcomes {
  const rows = new Map<RequestId, OutcomeRow>();
  // A map's first key is slow to find once many before it are gone; hence the heap by time.
  const order = createTimerQueue<RequestId>();

  const dropOldest = (): void => {
    const oldest = order.pop();
    if (oldest && rows.get(oldest.value)?.at === oldest.at) rows.delete(oldest.value);
  };

  return {
    keep: (request, statement, answer, at) => {
      rows.set(request, { answer, fingerprint: fingerprintOf(statement), at });
      order.push(at, request);
      while (rows.size > OUTCOMES_LIMIT) dropOldest();
    },
    find: (request) => rows.get(request),
    expire: (before) => {
      for (let next = order.peek(); next && next.at < before; next = order.peek()) dropOldest();
    },
  };
}

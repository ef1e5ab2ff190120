import type { Millis } from '@rosedeck/shared';
import type { CallResult } from './caller';
import type { Violations } from './plan';

/** Outcomes of the writes to one row; each write increments its counter. */
interface RowHistory {
  readonly idempotent: boolean;
  acknowledged: number;
  unknown: number;
  refused: number;
  /** Key of the other row that the same transaction writes. */
  readonly partner?: string;
}

/** Outcomes of all writes as the callers received them. */
export interface History {
  recordWrite: (
    group: string,
    key: string,
    idempotent: boolean,
    result: CallResult,
    partner?: string,
  ) => void;
  /** Acknowledged writes to a row so far. */
  acknowledged: (group: string, key: string) => number;
  /** Compares the counters read from a group's rows with the outcomes, and counts violations. */
  verify: (group: string, rows: ReadonlyMap<string, number>) => void;
  readonly violations: Violations;
  /** Acknowledged writes, and how many of them are in the rows. */
  readonly totals: { acknowledged: number; found: number };
}

/** Creates a history without writes. */
export function createHistory(): History {
  const groups = new Map<string, Map<string, RowHistory>>();
  const violations: Violations = { lost: 0, doubled: 0, stale: 0, falselyRefused: 0, mixed: 0 };
  const totals = { acknowledged: 0, found: 0 };

  const logViolation = (key: string, row: RowHistory, stored: number): void => {
    const { acknowledged, unknown, refused } = row;
    process.stderr.write(
      `${key}: ${acknowledged} acknowledged, ${unknown} unknown, ${refused} refused, found ${stored}\n`,
    );
  };

  const verifyRow = (
    key: string,
    row: RowHistory,
    stored: number,
    rows: ReadonlyMap<string, number>,
  ): void => {
    totals.acknowledged += row.acknowledged;
    totals.found += Math.min(stored, row.acknowledged);
    violations.lost += Math.max(0, row.acknowledged - stored);
    if (stored < row.acknowledged) logViolation(key, row, stored);
    if (!row.idempotent) {
      const excess = Math.max(0, stored - row.acknowledged - row.unknown);
      if (excess > 0) logViolation(key, row, stored);
      if (row.refused > 0) violations.falselyRefused += excess;
      else violations.doubled += excess;
    }
    if (row.partner !== undefined && (rows.get(row.partner) ?? 0) !== stored) violations.mixed += 1;
  };

  return {
    violations,
    totals,
    recordWrite: (group, key, idempotent, result, partner) => {
      const rows = groups.get(group) ?? new Map<string, RowHistory>();
      groups.set(group, rows);
      const row = rows.get(key) ?? { idempotent, acknowledged: 0, unknown: 0, refused: 0, partner };
      rows.set(key, row);
      if (result.kind === 'ok') row.acknowledged += 1;
      else if (result.kind === 'unknown') row.unknown += 1;
      else row.refused += 1;
    },
    acknowledged: (group, key) => groups.get(group)?.get(key)?.acknowledged ?? 0,
    verify: (group, rows) => {
      for (const [key, row] of groups.get(group) ?? [])
        verifyRow(key, row, rows.get(key) ?? 0, rows);
    },
  };
}

/** Times of acknowledged writes, in ascending order. */
export interface AckTimes {
  record: (at: Millis) => void;
  /** Number of writes acknowledged before `at`. */
  countBefore: (at: Millis) => number;
  /** Longest time between two consecutive writes; 0 when there are fewer than two. */
  longestGap: () => Millis;
}

/** Creates an empty record of acknowledgement times. */
export function createAckTimes(): AckTimes {
  const times: Millis[] = [];
  return {
    record: (at) => {
      times.push(at);
    },
    countBefore: (at) => {
      let count = times.length;
      while (count > 0 && (times[count - 1] ?? 0) >= at) count -= 1;
      return count;
    },
    longestGap: () => {
      let longest = 0;
      for (let i = 1; i < times.length; i += 1) {
        longest = Math.max(longest, (times[i] ?? 0) - (times[i - 1] ?? 0));
      }
      return longest;
    },
  };
}

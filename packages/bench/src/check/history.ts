import { covers, formatPosition } from '@rosedeck/shared';
import type { Millis, Position } from '@rosedeck/shared';
import type { Answer, TargetReport } from '@rosedeck/core';
import type { Sim } from './sim';

/** Kinds of violations that the check detects; a run's output prints them under these names. */
export type ViolationKind =
  | 'lost_write'
  | 'wrong_term'
  | 'replaced_primary'
  | 'own_write_unread'
  | 'too_old'
  | 'ran_not_run'
  | 'ran_twice'
  | 'acknowledged_not_once'
  | 'mixed'
  | 'foreign_answer'
  | 'leaving_target'
  | 'two_primaries'
  | 'no_service';

/** Violation of a guarantee. */
export interface Violation {
  readonly kind: ViolationKind;
  readonly at: Millis;
  readonly detail: string;
}

/** Statement of a caller, with its answer once there is one. */
export interface Call {
  readonly id: string;
  readonly session: string;
  readonly op: 'read' | 'write' | 'begin' | 'commit' | 'rollback';
  readonly inTransaction: boolean;
  readonly at: Millis;
  readonly idempotent: boolean;
  readonly maxAgeMs?: Millis;
  /** Requests whose effects this read must reflect. */
  readonly mustSee: readonly string[];
  /** Writes that this statement commits or rolls back. */
  readonly commits: readonly string[];
  answer?: Answer;
  /** Time at which a daemon first decided to acknowledge it. */
  decidedAt?: Millis;
  answeredAt?: Millis;
}

/** Entry in the log of any target, including entries that were truncated later. */
export interface Entry {
  readonly position: Position;
  readonly parent: Position;
  readonly requests: readonly string[];
  readonly target: string;
  /** Targets that have held it while they were in its term. */
  readonly holders: Set<string>;
  /** Time at which a majority held it in its term. */
  confirmedAt?: Millis;
}

/** Record of one run: calls, log entries and violations. */
export type History = ReturnType<typeof createHistory>;

/** Time for which a leaving target may still be given new work. */
const LEAVING_LIMIT_MS = 3_000;

/** Creates an empty record; `majority` is the number of targets that confirm an entry. */
export function createHistory(sim: Sim, majority: number) {
  const calls = new Map<string, Call>();
  const violations: Violation[] = [];
  const entries = new Map<string, Entry>();
  const leavingSince = new Map<string, Millis>();
  /** First primary of each term, and the time of its promotion. */
  const termStarts = new Map<number, { target: string; at: Millis }>();
  const readCounts = { replica: 0, all: 0 };
  const { now } = sim.clock;

  const recordViolation = (kind: ViolationKind, detail: string): void => {
    violations.push({ kind, at: now(), detail });
  };

  const recordCommit = (
    target: string,
    position: Position,
    parent: Position,
    requests: readonly string[],
  ): void => {
    const key = formatPosition(position);
    const existing = entries.get(key);
    if (existing && existing.target !== target)
      recordViolation('two_primaries', `${key} on ${target}`);
    entries.set(key, { position, parent, requests, target, holders: new Set([target]) });
  };

  return {
    calls,
    violations,
    entries,
    leavingSince,
    termStarts,
    readCounts,
    recordViolation,
    recordCommit,
    /** Records that `target` holds the log that ends at the reported position. */
    recordHolder: (target: string, report: TargetReport): void => {
      for (let entry = entries.get(formatPosition(report.received)); entry;) {
        if (entry.position.term !== report.term || entry.holders.has(target)) return;
        entry.holders.add(target);
        if (entry.holders.size >= majority) entry.confirmedAt ??= now();
        entry = entries.get(formatPosition(entry.parent));
      }
    },
    /** Records a violation when `target` has been leaving for too long to be given work. */
    checkNewWork: (target: string, sql: string): void => {
      const since = leavingSince.get(target);
      if (since === undefined || now() - since <= LEAVING_LIMIT_MS) return;
      recordViolation('leaving_target', `${sql} on ${target}`);
    },
    /** Records a primary of a term, and the entry that it appended at its promotion. */
    recordPromotion: (target: string, parent: Position, report: TargetReport): void => {
      if (report.role !== 'primary') return;
      const existing = termStarts.get(report.term);
      if (!existing) termStarts.set(report.term, { target, at: now() });
      else if (existing.target !== target)
        recordViolation('two_primaries', `${target} in ${report.term}`);
      const isNewEntry = !entries.has(formatPosition(report.received));
      if (isNewEntry) recordCommit(target, report.received, parent, []);
    },
  };
}

/** True when the log that ends at `end` contains the entry at `wanted`. */
export function contains(history: History, end: Position, wanted: Position): boolean {
  if (!covers(end, wanted)) return false;
  let entry = history.entries.get(formatPosition(end));
  while (entry && entry.position.index > wanted.index) {
    entry = history.entries.get(formatPosition(entry.parent));
  }
  return entry?.position.term === wanted.term && entry.position.index === wanted.index;
}

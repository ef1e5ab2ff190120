import type { AdoptReply, TargetReport } from '@rosedeck/core';
import { ORIGIN, positionOrd } from '@rosedeck/shared';
import type { Clock, Millis, Position } from '@rosedeck/shared';
import { appendEntries, lastPosition, positionAt } from './replicationLog';
import type { LogEntry, ReplicationLog } from './replicationLog';
import { addTable, applyChanges, createRowStore } from './rowStore';
import type { RowChange, RowStore, TableSchema } from './rowStore';
import { readOnlyError } from './sqlError';

/** Message from a primary to a replica: entries that follow `previous`, or none as heartbeat. */
export interface AppendMessage {
  readonly term: number;
  readonly previous: Position;
  readonly entries: readonly LogEntry[];
  /** Index of the primary's last entry. */
  readonly end: number;
}

/** Reply of a replica; `ok` is false when the term is too old or `previous` is missing. */
export interface AppendReply {
  readonly term: number;
  readonly ok: boolean;
  readonly received: Position;
}

/** Database server of a group without its network side: log, rows, term and role. */
export interface Target {
  readonly store: RowStore;
  readonly log: ReplicationLog;
  report: () => TargetReport;
  adopt: (term: number, promoter: string) => AdoptReply;
  promote: (term: number, promoter: string) => TargetReport;
  append: (message: AppendMessage) => AppendReply;
  /** Commits changes; throws unless this target is the primary. */
  commit: (changes: readonly RowChange[], schema?: TableSchema) => Position;
  isPrimary: () => boolean;
  /**
   * False while a target that lost its log has not received all of it again; until then it must not
   * count for any majority.
   */
  hasJoined: () => boolean;
  /** Gives up the role of primary when `term` is later than its own. */
  stepDownIfBehind: (term: number) => void;
  /** Applies received entries whose lag is over. */
  applyDue: () => void;
  setApplyLag: (lagMs: Millis) => void;
}

/**
 * Initial role: `primary` is the primary of term 1; `empty` is a replica that lost its log, although
 * others may have counted its entries.
 */
export type InitialRole = 'primary' | 'replica' | 'empty';

/** Creates a target with an empty log. */
export function createTarget(clock: Clock, initialRole: InitialRole): Target {
  const store = createRowStore();
  const log: ReplicationLog = { entries: [] };
  const receivedAt: Millis[] = [];
  let term = 1;
  let promoter = '';
  let hasPrimaryRole = initialRole === 'primary';
  let isJoined = initialRole !== 'empty';
  let applied = 0;
  let applyLagMs = 0;
  let primaryContactAt = clock.now();

  const applyEntry = (entry: LogEntry): void => {
    if (entry.schema) addTable(store, entry.schema);
    applyChanges(store, entry.changes);
  };

  const applyUpTo = (index: number): void => {
    for (; applied < index; applied += 1) {
      const entry = log.entries[applied];
      if (entry) applyEntry(entry);
    }
  };

  const rebuildRows = (): void => {
    store.schemas.clear();
    store.rows.clear();
    const upTo = applied;
    applied = 0;
    applyUpTo(upTo);
  };

  const applyDue = (): void => {
    const now = clock.now();
    let index = applied;
    while (index < log.entries.length && now - (receivedAt[index] ?? 0) >= applyLagMs) index += 1;
    applyUpTo(index);
  };

  const report = (): TargetReport => {
    applyDue();
    return {
      term,
      role: hasPrimaryRole ? 'primary' : 'replica',
      received: lastPosition(log),
      applied: positionAt(log, applied) ?? ORIGIN,
      primaryContactAgeMs: hasPrimaryRole ? 0 : clock.now() - primaryContactAt,
    };
  };

  const appendEntry = (changes: readonly RowChange[], schema?: TableSchema): Position => {
    const position = { term, index: log.entries.length + 1 };
    const entry: LogEntry = schema ? { position, changes, schema } : { position, changes };
    log.entries.push(entry);
    receivedAt.push(clock.now());
    applyUpTo(log.entries.length);
    return position;
  };

  const adopt = (newTerm: number, newPromoter: string): AdoptReply => {
    const isRepeat = newTerm === term && newPromoter === promoter;
    if (newTerm > term) {
      term = newTerm;
      promoter = newPromoter;
      hasPrimaryRole = false;
    } else if (!isRepeat) {
      return { granted: false, report: report() };
    }
    return { granted: true, report: report() };
  };

  const promote = (expectedTerm: number, expectedPromoter: string): TargetReport => {
    if (expectedTerm === term && expectedPromoter === promoter && !hasPrimaryRole) {
      applyUpTo(log.entries.length);
      hasPrimaryRole = true;
      appendEntry([]);
    }
    return report();
  };

  const append = (message: AppendMessage): AppendReply => {
    const isRejected = message.term < term || (message.term === term && hasPrimaryRole);
    if (isRejected) return { term, ok: false, received: lastPosition(log) };
    if (message.term > term) {
      term = message.term;
      promoter = '';
      hasPrimaryRole = false;
    }
    primaryContactAt = clock.now();
    const result = appendEntries(log, message.previous, message.entries);
    receivedAt.length = Math.min(receivedAt.length, (result.truncatedFrom ?? Infinity) - 1);
    while (receivedAt.length < log.entries.length) receivedAt.push(clock.now());
    if (result.truncatedFrom !== undefined && applied >= result.truncatedFrom) {
      applied = result.truncatedFrom - 1;
      rebuildRows();
    }
    if (result.ok && log.entries.length >= message.end) isJoined = true;
    return { term, ok: result.ok, received: lastPosition(log) };
  };

  return {
    store,
    log,
    report,
    adopt,
    promote,
    append,
    applyDue,
    commit: (changes, schema) => {
      if (!hasPrimaryRole) throw readOnlyError();
      return appendEntry(changes, schema);
    },
    isPrimary: () => hasPrimaryRole,
    hasJoined: () => isJoined,
    stepDownIfBehind: (observedTerm) => {
      if (observedTerm > term) hasPrimaryRole = false;
    },
    setApplyLag: (lagMs) => {
      applyLagMs = lagMs;
    },
  };
}

/** Returns the later of two positions. */
export function maxPosition(a: Position, b: Position): Position {
  return positionOrd.compare(a, b) >= 0 ? a : b;
}

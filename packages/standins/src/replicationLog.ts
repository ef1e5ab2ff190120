import { ORIGIN, covers } from '@rosedeck/shared';
import type { Position } from '@rosedeck/shared';
import type { RowChange, TableSchema } from './rowStore';

/** Entry of a replication log: the row changes of one commit, or a new table. */
export interface LogEntry {
  readonly position: Position;
  readonly changes: readonly RowChange[];
  readonly schema?: TableSchema;
}

/** Replication log in memory; indexes start at 1. */
export interface ReplicationLog {
  readonly entries: LogEntry[];
}

/** Position of the last entry; the origin when the log is empty. */
export function lastPosition(log: ReplicationLog): Position {
  return log.entries.at(-1)?.position ?? ORIGIN;
}

/** Position of the entry with an index; the origin for 0, undefined when the log is shorter. */
export function positionAt(log: ReplicationLog, index: number): Position | undefined {
  if (index === 0) return ORIGIN;
  return log.entries[index - 1]?.position;
}

/** Result of an append; `ok` is false when the log does not contain the previous position. */
export interface AppendResult {
  readonly ok: boolean;
  /** Lowest index that was truncated, when entries of another term were replaced. */
  readonly truncatedFrom?: number;
}

/** Appends entries that follow `previous`; truncates the log where its terms differ from theirs. */
export function appendEntries(
  log: ReplicationLog,
  previous: Position,
  entries: readonly LogEntry[],
): AppendResult {
  const heldPosition = positionAt(log, previous.index);
  if (heldPosition?.term !== previous.term) return { ok: false };
  let truncatedFrom: number | undefined;
  for (const entry of entries) {
    const { index } = entry.position;
    const existing = positionAt(log, index);
    if (existing?.term === entry.position.term) continue;
    if (existing) {
      log.entries.length = index - 1;
      truncatedFrom ??= index;
    }
    log.entries.push(entry);
  }
  return truncatedFrom === undefined ? { ok: true } : { ok: true, truncatedFrom };
}

/** True when the log has an entry with this index and term. */
export function contains(log: ReplicationLog, position: Position): boolean {
  const existing = positionAt(log, position.index);
  return existing !== undefined && covers(existing, position) && existing.term === position.term;
}

import { laterPosition } from '@rosedeck/shared';
import type {
  ClassName,
  CustomerId,
  GroupId,
  InstanceId,
  Millis,
  Position,
  RequestId,
  SessionId,
  TransactionId,
} from '@rosedeck/shared';
import type { Answer, Operation, Param, SessionVariable } from './messages';

/** One statement of a caller, with the options from its marks and session applied. */
export interface CallerStatement {
  readonly id: RequestId;
  readonly session: SessionId;
  readonly cls: ClassName;
  readonly op: 'read' | 'write' | 'begin' | 'commit' | 'rollback';
  readonly sql: string;
  readonly params?: readonly Param[];
  readonly variables?: readonly SessionVariable[];
  readonly deadlineMs: Millis;
  readonly maxAgeMs?: Millis;
  readonly idempotent: boolean;
}

/**
 * The transaction of a session. When it is broken, statements are refused until the caller ends it.
 */
export interface SessionTransaction {
  readonly id: TransactionId;
  readonly owner: InstanceId;
  broken: boolean;
}

/** A caller's session at its entry. */
export interface SessionRow {
  readonly id: SessionId;
  readonly customer: CustomerId;
  readonly group: GroupId;
  /** Minimum positions of the session's reads, by group. */
  readonly minPositions: Map<GroupId, Position>;
  transaction?: SessionTransaction;
  /** The request in progress. */
  openRequest?: RequestId;
}

/** A caller's request at its entry. */
export interface EntryRequestRow {
  readonly statement: CallerStatement;
  readonly group: GroupId;
  readonly customer: CustomerId;
  readonly op: Operation;
  readonly transaction?: TransactionId;
  readonly deadlineAt: Millis;
  /** Owners to which the connection failed during this request; it is not retried there. */
  readonly excludedOwners: Set<InstanceId>;
  /** Other sessions that sent the same request while it ran; they get the same answer. */
  readonly joinedSessions: SessionId[];
  owner: InstanceId;
  /** Number of redirections so far. */
  forwards: number;
  tries: number;
  /** True once an owner may have run the request. */
  mayHaveRun: boolean;
  /** Number of outcome queries sent to the owner. */
  outcomeQueries: number;
}

/**
 * MySQL error codes after which the target has rolled back the whole transaction; 1213 is a
 * deadlock.
 */
export const ROLLED_BACK_CODES: ReadonlySet<number> = new Set([1213]);

/** Raises the minimum position of the session's reads of a group; it never falls. */
export function raiseMinPosition(session: SessionRow, group: GroupId, position: Position): void {
  const known = session.minPositions.get(group);
  session.minPositions.set(group, known ? laterPosition(known, position) : position);
}

/** Opens, breaks or ends the session's transaction, as the answer of one of its requests shows. */
export function updateTransaction(session: SessionRow, row: EntryRequestRow, answer: Answer): void {
  if (row.op === 'begin') {
    if (answer.kind === 'failure' || row.transaction === undefined) return;
    session.transaction = { id: row.transaction, owner: row.owner, broken: false };
    return;
  }
  if (row.transaction === undefined || !session.transaction) return;
  if (row.op === 'commit' || row.op === 'rollback') {
    session.transaction = undefined;
    return;
  }
  if (breaksTransaction(answer)) session.transaction.broken = true;
}

/** True when the answer means that the statement's transaction cannot continue. */
export function breaksTransaction(answer: Answer): boolean {
  if (answer.kind !== 'failure') return false;
  const { failure } = answer;
  if (failure.kind !== 'target_error') return true;
  return failure.code !== undefined && ROLLED_BACK_CODES.has(failure.code);
}

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

/** One statement of a caller, with its marks resolved. */
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

/** The transaction of a session; a broken one refuses all until the caller ends it. */
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
  /** Least positions that the session's reads must reflect. */
  readonly minPositions: Map<GroupId, Position>;
  transaction?: SessionTransaction;
  /** The request that the session waits for. */
  open?: RequestId;
}

/** A caller's request at its entry. */
export interface EntryRequestRow {
  readonly statement: CallerStatement;
  readonly group: GroupId;
  readonly customer: CustomerId;
  readonly op: Operation;
  readonly transaction?: TransactionId;
  readonly deadlineAt: Millis;
  readonly excludedOwners: Set<InstanceId>;
  /** Other sessions that sent the same request while it ran. */
  readonly followers: SessionId[];
  owner: InstanceId;
  forwards: number;
  tries: number;
  /** True once the request may have reached an owner that can run it. */
  mayHaveRun: boolean;
  /** Times that the owner has been asked for the outcome. */
  asks: number;
}

/** Errors after which the target itself has rolled the whole transaction back. */
export const ROLLED_BACK_CODES: ReadonlySet<number> = new Set([1213]);

/** Raises the least position that the session's reads must reflect. */
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

/** True when the transaction of the answered statement cannot go on. */
export function breaksTransaction(answer: Answer): boolean {
  if (answer.kind !== 'failure') return false;
  const { failure } = answer;
  if (failure.kind !== 'target_error') return true;
  return failure.code !== undefined && ROLLED_BACK_CODES.has(failure.code);
}

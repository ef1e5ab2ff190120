import type {
  ClassName,
  CustomerId,
  Failure,
  GroupId,
  InstanceId,
  Millis,
  Position,
  RequestId,
  TransactionId,
} from '@rosedeck/shared';

/** Operation that a request asks its owner for. */
export type Operation =
  'read' | 'write' | 'begin' | 'statement' | 'commit' | 'rollback' | 'abandon' | 'outcome';

/** A parameter of a prepared statement, as sent between daemons. */
export type Param = string | number | boolean | null | { readonly base64: string };

/** A session variable of a caller; the value is an SQL literal. */
export interface SessionVariable {
  readonly name: string;
  readonly value: string;
}

/** One request from an entry daemon to the owner of a group. */
export interface OwnerRequest {
  readonly id: RequestId;
  readonly entry: InstanceId;
  readonly group: GroupId;
  readonly customer: CustomerId;
  readonly cls: ClassName;
  readonly op: Operation;
  readonly sql: string;
  readonly params?: readonly Param[];
  /** Session variables under which the statement runs, sorted by name. */
  readonly variables?: readonly SessionVariable[];
  /** Milliseconds left until the caller's deadline, counted from receipt. */
  readonly deadlineMs: Millis;
  /**
   * Least log position that the answer must reflect; absent: every commit acknowledged before
   * receipt.
   */
  readonly minPosition?: Position;
  /** Greatest age of the data read; absent: any age that covers `minPosition`. */
  readonly maxAgeMs?: Millis;
  readonly idempotent: boolean;
  /** Set for statements of an open transaction, and for `begin`. */
  readonly transaction?: TransactionId;
  /** For `outcome` and `abandon`: the request whose outcome is queried or that is abandoned. */
  readonly subject?: RequestId;
  /** Tries that the entry made before this one; the owner adds its own to them. */
  readonly tries: number;
  /** Number of redirections so far; at the limit the receiver serves the request itself. */
  readonly forwards: number;
}

/** A column of a result, in the terms of the MySQL protocol. */
export interface Column {
  readonly name: string;
  readonly table: string;
  readonly schema: string;
  /** MySQL column type number. */
  readonly type: number;
  readonly charset: number;
  readonly flags: number;
  readonly length: number;
  readonly decimals: number;
}

/** One cell as text; binary columns are base64 text. */
export type Cell = string | null;

/** A result set. */
export interface RowsAnswer {
  readonly kind: 'rows';
  readonly columns: readonly Column[];
  readonly rows: readonly (readonly Cell[])[];
  /** Raises the session's minimum position. */
  readonly position?: Position;
}

/** The answer of a statement without rows. */
export interface OkAnswer {
  readonly kind: 'ok';
  readonly affectedRows: number;
  readonly insertId: number;
  /** The target's info text for an UPDATE or a multi-row INSERT. */
  readonly info?: string;
  readonly warnings?: number;
  readonly position?: Position;
}

/** The answer to a request that failed or was refused. */
export interface FailureAnswer {
  readonly kind: 'failure';
  readonly failure: Failure;
  /** For `not_owner`: the daemon to send the request to. */
  readonly owner?: InstanceId;
  /**
   * For `not_owner`: true when `owner` must serve the request although it does not own the group.
   */
  readonly standIn?: boolean;
}

/** The answer to a request; each request gets one. */
export type Answer = RowsAnswer | OkAnswer | FailureAnswer;

/** How an execution on a target's connection ended. */
export type Execution =
  | RowsAnswer
  | OkAnswer
  | {
      readonly kind: 'sql_error';
      readonly code: number;
      readonly sqlState: string;
      readonly message: string;
    }
  | { readonly kind: 'lost'; readonly sent: boolean; readonly message: string };

/** Replication state of a target, from the platform's group control. */
export interface TargetReport {
  /** Highest term that the target has adopted. */
  readonly term: number;
  readonly role: 'primary' | 'replica';
  /** Last entry in its log. */
  readonly received: Position;
  /** Last entry that its reads reflect. */
  readonly applied: Position;
  /** Time since its last contact with the primary of its term; 0 at the primary. */
  readonly primaryContactAgeMs: Millis;
}

/** Answer of a target to a request to adopt a term. */
export interface AdoptReply {
  readonly granted: boolean;
  readonly report: TargetReport;
}

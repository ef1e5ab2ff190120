import type { Failure, Position, RequestId } from '@rosedeck/shared';

/** Whether a statement reads or writes. */
export type Access = 'read' | 'write';

/** What the name of a prepared statement stands for. */
export interface PreparedStatement {
  readonly access: Access;
  /** May hold any characters but CR LF, blanks included. */
  readonly shape: string;
  /** Hash of both, for the log. */
  readonly hash: string;
}

/** One statement of a caller, independent of the wire format. */
export type CallerStatement =
  | { readonly kind: 'begin'; readonly readOnly: boolean }
  | { readonly kind: 'commit'; readonly text: string }
  | { readonly kind: 'rollback' }
  | { readonly kind: 'read' | 'write'; readonly text: string }
  | { readonly kind: 'set'; readonly name: string; readonly value: string }
  | {
      readonly kind: 'prepare';
      readonly name: string;
      readonly access: Access;
      readonly shape: string;
    }
  | { readonly kind: 'execute'; readonly name: string; readonly args: string }
  | { readonly kind: 'close'; readonly name: string }
  | { readonly kind: 'malformed'; readonly detail: string };

/** State of a caller's session: idle, in a transaction, or in one that has failed. */
export type SessionState = 'idle' | 'transaction' | 'failed';

/** One operation on a connection to a target. Each gets one reply, in order. */
export type TargetOp =
  | { readonly op: 'begin'; readonly readOnly: boolean; readonly after?: Position }
  | { readonly op: 'rollback' | 'discard' | 'status' }
  /** Makes a replica receive nothing more, until `resume`, a promotion or its restart. */
  | { readonly op: 'pause'; readonly term: number }
  | { readonly op: 'resume' }
  /** Makes a primary of a lower term a replica. */
  | { readonly op: 'stepDown'; readonly term: number }
  | { readonly op: 'set'; readonly name: string; readonly value: string }
  | {
      readonly op: 'prepare';
      readonly name: string;
      readonly access: Access;
      readonly shape: string;
    }
  | { readonly op: 'close'; readonly name: string }
  | {
      readonly op: 'run';
      readonly id: RequestId;
      readonly text: string;
      /** The target must have applied this position before it runs the statement. */
      readonly after?: Position;
    };

/** Why a target refused or failed an operation. */
export type TargetCode =
  | 'busy'
  | 'behind'
  | 'read_only'
  | 'wrong_target'
  | 'connection_limit'
  | 'unknown_prepared'
  | 'failed'
  | 'timeout'
  | 'malformed'
  | 'other';

/** Digest of a success by which no statement of a caller has run. */
export const NO_DIGEST = '-';

/** The reply of a target to one operation. */
export type TargetReply =
  | {
      readonly kind: 'done';
      readonly rows: readonly string[];
      /** The target's proof that it ran the statement; `NO_DIGEST` for all operations but `run`. */
      readonly digest: string;
      readonly inTransaction: boolean;
      /**
       * Position that the target has applied; absent when the reply tells none. That does not show an
       * empty log, which only a status does.
       */
      readonly position?: Position;
      /** Set for `status`, `stepDown`, `pause` and `resume`. */
      readonly status?: TargetStatus;
    }
  | {
      readonly kind: 'failed';
      readonly code: TargetCode;
      readonly detail: string;
      readonly inTransaction: boolean;
      /** The transaction has failed, too, and accepts only its end. */
      readonly transactionFailed?: boolean;
      readonly position?: Position;
    };

/** Status that a target reports of itself. */
export interface TargetStatus {
  readonly role: 'primary' | 'replica';
  readonly term: number;
  /** Last log entry that the target holds, applied or not; `ORIGIN` for an empty log. */
  readonly received: Position;
  /** Term at which the target is paused, if it is above `term`; absent: not told. */
  readonly held?: number;
}

/** Answer to a caller's statement. */
export type CallerAnswer =
  | { readonly kind: 'done'; readonly rows: readonly string[]; readonly digest: string }
  | {
      readonly kind: 'failed';
      readonly failure: Failure;
      /** Set for `target_error`: the code of the target's reply. */
      readonly targetCode?: TargetCode;
    };

/** Reply codes of statements that have not run. */
const NOT_RUN_CODES: ReadonlySet<TargetCode> = new Set([
  'busy',
  'behind',
  'read_only',
  'wrong_target',
  'connection_limit',
  'unknown_prepared',
]);

/** True when the code means that the statement has not run, so that it may be retried. */
export function hasNotRun(code: TargetCode): boolean {
  return NOT_RUN_CODES.has(code);
}

/**
 * Why a connection to a target ended. `silent`: no reply in time; `limit`: the target is at its
 * connection limit; `protocol`: the connection's state is unclear after a reply. Of a leased
 * connection only: `overloaded`, the lease cannot start before its deadline; `owner_lost`, the daemon
 * that pools the target's connections cannot be reached or has stopped, which says nothing about the
 * target; `not_owner`, that daemon does not pool the target, or not yet.
 */
export type LossReason =
  | 'refused'
  | 'closed'
  | 'silent'
  | 'limit'
  | 'wrong_target'
  | 'protocol'
  | 'overloaded'
  | 'owner_lost'
  | 'not_owner';

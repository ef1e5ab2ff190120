import type { Millis, TargetId } from '@rosedeck/shared';

/** Identifies a lease among all leases of a pool. */
export type LeaseId = string;

/** Identifies a link from another daemon; its leases end with it. */
export type LinkId = string;

/** Identifies a pooled connection to a target. */
export type PooledId = number;

/** Request of a daemon for a connection to a target, for one operation or transaction. */
export interface LeaseRequest {
  readonly lease: LeaseId;
  readonly link: LinkId;
  readonly target: TargetId;
  /** Tenant in whose name the connection has to be open, if any. */
  readonly tenant?: string;
  /** Sort key, relative to the arrival of the request; the lowest is served first. */
  readonly keyInMs: Millis;
  /** Time left in which the operation is on time; negative once it is late. */
  readonly onTimeInMs: Millis;
  /** Time left until the statement's deadline. */
  readonly deadlineInMs: Millis;
  /** Priority class; 0 is served first. */
  readonly priority: number;
}

/** A target whose connections this daemon pools. */
export interface PooledTarget {
  readonly id: TargetId;
  /** Connections that this daemon may hold: its part of the target's limit. */
  readonly connections: number;
  /** Statements that the target runs at a time. */
  readonly slots: number;
}

/** Load of a target, as the pool tells it to the leasing daemons. */
export interface PoolLoad {
  /** Requests that wait for a lease. */
  readonly queued: number;
  /** Expected wait of one more request. */
  readonly waitMs: Millis;
}

/** Why a lease was refused. */
export type RefusalReason =
  /** The request cannot start before its deadline. */
  | 'overloaded'
  /** The target accepts no connection of this daemon. */
  | 'unreachable'
  /** This daemon does not pool the target, or is stopping. */
  | 'not_owner';

/** Why a pooled connection ended. */
export type PooledLossReason = 'refused' | 'closed' | 'silent' | 'limit' | 'wrong_target';

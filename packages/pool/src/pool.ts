import type { Millis, TargetId } from '@rosedeck/shared';
import type {
  LeaseId,
  LeaseRequest,
  LinkId,
  PooledId,
  PooledLossReason,
  PooledTarget,
  PoolLoad,
  RefusalReason,
} from './leases';

/** Input and output that a pool requests, and never performs itself. */
export interface PoolIo {
  /** Opens a connection; the result arrives as `opened` or `connectionLost`. */
  readonly open: (connection: PooledId, target: TargetId, tenant: string | undefined) => void;
  readonly close: (connection: PooledId) => void;
  /**
   * Clears session values and prepared statements of a connection; the result arrives as `cleared`, or
   * as `connectionLost`.
   */
  readonly clear: (connection: PooledId) => void;
  readonly grant: (lease: LeaseId, connection: PooledId, load: PoolLoad) => void;
  readonly refuse: (lease: LeaseId, reason: RefusalReason, load: PoolLoad) => void;
  /** Tells the holder of a lease that its connection has ended. */
  readonly lost: (lease: LeaseId, reason: PooledLossReason) => void;
}

/** State of a connection after the reply to an operation. */
export interface OperationReply {
  readonly inTransaction: boolean;
  /** The target was too busy to run the operation. */
  readonly wasBusy: boolean;
}

/** Pools the connections of some targets and leases them, one operation or transaction at a time. */
export interface Pool {
  /** Replaces the targets that this daemon pools; connections to others are closed when returned. */
  applyTargets: (targets: readonly PooledTarget[]) => void;
  request: (request: LeaseRequest) => void;
  /** The holder returns a lease, or withdraws its request. */
  giveBack: (lease: LeaseId) => void;
  /** All requests and leases of a link have ended. */
  linkLost: (link: LinkId) => void;
  opened: (connection: PooledId) => void;
  cleared: (connection: PooledId) => void;
  connectionLost: (connection: PooledId, reason: PooledLossReason) => void;
  /**
   * The holder sends an operation over its lease; `leavesTraces` is true for session values and
   * prepared statements, which must be cleared before the next lease. False: there is no such lease.
   */
  operationSent: (lease: LeaseId, leavesTraces: boolean) => boolean;
  /** The oldest operation that was sent over a connection has been answered. */
  replied: (connection: PooledId, reply: OperationReply) => void;
  /** Runs the timed decisions: deadlines, idle connections, openings that take too long. */
  tick: () => void;
  /** Grants no new lease; those that are granted go on. */
  drain: () => void;
  /** True once no lease is granted. */
  isDrained: () => boolean;
  /** Counts for metrics. */
  readonly stats: () => PoolStats;
}

/** Counts of a pool since its start, and its present sizes. */
export interface PoolStats {
  readonly connections: number;
  readonly leased: number;
  readonly queued: number;
  readonly granted: number;
  readonly refused: Readonly<Record<RefusalReason, number>>;
  /** Idle connections closed to open one for another tenant. */
  readonly evicted: number;
  readonly opened: number;
  /** Time that granted requests have waited, in total. */
  readonly waitedMs: Millis;
  /** Present load of each target that is pooled. */
  readonly targets?: ReadonlyMap<TargetId, TargetPoolStats>;
}

/** Present load of one pooled target. */
export interface TargetPoolStats {
  readonly queued: number;
  readonly connections: number;
  /** Openings, outstanding statements, and leases granted in the last moment. */
  readonly inFlight: number;
  readonly inFlightLimit: number;
}

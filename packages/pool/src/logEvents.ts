import type { Millis, TargetId } from '@rosedeck/shared';
import type { LeaseId, LinkId, PooledLossReason, RefusalReason } from './leases';

/** An event of a pool for logs and metrics; the field names are those of the log lines. */
export type PoolLogEvent =
  | {
      readonly type: 'lease_granted';
      readonly lease: LeaseId;
      readonly target: TargetId;
      readonly waitedMs: Millis;
      readonly queued: number;
    }
  | {
      readonly type: 'lease_refused';
      readonly lease: LeaseId;
      readonly target: TargetId;
      readonly reason: RefusalReason;
      readonly waitedMs: Millis;
      readonly expectedWaitMs: Millis;
    }
  | {
      readonly type: 'connection_evicted';
      readonly target: TargetId;
      readonly idleMs: Millis;
    }
  | {
      /** A connection was returned with an operation outstanding, or in a transaction. */
      readonly type: 'connection_unclean';
      readonly target: TargetId;
      readonly pending: number;
      readonly inTransaction: boolean;
    }
  | { readonly type: 'in_flight_limited'; readonly target: TargetId; readonly limit: number }
  | {
      readonly type: 'target_full';
      readonly target: TargetId;
      /** Connections that this pool holds at the target. */
      readonly own: number;
      readonly part: number;
    }
  | {
      readonly type: 'target_unreachable';
      readonly target: TargetId;
      readonly reason: PooledLossReason;
    }
  | { readonly type: 'target_regained'; readonly target: TargetId; readonly afterMs: Millis }
  | {
      readonly type: 'link_lost';
      readonly link: LinkId;
      readonly withdrawn: number;
      readonly returned: number;
    }
  | { readonly type: 'pool_drained'; readonly leased: number };

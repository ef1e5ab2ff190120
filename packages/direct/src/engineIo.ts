import type { GroupId, InstanceId, Millis, RequestId, SessionId } from '@rosedeck/shared';
import type { ListedTarget } from './configuration';
import type { DirectLogEvent } from './logEvents';
import type { ClaimBasis, PromotionOrder } from './promotionTypes';
import type { SampleRequest } from './peerReport';
import type { QuotaMessage } from './quotas/quotaMessages';
import type { CallerAnswer, SessionState, TargetOp } from './statements';
import type { TenantName } from './tenants';

/** Identifies one connection to a target. */
export type ConnectionId = number;

/** What a daemon asks of the owner of a pool, beside the target; times are relative to the request. */
export interface LeaseTerms {
  readonly tenant?: TenantName;
  /** Sort key; the lowest is served first. */
  readonly keyInMs: Millis;
  /** Time left in which the operation is on time; negative once it is late. */
  readonly onTimeInMs: Millis;
  /** Time left until the statement's deadline. */
  readonly deadlineInMs: Millis;
  readonly priority: number;
}

/** Load of a target, as the owner of its pool last told it. */
export interface PoolLoad {
  /** Requests that wait for a lease. */
  readonly queued: number;
  /** Expected wait of one more request. */
  readonly waitMs: Millis;
}

/** Boundary of the engine: the input and output that it requests, and never performs itself. */
export interface EngineIo {
  /** The result arrives as `connectionOpened` or `connectionLost`. */
  openConnection: (
    connection: ConnectionId,
    target: ListedTarget,
    /** Tenant in whose name the connection is opened, if any. */
    tenant: TenantName | undefined,
  ) => void;
  /**
   * Requests the lease of a connection from the daemon that pools those of the target. The result
   * arrives as `connectionOpened` or `connectionLost`; `closeConnection` returns the lease, or
   * withdraws the request.
   */
  leaseConnection: (
    connection: ConnectionId,
    target: ListedTarget,
    owner: InstanceId,
    terms: LeaseTerms,
  ) => void;
  closeConnection: (connection: ConnectionId) => void;
  /** Sends operations; the reply to each arrives as `targetReplied`, in order. */
  send: (connection: ConnectionId, ops: readonly TargetOp[]) => void;
  answer: (
    session: SessionId,
    request: RequestId,
    answer: CallerAnswer,
    state: SessionState,
  ) => void;
  /** Closes a caller's session that has no request outstanding. */
  closeSession: (session: SessionId) => void;
  /** Returns what the local view of the store shows of a group's claims. */
  readClaimBasis: (group: GroupId) => ClaimBasis;
  /** Age of the newest proof, of any daemon, that the local view of the store is complete. */
  viewAgeMs: () => Millis;
  /** Claims a promotion and orders it; the result arrives as `promotionEnded`. */
  promote: (group: GroupId, order: PromotionOrder) => void;
  /** Requests samples from another daemon; a reply, if any, arrives as `samplesReceived`. */
  requestSamples: (peer: InstanceId, request: SampleRequest) => void;
  /** Sends a message about the caps of tenants to another daemon; it may be lost. */
  sendQuotaMessage: (to: InstanceId, message: QuotaMessage) => void;
  /** Requests a call of `wake` after a time; an earlier call does no harm. */
  wakeAfter: (ms: Millis) => void;
  log: (event: DirectLogEvent) => void;
}

import type {
  ClassName,
  CustomerId,
  FailureDomain,
  GroupId,
  InstanceId,
  Millis,
  Position,
  RequestId,
  TargetId,
  TransactionId,
} from '@rosedeck/shared';
import type { ConnectionId } from './commands';
import type { Answer, OwnerRequest, TargetReport } from './messages';
import type { RetryBudget } from './retryBudget';

/** A target as the configuration describes it. */
export interface TargetSpec {
  readonly id: TargetId;
  readonly host: string;
  readonly port: number;
  /** Port of the platform's group control for this target. */
  readonly controlPort: number;
  readonly failureDomain: FailureDomain;
}

/** A database group as the configuration describes it. */
export interface GroupSpec {
  readonly id: GroupId;
  readonly customer: CustomerId;
  readonly targets: readonly TargetSpec[];
  /** Statements that a target runs at a time. */
  readonly slots: number;
  /** Greatest number of connections that a target accepts. */
  readonly connectionLimit: number;
  /** Connections of the limit that no owner uses. */
  readonly connectionReserve: number;
  /** Rank of each class; 0 is served first. */
  readonly classRanks: Readonly<Record<ClassName, number>>;
  /** Changes with the credentials, so that connections of the old ones are replaced. */
  readonly loginId?: string;
  /** Greatest number of queued requests; absent: the daemon's own limit. */
  readonly queueLimit?: number;
}

/** The primary's position, confirmed by a majority that was still in its term after `sentAt`. */
export interface PositionSample {
  readonly position: Position;
  readonly term: number;
  /** When the request that returned the position was sent. */
  readonly sentAt: Millis;
}

/** A probe that has no reply yet. */
export interface PendingProbe {
  readonly round: number;
  readonly sentAt: Millis;
}

/** Stage of a promotion. */
export type PromotionStage = 'claiming' | 'draining' | 'holding' | 'fencing' | 'promoting';

/** A promotion that this daemon drives. */
export interface Promotion {
  readonly term: number;
  readonly startedAt: Millis;
  /** When the attempt times out. */
  endsAt: Millis;
  /** True for a switch-over from a leaving primary that still works. */
  readonly planned: boolean;
  /** The primary that a failover replaces; log entries that only it holds were never acknowledged. */
  readonly replacedPrimary?: TargetId;
  stage: PromotionStage;
  stageSince: Millis;
  readonly grants: Map<TargetId, TargetReport>;
  readonly refusals: Set<TargetId>;
  majorityAt?: Millis;
  candidate?: TargetId;
}

/** A database group that this daemon serves or may serve. */
export interface GroupRow {
  spec: GroupSpec;
  /** Term of the primary; without one, the highest term that a majority has reported. */
  term: number;
  /** Highest term that this daemon has claimed, or seen at a target or in the store. */
  highestSeenTerm: number;
  /** The primary of `term`, once known. */
  primary?: TargetId;
  /** When this daemon found the primary. */
  primarySince: Millis;
  /** When the last probe round started. */
  lastRoundAt: Millis;
  nextRoundId: number;
  /** Confirmed samples, newest last. */
  samples: PositionSample[];
  /** A sample that a majority of the targets has not confirmed yet. */
  pendingSample?: PositionSample;
  promotion?: Promotion;
  /** No promotion starts before this time. */
  promotionNotBefore: Millis;
  /** Since when the failure detector has found a reason to replace the primary. */
  primaryDownSince?: Millis;
  /** Since when no target has been primary in the latest term. */
  leaderlessSince?: Millis;
  /** Since when a target has been in a later term than the working primary. */
  laterTermSince?: Millis;
  /** When the last request arrived. */
  lastRequestAt: Millis;
  /** Requests waiting for dispatch. */
  readonly queue: GroupQueue;
  /** Open transactions. */
  readonly transactions: Set<TransactionId>;
  readonly primaryGap: PrimaryGap;
  readonly estimates: GroupEstimates;
  readonly entryRetryBudget: RetryBudget;
  readonly ownerRetryBudget: RetryBudget;
  /** Executions on replaced primaries have been ended up to this term. */
  cleanedUpTerm: number;
  /** When an idle connection or transaction may next reach its idle timeout. */
  idleCleanupAt: Millis;
  /** Until when new writes leave a slot to open transactions. */
  lockReserveUntil: Millis;
  /** When the queue is next checked for requests that cannot meet their deadline. */
  nextShedAt: Millis;
  /** Writes waiting for a majority. */
  confirming: RequestRow[];
}

/** State of a target, as this daemon has observed it. */
export interface TargetRow {
  readonly spec: TargetSpec;
  readonly group: GroupId;
  leaving: boolean;
  /** When the platform's list first showed the target as leaving. */
  leavingSince?: Millis;
  report?: TargetReport;
  /** When the request behind `report` was sent. */
  reportAt: Millis;
  /** Sending time of the first probe since the last reply. */
  silentSince?: Millis;
  /** Probes failed since the last reply. */
  failedProbes: number;
  probe?: PendingProbe;
  /**
   * Sending time of the newest confirmed sample that the applied position covers: the data includes
   * every commit acknowledged before it.
   */
  dataAsOf?: Millis;
  /**
   * Greatest number of connections of this daemon; cut when the target refuses one, then grown
   * again.
   */
  connectionShare: number;
  /** No connection is opened before this time. */
  openBlockedUntil: Millis;
  /** When a reduced share next grows by one connection. */
  connectionShareGrowsAt: Millis;
  readonly connections: Set<ConnectionId>;
  /** Idle connections, the one used last at the end. */
  readonly idle: ConnectionId[];
  /** Number of connections being opened. */
  openingCount: number;
  /** Number of requests running on the target. */
  inFlight: number;
  readonly breaker: CircuitBreaker;
}

/** State of a connection to a target. */
export type ConnectionState = 'opening' | 'idle' | 'busy' | 'pinned' | 'resetting';

/** A connection to a target. */
export interface ConnectionRow {
  readonly id: ConnectionId;
  readonly target: TargetId;
  state: ConnectionState;
  request?: RequestId;
  transaction?: TransactionId;
  /** Always 0; no decision uses it. */
  term: number;
  stateSince: Millis;
  /**
   * True when it closes at its next release, because the target's address or credentials changed.
   */
  retired?: boolean;
}

/** Stage of a request at its owner. */
export type RequestStage = 'queued' | 'running' | 'confirming' | 'done';

/** A request at its owner. */
export interface RequestRow {
  readonly req: OwnerRequest;
  readonly arrivedAt: Millis;
  readonly deadlineAt: Millis;
  stage: RequestStage;
  /** The answer must reflect a confirmed position sample sent at this time or later. */
  sampleAfter?: Millis;
  minPosition?: Position;
  connection?: ConnectionId;
  /** The target and term of the running or finished execution. */
  target?: TargetId;
  term?: number;
  /** Rank of its class; 0 is served first. */
  rank: number;
  /** When it was added to the queue of its class. */
  queuedAt: Millis;
  /** Number of requests ahead of it when it was queued. */
  queuedAhead: number;
  /** True once it has waited for something other than the requests ahead of it. */
  hasOtherWait: boolean;
  /** When it was last sent to a target. */
  sentAt?: Millis;
  /** Tries so far, those of the entry included. */
  tries: number;
  /** True once a try has been sent whose outcome is unknown. */
  mayHaveRun: boolean;
  /** Requests that wait for this one's outcome; they get the same answer. */
  readonly outcomeWaiters: RequestRow[];
  /** When the execution ended. */
  executedAt?: Millis;
  /** The answer held until the write is confirmed. */
  heldAnswer?: Answer;
  /** Log position of the write. */
  writePosition?: Position;
  finishedAt?: Millis;
  answer?: Answer;
}

/** An open transaction at its owner. */
export interface TransactionRow {
  readonly id: TransactionId;
  readonly group: GroupId;
  readonly entry: InstanceId;
  readonly connection: ConnectionId;
}

/** Another daemon, from the platform's list and the peer connections. */
export interface PeerRow {
  readonly id: InstanceId;
  readonly failureDomain: FailureDomain;
  readonly host: string;
  readonly peerPort: number;
  leaving: boolean;
  suspectedUntil: Millis;
  /** Length of the last suspicion before jitter, 0 when there is none; a further failure doubles it. */
  suspicionMs: Millis;
  /** Until when the peer's own announcement that it is leaving counts; the list may show it later. */
  leavingUntil: Millis;
}

/** Circuit breaker of a target. */
export interface CircuitBreaker {
  /** Number of failures since the last success. */
  failures: number;
  /** The circuit is open until this time: the target gets no new work. */
  openUntil: Millis;
}

/** Exponentially weighted moving average of a time, with its mean deviation. */
export interface Estimate {
  /** Undefined until the first sample. */
  mean?: Millis;
  deviation: Millis;
}

/** Time estimates for the reads or the writes of a group. */
export interface RequestEstimates {
  /** Time that one request occupies a slot. */
  readonly slotTime: Estimate;
  /** Time from sending a request to its answer, confirmation included. */
  readonly responseTime: Estimate;
  /** Queueing time per request ahead, by class rank; arrivals of higher classes lengthen it. */
  readonly waitPerRequestAhead: Map<number, Estimate>;
}

/** Time estimates of a group. */
export interface GroupEstimates {
  readonly reads: RequestEstimates;
  readonly writes: RequestEstimates;
}

/** Queued reads or writes, by class and customer. Adding and removing take constant time. */
export interface FairQueue {
  readonly length: number;
  add: (row: RequestRow) => void;
  /** Adds a request to be retried; it goes ahead of the others of its class. */
  addRetry: (row: RequestRow) => void;
  /** Removes a request; when `served`, its customer goes behind the others of the class. */
  remove: (row: RequestRow, served: boolean) => void;
  has: (row: RequestRow) => boolean;
  /** Iterates in strict class order, round robin between the customers of a class. */
  inOrder: () => Iterable<RequestRow>;
  /** The oldest request that has waited at least `ageingMs` behind a higher class. */
  oldestAged: (now: Millis, ageingMs: Millis) => RequestRow | undefined;
  /** Number of requests ahead of a new one of this rank and customer. */
  countAhead: (rank: number, customer: CustomerId) => number;
  /** The request to evict for a new one: of a lower class, or of a customer with more requests. */
  findVictim: (rank: number, customer: CustomerId) => RequestRow | undefined;
}

/** Requests of a group that wait for dispatch, by the condition that they wait for. */
export interface GroupQueue {
  /** Number of all waiting requests. */
  readonly length: number;
  /** Statements of open transactions; each waits only for a slot. */
  readonly pinned: Set<RequestRow>;
  /** Reads that wait for a position sample sent after their arrival, in order of arrival. */
  readonly unsampled: Set<RequestRow>;
  readonly reads: FairQueue;
  readonly writes: FairQueue;
  /** True when the last dispatch found no target for a request; a newer report may provide one. */
  awaitsReports: boolean;
  /** Number of dispatches since the last one of an aged request. */
  dispatchesSinceAged: number;
}

/** Periods in which the group has no usable primary. */
export interface PrimaryGap {
  /** Start of the current one; undefined while there is a usable primary. */
  since?: Millis;
  /** When the last one ended. */
  endedAt: Millis;
  /** Expected length of a gap. */
  expectedMs: Millis;
}

/** Owners by group, kept until the membership changes. */
export interface OwnersCache {
  readonly owners: Map<GroupId, readonly InstanceId[]>;
  /** When the first suspicion or leave notice expires, which changes the set of live instances. */
  validUntil: Millis;
}

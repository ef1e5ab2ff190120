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
  /** Connections that a target takes. */
  readonly connectionLimit: number;
  /** Connections of the limit that no owner plans with. */
  readonly connectionReserve: number;
  /** Rank of each class; 0 is served first. */
  readonly classRanks: Readonly<Record<ClassName, number>>;
  /** Changes with the credentials, so that connections of the old ones are replaced. */
  readonly loginId?: string;
  /** Requests queued at most; absent: the daemon's own limit. */
  readonly queueLimit?: number;
}

/** The primary's position at `at`, confirmed by a majority that was still in its term after `at`. */
export interface PositionSample {
  readonly position: Position;
  readonly term: number;
  /** When the request that returned the position was sent. */
  readonly sentAt: Millis;
}

/** A probe without a reply so far. */
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
  /** The attempt is given up at this time. */
  endsAt: Millis;
  /** True for a switch-over from a leaving primary that still works. */
  readonly planned: boolean;
  /** A primary cut off from its group; its extra log entries were never acknowledged. */
  readonly isolatedPrimary?: TargetId;
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
  lastRequestAt: Millis;
  /** Requests waiting for dispatch. */
  readonly queue: GroupQueue;
  /** Open transactions. */
  readonly transactions: Set<TransactionId>;
  readonly primaryGap: PrimaryGap;
  readonly estimates: GroupEstimates;
  readonly entryRetryBudget: RetryBudget;
  readonly ownerRetryBudget: RetryBudget;
  /** Term up to which the executions on replaced primaries have been ended. */
  cleanedUpTerm: number;
  /** When an idle connection or transaction may next reach its idle timeout. */
  idleCleanupAt: Millis;
  /** Until when new writes leave a slot to open transactions. */
  lockReserveUntil: Millis;
  /** When the queue is next searched for requests that cannot meet their deadline. */
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
  /** Connections that this daemon may hold; cut when the target refuses one, then grown again. */
  connectionShare: number;
  /** No connection is opened before this time. */
  openBlockedUntil: Millis;
  /** When a share that was cut grows by one connection. */
  connectionShareGrowsAt: Millis;
  readonly connections: Set<ConnectionId>;
  /** Idle connections, the one used last at the end. */
  readonly idle: ConnectionId[];
  /** Connections being opened. */
  openingCount: number;
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
  /** Term in which the running transaction began. */
  term: number;
  stateSince: Millis;
  /** Closed at its next release, since the target's address or credentials have changed. */
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
  /** The answer must reflect a confirmed sample sent at this time or later. */
  sampleAfter?: Millis;
  minPosition?: Position;
  connection?: ConnectionId;
  /** The target and term of the running or finished execution. */
  target?: TargetId;
  term?: number;
  /** Rank of its class; 0 is served first. */
  rank: number;
  /** When it joined the requests of its class. */
  queuedAt: Millis;
  /** Requests that were ahead of it when it was queued. */
  queuedAhead: number;
  /** True once it has waited for something other than the requests ahead of it. */
  hasOtherWait: boolean;
  /** When it was last sent to a target. */
  sentAt?: Millis;
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
  /** Length of the last suspicion; each further failure doubles it. */
  suspicionMs: Millis;
  /** The peer has announced that it drains, which the list may show later; valid until this time. */
  leavingUntil: Millis;
}

/** Circuit breaker of a target. */
export interface CircuitBreaker {
  /** Failures since the last success. */
  failures: number;
  /** No new work goes to the target before this time. */
  openUntil: Millis;
}

/** Exponentially weighted mean of a time, with its mean deviation. */
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
  /** Waiting time for each request ahead, by class rank; higher classes lengthen it. */
  readonly waitPerRequestAhead: Map<number, Estimate>;
}

/** Time estimates of a group. */
export interface GroupEstimates {
  readonly reads: RequestEstimates;
  readonly writes: RequestEstimates;
}

/** Requests of one kind, by class and customer. Every change of it costs the same at any length. */
export interface FairQueue {
  readonly length: number;
  add: (row: RequestRow) => void;
  /** Adds a request that has waited its turn before; it goes ahead of its class. */
  addRetry: (row: RequestRow) => void;
  /** Removes a request; a customer that was `served` goes behind the others of the class. */
  remove: (row: RequestRow, served: boolean) => void;
  has: (row: RequestRow) => boolean;
  /** Requests in strict order of classes, with customers of a class taking turns. */
  inOrder: () => Iterable<RequestRow>;
  /** The request that has waited longest, when it has aged and others go before it. */
  oldestAged: (now: Millis, ageingMs: Millis) => RequestRow | undefined;
  /** Requests that would go before a new one of this rank and customer. */
  countBefore: (rank: number, customer: CustomerId) => number;
  /** The request that gives way to a new one: of a lower class, or of a customer with more of them. */
  findVictim: (rank: number, customer: CustomerId) => RequestRow | undefined;
}

/** Requests of a group that wait for dispatch, by what they wait for. */
export interface GroupQueue {
  /** All requests that wait. */
  readonly length: number;
  /** Statements of open transactions; each waits for a slot only. */
  readonly pinned: Set<RequestRow>;
  /** Reads that wait for a sample sent after their arrival, in order of arrival. */
  readonly unsampled: Set<RequestRow>;
  readonly reads: FairQueue;
  readonly writes: FairQueue;
  /** True when the last dispatch found a read for which no target's last report is new enough. */
  awaitsReports: boolean;
  /** Dispatches since the last one that went to the request that had aged longest. */
  dispatchesSinceAged: number;
}

/** Times without a usable primary. */
export interface PrimaryGap {
  /** Since when there has been none. */
  since?: Millis;
  /** When the last one ended. */
  endedAt: Millis;
  /** How long such a time is expected to last. */
  expectedMs: Millis;
}

/** Owners by group, kept until the membership changes. */
export interface OwnersCache {
  readonly owners: Map<GroupId, readonly InstanceId[]>;
  /** When the first suspicion or announced leaving ends; the live instances change then. */
  validUntil: Millis;
}

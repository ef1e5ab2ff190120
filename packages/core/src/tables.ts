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
export interface Sample {
  readonly position: Position;
  readonly term: number;
  /** When the request behind the sample was sent. */
  readonly at: Millis;
}

/** A probe that has not been answered yet. */
export interface OpenProbe {
  readonly round: number;
  readonly at: Millis;
}

/** Stage of a promotion. */
export type PromotionStage = 'claiming' | 'draining' | 'holding' | 'fencing' | 'promoting';

/** A promotion that this daemon drives. */
export interface Promotion {
  readonly term: number;
  readonly startedAt: Millis;
  /** The try is given up at this time. */
  endsAt: Millis;
  /** True for a switch-over from a leaving primary that still works. */
  readonly planned: boolean;
  /** A primary cut off from its group: its extra entries were never acknowledged. */
  readonly suspect?: TargetId;
  stage: PromotionStage;
  stageAt: Millis;
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
  /** Highest term that this daemon has tried or seen tried. */
  triedTerm: number;
  /** The primary of `term`, once known. */
  primary?: TargetId;
  /** When this daemon learnt of the primary. */
  primarySince: Millis;
  lastRoundAt: Millis;
  nextRoundId: number;
  /** Confirmed samples, newest last. */
  samples: Sample[];
  /** A sample of the primary that still lacks its majority. */
  candidate?: Sample;
  promotion?: Promotion;
  /** No promotion starts before this time. */
  promotionNotBefore: Millis;
  /** Since when the group has been without a usable primary. */
  troubledSince?: Millis;
  /** Since when no target has led the group's term. */
  orphanedSince?: Millis;
  /** Since when a target has been in a later term than a primary that still leads. */
  splitSince?: Millis;
  lastRequestAt: Millis;
  /** Requests waiting for dispatch. */
  readonly queue: GroupQueue;
  /** Open transactions. */
  readonly transactions: Set<TransactionId>;
  readonly gap: PrimaryGap;
  readonly times: GroupTimes;
  readonly entryRetries: RetryBudget;
  readonly ownerRetries: RetryBudget;
  /** Term up to which the work of replaced primaries has been given up. */
  servedTerm: number;
  /** When idle connections or transactions may next be due to end. */
  upkeepAt: Millis;
  /** Until when new writes leave a slot to open transactions. */
  lockReserveUntil: Millis;
  /** When the queue is next looked through for requests that have become hopeless. */
  shedAt: Millis;
  /** Writes waiting for a majority. */
  confirming: RequestRow[];
}

/** What this daemon knows of a target. */
export interface TargetRow {
  readonly spec: TargetSpec;
  readonly group: GroupId;
  leaving: boolean;
  /** When this daemon learnt that the target is leaving. */
  leavingSince?: Millis;
  report?: TargetReport;
  /** When the request behind `report` was sent. */
  reportAt: Millis;
  /** Sending time of the first probe since the last reply. */
  silentSince?: Millis;
  /** Probes failed since the last reply. */
  failedProbes: number;
  probe?: OpenProbe;
  /** Newest confirmed sample time that the applied position covers. */
  freshAt?: Millis;
  /** Connections that the target has been seen to allow this daemon. */
  share: number;
  /** No connection is opened before this time. */
  openBlockedUntil: Millis;
  /** When a share that the target has cut grows again. */
  shareGrowsAt: Millis;
  readonly connections: Set<ConnectionId>;
  /** Idle connections, the one used last at the end. */
  readonly idle: ConnectionId[];
  /** Connections on their way. */
  opening: number;
  inFlight: number;
  readonly circuit: Circuit;
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
  stateAt: Millis;
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
  /** Requests that were ahead of it then. */
  ahead: number;
  /** True once it has waited for something other than the requests ahead of it. */
  waitedElse: boolean;
  /** When it was last sent to a target. */
  sentAt?: Millis;
  tries: number;
  /** True once a try has been sent whose effect is not known. */
  maybeRun: boolean;
  /** Requests that ask for this one's outcome. */
  readonly watchers: RequestRow[];
  /** When the execution ended. */
  executedAt?: Millis;
  /** The answer held until the write is confirmed. */
  held?: Answer;
  /** The write's place in the log. */
  written?: Position;
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

/** Another daemon, as the list and the peer connections show it. */
export interface PeerRow {
  readonly id: InstanceId;
  readonly failureDomain: FailureDomain;
  readonly host: string;
  readonly peerPort: number;
  leaving: boolean;
  suspectedUntil: Millis;
  /** Length of the last suspicion; each further failure doubles it. */
  suspicionMs: Millis;
  /** The peer itself has said that it drains; the list may say so later. */
  leavingUntil: Millis;
}

/** How a target has fared lately. */
export interface Circuit {
  /** Failures since the last success. */
  failures: number;
  /** No new work goes to the target before this time. */
  openUntil: Millis;
}

/** A running mean and its mean deviation. */
export interface Estimate {
  /** Undefined until the first sample. */
  mean?: Millis;
  deviation: Millis;
}

/** Running estimates for the reads or the writes of a group. */
export interface LaneTimes {
  /** Time that one request occupies a slot. */
  readonly slot: Estimate;
  /** Time from sending a request to its answer, confirmation included. */
  readonly finish: Estimate;
  /** Waiting time for each request ahead, by class rank; higher classes lengthen it. */
  readonly perRow: Map<number, Estimate>;
}

/** Running estimates of a group. */
export interface GroupTimes {
  readonly reads: LaneTimes;
  readonly writes: LaneTimes;
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
  readonly sampling: Set<RequestRow>;
  readonly reads: FairQueue;
  readonly writes: FairQueue;
  /** True when the last dispatch found a read that only newer reports can free. */
  starved: boolean;
  /** Dispatches since one went to the request that had aged longest. */
  sinceAged: number;
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

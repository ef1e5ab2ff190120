import type {
  Clock,
  FailureDomain,
  GroupId,
  InstanceId,
  Millis,
  Position,
  RequestId,
  SessionId,
  TargetId,
} from '@rosedeck/shared';
import type { DirectConfig, ListedTarget, Route } from './configuration';
import type { ConnectionId, EngineIo, PoolLoad } from './engineIo';
import type { Leadership, ReplacedPrimary } from './leadership';
import type { PrimaryBlock } from './logEvents';
import type { MissingLogs } from './logSafety';
import type { FleetRow, GroupLoadTable } from './peerReport';
import type { Pause, Promotion } from './promotionTypes';
import type { LatencyRating } from './placement';
import type { RetryBudget } from './retryBudget';
import type { PositionSample, SampleHistory } from './sampleHistory';
import type { Quotas } from './quotas/quotas';
import type { DirectSettings } from './settings';
import type { LogLoss, LogState, ToldPosition, ToldStatus } from './targetLog';
import type { KeyDigest, TenantName } from './tenants';
import type { PreparedNames } from './preparedNames';
import type {
  Access,
  LossReason,
  PreparedStatement,
  SessionState,
  TargetOp,
  TargetReply,
} from './statements';

/** Load of a target's pool and when it was told. */
export interface SeenPoolLoad extends PoolLoad {
  readonly at: Millis;
}

/** A daemon that pools connections and cannot be reached; absent ones are reachable. */
export interface LostOwner {
  readonly since: Millis;
  /** When a lease was last requested from it. */
  triedAt: Millis;
}

/** Handles the reply of a target to one operation. */
export type ReplyHandler = (reply: TargetReply, sent: SentOp) => void;

/** A sent operation that awaits its reply. */
export interface SentOp {
  readonly op: TargetOp['op'];
  readonly sentAt: Millis;
  /** `World.epoch` at sending; after a time jump, replies to earlier operations prove nothing. */
  readonly epoch: number;
  readonly handle: ReplyHandler;
}

/** What a leased connection has beside the columns of an own one. */
export interface Lease {
  /** The daemon that pools the connections of the target. */
  readonly owner: InstanceId;
  /** The request whose terms were sent to the owner. */
  readonly askedFor: RequestRow;
  /** The request that waits for the lease; another one after late binding has exchanged leases. */
  request: RequestRow;
  /** Asked in addition, to learn whether a lost owner can be reached again. */
  readonly isProbe: boolean;
  /** Work has run on the connection since it was granted. */
  isUsed: boolean;
}

/** A connection to a target. */
export interface ConnectionRow {
  readonly id: ConnectionId;
  readonly target: TargetRow;
  /** The only tenant whose statements may use the connection; absent: those without a tenant. */
  readonly tenant?: TenantName;
  /** Set for a connection that is leased from a pool owner. */
  readonly lease?: Lease;
  state: 'opening' | 'idle' | 'busy';
  readonly openedAt: Millis;
  lastReplyAt: Millis;
  idleSince: Millis;
  /** When the connection was last taken for work. */
  takenAt: Millis;
  /** Deadline of the statement that was last sent on the connection. */
  statementDeadlineAt: Millis;
  readonly pending: SentOp[];
  /** Session variables that are set on the connection. */
  readonly variables: Map<string, string>;
  readonly prepared: PreparedNames;
  /** What the target has set and prepared on the connection is not known. */
  mustDiscard: boolean;
  /** Called when the connection ends while work uses it. */
  onLost?: (reason: LossReason) => void;
}

/** State of a target, as this daemon has observed it. */
export interface TargetRow {
  listed: ListedTarget;
  readonly group: GroupRow;
  /** When a change of the target's entry in the platform's list was last seen. */
  renewedAt: Millis;
  /** Since when the target has been missing from the platform's list. */
  unlistedSince?: Millis;
  /** The target is known from an earlier list only; see `recallTargets`. */
  isRecalled: boolean;
  leavingSince?: Millis;
  /** Connections that this daemon has opened itself. */
  readonly connections: Set<ConnectionRow>;
  /** Connections that it leases or has asked to lease. */
  readonly leases: Set<ConnectionRow>;
  poolLoad?: SeenPoolLoad;
  /** Daemon from which leases were last requested. */
  poolOwner?: InstanceId;
  poolOwnerSince?: Millis;
  /** When daemons last replied that they do not pool the target. */
  readonly notOwners: Map<InstanceId, Millis>;
  /** Until when reads ask for no lease, after the pool could not reach the target. */
  leaseAvoidedUntil: Millis;
  /** Since when the pool has not reached the target. */
  leaseFailingSince?: Millis;
  /** Idle connections, leased ones excluded; the most recently used one is last. */
  readonly idle: ConnectionRow[];
  openBlockedUntil: Millis;
  /** Since when every request to the target has failed or gone unanswered. */
  failingSince?: Millis;
  /** Failures since the last contact. */
  failures: number;
  /** Earliest time at which a failing target that nothing else connects to is tried again. */
  recheckAt: Millis;
  lastFailure?: LossReason;
  lastReplyAt: Millis;
  /** Highest position that the target has reported as applied. */
  applied?: Position;
  /** Replication lag of the target at its last reply with a position. */
  lag?: { readonly ms: Millis; readonly at: Millis };
  /** Term in which the target reported to lead, where the platform does not fence promotions. */
  ledTerm?: number;
  /** When the target last replied that it is not the primary. */
  notPrimaryAt: Millis;
  status?: ToldStatus;
  /** When its status was last requested for a promotion. */
  statusRequestedAt: Millis;
  /** When it was last told to receive again. */
  resumeAskedAt: Millis;
  /** The term at which it is paused by another daemon, and when that was first seen. */
  heldSince?: { readonly term: number; readonly at: Millis };
  /** When it was last asked to step down as one that leads an outdated term. */
  stepDownAskedAt: Millis;
  /** Applied position in the newest reply. */
  lastPosition?: ToldPosition;
  readonly rating: LatencyRating;
  /** When the target last replied to a statement. */
  lastStatementDoneAt: Millis;
  /** Time after which an idle connection is closed while connections are scarce. */
  idleTimeoutMs: Millis;
  /** Statements of this daemon in flight, as a moving average over some ticks. */
  smoothedInFlight: number;
  /** When that average was last updated. */
  smoothedAt: Millis;
  /** When the target was last probed for proof that it is the primary. */
  probedAt: Millis;
  logState: LogState;
  /** Set once the target was seen to lead without entries that its log had. */
  logLoss?: LogLoss;
  /** When the platform last rejected the target as a primary. */
  rejectedAt: Millis;
}

/** Exponentially weighted moving average, in milliseconds. */
export interface MovingAverage {
  value: number;
}

/** A database group that the configuration routes to. */
export interface GroupRow {
  readonly id: GroupId;
  connectionLimit: number;
  /** Replicas that have received a commit before it is acknowledged. */
  syncReplicas: number;
  readonly targets: Map<TargetId, TargetRow>;
  primary?: TargetId;
  /** Sending time of the operation whose reply last proved the primary; undefined: unconfirmed. */
  primaryProvenAt?: Millis;
  /** When another daemon proved the primary, by its newest sample. */
  primaryLearnedAt?: Millis;
  /** When the assumed primary last changed. */
  primaryChangedAt: Millis;
  /** When the bound of a read was last logged. */
  boundLoggedAt: Millis;
  /** Term in which the log of the newest proven primary ends. */
  term: number;
  /** When the newest sample of the primary's log arrived. */
  termSeenAt: Millis;
  /** Term in which the primary was last proven to lead, where the platform does not fence promotions. */
  leaderTerm: number;
  /** Newest known leadership, where the platform does not fence promotions. */
  newest?: Leadership;
  /** The primary that a newer claim replaces, until it has stepped down. */
  replaced?: ReplacedPrimary;
  readonly samples: SampleHistory;
  /** The newest of them, also once a time jump has made its time useless. */
  newestSample?: PositionSample;
  readonly loads: GroupLoadTable;
  readonly queue: RequestRow[];
  /** Leased connections without work; the next dispatch uses or returns them. */
  readonly idleLeases: ConnectionRow[];
  readonly retryBudget: RetryBudget;
  lastRequestAt: Millis;
  /** When a request was last refused, or waited in the queue at a tick. */
  lastShortageAt: Millis;
  /** Since when all replicas have lagged too far for any read, while reads wait for the primary. */
  replicasLaggingSince?: Millis;
  /** When samples of the group were last requested from another daemon. */
  samplesRequestedAt: Millis;
  /** When a target was last chosen as the next primary. */
  primaryChosenAt: Millis;
  /** Average time that a statement takes at a target, by kind of access. */
  readonly runMs: Readonly<Record<Access, MovingAverage>>;
  /** Average time that a read or write of a route takes at a target, by route name. */
  readonly routeMs: Map<string, MovingAverage>;
  /** Average time that work occupies a connection: work that needs the primary, and other work. */
  readonly occupancyMs: Readonly<Record<'primary' | 'any', MovingAverage>>;
  /** Since when the group has lacked a usable primary. */
  primaryDownSince?: Millis;
  /** Since when this daemon may not use the primary. */
  unusableSince?: Millis;
  /** Why it may not use the primary. */
  primaryBlock?: PrimaryBlock;
  /** The primary, while the failure detector of this daemon suspects it. */
  suspectedPrimary?: TargetId;
  /** Most daemons cannot reach the primary, but this one can: it is about to be replaced. */
  contested: boolean;
  promotion?: Promotion;
  /** The target that a claim in the store names as the next primary. */
  expectedPrimary?: {
    readonly target: TargetId;
    readonly since: Millis;
    /** The claim was written at an unknown time before `since`. */
    readonly isMissed?: true;
  };
  /** Logs of targets that are not used any more. */
  readonly missingLogs: MissingLogs;
  /** Targets that this daemon has told to receive nothing more. */
  readonly pauses: Map<TargetId, Pause>;
  /** The last promotion that this daemon passed on to be ordered. */
  lastOrder?: { readonly target: TargetId; readonly at: Millis };
  /** Highest token of a claim that is known here, and since when. */
  knownClaim?: { readonly token: number; readonly since: Millis };
  /** The target that last proved to be the primary, and when that operation was sent. */
  lastProof?: { readonly target: TargetId; readonly sentAt: Millis };
  /** Average time from the claim to the first reply of the new primary. */
  readonly promotionMs: MovingAverage;
  /** Average interval at which the targets renew their entries in the platform's list. */
  readonly renewalMs: MovingAverage;
  /** Since when there has been a reason for a promotion. */
  promotionReasonSince?: Millis;
  /** No promotion starts before this time. */
  promotionNotBefore?: Millis;
}

/** An open transaction of a caller. */
export interface TransactionRow {
  /** False on a route with policy `primary`, whose transactions all run at the primary. */
  readonly readOnly: boolean;
  readonly route: Route;
  readonly beganAt: Millis;
  readonly tenant?: TenantName;
  connection?: ConnectionRow;
  /** The transaction has been counted as an operation of its tenant. */
  isCounted: boolean;
  wrote: boolean;
  /** Why the transaction was rolled back, once it has been. */
  lostReason?: string;
  lastUsedAt: Millis;
}

/** A caller's session. */
export interface SessionRow {
  readonly id: SessionId;
  readonly database: string;
  /** Digest of the API key with which the caller connected. */
  readonly key?: KeyDigest;
  readonly variables: Map<string, string>;
  readonly prepared: Map<string, PreparedStatement>;
  /** Size of both, see `sessionText`. */
  keptLength: number;
  transaction?: TransactionRow;
  state: SessionState;
  /** The request without an answer yet; at most one at a time. */
  request?: RequestRow;
  /** Covers every commit that was acknowledged to this session with its position. */
  position?: Position;
  /** When the newest commit was acknowledged without one; a sample taken since then covers it. */
  untoldCommitAt?: Millis;
  /** When the newest of these commits was acknowledged. */
  positionAt: Millis;
  closed: boolean;
}

/** What a request awaits of pool owners. */
export interface LeaseWait {
  /** Leases that are not granted yet. */
  readonly waiting: ConnectionRow[];
  /** Waits of the pools that refused the request because it cannot start in time, by target. */
  readonly refusals: Map<TargetId, Millis>;
  /** When a read may ask for a lease at one more target. */
  reviewAt: Millis;
  /** No pool owner can be reached; connections of this daemon serve the request. */
  usesOwn: boolean;
}

/** One statement that needs a target. */
export interface RequestRow {
  readonly id: RequestId;
  readonly session: SessionRow;
  readonly route: Route;
  readonly group: GroupRow;
  readonly access: Access | 'commit';
  /** Text for the target; with `prepared`, what follows the name in its EXECUTE. */
  readonly text: string;
  readonly prepared?: PreparedStatement;
  readonly transaction?: TransactionRow;
  readonly tenant?: TenantName;
  /** Whether only the primary can serve it; a read without a usable sample needs it too. */
  needsPrimary: boolean;
  readonly arrivedAt: Millis;
  readonly deadlineAt: Millis;
  readonly queueKey: number;
  stage: 'queued' | 'running' | 'done';
  /** Not dispatched yet: the operation has no token of its tenant's cap. */
  awaitsToken: boolean;
  /** Targets where a try has failed or is running. */
  readonly tried: Set<TargetId>;
  tries: number;
  /** Connections on which a try is running. */
  readonly running: Set<ConnectionRow>;
  /** Sent tries without a reply: running ones, and those whose connection ended. */
  unansweredTries: number;
  /** A try has run at a target that may have been replaced as the primary before. */
  hasUnusedResult: boolean;
  firstSentAt?: Millis;
  lastSentAt: Millis;
  /** When the next try may start. */
  notBefore: Millis;
  lastError: string;
  target?: TargetId;
  /** Connection of the last try. */
  connection?: ConnectionId;
  /** Set once a lease was requested. */
  leaseWait?: LeaseWait;
}

/** All tables of the engine. */
export interface World {
  readonly clock: Clock;
  readonly settings: DirectSettings;
  readonly io: EngineIo;
  /** Uniform numbers in [0, 1). */
  readonly random: () => number;
  readonly self: { readonly name: InstanceId; readonly failureDomain: FailureDomain };
  config?: DirectConfig;
  readonly groups: Map<GroupId, GroupRow>;
  readonly targets: Map<TargetId, TargetRow>;
  readonly connections: Map<ConnectionId, ConnectionRow>;
  readonly sessions: Map<SessionId, SessionRow>;
  /** Requests with a running try, or waiting for the busy target of their transaction. */
  readonly running: Set<RequestRow>;
  readonly fleet: FleetRow;
  /** Caps of the tenants over all daemons. */
  readonly quotas: Quotas<RequestRow>;
  readonly lostOwners: Map<InstanceId, LostOwner>;
  /** Groups whose queues are dispatched before the engine returns. */
  readonly groupsToDispatch: Set<GroupRow>;
  /** Size of the values and prepared statements of all sessions. */
  keptLength: number;
  nextConnectionId: ConnectionId;
  /** Incremented at each time jump. */
  epoch: number;
  /** Monotonic time at which a time jump was last detected. */
  timeJumpedAt: Millis;
  drainingSince?: Millis;
  /** When the last complete read of the claims in the store was sent. */
  claimsReadAt: Millis;
  /** Since when this daemon has had no lease, where the platform does not fence promotions. */
  leaseLostSince?: Millis;
}

/** Weight of the newest sample in a moving average. */
const AVERAGE_WEIGHT = 0.05;

/** Adds one sample to an exponentially weighted moving average. */
export function updateAverage(average: MovingAverage, sample: number): void {
  average.value += AVERAGE_WEIGHT * (sample - average.value);
}

import type { GroupId, InstanceId, Millis, RequestId, SessionId, TargetId } from '@rosedeck/shared';
import type { ReadPolicy } from './configuration';
import type { RefusalReason } from './quotas/tenantRows';
import type { LossReason, TargetOp } from './statements';
import type { TenantName } from './tenants';

/** What gave the position that a read was sent with: a sample, or a commit of its session. */
export type BoundBasis = 'sample' | 'session' | 'none';

/**
 * Why a primary may be sent no work. `log_lost`: it leads without its log; `log_doubted`: it may; and where
 * the platform does not fence promotions, `unknown`: no target is taken for the primary; `unproven`: it has
 * not proven to lead; `replaced`: a newer leadership is known; `no_lease`: this daemon might not have
 * learned of one.
 */
export type PrimaryBlock =
  'log_lost' | 'log_doubted' | 'unknown' | 'unproven' | 'replaced' | 'no_lease';

/** A part of the engine's timed work and dispatch, as named in the log. */
export type SystemName =
  | 'connections'
  | 'requests'
  | 'peers'
  | 'lease'
  | 'sampling'
  | 'groups'
  | 'targets'
  | 'transactions'
  | 'drain'
  | 'quotas'
  | 'dispatch';

/** An event of the engine for logs and metrics; the field names are those of the log lines. */
export type DirectLogEvent =
  | {
      /** An error of rosedeck's own in a part of the engine; the other parts went on. */
      readonly type: 'system_failed';
      readonly system: SystemName;
      readonly detail: string;
    }
  | {
      readonly type: 'request_done';
      readonly request: RequestId;
      readonly session: SessionId;
      readonly route: string;
      readonly target?: TargetId;
      /** Connection of the last try, numbered by this daemon. */
      readonly connection?: number;
      /** Of an EXECUTE: hash of the prepared statement's access and shape. */
      readonly prepared?: string;
      /** `ok`, or else the error kind or the target's reply code. */
      readonly outcome: string;
      readonly waitedMs: Millis;
      readonly tookMs: Millis;
      readonly tries: number;
      /** Version of the applied configuration; 0 without one. */
      readonly config: number;
      readonly detail?: string;
    }
  | {
      readonly type: 'request_retried' | 'request_hedged';
      readonly request: RequestId;
      readonly target: TargetId;
      readonly reason: string;
      readonly afterMs: Millis;
    }
  | {
      readonly type: 'request_refused';
      readonly request: RequestId;
      readonly route: string;
      readonly reason: string;
      readonly queued: number;
      readonly expectedWaitMs: Millis;
      readonly primary?: TargetId;
      /** Time since the primary was last proven. */
      readonly primaryAgeMs?: Millis;
    }
  | {
      readonly type: 'transaction_ended';
      readonly session: SessionId;
      readonly reason: string;
      readonly idleMs: Millis;
    }
  | {
      /** A connection was closed because its replies do not match what was sent. */
      readonly type: 'replies_mismatched';
      readonly target: TargetId;
      readonly connection: number;
      /** Oldest operation without a reply. */
      readonly op?: TargetOp['op'];
    }
  | {
      readonly type: 'target_lost';
      readonly target: TargetId;
      readonly reason: LossReason;
      readonly sinceReplyMs: Millis;
    }
  | {
      readonly type: 'target_full';
      readonly target: TargetId;
      /** Connections that this daemon holds at the target. */
      readonly own: number;
      readonly limit: number;
    }
  | { readonly type: 'target_regained'; readonly target: TargetId; readonly afterMs: Millis }
  | {
      readonly type: 'primary_changed';
      readonly group: GroupId;
      readonly from?: TargetId;
      readonly to?: TargetId;
      readonly term: number;
      /** What the change is based on, as a short text. */
      readonly evidence: string;
      /** Time that the group has lacked a usable primary. */
      readonly troubledMs: Millis;
    }
  | {
      /** A read was sent while its group's primary was unsettled. */
      readonly type: 'read_bound';
      readonly request: RequestId;
      readonly group: GroupId;
      readonly target: TargetId;
      readonly policy: ReadPolicy;
      /** Position that the target must have applied, as `term:index`, or `none`. */
      readonly position: string;
      readonly basis: BoundBasis;
      /** Age of the sample when the read or its transaction arrived; negative: taken later. */
      readonly sampleAgeMs?: Millis;
      /** The daemon that took the sample, or that told it to this one. */
      readonly takenBy?: InstanceId;
      /** The read runs in a transaction that only a target that leads opens. */
      readonly proven: boolean;
    }
  | {
      /** Samples of a log that may have been cut back. */
      readonly type: 'samples_dropped';
      readonly group: GroupId;
      readonly dropped: number;
      /** Position of the newest of them. */
      readonly newest: string;
      /** The sample that replaces them. */
      readonly by?: string;
      /** Newer term in which the primary leads, where the platform does not fence promotions. */
      readonly leaderTerm?: number;
    }
  | {
      readonly type: 'primary_suspected' | 'primary_cleared';
      readonly group: GroupId;
      readonly target: TargetId;
      /** Time for which every request to the target has failed or gone unanswered. */
      readonly silentMs: Millis;
    }
  | {
      /** This daemon sends the primary no work from now on, or for another cause than before. */
      readonly type: 'primary_unusable';
      readonly group: GroupId;
      readonly primary?: TargetId;
      readonly cause: PrimaryBlock;
      /** Role, term and log of its last status. */
      readonly role?: string;
      readonly term?: number;
      readonly received?: string;
      /** Age of that status. */
      readonly statusAgeMs?: Millis;
    }
  | {
      readonly type: 'primary_usable';
      readonly group: GroupId;
      readonly primary?: TargetId;
      /** Time for which it was not usable. */
      readonly afterMs: Millis;
    }
  | {
      /** A target leads `term` without an entry that its log had. */
      readonly type: 'log_lost';
      readonly group: GroupId;
      readonly target: TargetId;
      readonly term: number;
      /** The end of its log. */
      readonly received: string;
      readonly missing: string;
    }
  | {
      /** No log of the group has what its primary has lost, so that it goes on as it is. */
      readonly type: 'log_loss_accepted';
      readonly group: GroupId;
      readonly target: TargetId;
      readonly received: string;
      readonly missing: string;
    }
  | {
      readonly type: 'primary_fenced';
      readonly group: GroupId;
      /** The primary that gets no more work. */
      readonly primary?: TargetId;
      readonly term: number;
      readonly next: TargetId;
      readonly nextTerm: number;
      readonly token: number;
    }
  | { readonly type: 'primary_stepped_down'; readonly group: GroupId; readonly target: TargetId }
  | {
      readonly type: 'primary_contested';
      readonly group: GroupId;
      readonly contested: boolean;
      readonly suspecting: number;
      readonly trusting: number;
    }
  | {
      readonly type: 'promotion_started';
      readonly group: GroupId;
      readonly reason: string;
      readonly suspecting: number;
      readonly trusting: number;
    }
  | {
      readonly type: 'promotion_ordered';
      readonly group: GroupId;
      readonly candidate: TargetId;
      /** Last position that the candidate has reported, or `unknown`. */
      readonly received: string;
      /** Targets that replied since the promotion started. */
      readonly surveyed: number;
      /** Newest term of a proven primary's log that this daemon knows. */
      readonly knownTerm: number;
    }
  | {
      /** What the choice of a candidate is based on; one line for each target. */
      readonly type: 'promotion_surveyed';
      readonly group: GroupId;
      readonly target: TargetId;
      /** Newest reply since the promotion started: `status`, another one with a `position`, or `none`. */
      readonly reply: string;
      readonly failing: boolean;
      /** Role and term of its last status, of whatever age. */
      readonly role?: string;
      readonly term?: number;
      /** Position that the choice uses, or `unknown`. */
      readonly received: string;
      /** Age of that status. */
      readonly statusAgeMs?: Millis;
    }
  | {
      /** A promotion that was started and has claimed nothing. */
      readonly type: 'promotion_abandoned';
      readonly group: GroupId;
      readonly cause: string;
    }
  | {
      readonly type: 'promotion_ended';
      readonly group: GroupId;
      readonly candidate: TargetId;
      readonly outcome: string;
    }
  | {
      readonly type: 'config_applied';
      readonly version: number;
      readonly routes: number;
      readonly source: string;
      /** Time since another daemon reported a version that this one lacked; 0: none did. */
      readonly heardMs: Millis;
    }
  | {
      /** Another daemon has a newer version in force. */
      readonly type: 'config_heard';
      readonly version: number;
      readonly inForce: number;
      readonly peer: InstanceId;
    }
  | {
      /** Targets that are used although the platform's list lacks their entries. */
      readonly type: 'targets_recalled';
      readonly targets: readonly TargetId[];
    }
  | {
      readonly type: 'targets_changed';
      readonly added: readonly TargetId[];
      readonly removed: readonly TargetId[];
      readonly leaving: readonly TargetId[];
      readonly source: string;
    }
  | {
      readonly type: 'lease_refused';
      readonly target: TargetId;
      readonly owner: InstanceId;
      readonly reason: LossReason;
      /** Expected wait at the pool, as last told. */
      readonly waitMs: Millis;
    }
  | {
      readonly type: 'pool_owner_changed';
      readonly target: TargetId;
      readonly from?: InstanceId;
      /** Absent: none can be reached, and this daemon opens connections of its own. */
      readonly to?: InstanceId;
      readonly afterMs: Millis;
    }
  | { readonly type: 'pool_owner_lost'; readonly owner: InstanceId }
  | {
      readonly type: 'pool_owner_regained';
      readonly owner: InstanceId;
      readonly afterMs: Millis;
    }
  | {
      /** A statement of an open session whose key or route the configuration lacks. */
      readonly type: 'key_refused' | 'route_refused';
      readonly session: SessionId;
      readonly database: string;
      /** Version in force. */
      readonly config: number;
      /** Newest version that another daemon has reported, if it is newer. */
      readonly heard?: number;
    }
  | {
      readonly type: 'quota_refused';
      readonly request: RequestId;
      readonly tenant: TenantName;
      /** The cap, a wait without a token, or neither a home daemon nor an own share in reach. */
      readonly reason: RefusalReason;
      readonly retryAfterMs: Millis;
    }
  | {
      readonly type: 'quota_home_changed';
      /** Slice of the tenants. */
      readonly slice: number;
      /** The home that counts this daemon's share; absent: this daemon uses it itself. */
      readonly from?: InstanceId;
      readonly to?: InstanceId;
    }
  | { readonly type: 'time_jumped'; readonly byMs: Millis }
  | { readonly type: 'drain_started'; readonly sessions: number }
  | {
      /** No candidate of a promotion has all acknowledged commits for certain. */
      readonly type: 'promotion_awaits';
      readonly group: GroupId;
      readonly candidate: TargetId;
      /** `awaits`: other logs may have more; `behind`: they do. */
      readonly verdict: 'awaits' | 'behind';
      /** Ids of their targets, separated by blanks. */
      readonly awaited: string;
    }
  | {
      readonly type: 'log_paused';
      readonly group: GroupId;
      readonly target: TargetId;
      readonly term: number;
    }
  | {
      readonly type: 'log_resumed' | 'pause_rejected';
      readonly group: GroupId;
      readonly target: TargetId;
    }
  | {
      /** This daemon has learned of another set of confirmers. */
      readonly type: 'confirmers_changed';
      readonly version: number;
      /** Names, separated by blanks. */
      readonly members: string;
    }
  | { readonly type: 'peer_heard' | 'peer_silent'; readonly peer: InstanceId };

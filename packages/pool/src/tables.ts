import type { Clock, Millis, TargetId } from '@rosedeck/shared';
import type { ConcurrencyLimit } from './concurrencyLimit';
import type { FairShare } from './fairShare';
import type { LeaseId, LinkId, PooledId, RefusalReason } from './leases';
import type { PoolLogEvent } from './logEvents';
import type { PoolIo } from './pool';
import type { Rate, ServiceTime } from './serviceTime';
import type { PoolSettings } from './settings';

/** A tenant, or undefined for connections in no tenant's name. */
export type Tenant = string | undefined;

/**
 * Whether a waiting request is expected to be on time, may be on time, or is served in the gaps that
 * these leave: it is late, or exceeds its tenant's share.
 */
export type Stage = 'onTime' | 'tight' | 'deferred';

/** A request for a lease, and the lease once it is granted. */
export interface LeaseRow {
  readonly id: LeaseId;
  readonly link: LinkId;
  readonly target: TargetRow;
  readonly tenant: Tenant;
  readonly priority: number;
  readonly arrivedAt: Millis;
  /** Sort key as a time of the pool's clock. */
  readonly key: Millis;
  readonly onTimeAt: Millis;
  readonly deadlineAt: Millis;
  state: 'queued' | 'granted' | 'ended';
  /** Its tenant asked for more than its fair share when it arrived. */
  readonly exceedsShare: boolean;
  stage: Stage;
  connection?: ConnectionRow;
  /** Time for which operations of this lease were outstanding. */
  usedMs: Millis;
  /** Time that was charged to the tenant when the lease was granted. */
  chargedMs: Millis;
}

/** Waiting requests of one tenant and class, each list in the order of its keys. */
export interface TenantFlow {
  readonly tenant: Tenant;
  readonly onTime: LeaseRow[];
  readonly tight: LeaseRow[];
  readonly deferred: LeaseRow[];
  /** Virtual time at which the next request of the tenant starts. */
  start: number;
}

/** Requests of one priority class. */
export interface ClassRow {
  readonly priority: number;
  readonly flows: Map<Tenant, TenantFlow>;
  /** Start tag of the request that was served last. */
  virtualTime: number;
  onTime: number;
  tight: number;
  deferred: number;
  /** When the class was last served, or began to wait. */
  servedAt: Millis;
  /** Time that a lease of the class occupies a slot. */
  readonly service: ServiceTime;
  /** Work that arrives on time, in slot time per time. */
  readonly arrivals: Rate;
}

/** Whether a request may be served now, and there is a connection for it or one can be opened. */
export type CanServe = (lease: LeaseRow) => boolean;

/** Orders the waiting requests of one target. */
export interface LeaseQueue {
  readonly size: () => number;
  readonly queuedOf: (tenant: Tenant) => number;
  readonly classes: readonly ClassRow[];
  readonly classOf: (priority: number) => ClassRow;
  readonly add: (lease: LeaseRow, now: Millis) => void;
  /** Removes a request that was withdrawn or refused. */
  readonly remove: (lease: LeaseRow) => void;
  /** The next request that can be served now. */
  readonly first: (now: Millis, canServe: CanServe) => LeaseRow | undefined;
  /** Removes a request that is served, and charges it to its tenant. */
  readonly take: (lease: LeaseRow, now: Millis) => void;
  /** Corrects the charge of a lease by the time that it used. */
  readonly settle: (lease: LeaseRow) => void;
  readonly list: () => Iterable<LeaseRow>;
  /** Moves a request into a later stage once its time is tight, or over; false if it stays. */
  readonly demote: (lease: LeaseRow, now: Millis) => boolean;
  /** Forgets tenants without requests that are owed nothing. */
  readonly prune: () => void;
}

/** One pooled connection. */
export interface ConnectionRow {
  readonly id: PooledId;
  readonly target: TargetRow;
  readonly tenant: Tenant;
  state: 'opening' | 'idle' | 'leased' | 'clearing' | 'ended';
  /** When the state was entered. */
  since: Millis;
  lease?: LeaseRow;
  /** False until a lease has used it since it was opened or validated. */
  wasLent: boolean;
  /** Operations without a reply. */
  pending: number;
  /** Since when operations have been outstanding. */
  busySince: Millis;
  inTransaction: boolean;
  /** Session values or prepared statements have been left on it. */
  hasTraces: boolean;
  /** The last operation was set-up, so that the holder's statement follows its reply. */
  isSettingUp: boolean;
  /** Counted in `inFlight` of its target. */
  isInFlight: boolean;
}

/** A place in flight that is kept for the next operation of a lease. */
export interface Reservation {
  readonly connection: ConnectionRow;
  /** `since` of the connection, which tells its leases apart. */
  readonly since: Millis;
  readonly at: Millis;
}

/** A target whose connections are pooled. */
export interface TargetRow {
  readonly id: TargetId;
  slots: number;
  /** Connections that this daemon may hold there. */
  part: number;
  /** Connections in use at most, after the target's limit was met; rises up to `part` again. */
  usable: number;
  /** The target's limit was met while this pool held nothing there. */
  wasShutOut: boolean;
  regainedAt: Millis;
  /** Connections by which `usable` rises next; it doubles while the target accepts them. */
  regainStep: number;
  /** No longer pooled here: connections are closed when they are returned. */
  isRetired: boolean;
  readonly connections: Set<ConnectionRow>;
  /** Idle connections; the longest idle one is first. */
  readonly idle: Set<ConnectionRow>;
  readonly idleByTenant: Map<Tenant, ConnectionRow[]>;
  /** Connections that are being opened, cleared or validated, by tenant. */
  readonly pendingByTenant: Map<Tenant, number>;
  opening: number;
  readonly queue: LeaseQueue;
  readonly fairShare: FairShare;
  readonly limit: ConcurrencyLimit;
  /** Openings, outstanding statements, and leases granted or set up in the last moment. */
  inFlight: number;
  /** Grants and replies to set-up of the last moment, in their order. */
  readonly reserved: Reservation[];
  /** No connection is opened before this time. */
  openBlockedUntil: Millis;
  /** Since when every opening has failed. */
  failingSince?: Millis;
  /** When the target last replied or accepted a connection, or was given work while it had none. */
  progressAt: Millis;
  reviewedAt: Millis;
  isDispatching: boolean;
  needsDispatch: boolean;
}

/** All tables of a pool. */
export interface World {
  readonly clock: Clock;
  readonly io: PoolIo;
  readonly settings: PoolSettings;
  readonly log: (event: PoolLogEvent) => void;
  /** Uniform numbers in [0, 1). */
  readonly random: () => number;
  /** Weight of a tenant's share. */
  readonly weightOf: (tenant: Tenant) => number;
  readonly targets: Map<TargetId, TargetRow>;
  readonly connections: Map<PooledId, ConnectionRow>;
  readonly leases: Map<LeaseId, LeaseRow>;
  readonly links: Map<LinkId, Set<LeaseRow>>;
  nextConnectionId: PooledId;
  isDraining: boolean;
  leased: number;
  readonly counts: {
    granted: number;
    readonly refused: Record<RefusalReason, number>;
    evicted: number;
    opened: number;
    waitedMs: Millis;
  };
}

import type { FailureDomain, GroupId, Millis, TargetId } from '@rosedeck/shared';
import type { TenantDirectory } from './tenants';

/** Which commits a read must reflect. */
export type ReadPolicy = 'primary' | 'bounded_staleness' | 'read_your_writes';

/** Routing and limits for the statements of one database. */
export interface Route {
  readonly name: string;
  readonly database: string;
  readonly group: GroupId;
  readonly policy: ReadPolicy;
  /** Time limit of one statement, from its arrival. */
  readonly timeoutMs: Millis;
  /** Latency objective of a whole operation. */
  readonly latencyObjectiveMs: Millis;
  /** Priority class of the traffic; 0 is served first. */
  readonly priority: number;
  /** Greatest age of the data read; absent: any age. */
  readonly maxStalenessMs?: Millis;
  /** Callers of any tenant, or of none, may use the route. */
  readonly isPublic?: boolean;
}

/** Configured limits of a database group. */
export interface GroupLimits {
  /** Connections that one target accepts from all daemons together. */
  readonly connectionLimit: number;
  /** Replicas that have received a commit before it is acknowledged; absent: 0. */
  readonly syncReplicas?: number;
}

/** One version of the operators' configuration. */
export interface DirectConfig {
  readonly version: number;
  /** Routes by database name. */
  readonly routes: ReadonlyMap<string, Route>;
  readonly groups: ReadonlyMap<GroupId, GroupLimits>;
  /** A transaction without statements for this long is rolled back. */
  readonly transactionIdleMs: Millis;
  /** Absent: callers are not told apart. */
  readonly tenants?: TenantDirectory;
}

/** One target as the platform lists it. */
export interface ListedTarget {
  readonly id: TargetId;
  readonly group: GroupId;
  readonly address: string;
  readonly failureDomain: FailureDomain;
  /** Statements that the target runs at a time. */
  readonly slots: number;
  readonly leaving: boolean;
  /** Role according to the list; it may be out of date. */
  readonly role?: 'primary' | 'replica';
  /** Changes when the target restarts under the same id. */
  readonly incarnation: number;
  /** Store revision of the entry. */
  readonly revision: number;
  /** Era of the store in which the revision was given out; absent: 0. */
  readonly era?: number;
}

import type { FailureDomain, GroupId, Millis, TargetId } from '@rosedeck/shared';

/** Which commits a read must reflect. */
export type ReadPolicy = 'primary' | 'bounded_staleness' | 'read_your_writes';

/** How statements of one database are served. */
export interface Route {
  readonly name: string;
  readonly database: string;
  readonly group: GroupId;
  readonly policy: ReadPolicy;
  /** Limit for one statement. */
  readonly timeoutMs: Millis;
  /** Latency objective of a whole operation. */
  readonly latencyObjectiveMs: Millis;
  /** Rank of the traffic; 0 is served first. */
  readonly priority: number;
  /** Greatest age of the data read; absent: any age. */
  readonly maxStalenessMs?: Millis;
}

/** What the configuration says of a database group. */
export interface GroupLimits {
  /** Connections that one target takes from all callers together. */
  readonly connectionLimit: number;
}

/** One version of the operators' configuration. */
export interface DirectConfig {
  readonly version: number;
  /** Routes by database name. */
  readonly routes: ReadonlyMap<string, Route>;
  readonly groups: ReadonlyMap<GroupId, GroupLimits>;
  /** A transaction without statements for this long is ended. */
  readonly transactionIdleMs: Millis;
}

/** One target as the platform lists it. */
export interface ListedTarget {
  readonly id: TargetId;
  readonly group: GroupId;
  readonly address: string;
  readonly failureDomain: FailureDomain;
  readonly slots: number;
  readonly leaving: boolean;
  /** The role that the target claims; it may be out of date. */
  readonly role?: 'primary' | 'replica';
  /** Changes when the target restarts under the same id. */
  readonly incarnation: number;
  /** Store revision of the entry. */
  readonly revision: number;
}

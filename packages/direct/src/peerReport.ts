import type {
  FailureDomain,
  GroupId,
  InstanceId,
  Millis,
  Position,
  TargetId,
} from '@rosedeck/shared';
import type { Leadership } from './leadership';

/** A daemon's opinion of a group's primary. */
export interface PrimaryOpinion {
  readonly group: GroupId;
  readonly target: TargetId;
  /** False when the target does not reply to this daemon. */
  readonly reachable: boolean;
}

/** Report that daemons send each other several times a second. */
export interface PeerReport {
  readonly name: InstanceId;
  /** Version of the applied configuration. */
  readonly config: number;
  /** Highest store revision among the listed targets and the configuration. */
  readonly view: number;
  /** Age of the newest contact of any daemon with the store, as far as known. */
  readonly storeAgeMs: Millis;
  readonly opinions: readonly PrimaryOpinion[];
  /** Per target: open connections and statements in flight. */
  readonly loads: readonly (readonly [TargetId, number, number])[];
  /** Newest leaderships, where the platform does not fence promotions; else empty. */
  readonly leaderships: readonly GroupLeadership[];
}

/** The newest leadership of a group, as one daemon tells it to another. */
export interface GroupLeadership extends Leadership {
  readonly group: GroupId;
}

/** Connections and statements in flight at one target. */
export interface TargetLoad {
  connections: number;
  inFlight: number;
}

/** Last report of another daemon. */
export interface PeerRow {
  readonly report: PeerReport;
  /** When the report arrived. */
  readonly at: Millis;
}

/** A daemon in the platform's directory. */
export interface ListedDaemon {
  readonly name: InstanceId;
  readonly failureDomain: FailureDomain;
}

/** Reports and directory entries of the other daemons. */
export interface FleetRow {
  readonly peers: Map<InstanceId, PeerRow>;
  /** Running sums over the peers' reports; dispatch reads them once per target and statement. */
  readonly totals: Map<TargetId, TargetLoad>;
  /** Daemons in the platform's directory, this one included. */
  listed: readonly ListedDaemon[];
  /** Those of them whose reports go to every daemon; see `witnessesOf`. */
  witnesses: readonly ListedDaemon[];
  /** Those of them that watch the store; see `watchersOf`. */
  watchers: ReadonlySet<InstanceId>;
  /** Samplers of the groups by failure domain, as far as worked out for `listed`. */
  readonly samplers: Map<GroupId, ReadonlyMap<FailureDomain, InstanceId>>;
}

/** A position sample of a primary, as one daemon sends it to another. */
export interface PeerSample {
  readonly group: GroupId;
  readonly primary: TargetId;
  readonly position: Position;
  /** Age of the sample when it was sent. */
  readonly ageMs: Millis;
  /** Term in which the primary leads, where the platform does not fence promotions; else 0. */
  readonly leaderTerm: number;
}

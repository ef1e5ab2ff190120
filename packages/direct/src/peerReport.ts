import type {
  FailureDomain,
  GroupId,
  InstanceId,
  Millis,
  Position,
  TargetId,
} from '@rosedeck/shared';
import type { KnownSet } from './confirmers';
import type { Leadership } from './leadership';

/** A daemon's opinion of a group's primary. */
export interface PrimaryOpinion {
  readonly group: GroupId;
  readonly target: TargetId;
  /** False when the target does not reply to this daemon. */
  readonly reachable: boolean;
}

/** Per target: open connections and statements in flight. */
export type TargetLoads = readonly (readonly [TargetId, number, number])[];

/** Loads at the targets of one group. */
export interface GroupLoads {
  readonly group: GroupId;
  readonly loads: TargetLoads;
}

/** Loads reported for one group, and when they arrived. */
export interface LoadRow {
  readonly at: Millis;
  readonly loads: TargetLoads;
}

/** What a daemon knows of the others' loads at a group's targets, where connections are scarce. */
export interface GroupLoadTable {
  /** At the sampler: the loads of the other daemons of its failure domain. */
  readonly byDaemon: Map<InstanceId, LoadRow>;
  /** At the sampler: the sums of the other failure domains. */
  readonly byDomain: Map<FailureDomain, LoadRow>;
  /** Elsewhere: the sums of all daemons, from the sampler's reply. */
  totals?: LoadRow;
  /** Own loads that are contained in `totals`. */
  own: TargetLoads;
}

/** Request of a daemon to the sampler of some groups. */
export interface SampleRequest {
  readonly askedAt: Millis;
  /** The groups, each with the loads of the requesting daemon. */
  readonly groups: readonly GroupLoads[];
}

/** Reply of a sampler. */
export interface SampleReply {
  readonly samples: readonly PeerSample[];
  /** Sums of all daemons at the targets of the requested groups. */
  readonly totals: readonly GroupLoads[];
}

/** Report that daemons send each other several times a second. */
export interface PeerReport {
  readonly name: InstanceId;
  /** Version of the applied configuration. */
  readonly config: number;
  /** Highest store revision among the listed targets and the configuration, in `era`. */
  readonly view: number;
  /** Era of the store to which the view belongs; absent: 0. */
  readonly era?: number;
  /** Age of the newest contact of any daemon with the store, as far as known. */
  readonly storeAgeMs: Millis;
  readonly opinions: readonly PrimaryOpinion[];
  /** Own loads, without those of groups whose samplers sum them up. */
  readonly loads: TargetLoads;
  /** Sums of the sender's failure domain, for the groups that it samples. */
  readonly groupLoads: readonly GroupLoads[];
  /** Newest leaderships, where the platform does not fence promotions; else empty. */
  readonly leaderships: readonly GroupLeadership[];
  /** Highest fencing tokens known to the sender, of some of its groups; absent: none. */
  readonly tokens?: readonly GroupToken[];
  /** Version of the set of confirmers that the sender knows; absent: it confirms nothing. */
  readonly confirms?: number;
}

/** The highest fencing token that a daemon knows for a group. */
export type GroupToken = readonly [GroupId, number];

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
  /** Share of processor time, in cores; absent: 1. */
  readonly cores?: number;
  /** The daemon pools connections for others; earlier releases do not. */
  readonly poolsConnections?: boolean;
}

/** Pool owners of a target, best first, as worked out for one failure domain. */
export interface RankedOwners {
  readonly failureDomain: string;
  readonly owners: readonly InstanceId[];
}

/** A configuration version that another daemon has in force and this one lacks. */
export interface NewerConfig {
  readonly version: number;
  /** When this daemon first heard of the version. */
  readonly heardAt: Millis;
  /** Since when this daemon has known that its own version is not the newest one. */
  readonly behindSince: Millis;
}

/** Reports and directory entries of the other daemons. */
export interface FleetRow {
  readonly peers: Map<InstanceId, PeerRow>;
  /** Running sums over the peers' reports; dispatch reads them once per target and statement. */
  readonly totals: Map<TargetId, TargetLoad>;
  /** Daemons in the platform's directory, this one included. */
  listed: readonly ListedDaemon[];
  /** Since when daemons that the directory named of late have been missing from it. */
  readonly unlistedSince: Map<InstanceId, Millis>;
  /** The confirmers, where the platform does not fence promotions; absent: none are known yet. */
  confirmers?: KnownSet;
  /** Whether this daemon knows each claim that an earlier process of its name may have acknowledged. */
  knowsClaims: boolean;
  /** Those of them that watch the store; see `watchersOf`. */
  watchers: ReadonlySet<InstanceId>;
  /** Names of `listed`; another list only when a daemon comes or goes. */
  names: readonly InstanceId[];
  /** Since when the directory has named the same daemons. */
  namesSince: Millis;
  /** When this daemon last sent a call to the store that showed all changes up to then. */
  storeReadAt: Millis;
  /** Last stable count of daemons in the store, if there is one. */
  stableCount?: number;
  /** Newest configuration version of another daemon, while this one lacks it. */
  newerConfig?: NewerConfig;
  /** Age of the newest proof that the view of the store is complete; Infinity: not told yet. */
  storeAgeMs: Millis;
  /** Samplers of the groups by failure domain, as far as worked out for `listed`. */
  readonly samplers: Map<GroupId, ReadonlyMap<FailureDomain, InstanceId>>;
  /** Some daemon of `listed` pools connections. */
  hasPoolOwners: boolean;
  /** Pool owners of the targets, as far as worked out for `listed`. */
  readonly poolOwners: Map<TargetId, RankedOwners>;
}

/** A position sample of a primary, or only the proof that it leads, as one daemon sends it to another. */
export interface PeerSample {
  readonly group: GroupId;
  /** Absent while the sender has no proof of the present primary. */
  readonly primary?: TargetId;
  /** Absent: the primary has told none since, so that no bound for reads follows. */
  readonly position?: Position;
  /** Age of the sample or the proof when it was sent. */
  readonly ageMs: Millis;
  /** Term in which the primary leads, where the platform does not fence promotions; else 0. */
  readonly leaderTerm: number;
}

import type {
  FailureDomain,
  GroupId,
  InstanceId,
  Millis,
  Position,
  TargetId,
} from '@rosedeck/shared';

/** A daemon's opinion of a group's primary. */
export interface PrimaryOpinion {
  readonly group: GroupId;
  readonly target: TargetId;
  /** False: it answers nothing here. */
  readonly reachable: boolean;
}

/** What daemons tell each other several times a second. */
export interface PeerReport {
  readonly name: InstanceId;
  /** Configuration version in force. */
  readonly config: number;
  /** Highest store revision among the listed targets and the configuration. */
  readonly view: number;
  readonly opinions: readonly PrimaryOpinion[];
  /** Connections and statements in flight, by target. */
  readonly loads: readonly (readonly [TargetId, number, number])[];
}

/** Connections and statements in flight at one target. */
export interface TargetLoad {
  connections: number;
  inFlight: number;
}

/** Another daemon, as its last report shows it. */
export interface PeerRow {
  readonly report: PeerReport;
  readonly at: Millis;
}

/** A daemon in the platform's directory. */
export interface ListedDaemon {
  readonly name: InstanceId;
  readonly failureDomain: FailureDomain;
}

/** What this daemon knows of the others. */
export interface FleetRow {
  readonly peers: Map<InstanceId, PeerRow>;
  /** What the peers' reports add up to: dispatch asks for it once per target and statement. */
  readonly totals: Map<TargetId, TargetLoad>;
  /** Daemons that the platform's directory shows, this one included. */
  listed: readonly ListedDaemon[];
}

/** A position sample of a primary, as one daemon sends it to another. */
export interface PeerSample {
  readonly group: GroupId;
  readonly primary: TargetId;
  readonly position: Position;
  /** Age of the sample when it was sent. */
  readonly ageMs: Millis;
}

import type { InstanceId, Millis } from '@rosedeck/shared';
import type { JsonObject } from './configPatch';

/** Number of a configuration state; 0 is the empty configuration. */
export type Revision = number;

/** One accepted change. */
export interface ConfigEntry {
  /** Revision that the change creates. */
  readonly revision: Revision;
  /** Id of the change, by which it is recognised after a lost answer. */
  readonly id: string;
  /** Name of the operator who made the change. */
  readonly who: string;
  /** Time of acceptance, ISO 8601. */
  readonly at: string;
  /** Merge patch against the previous revision. */
  readonly patch: JsonObject;
}

/** The whole configuration at a revision. */
export interface ConfigSnapshot {
  readonly revision: Revision;
  readonly tree: JsonObject;
}

/** A daemon's request for the configuration of a peer; carries the daemon's own revision. */
export interface ConfigPoll {
  readonly from: InstanceId;
  readonly revision: Revision;
  /** True while the polling daemon drains. */
  readonly leaving: boolean;
}

/** Answer to a `ConfigPoll`: the state of this daemon's configuration and what the peer lacks. */
export interface ConfigAnswer {
  readonly revision: Revision;
  /** Age of the last confirmation that no later revision is in force; absent: never confirmed. */
  readonly ageMs?: Millis;
  /** Hash of the ids of the confirmers in this daemon's list; votes count between equal hashes only. */
  readonly quorum: string;
  /** True when the answer counts as the vote of a confirmer. */
  readonly mayVote: boolean;
  readonly entries?: readonly ConfigEntry[];
  readonly snapshot?: ConfigSnapshot;
}

/** A committed change, sent to each peer by the daemon that committed it. */
export interface ConfigPush {
  readonly from: InstanceId;
  readonly entry: ConfigEntry;
}

/** Result of one long poll of the store for the next revision. */
export type WatchResult =
  | { readonly kind: 'entry'; readonly entry: ConfigEntry }
  /** The revision did not exist after the request was sent. */
  | { readonly kind: 'none' }
  | { readonly kind: 'failed' };

/** Configuration state of a daemon. */
export interface ConfigTable {
  /** False until `config_started`; a core without a configuration service is never stale. */
  enabled: boolean;
  startedAt: Millis;
  revision: Revision;
  tree: JsonObject;
  /** Recent changes, oldest first, for peers that lack them. */
  entries: ConfigEntry[];
  /** No later revision was in force at this time; -Infinity: never confirmed. */
  confirmedAt: Millis;
  /** True when this daemon cannot put the current revision in force. */
  rejected: boolean;
  /** True once a first state has come from the store or a peer. */
  loaded: boolean;
  /** True while the snapshot is being read from the store. */
  loading: boolean;
  /** The pending long poll of the store. */
  watch?: { readonly revision: Revision; readonly sentAt: Millis };
  storeRetryAt: Millis;
  /** Daemons that confirm revisions with the store and with each other. */
  confirmers: readonly InstanceId[];
  /** Hash of the ids in `confirmers`. */
  quorum: string;
  /** Sending time of the newest poll that each confirmer answered with no later revision. */
  votes: Map<InstanceId, Millis>;
  /** Polls of peers without an answer, with their sending times. */
  pendingPolls: Map<InstanceId, Millis>;
  nextPollAt: Millis;
  /** Offset of the confirmer to poll next; advanced when one fails to answer. */
  confirmerOffset: number;
  /** State last reported, so that each change is logged once. */
  reportedStale: boolean;
}

/** Creates the table with an empty configuration at revision 0. */
export function createConfigTable(): ConfigTable {
  return {
    enabled: false,
    startedAt: 0,
    revision: 0,
    tree: {},
    entries: [],
    confirmedAt: -Infinity,
    rejected: false,
    loaded: false,
    loading: false,
    storeRetryAt: 0,
    confirmers: [],
    quorum: '',
    votes: new Map(),
    pendingPolls: new Map(),
    nextPollAt: 0,
    confirmerOffset: 0,
    reportedStale: false,
  };
}

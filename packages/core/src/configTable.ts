import type { InstanceId, Millis } from '@rosedeck/shared';
import type { JsonObject } from './configPatch';

/** Number of a configuration state; 0 is the empty configuration. */
export type Revision = number;

/** One accepted change. */
export interface ConfigEntry {
  /** Revision that the change creates. */
  readonly revision: Revision;
  /** The change's own id, by which it is recognised after a lost answer. */
  readonly id: string;
  /** Operator who made the change. */
  readonly who: string;
  /** Time of acceptance, ISO 8601. */
  readonly at: string;
  /** Merge patch against the revision before. */
  readonly patch: JsonObject;
}

/** The whole configuration at a revision. */
export interface ConfigSnapshot {
  readonly revision: Revision;
  readonly tree: JsonObject;
}

/** What a daemon tells a peer when it asks for the peer's revision. */
export interface ConfigAsk {
  readonly from: InstanceId;
  readonly revision: Revision;
  /** True while the asking daemon drains. */
  readonly leaving: boolean;
}

/** A daemon's account of its configuration, with what the asking peer lacks. */
export interface ConfigAnswer {
  readonly revision: Revision;
  /** Age of the last confirmation that no later revision is in force; absent: never confirmed. */
  readonly ageMs?: Millis;
  /** Names the set of confirmers that this daemon counts with. */
  readonly quorum: string;
  /** True when the answer counts as the vote of a confirmer. */
  readonly mayVote: boolean;
  readonly entries?: readonly ConfigEntry[];
  readonly snapshot?: ConfigSnapshot;
}

/** A change on its way from the daemon that took it. */
export interface ConfigPush {
  readonly from: InstanceId;
  readonly entry: ConfigEntry;
}

/** How one wait on the store for the next revision ended. */
export type WatchResult =
  | { readonly kind: 'entry'; readonly entry: ConfigEntry }
  /** The revision did not exist after the request was sent. */
  | { readonly kind: 'none' }
  | { readonly kind: 'failed' };

/** Configuration state of a daemon. */
export interface ConfigTable {
  /** False until the surroundings start it; a core without configuration service is never stale. */
  enabled: boolean;
  startedAt: Millis;
  revision: Revision;
  tree: JsonObject;
  /** Recent changes, oldest first, for peers that lack them. */
  entries: ConfigEntry[];
  /** No later revision was in force at this time; -Infinity: never confirmed. */
  confirmedAt: Millis;
  /** True when the current revision cannot be put in force here. */
  rejected: boolean;
  /** True once the store or a peer has given a first state. */
  loaded: boolean;
  loading: boolean;
  /** The wait on the store that is open. */
  watch?: { readonly revision: Revision; readonly sentAt: Millis };
  storeRetryAt: Millis;
  /** Daemons that confirm revisions with the store and with each other. */
  confirmers: readonly InstanceId[];
  quorum: string;
  /** Sending time of the newest question that each confirmer answered with no later revision. */
  votes: Map<InstanceId, Millis>;
  /** Open questions to peers, with their sending times. */
  asks: Map<InstanceId, Millis>;
  nextAskAt: Millis;
  /** Index of the confirmer to ask next; advanced when one fails to answer. */
  confirmerOffset: number;
  /** State last reported, so that each change is noted once. */
  reportedStale: boolean;
}

/** Creates an empty configuration. */
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
    asks: new Map(),
    nextAskAt: 0,
    confirmerOffset: 0,
    reportedStale: false,
  };
}

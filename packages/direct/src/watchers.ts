import murmurhash from 'murmurhash';
import type { FailureDomain, InstanceId, Millis } from '@rosedeck/shared';
import type { ListedDaemon } from './peerReport';

/** Fleets of at most this size watch the store with every daemon. */
const ALL_WATCH_DAEMONS = 12;

/** Watchers of each failure domain in a larger fleet; one of them may be cut off or restart. */
const WATCHERS_PER_DOMAIN = 2;

/** Time without news of the store after which a daemon that does not watch it asks it itself. */
const STORE_SILENT_MS: Millis = 3_000;

/** Random addition to that time, so that the daemons do not all ask at once. */
const STORE_SILENT_JITTER_MS: Millis = 3_000;

/**
 * The daemons that watch the store for the others. Load pattern: each write of a target ends the
 * watches of all daemons, so that hundreds of daemons make hundreds of calls a second for changes
 * that nearly all of them can learn from each other.
 */
export function watchersOf(daemons: readonly ListedDaemon[]): ReadonlySet<InstanceId> {
  if (daemons.length <= ALL_WATCH_DAEMONS) return new Set(daemons.map(({ name }) => name));
  const byDomain = new Map<FailureDomain, { name: InstanceId; hash: number }[]>();
  for (const { name, failureDomain } of daemons) {
    const ranked = byDomain.get(failureDomain) ?? [];
    ranked.push({ name, hash: murmurhash.v3(name) });
    byDomain.set(failureDomain, ranked);
  }
  const watchers = new Set<InstanceId>();
  for (const ranked of byDomain.values()) {
    ranked.sort((a, b) => a.hash - b.hash);
    for (const { name } of ranked.slice(0, WATCHERS_PER_DOMAIN)) watchers.add(name);
  }
  return watchers;
}

/** Place of a daemon among the watchers, from 0 up to 1; undefined for other daemons. */
export function watcherPlace(
  watchers: ReadonlySet<InstanceId>,
  name: InstanceId,
): number | undefined {
  if (!watchers.has(name)) return undefined;
  let before = 0;
  for (const other of watchers) if (other < name) before += 1;
  return before / watchers.size;
}

/** Time for which a watcher reports a change to all daemons of its failure domain. */
const SPREAD_MS: Millis = 1_500;

/**
 * Whether a watcher's reports go to all daemons of its failure domain. Load pattern: a configuration
 * change while the store serves only part of a large fleet; from the watchers that it still serves,
 * reports to a few peers at random take too long to reach everybody.
 */
export function mustSpread(isWatcher: boolean, sinceChangeMs: Millis): boolean {
  return isWatcher && sinceChangeMs < SPREAD_MS;
}

/** Time in which a daemon's own watch usually returns a change that a peer already has. */
const CATCH_UP_DELAY_MS: Millis = 300;

/** Time in which a peer of the same failure domain usually offers the change as well. */
const REMOTE_CATCH_UP_DELAY_MS: Millis = 1_300;

/** Interval at which a daemon that does not watch the store fetches changes of the directory. */
const REFRESH_INTERVAL_MS: Millis = 5_000;

/** Such changes are fetched from peers whose view is at most this old. */
const REFRESH_MAX_AGE_MS: Millis = 2_500;

/** Shortest interval between fetches of peers' views. */
const FETCH_INTERVAL_MS: Millis = 500;

/** Inputs of the decision whether a peer's view is fetched, when a report of the peer arrives. */
export interface FetchInputs {
  /** Time since a peer first reported a newer view; absent: this peer's is not newer. */
  readonly behindMs?: Millis;
  /** The peer is in the same failure domain. */
  readonly isNear: boolean;
  /** This daemon asks the store itself. */
  readonly isWatching: boolean;
  /** Age of the peer's newest contact with the store. */
  readonly storeAgeMs: Millis;
  readonly sinceFetchMs: Millis;
}

/**
 * Whether a peer's view is fetched. Load pattern: a change that hundreds of daemons lack at the same
 * moment; near peers are preferred, since bytes between failure domains are scarce.
 */
export function mustFetchView(inputs: FetchInputs): boolean {
  const { behindMs, isNear, isWatching, storeAgeMs, sinceFetchMs } = inputs;
  if (sinceFetchMs < FETCH_INTERVAL_MS) return false;
  const delayMs = isNear ? CATCH_UP_DELAY_MS : REMOTE_CATCH_UP_DELAY_MS;
  if (behindMs !== undefined && behindMs >= delayMs) return true;
  if (!isNear || isWatching) return false;
  return storeAgeMs < REFRESH_MAX_AGE_MS && sinceFetchMs > REFRESH_INTERVAL_MS;
}

/** Inputs of the decision whether a daemon asks the store itself. */
export interface WatchInputs {
  /** This daemon serves callers: its first view of the store is complete. */
  readonly ready: boolean;
  /** The directory contains this daemon's own entry. */
  readonly listed: boolean;
  readonly isWatcher: boolean;
  /** Time since the newest contact with the store that this daemon knows of, its own or another's. */
  readonly storeSilentMs: Millis;
  /** Uniform number in [0, 1), constant for this daemon. */
  readonly jitter: number;
}

/**
 * Whether a daemon asks the store itself: at its start, as a watcher, and when the watchers have
 * been silent. Load pattern: more than half of a large fleet loses power, all watchers among them.
 */
export function mustWatch(inputs: WatchInputs): boolean {
  if (!inputs.ready || !inputs.listed || inputs.isWatcher) return true;
  return inputs.storeSilentMs > STORE_SILENT_MS + STORE_SILENT_JITTER_MS * inputs.jitter;
}

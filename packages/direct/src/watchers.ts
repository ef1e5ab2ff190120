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

import type { ConfigEntry, ConfigSnapshot, Revision, WatchResult } from '@rosedeck/core';
import type { Store } from '@rosedeck/clients';
import type { Millis } from '@rosedeck/shared';

/** Configuration log in the platform's store: one entry per revision, and a snapshot. */
export interface ConfigStore {
  /** Creates the entry of a revision if it does not exist; this commits the change. */
  create: (entry: ConfigEntry) => Promise<'created' | 'exists' | 'unknown'>;
  /** Reads the entry of a revision; rejects when the store does not answer. */
  read: (revision: Revision) => Promise<ConfigEntry | undefined>;
  /** Waits up to `waitMs` for the entry of a revision. */
  watch: (revision: Revision, waitMs: Millis) => Promise<WatchResult>;
  readSnapshot: () => Promise<ConfigSnapshot | undefined>;
  /** Stores a snapshot for daemons that start, unless one at least as new is stored. */
  storeSnapshot: (snapshot: ConfigSnapshot) => Promise<void>;
}

/** Revisions between two snapshots in the store. */
export const SNAPSHOT_INTERVAL_REVISIONS = 16;

const CALL_TIMEOUT_MS: Millis = 500;
const SNAPSHOT_KEY = 'config/snapshot';

/** Store key of a revision's entry. */
export function entryKey(revision: Revision): string {
  return `config/entry/${revision}`;
}

/** Creates the configuration log on top of a store. */
export function createConfigStore(store: Store): ConfigStore {
  return {
    create: async (entry) => {
      const key = entryKey(entry.revision);
      const result = await store.swap(key, JSON.stringify(entry), 0, CALL_TIMEOUT_MS);
      if (result.kind === 'done') return 'created';
      return result.kind === 'conflict' ? 'exists' : 'unknown';
    },
    read: async (revision) => {
      const found = await store.get(entryKey(revision), CALL_TIMEOUT_MS);
      return found && (JSON.parse(found.value) as ConfigEntry);
    },
    watch: async (revision, waitMs) => {
      try {
        const found = await store.watch(entryKey(revision), 0, waitMs);
        if (!found) return { kind: 'none' };
        return { kind: 'entry', entry: JSON.parse(found.value) as ConfigEntry };
      } catch {
        return { kind: 'failed' };
      }
    },
    readSnapshot: async () => {
      const found = await store.get(SNAPSHOT_KEY, CALL_TIMEOUT_MS);
      return found && (JSON.parse(found.value) as ConfigSnapshot);
    },
    storeSnapshot: async (snapshot) => {
      const found = await store.get(SNAPSHOT_KEY, CALL_TIMEOUT_MS);
      const stored = found && (JSON.parse(found.value) as ConfigSnapshot);
      if (stored && stored.revision >= snapshot.revision) return;
      const value = JSON.stringify(snapshot);
      await store.swap(SNAPSHOT_KEY, value, found?.version ?? 0, CALL_TIMEOUT_MS);
    },
  };
}

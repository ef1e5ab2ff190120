import type { ConfigEntry, ConfigSnapshot, Revision, WatchResult } from '@rosedeck/core';
import type { Store } from '@rosedeck/clients';
import type { Millis } from '@rosedeck/shared';

/** The change log in the platform's store. */
export interface ConfigStore {
  /** Creates the entry of a revision if there is none: the commit point of a change. */
  create: (entry: ConfigEntry) => Promise<'created' | 'exists' | 'unknown'>;
  /** Rejects when the store does not answer. */
  read: (revision: Revision) => Promise<ConfigEntry | undefined>;
  /** Waits for the entry of a revision. */
  watch: (revision: Revision, waitMs: Millis) => Promise<WatchResult>;
  readSnapshot: () => Promise<ConfigSnapshot | undefined>;
  /** Keeps a snapshot for newcomers, unless a later one is kept. */
  storeSnapshot: (snapshot: ConfigSnapshot) => Promise<void>;
}

/** Revisions between two snapshots in the store. */
export const SNAPSHOT_INTERVAL_REVISIONS = 16;

const CALL_TIMEOUT_MS: Millis = 500;
const SNAPSHOT_KEY = 'config/snapshot';

/** Key of a revision's entry. */
export function entryKey(revision: Revision): string {
  return `config/entry/${revision}`;
}

/** Creates the change log over a store. */
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
      const kept = found && (JSON.parse(found.value) as ConfigSnapshot);
      if (kept && kept.revision >= snapshot.revision) return;
      const value = JSON.stringify(snapshot);
      await store.swap(SNAPSHOT_KEY, value, found?.version ?? 0, CALL_TIMEOUT_MS);
    },
  };
}

import type { Millis } from '@rosedeck/shared';
import { createJsonClient } from './httpJson';
import type { ByteCounter } from './httpJson';

/** A value with the version of its last change; version 0 means that the key does not exist. */
export interface StoredValue {
  readonly value: string;
  readonly version: number;
}

/** Result of a compare-and-swap. */
export type SwapResult =
  | { readonly kind: 'done'; readonly version: number }
  | { readonly kind: 'conflict'; readonly current?: StoredValue }
  /** No usable reply: the change may have taken effect. */
  | { readonly kind: 'unknown' };

/** The platform's key-value service. */
export interface Store {
  /** Undefined when the key does not exist; rejects when the service does not answer in time. */
  get: (key: string, timeoutMs: Millis) => Promise<StoredValue | undefined>;
  /** Writes `value` if the key's version is still `version`; 0 creates it. */
  swap: (key: string, value: string, version: number, timeoutMs: Millis) => Promise<SwapResult>;
  /** Waits until the key's version is above `version`; undefined when `waitMs` passes first. */
  watch: (key: string, version: number, waitMs: Millis) => Promise<StoredValue | undefined>;
  close: () => void;
}

/** Extra time for the reply to a watch that has waited its full time. */
const WATCH_GRACE_MS = 1_000;

/** Creates a client of the store service; `countBytes` counts its traffic. */
export function createStore(host: string, port: number, countBytes?: ByteCounter): Store {
  const client = createJsonClient(host, port, { countBytes });
  const keyPath = (key: string): string => `/kv/${encodeURIComponent(key)}`;
  return {
    get: async (key, timeoutMs) => {
      const reply = await client.send('GET', keyPath(key), undefined, timeoutMs);
      if (reply.status === 404) return undefined;
      if (reply.status !== 200) throw new Error(`store replied with status ${reply.status}`);
      return reply.body as StoredValue;
    },
    swap: async (key, value, version, timeoutMs) => {
      try {
        const reply = await client.send('PUT', keyPath(key), { value, version }, timeoutMs);
        if (reply.status === 200)
          return { kind: 'done', version: (reply.body as StoredValue).version };
        if (reply.status !== 409) return { kind: 'unknown' };
        return { kind: 'conflict', current: reply.body as StoredValue | undefined };
      } catch {
        return { kind: 'unknown' };
      }
    },
    watch: async (key, version, waitMs) => {
      const path = `${keyPath(key)}?after=${version}&waitMs=${waitMs}`;
      const reply = await client.send('GET', path, undefined, waitMs + WATCH_GRACE_MS);
      if (reply.status === 204) return undefined;
      if (reply.status !== 200) throw new Error(`store replied with status ${reply.status}`);
      return reply.body as StoredValue;
    },
    close: client.close,
  };
}

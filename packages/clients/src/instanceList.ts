import type { ListedInstance, ListedTarget } from '@rosedeck/core';
import type { Millis } from '@rosedeck/shared';
import { createJsonClient } from './httpJson';
import type { ByteCounter } from './httpJson';

/** One version of the platform's list; it lags behind the actual state. */
export interface ListState {
  readonly version: number;
  readonly instances: readonly ListedInstance[];
  readonly targets: readonly ListedTarget[];
}

/** The platform's list of live and leaving instances. */
export interface InstanceList {
  /** Waits until the list's version is above `version`; undefined when `waitMs` passes first. */
  watch: (version: number, waitMs: Millis) => Promise<ListState | undefined>;
  close: () => void;
}

/** Extra time for the reply to a watch that has waited its full time. */
const WATCH_GRACE_MS = 1_000;

/** Creates a client of the list service; `countBytes` counts its traffic. */
export function createInstanceList(
  host: string,
  port: number,
  countBytes?: ByteCounter,
): InstanceList {
  const client = createJsonClient(host, port, { countBytes });
  return {
    watch: async (version, waitMs) => {
      const path = `/list?after=${version}&waitMs=${waitMs}`;
      const reply = await client.send('GET', path, undefined, waitMs + WATCH_GRACE_MS);
      if (reply.status === 204) return undefined;
      if (reply.status !== 200)
        throw new Error(`instance list replied with status ${reply.status}`);
      return reply.body as ListState;
    },
    close: client.close,
  };
}

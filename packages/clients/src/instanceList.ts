import type { ListedInstance, ListedTarget } from '@rosedeck/core';
import { isHost, isPort } from '@rosedeck/shared';
import type { Millis } from '@rosedeck/shared';
import { createJsonClient } from './httpJson';
import type { ByteCounter } from './httpJson';

/** One version of the platform's list; it lags behind the actual state. */
export interface ListState {
  readonly version: number;
  readonly instances: readonly ListedInstance[];
  readonly targets: readonly ListedTarget[];
}

/** A version of the list as read; entries that cannot be used are left out and counted. */
export interface ReadList extends ListState {
  readonly unreadable: number;
}

/** The platform's list of live and leaving instances. */
export interface InstanceList {
  /**
   * Waits until the list's version is above `version`; undefined when `waitMs` passes first. Rejects when
   * there is no reply, or the reply is not a list.
   */
  watch: (version: number, waitMs: Millis) => Promise<ReadList | undefined>;
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
      return decodeList(reply.body);
    },
    close: client.close,
  };
}

type Fields = Readonly<Record<string, unknown>>;

function decodeList(body: unknown): ReadList {
  const { version, instances: rawInstances, targets: rawTargets } = fieldsOf(body);
  if (!Number.isSafeInteger(version)) throw new Error('instance list has no version');
  if (!Array.isArray(rawInstances) || !Array.isArray(rawTargets))
    throw new Error('instance list has no instances or no targets');
  const instances = rawInstances.flatMap(decodeInstance);
  const targets = rawTargets.flatMap(decodeTarget);
  const unreadable = rawInstances.length + rawTargets.length - instances.length - targets.length;
  return { version: version as number, instances, targets, unreadable };
}

function decodeInstance(raw: unknown): ListedInstance[] {
  const { id, failureDomain, host, peerPort, leaving } = fieldsOf(raw);
  if (!isName(id) || !isName(failureDomain) || typeof leaving !== 'boolean') return [];
  if (typeof host !== 'string' || !isHost(host)) return [];
  if (typeof peerPort !== 'number' || !isPort(peerPort)) return [];
  return [{ id, failureDomain, host, peerPort, leaving }];
}

function decodeTarget(raw: unknown): ListedTarget[] {
  const { id, leaving } = fieldsOf(raw);
  return isName(id) && typeof leaving === 'boolean' ? [{ id, leaving }] : [];
}

/** The fields of an object; none for anything else. */
function fieldsOf(value: unknown): Fields {
  return typeof value === 'object' && value !== null ? (value as Fields) : {};
}

function isName(value: unknown): value is string {
  return typeof value === 'string' && value !== '';
}

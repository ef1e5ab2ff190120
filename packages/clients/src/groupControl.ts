import type { AdoptReply, TargetReport } from '@rosedeck/core';
import type { Millis } from '@rosedeck/shared';
import { createJsonClient } from './httpJson';

/** The platform's control interface of one target. Calls reject on an error or a time-out. */
export interface GroupControl {
  /** Requests the target's role, term and positions. */
  report: (timeoutMs: Millis) => Promise<TargetReport>;
  /** Makes the target adopt `term` for `promoter` if it is higher than the target's own term. */
  adopt: (term: number, promoter: string, timeoutMs: Millis) => Promise<AdoptReply>;
  /** Makes the target the primary of `term`, which it must have adopted for `promoter`. */
  promote: (term: number, promoter: string, timeoutMs: Millis) => Promise<TargetReport>;
  close: () => void;
}

/** Creates a client of a target's control port. */
export function createGroupControl(host: string, port: number): GroupControl {
  const client = createJsonClient(host, port);
  const call = async (path: string, body: unknown, timeoutMs: Millis): Promise<unknown> => {
    const method = body === undefined ? 'GET' : 'POST';
    const reply = await client.send(method, path, body, timeoutMs);
    if (reply.status !== 200) throw new Error(`group control replied with status ${reply.status}`);
    return reply.body;
  };
  return {
    report: async (timeoutMs) => (await call('/report', undefined, timeoutMs)) as TargetReport,
    adopt: async (term, promoter, timeoutMs) =>
      (await call('/adopt', { term, promoter }, timeoutMs)) as AdoptReply,
    promote: async (term, promoter, timeoutMs) =>
      (await call('/promote', { term, promoter }, timeoutMs)) as TargetReport,
    close: client.close,
  };
}

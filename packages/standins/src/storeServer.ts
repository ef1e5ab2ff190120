import type { Millis } from '@rosedeck/shared';
import { startJsonServer } from './httpServer';
import type { JsonResponse, JsonRequest, JsonServer } from './httpServer';

interface Entry {
  readonly value: string;
  readonly version: number;
}

/** Faults to inject; an absent field keeps its value. */
export interface StoreFault {
  /** Closes the connection of each request without a response. */
  readonly down?: boolean;
  /** Delay of each response. */
  readonly slowMs?: Millis;
  /** Number of successful writes, from now on, whose responses are dropped. */
  readonly loseAnswers?: number;
}

const VALUE_LIMIT_BYTES = 1_048_576;

/** Starts a stand-in for the platform's key-value service, with fault injection at `/fault`. */
export async function startStore(port: number): Promise<JsonServer> {
  const entries = new Map<string, Entry>();
  const waiters = new Map<string, Set<() => void>>();
  const fault = { down: false, slowMs: 0, loseAnswers: 0 };
  const calls = { reads: 0, writes: 0, watches: 0 };

  const put = (key: string, body: Entry): JsonResponse => {
    calls.writes += 1;
    if (Buffer.byteLength(body.value) > VALUE_LIMIT_BYTES) return { status: 413 };
    const current = entries.get(key);
    if ((current?.version ?? 0) !== body.version) return { status: 409, body: current };
    const next = { value: body.value, version: body.version + 1 };
    entries.set(key, next);
    for (const wake of waiters.get(key) ?? []) wake();
    if (fault.loseAnswers === 0) return { status: 200, body: next };
    fault.loseAnswers -= 1;
    return { drop: true };
  };

  const watch = async (key: string, after: number, waitMs: Millis): Promise<JsonResponse> => {
    calls.watches += 1;
    const findNewer = (): Entry | undefined => {
      const entry = entries.get(key);
      return entry && entry.version > after ? entry : undefined;
    };
    if (!findNewer()) await waitForChange(waiters, key, waitMs);
    const entry = findNewer();
    return entry ? { status: 200, body: entry } : { status: 204 };
  };

  const handle = async (req: JsonRequest): Promise<JsonResponse> => {
    if (req.path === '/fault') {
      Object.assign(fault, req.body as StoreFault);
      return { status: 200, body: fault };
    }
    if (req.path === '/calls') return { status: 200, body: calls };
    if (fault.down) return { drop: true };
    if (fault.slowMs > 0) await sleep(fault.slowMs);
    const key = decodeURIComponent(req.path.replace(/^\/kv\//, ''));
    if (req.method === 'PUT') return put(key, req.body as Entry);
    const after = req.query.get('after');
    if (after !== null) return watch(key, Number(after), Number(req.query.get('waitMs')));
    calls.reads += 1;
    const entry = entries.get(key);
    return entry ? { status: 200, body: entry } : { status: 404 };
  };

  return startJsonServer(port, handle);
}

/** Waits until `key` changes, `waitMs` at most. */
export async function waitForChange(
  waiters: Map<string, Set<() => void>>,
  key: string,
  waitMs: Millis,
): Promise<void> {
  const keyWaiters = waiters.get(key) ?? new Set();
  waiters.set(key, keyWaiters);
  await new Promise<void>((resolve) => {
    const finish = (): void => {
      clearTimeout(timer);
      keyWaiters.delete(finish);
      resolve();
    };
    const timer = setTimeout(finish, waitMs);
    keyWaiters.add(finish);
  });
}

function sleep(ms: Millis): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

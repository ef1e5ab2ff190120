import type { ListedInstance, ListedTarget } from '@rosedeck/core';
import type { Millis } from '@rosedeck/shared';
import type { ListState } from '@rosedeck/clients';
import { startJsonServer } from './httpServer';
import type { JsonResponse, JsonRequest, JsonServer } from './httpServer';
import { waitForChange } from './storeServer';

const LIST_KEY = 'list';

/** Starts a stand-in for the platform's instance list; a change becomes visible after `lagMs`. */
export async function startList(
  port: number,
  lagMs: Millis,
  instances: readonly ListedInstance[],
  targets: readonly ListedTarget[],
): Promise<JsonServer> {
  let state: ListState = { version: 1, instances, targets };
  const waiters = new Map<string, Set<() => void>>();

  const change = (next: Partial<Omit<ListState, 'version'>>): void => {
    setTimeout(() => {
      state = { ...state, ...next, version: state.version + 1 };
      for (const wake of waiters.get(LIST_KEY) ?? []) wake();
    }, lagMs);
  };

  const handle = async (req: JsonRequest): Promise<JsonResponse> => {
    if (req.method === 'POST') {
      change(req.body as Partial<ListState>);
      return { status: 200, body: {} };
    }
    const after = Number(req.query.get('after') ?? '0');
    if (state.version <= after) {
      await waitForChange(waiters, LIST_KEY, Number(req.query.get('waitMs') ?? '0'));
    }
    return state.version > after ? { status: 200, body: state } : { status: 204 };
  };

  return startJsonServer(port, handle);
}

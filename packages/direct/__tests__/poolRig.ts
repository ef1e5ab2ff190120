import { digestKey } from '../src/index';
import type { ListedDaemon, Route } from '../src/index';
import { createRig } from './rig';
import type { Rig } from './rig';

/** More daemons than a target has connections; all of them may pool connections. */
export const POOL_DAEMONS: readonly ListedDaemon[] = Array.from({ length: 24 }, (_, at) => ({
  name: `d${at + 1}`,
  failureDomain: 'a',
  poolsConnections: true,
}));

/** A route of the pool rig. */
function createRoute(name: string, change: Partial<Route>): Route {
  return {
    name,
    database: name,
    group: 'g',
    policy: 'read_your_writes',
    priority: 0,
    latencyObjectiveMs: 200,
    timeoutMs: 1_000,
    ...change,
  };
}

/** `browse` and `reports` may be answered late; the others have an objective of 200 ms. */
const POOL_ROUTES: readonly Route[] = [
  createRoute('bookings', { policy: 'primary' }),
  createRoute('quick', {}),
  createRoute('reports', { policy: 'primary', latencyObjectiveMs: 1_500, timeoutMs: 3_000 }),
  createRoute('browse', { priority: 2, latencyObjectiveMs: 1_500, timeoutMs: 3_000 }),
];

/** A rig whose group is pooled; `tenants` maps their names to API keys. */
export function createPoolRig(
  daemons = POOL_DAEMONS,
  tenants?: Readonly<Record<string, string>>,
  connectionLimit = 20,
): Rig {
  const rig = createRig({}, connectionLimit);
  const named = Object.entries(tenants ?? {});
  const directory = {
    tenants: new Map(named.map(([name]) => [name, { name, ratePerS: 1_000, burst: 1_000 }])),
    byKey: new Map(named.map(([name, key]) => [digestKey(key) ?? '', name])),
  };
  rig.engine.applyConfig(
    {
      version: 2,
      routes: new Map(POOL_ROUTES.map((route) => [route.database, route])),
      groups: new Map([['g', { connectionLimit }]]),
      transactionIdleMs: 3_000,
      tenants: tenants && directory,
    },
    'test',
  );
  rig.engine.applyDirectory(daemons);
  rig.run(50);
  return rig;
}

/** Kind of a failed answer, `done`, or `none` while there is no answer. */
export function outcomeOf(rig: Rig, request: string): string {
  const answer = rig.answerOf(request)?.answer;
  if (!answer) return 'none';
  return answer.kind === 'done' ? 'done' : answer.failure.kind;
}

/** Time from now within which a request is answered; undefined when it takes longer than `limitMs`. */
export function runUntilAnswered(rig: Rig, request: string, limitMs = 2_000): number | undefined {
  const startedAt = rig.now();
  while (rig.now() - startedAt < limitMs) {
    rig.run(1);
    const answer = rig.answerOf(request);
    if (answer) return answer.at - startedAt;
  }
  return undefined;
}

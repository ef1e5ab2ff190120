import type { Route } from '../src/index';

/** Calls actions at their times. */
export interface Timeline {
  now: () => number;
  after: (ms: number, action: () => void) => void;
  random: () => number;
}

/** Routes of the model: one database for each policy. */
export const MODEL_ROUTES = [
  { database: 'bookings', policy: 'primary' },
  { database: 'loops', policy: 'bounded_staleness', maxStalenessMs: 500 },
  { database: 'beats', policy: 'read_your_writes', maxStalenessMs: 900 },
  { database: 'own', policy: 'read_your_writes' },
].map((route): Route => ({
  ...(route as Pick<Route, 'database' | 'policy' | 'maxStalenessMs'>),
  name: route.database,
  group: 'g',
  priority: 1,
  latencyObjectiveMs: 400,
  timeoutMs: 1_000,
}));

import { arrivals } from './arrivals';
import { baseline } from './baseline';
import type { Scenario } from './scenario';
import { failover, lag, overload, steady } from './traffic';

/** Scenarios by their name on the command line. */
export const SCENARIOS: Readonly<Record<string, Scenario>> = {
  steady,
  lag,
  failover,
  overload,
  arrivals,
  baseline,
};

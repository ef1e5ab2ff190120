import type { Profile, Traffic } from '../src/topology';

/** A deployment of one group of three targets without delays. */
export function createProfile(
  name: string,
  daemons: number,
  traffic: readonly Traffic[] = [],
): Profile {
  return {
    name,
    customer: 'customer',
    daemons,
    failure_domains: ['a', 'b', 'c'],
    classes: ['first'],
    latency: { between_failure_domains_ms: 0, to_callers_ms: 0 },
    targets: { slots: 3, connection_limit: 20, connect_ms: 5, statement_ms: 1 },
    groups: { group: ['a', 'b', 'c'] },
    traffic: [...traffic],
  };
}

import {
  measureChanges,
  measureConfigured,
  measureFleet,
  measureOwnedActive,
  measureOwnedIdle,
  measurePeers,
} from './control';
import { formatSlope } from './report';
import type { Slope } from './report';
import {
  measureArrivals,
  measureIdleSessions,
  measureStatements,
  measureStatementsByPeers,
} from './sessions';

/** Slope measurements by their name on the command line. */
export const SLOPES: Readonly<Record<string, () => Promise<Slope>>> = {
  'owned-idle': measureOwnedIdle,
  'owned-active': measureOwnedActive,
  configured: measureConfigured,
  peers: measurePeers,
  fleet: measureFleet,
  changes: measureChanges,
  sessions: measureIdleSessions,
  reads: () => measureStatements('aged_read'),
  writes: () => measureStatements('insert'),
  'reads-by-peers': measureStatementsByPeers,
  arrivals: measureArrivals,
};

/** Measures the named slopes, or all, one after the other; throws on an unknown name. */
export async function measureSlopes(
  names: readonly string[],
  print: (text: string) => void,
): Promise<Slope[]> {
  const selected = names.length === 0 ? Object.keys(SLOPES) : names;
  const slopes: Slope[] = [];
  for (const name of selected) {
    const measure = SLOPES[name];
    if (!measure)
      throw new Error(`unknown slope ${name}; choose one of: ${Object.keys(SLOPES).join(', ')}`);
    const slope = await measure();
    slopes.push(slope);
    print(formatSlope(slope));
  }
  return slopes;
}

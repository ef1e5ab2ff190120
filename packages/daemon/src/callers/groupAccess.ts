import type { ServerError } from '@rosedeck/mysql';
import type { Tree } from '../tree';

/** Returns the same error for an unknown group and for one of another customer; else undefined. */
export function checkGroupAccess(
  tree: Tree | undefined,
  customer: string | undefined,
  group: string,
): ServerError | undefined {
  if (customer !== undefined && tree?.groups[group]?.customer === customer) return undefined;
  return { code: 1049, sqlState: '42000', message: `Unknown database '${group}'` };
}

/** Returns the group named in a USE statement, without quotes; empty when it is malformed. */
export function parseUse(sql: string): string {
  return (/^USE\s+`?([^`;\s]+)`?\s*(?:;\s*)?$/i.exec(sql)?.[1] ?? '').trim();
}

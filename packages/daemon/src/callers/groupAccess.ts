import type { ServerError } from '@rosedeck/mysql';
import type { Tree } from '../tree';

/** An error when the group is unknown or another customer's; both look the same from outside. */
export function checkGroupAccess(
  tree: Tree | undefined,
  customer: string | undefined,
  group: string,
): ServerError | undefined {
  if (customer !== undefined && tree?.groups[group]?.customer === customer) return undefined;
  return { code: 1049, sqlState: '42000', message: `Unknown database '${group}'` };
}

/** The name in a USE statement, with or without quotes. */
export function parseUse(sql: string): string {
  return (/^USE\s+`?([^`;\s]+)`?\s*(?:;\s*)?$/i.exec(sql)?.[1] ?? '').trim();
}

import type { SessionVariable } from '@rosedeck/core';

/**
 * Builds the SET statement that changes a connection from one set of session variables to another;
 * undefined if they are equal. A variable that is no longer set gets its default.
 */
export function buildSetStatement(
  applied: readonly SessionVariable[],
  desired: readonly SessionVariable[],
): string | undefined {
  if (applied.length === 0 && desired.length === 0) return undefined;
  const values = new Map(desired.map(({ name, value }) => [name, value]));
  const before = new Map(applied.map(({ name, value }) => [name, value]));
  const removed = applied.filter(({ name }) => !values.has(name));
  const changed = desired.filter(({ name, value }) => before.get(name) !== value);
  const assignments = [
    ...removed.map(({ name }) => `SESSION ${name} = DEFAULT`),
    ...changed.map(({ name, value }) => `SESSION ${name} = ${value}`),
  ];
  return assignments.length === 0 ? undefined : `SET ${assignments.join(', ')}`;
}

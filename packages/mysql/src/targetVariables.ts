import type { SessionVariable } from '@rosedeck/core';

/**
 * The statement that takes a connection from one set of session variables to another; undefined
 * when they are the same. A variable that is wanted no more gets its default back.
 */
export function buildSetStatement(
  applied: readonly SessionVariable[],
  desired: readonly SessionVariable[],
): string | undefined {
  if (applied.length === 0 && desired.length === 0) return undefined;
  const values = new Map(desired.map(({ name, value }) => [name, value]));
  const before = new Map(applied.map(({ name, value }) => [name, value]));
  const dropped = applied.filter(({ name }) => !values.has(name));
  const changed = desired.filter(({ name, value }) => before.get(name) !== value);
  const assignments = [
    ...dropped.map(({ name }) => `SESSION ${name} = DEFAULT`),
    ...changed.map(({ name, value }) => `SESSION ${name} = ${value}`),
  ];
  return assignments.length === 0 ? undefined : `SET ${assignments.join(', ')}`;
}

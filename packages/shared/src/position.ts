import * as Ord from 'fp-ts/lib/Ord.js';
import * as N from 'fp-ts/lib/number.js';
import { concatAll } from 'fp-ts/lib/Monoid.js';

/** Position in a group's replicated log: the term in which the entry was written, and its index. */
export interface Position {
  readonly term: number;
  readonly index: number;
}

/** The position before the first log entry. */
export const ORIGIN: Position = { term: 0, index: 0 };

const byTerm = Ord.contramap((position: Position) => position.term)(N.Ord);
const byIndex = Ord.contramap((position: Position) => position.index)(N.Ord);

/** Orders positions by term first: equal indexes of different terms are different entries. */
export const positionOrd: Ord.Ord<Position> = concatAll(Ord.getMonoid<Position>())([
  byTerm,
  byIndex,
]);

/**
 * True when a log that ends at `held` contains the entry at `wanted`. Assumes one log per group, so
 * that a position of a later term covers every position of an earlier one.
 */
export function covers(held: Position, wanted: Position): boolean {
  if (held.term !== wanted.term) return held.term > wanted.term;
  return held.index >= wanted.index;
}

/** The later of two positions. */
export const laterPosition = Ord.max(positionOrd);

/** Formats a position as `term:index`. */
export function formatPosition(position: Position): string {
  return `${position.term}:${position.index}`;
}

/** Parses `term:index`; undefined when the text is not a position. */
export function parsePosition(text: string): Position | undefined {
  const match = /^(\d{1,15}):(\d{1,15})$/.exec(text);
  if (!match) return undefined;
  return { term: Number(match[1]), index: Number(match[2]) };
}

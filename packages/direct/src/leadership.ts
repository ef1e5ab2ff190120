import type { Millis, TargetId } from '@rosedeck/shared';

/**
 * The leadership of a group that a daemon knows to be the newest: proven by a target, or claimed
 * before a promotion is ordered.
 */
export interface Leadership {
  readonly term: number;
  /** Fencing token of the claim; 0 when the leadership was proven without a known claim. */
  readonly token: number;
  readonly target: TargetId;
}

/** True when `a` supersedes `b`: a higher term, or the same term under a newer claim. */
export function supersedes(a: Leadership, b: Leadership | undefined): boolean {
  if (a.term === b?.term) return a.token > b.token;
  return a.term > (b?.term ?? -Infinity);
}

/**
 * Whether a target that led in `term` may still be the primary. A term that was claimed but not
 * reached leaves the one before it open to no one: its primary may have been replaced already.
 */
export function isCurrent(
  newest: Leadership | undefined,
  term: number,
  target: TargetId | undefined,
): boolean {
  if (newest === undefined || term > newest.term) return true;
  return term === newest.term && target === newest.target;
}

/** Inputs of the decision whether a claimed promotion may be ordered. */
export interface OrderInputs {
  /** The replaced primary has confirmed that it no longer leads. */
  readonly steppedDown: boolean;
  /** Daemons that are asked to stop using the old primary, this one included. */
  readonly daemons: number;
  /** Those of them that confirmed it, this one included. */
  readonly confirmed: number;
  /** Daemons whose recent reports keep others using a primary. */
  readonly witnesses: number;
  /** Those of them that confirmed the claim. */
  readonly confirmedWitnesses: number;
  /** Time since most witnesses have confirmed; 0 while they have not. */
  readonly sinceQuorumMs: Millis;
  /** Time after which no daemon that missed the claim still uses the old primary. */
  readonly fenceWaitMs: Millis;
}

/** Witnesses that make a quorum. */
export function quorumOf(witnesses: number): number {
  return Math.floor(witnesses / 2) + 1;
}

/**
 * Whether a claimed promotion may be ordered where the platform does not fence the old primary.
 * Load pattern: a split leaves some daemons with the old primary, and their callers keep writing
 * to it. The order waits until nobody can acknowledge such a write: the old primary stepped down,
 * every daemon confirmed, or a quorum did and the leases of the rest have run out.
 */
export function mayOrder(inputs: OrderInputs): boolean {
  if (inputs.steppedDown || inputs.confirmed >= inputs.daemons) return true;
  if (inputs.confirmedWitnesses < quorumOf(inputs.witnesses)) return false;
  return inputs.sinceQuorumMs >= inputs.fenceWaitMs;
}

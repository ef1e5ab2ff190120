import type { Millis, TargetId } from '@rosedeck/shared';
import { quorumOf } from './confirmers';

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

/** A primary that is asked to step down. */
export interface ReplacedPrimary {
  readonly target: TargetId;
  readonly since: Millis;
  askedAt: Millis;
  steppedDown: boolean;
  /** It led the newest leadership known before the claim, so that no other target still may. */
  readonly ledNewest: boolean;
}

/** True when `a` supersedes `b`: a higher term, or the same term under a newer claim. */
export function supersedes(a: Leadership, b: Leadership | undefined): boolean {
  if (a.term === b?.term) return a.token > b.token;
  return a.term > (b?.term ?? -Infinity);
}

/**
 * Whether a target that led in `term` may still be the primary. From a claim on, the primary of the
 * term before it counts as replaced, whether or not the promotion has taken effect.
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
  /** Those of them that acknowledged the claim, this one included. */
  readonly acknowledged: number;
  /** Daemons whose recent reports keep others using a primary. */
  readonly confirmers: number;
  /** Those of them that acknowledged the claim. */
  readonly acknowledgedConfirmers: number;
  /** Confirmers without which no daemon has a quorum; see `confirmersToReplace`. */
  readonly confirmersNeeded: number;
  /** No daemon can have a quorum of an older set of confirmers. */
  readonly isSetSettled: boolean;
  /** Time since enough confirmers have acknowledged it; 0 while they have not. */
  readonly sinceQuorumMs: Millis;
  /** Time after which no daemon that missed the claim still uses the old primary. */
  readonly fenceWaitMs: Millis;
}

/** Inputs of the decision how many confirmers may replace a primary. */
export interface ReplacementInputs {
  readonly confirmers: number;
  /** Time up to that read for which the primary had not renewed its entry in the store. */
  readonly unrenewedMs: Millis;
  /** Usual interval of the renewals. */
  readonly renewalMs: Millis;
  /** Age of that read. */
  readonly storeReadAgeMs: Millis;
}

/** Renewals that a primary has missed once it no longer reaches the store. */
const MISSED_RENEWALS = 2;

/** Age up to which a read of the store says who reaches it at present. */
const STORE_READ_MAX_AGE_MS: Millis = 2_000;

/**
 * Confirmers that may replace a primary. Load pattern: a network partition leaves each side half of
 * the confirmers, so that nobody has a quorum and nobody may use the primary. The side with the store
 * then replaces a primary that no longer reaches it: no quorum is left without half of the confirmers.
 */
export function confirmersToReplace(inputs: ReplacementInputs): number {
  const { confirmers, unrenewedMs, renewalMs, storeReadAgeMs } = inputs;
  const holdsStore =
    storeReadAgeMs <= STORE_READ_MAX_AGE_MS && unrenewedMs >= renewalMs * MISSED_RENEWALS;
  return holdsStore ? Math.ceil(confirmers / 2) : quorumOf(confirmers);
}

/**
 * Whether a claimed promotion may be ordered where the platform does not fence the old primary.
 * Load pattern: a network partition leaves some daemons with the old primary, and their callers keep
 * writing to it. The order waits until no daemon answers such a write with success: the old primary
 * has stepped down, every daemon has acknowledged the claim, or a quorum has and the leases of the
 * others have expired. A daemon that is not listed says nothing about whether it runs: `daemons`
 * counts the confirmers and all that were listed or heard of late.
 */
export function mayOrder(inputs: OrderInputs): boolean {
  if (inputs.steppedDown) return true;
  if (inputs.confirmers === 0 || !inputs.isSetSettled) return false;
  if (inputs.acknowledged >= inputs.daemons) return true;
  if (inputs.acknowledgedConfirmers < inputs.confirmersNeeded) return false;
  return inputs.sinceQuorumMs >= inputs.fenceWaitMs;
}

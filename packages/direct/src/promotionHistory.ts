import { covers } from '@rosedeck/shared';
import type { PromotionCandidate } from './promotionPolicy';
import type { StoredClaim } from './promotionTypes';

/** What is known of the log of a group across its promotions. */
export interface KnownHistory {
  /** Newest term that the log of a proven primary has shown; 0: none. */
  readonly term: number;
  /** The newest claim that may have taken effect without this daemon's knowledge. */
  readonly claim?: StoredClaim;
}

/** The newest claim of a chain that may have taken effect. */
export function newestEffective(
  claim: StoredClaim | undefined,
  isRefuted: (claim: StoredClaim) => boolean,
): StoredClaim | undefined {
  let newest = claim;
  while (newest && isRefuted(newest)) newest = newest.previous;
  return newest;
}

/** Earlier claims that a claim carries at most. */
const MAX_CHAIN = 3;

/** Shortens a chain of claims to those that a new claim carries. */
export function limitChain(
  claim: StoredClaim | undefined,
  length = MAX_CHAIN,
): StoredClaim | undefined {
  if (!claim || length === 0) return undefined;
  return { ...claim, previous: limitChain(claim.previous, length - 1) };
}

/**
 * Whether a candidate's log may hold commits that a promotion has discarded. Load pattern: a network
 * partition in which the old primary is out of reach of the new one, and keeps the end of its log.
 * Promoting it would restore commits that reads at the new primary did not see, and discard those of
 * the newer term.
 */
export function mayHoldDiscarded(
  { id, received, reply }: Pick<PromotionCandidate, 'id' | 'received' | 'reply'>,
  { term, claim }: KnownHistory,
): boolean {
  const base = claim?.received;
  // Only the target itself, once it replies, can show where the promotion has cut the logs back.
  if (claim && !base) return id !== claim.target;
  if (!received) return term > 0 || base !== undefined;
  // Other replies than a status tell what the target has applied, not all that it holds.
  const isExact = reply === 'status';
  const isWithinBase =
    base !== undefined && isExact && received.term === base.term && covers(base, received);
  if (isWithinBase) return false;
  if (received.term < term) return true;
  if (!base || received.term > base.term) return false;
  if (received.term < base.term) return true;
  return id !== claim.target;
}

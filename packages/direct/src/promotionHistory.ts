import type { PromotionCandidate } from './promotionPolicy';

/** What is known of the log of a group across its promotions. */
export interface KnownHistory {
  /** Newest term that the log of a proven primary has shown; 0: none. */
  readonly term: number;
}

/**
 * Whether a candidate's log may hold commits that a promotion has discarded. Load pattern: a network
 * partition in which the old primary is out of reach of the new one, and keeps the end of its log.
 * Promoting it would restore commits that reads at the new primary did not see, and discard those of
 * the newer term.
 */
export function mayHoldDiscarded(
  { received }: Pick<PromotionCandidate, 'received'>,
  history: KnownHistory,
): boolean {
  return (received?.term ?? 0) < history.term;
}

import type { CoreSettings } from './settings';

/**
 * Token bucket for retries: each request adds `retryBudgetShare` of a token, each retry spends one.
 */
export interface RetryBudget {
  tokens: number;
}

/** Creates a full budget. */
export function createRetryBudget(settings: CoreSettings): RetryBudget {
  return { tokens: settings.retryBurst };
}

/** Adds the share of one request at its first try; the budget never exceeds `retryBurst` tokens. */
export function earnRetry(budget: RetryBudget, settings: CoreSettings): void {
  budget.tokens = Math.min(settings.retryBurst, budget.tokens + settings.retryBudgetShare);
}

/** Spends one token; returns false when there is none. */
export function spendRetry(budget: RetryBudget): boolean {
  if (budget.tokens < 1) return false;
  budget.tokens -= 1;
  return true;
}

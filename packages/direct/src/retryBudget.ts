/** Tries that a group's requests may still make beyond their first ones. */
export interface RetryBudget {
  available: number;
}

/** Retries that each request adds; retries then add at most a tenth to an overload. */
const RETRY_SHARE = 0.1;

/** Retries that may be saved up, so that a group with few requests can still retry. */
const MAX_RETRIES = 2;

/** Creates a full budget. */
export function createRetryBudget(): RetryBudget {
  return { available: MAX_RETRIES };
}

/** Adds the share of one request. */
export function earnRetry(budget: RetryBudget): void {
  budget.available = Math.min(MAX_RETRIES, budget.available + RETRY_SHARE);
}

/** Takes one retry; false when none is left, or while requests wait that a retry would delay. */
export function takeRetry(budget: RetryBudget, isQueueing: boolean): boolean {
  // Ten shares of a tenth add up to slightly less than one.
  if (isQueueing || budget.available < 1 - 1e-9) return false;
  budget.available -= 1;
  return true;
}

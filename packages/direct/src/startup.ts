import type { Millis } from '@rosedeck/shared';

/** What becomes of a caller that connects. */
export type StartupStep =
  | { readonly kind: 'open' }
  /** The session opens once the daemon is ready. */
  | { readonly kind: 'hold' }
  | { readonly kind: 'refuse'; readonly retryAfterMs: Millis };

/** Inputs of the decision about a caller that connects. */
export interface StartupInputs {
  /** The daemon can open sessions. */
  readonly isReady: boolean;
  /** Time since the store last answered, if its last call failed; absent: it answers, as far as known. */
  readonly storeSilentMs?: Millis;
  /** Time for which the caller has been held. */
  readonly heldMs: Millis;
}

/** Longest hold: the configuration is read within a few hundred milliseconds. */
const MAX_HOLD_MS: Millis = 500;

/** Bounds of the told time; an outage is expected to last as long again as it has. */
const RETRY_AFTER_MS = { min: 200, max: 1_000 } as const;

/**
 * Decides about a caller of a daemon that has just started. Load pattern: daemons restart and their
 * callers come back at once. While the store answers, the daemon is about to be ready, and a short wait
 * serves the caller best. In an outage of the store it cannot know when it will be: the caller is told
 * so at once, and may reach a daemon that has its configuration.
 */
export function decideStartup({ isReady, storeSilentMs, heldMs }: StartupInputs): StartupStep {
  if (isReady) return { kind: 'open' };
  if (storeSilentMs === undefined && heldMs < MAX_HOLD_MS) return { kind: 'hold' };
  const { min, max } = RETRY_AFTER_MS;
  return { kind: 'refuse', retryAfterMs: Math.min(max, Math.max(min, storeSilentMs ?? 0)) };
}

import type { Clock, Millis } from '@rosedeck/shared';

/** Functions and limits that a drain needs. */
export interface DrainOptions {
  readonly clock: Clock;
  readonly sleep: (ms: Millis) => Promise<void>;
  /** Stops accepting callers and closes each after its next answer outside of a transaction. */
  readonly drainCallers: () => void;
  /** Closes the connections of idle callers. */
  readonly closeIdleCallers: () => void;
  /** Announces the drain to the peers and gives up the owner roles. */
  readonly announce: () => void;
  /** Number of callers, requests and transactions that are still open. */
  readonly openWork: () => number;
  /** Time at which a peer last sent a request. */
  readonly lastRequestAt: () => Millis;
  /** Greatest duration of the drain. */
  readonly limitMs: Millis;
}

/** How a drain ended. */
export interface DrainResult {
  readonly tookMs: Millis;
  /** Callers, requests and transactions cut off by the limit; 0 when nothing was cut off. */
  readonly cut: number;
}

/** Time without requests from peers after which they are assumed to use other owners. */
const PEER_QUIET_MS: Millis = 600;
/** Time in which active callers get the refusal as an answer, before idle ones are closed. */
const IDLE_CALLER_GRACE_MS: Millis = 500;
const POLL_INTERVAL_MS: Millis = 25;

/** Drains a daemon; resolves when no work is open and peers are quiet, or the limit has passed. */
export async function drainDaemon(options: DrainOptions): Promise<DrainResult> {
  const { clock } = options;
  const startedAt = clock.now();
  options.announce();
  options.drainCallers();
  for (;;) {
    const now = clock.now();
    const tookMs = now - startedAt;
    const quietSince = Math.max(startedAt, options.lastRequestAt());
    if (tookMs >= IDLE_CALLER_GRACE_MS) options.closeIdleCallers();
    const open = options.openWork();
    if (open === 0 && now - quietSince >= PEER_QUIET_MS) return { tookMs, cut: 0 };
    if (tookMs >= options.limitMs) return { tookMs, cut: open };
    await options.sleep(POLL_INTERVAL_MS);
  }
}

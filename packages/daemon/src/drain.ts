import type { Clock, Millis } from '@rosedeck/shared';

/** What a drain needs of its daemon. */
export interface DrainOptions {
  readonly clock: Clock;
  readonly sleep: (ms: Millis) => Promise<void>;
  /** Stops to accept callers and lets go of each with its next answer between transactions. */
  readonly drainCallers: () => void;
  /** Lets go of the callers that say nothing. */
  readonly closeIdleCallers: () => void;
  /** Tells the peers and gives the owner roles up. */
  readonly announce: () => void;
  /** Callers, requests and transactions that are still open. */
  readonly openWork: () => number;
  /** When a peer last sent a request. */
  readonly lastRequestAt: () => Millis;
  readonly limitMs: Millis;
}

/** How a drain ended. */
export interface DrainResult {
  readonly tookMs: Millis;
  /** Work that was open when the limit ended the drain; 0 when nothing was cut. */
  readonly cut: number;
}

/** Time without requests of peers after which they are taken to have moved on. */
const PEER_QUIET_MS: Millis = 600;
/** Time in which a caller that is not silent gets the refusal as an answer to its statement. */
const IDLE_CALLER_GRACE_MS: Millis = 500;
const POLL_INTERVAL_MS: Millis = 25;

/** Drains a daemon: returns when it is empty or the limit has passed. */
export async function drainDaemon(ports: DrainOptions): Promise<DrainResult> {
  const { clock } = ports;
  const startedAt = clock.now();
  ports.announce();
  ports.drainCallers();
  for (;;) {
    const now = clock.now();
    const tookMs = now - startedAt;
    const quietSince = Math.max(startedAt, ports.lastRequestAt());
    if (tookMs >= IDLE_CALLER_GRACE_MS) ports.closeIdleCallers();
    const open = ports.openWork();
    if (open === 0 && now - quietSince >= PEER_QUIET_MS) return { tookMs, cut: 0 };
    if (tookMs >= ports.limitMs) return { tookMs, cut: open };
    await ports.sleep(POLL_INTERVAL_MS);
  }
}

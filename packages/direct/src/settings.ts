import type { Millis } from '@rosedeck/shared';

/** Tunable times, weights and limits of the direct engine. */
export interface DirectSettings {
  /** Interval of the engine's timed systems. */
  readonly tickMs: Millis;
  /** Reply timeout of operations that need no slot; several round trips between regions. */
  readonly setupTimeoutMs: Millis;
  /** Timeout for opening a connection; handshakes take tens of milliseconds. */
  readonly openTimeoutMs: Millis;
  /** Pause before a connection is opened again after a failure. */
  readonly reopenDelayMs: Millis;
  /** Pause after a target has refused a connection for its limit. */
  readonly limitBackoffMs: Millis;
  /** Time without a reply after which a connection is validated before a single write. */
  readonly validateAfterIdleMs: Millis;
  /**
   * Greatest length of a read's id and text with which its message still has room for a minimum position,
   * by the protocol of the targets.
   */
  readonly maxPositionedLength: number;
  /** A connection above the minimum pool size is closed after this idle time. */
  readonly surplusIdleMs: Millis;
  /** Share of a target's connection limit that daemons use; the rest is reserved for restarts. */
  readonly connectionPlanShare: number;
  /** Age at which a group's newest position sample is renewed. */
  readonly sampleEveryMs: Millis;
  /** Time without requests after which a group's positions are no longer sampled. */
  readonly sampleIdleMs: Millis;
  /** Subtracted from the allowed age of data; covers the resolution of the clocks. */
  readonly stalenessMarginMs: Millis;
  /** The platform ends the lead of the old primary at a promotion and checks fencing tokens. */
  readonly promotionsFenced: boolean;
  /** Without a fence: time for which a daemon uses a primary after it could have learned of a claim. */
  readonly leadershipLeaseMs: Millis;
  /**
   * Without a fence: wait before an order, for the leases of daemons that missed its claim. With the
   * time that a promotion takes, some hundred milliseconds, it exceeds a lease.
   */
  readonly fenceWaitMs: Millis;
  /** Silence after which a primary is suspected. */
  readonly suspectSilentMs: Millis;
  /** Time after which a primary that refuses connections is suspected. */
  readonly suspectRefusedMs: Millis;
  /** Age up to which another daemon's opinion of a primary counts. */
  readonly opinionMaxAgeMs: Millis;
  /** Minimum interval of the probes to one target. */
  readonly probeEveryMs: Millis;
  /** Time that the targets have to report their positions before a candidate is chosen. */
  readonly statusWaitMs: Millis;
  /** Delay from one daemon of a small fleet to the next in starting a promotion. */
  readonly promotionStaggerMs: Millis;
  /** A promotion is abandoned after this time. */
  readonly promotionTimeoutMs: Millis;
  /** Initial value of the average time from a claim to the first reply of the new primary. */
  readonly expectedPromotionMs: Millis;
  /** Expected time from the first failure of a primary to the promotion call. */
  readonly expectedDetectionMs: Millis;
  /** Share of its drain time in which a leaving target gets work, and a primary is replaced. */
  readonly leavingShare: number;
  /** Drain time of a target, from the platform's settings. */
  readonly targetDrainMs: Millis;
  /** Time for which an unlisted target stays in use. */
  readonly unlistedGraceMs: Millis;
  /** Time from the order to stop until the process is ended, from the platform's settings. */
  readonly graceMs: Millis;
  /** Time after the order to stop in which the platform may send callers: two of its checks. */
  readonly drainAcceptMs: Millis;
  /** Share of the grace period that open transactions have to end. */
  readonly drainTransactionShare: number;
  /** Share of the latency objective that a request may spend in the queue. */
  readonly queueTimeShare: number;
  /** Statements in flight at a target for each of its slots, from all daemons together. */
  readonly inFlightPerSlot: number;
  /** Minimum delay of a hedged request: a read that is sent to a second target. */
  readonly hedgeMinMs: Millis;
  /** A read is hedged after this multiple of the usual time of reads. */
  readonly hedgeFactor: number;
  /** Cost factor of a target in another failure domain. */
  readonly remoteFactor: number;
  /** Time constant by which a latency rating decays to normal without samples. */
  readonly latencyDecayMs: Millis;
  /** Age up to which another daemon's report counts. */
  readonly peerReportMaxAgeMs: Millis;
  /** Tries of one statement at targets. */
  readonly maxTries: number;
}

/** Defaults; the platform's own bounds replace `targetDrainMs` and `graceMs`. */
export const DEFAULT_DIRECT_SETTINGS: DirectSettings = {
  tickMs: 25,
  setupTimeoutMs: 300,
  openTimeoutMs: 400,
  reopenDelayMs: 100,
  limitBackoffMs: 250,
  validateAfterIdleMs: 500,
  maxPositionedLength: Infinity,
  surplusIdleMs: 500,
  connectionPlanShare: 0.9,
  sampleEveryMs: 350,
  sampleIdleMs: 10_000,
  stalenessMarginMs: 60,
  promotionsFenced: true,
  leadershipLeaseMs: 700,
  fenceWaitMs: 500,
  suspectSilentMs: 700,
  suspectRefusedMs: 150,
  opinionMaxAgeMs: 1_200,
  probeEveryMs: 100,
  statusWaitMs: 250,
  promotionStaggerMs: 250,
  promotionTimeoutMs: 2_500,
  expectedPromotionMs: 800,
  expectedDetectionMs: 800,
  leavingShare: 0.5,
  targetDrainMs: 5_000,
  unlistedGraceMs: 3_000,
  graceMs: 6_000,
  drainAcceptMs: 2_200,
  drainTransactionShare: 0.47,
  queueTimeShare: 0.75,
  inFlightPerSlot: 1.5,
  hedgeMinMs: 120,
  hedgeFactor: 4,
  remoteFactor: 1.15,
  latencyDecayMs: 3_000,
  peerReportMaxAgeMs: 2_000,
  maxTries: 4,
};

import type { Millis } from '@rosedeck/shared';

/** Tunable times, weights and limits of the direct engine. */
export interface DirectSettings {
  /** Interval of the engine's timed systems. */
  readonly tickMs: Millis;
  /** Reply time allowed for operations that need no slot; several round trips between regions. */
  readonly setupTimeoutMs: Millis;
  /** Time allowed for opening a connection: handshakes take tens of milliseconds. */
  readonly openTimeoutMs: Millis;
  /** Pause before a connection is opened again after a failure. */
  readonly reopenDelayMs: Millis;
  /** Pause after a target has refused a connection for its limit. */
  readonly limitBackoffMs: Millis;
  /** A connection without a reply for this long is checked before a write or a transaction uses it. */
  readonly validateAfterIdleMs: Millis;
  /** A connection beyond the ones that are kept is closed after this time without work. */
  readonly surplusIdleMs: Millis;
  /** Share of a target's connection limit that daemons plan with; the rest covers restarts. */
  readonly connectionPlanShare: number;
  /** Age at which a group's newest position sample is renewed. */
  readonly sampleEveryMs: Millis;
  /** Time without requests after which a group's positions are no longer sampled. */
  readonly sampleIdleMs: Millis;
  /** Subtracted from the allowed age of data for the resolution of the clocks. */
  readonly stalenessMarginMs: Millis;
  /** Silence after which a primary that does not answer is suspected. */
  readonly suspectSilentMs: Millis;
  /** Time after which a primary that refuses connections is suspected. */
  readonly suspectRefusedMs: Millis;
  /** Age up to which another daemon's opinion of a primary counts. */
  readonly opinionMaxAgeMs: Millis;
  /** Pause between searches for the primary of a group that has none. */
  readonly probeEveryMs: Millis;
  /** Time that the targets get to report their positions before a candidate is chosen. */
  readonly statusWaitMs: Millis;
  /** Delay between the daemons of a small fleet in starting a promotion, so that one is first. */
  readonly promotionStaggerMs: Millis;
  /** A promotion is given up after this time. */
  readonly promotionTimeoutMs: Millis;
  /** Expected time from a promotion call to a new primary, until one has been seen. */
  readonly expectedPromotionMs: Millis;
  /** Expected time until a promotion is called, once a primary is suspected. */
  readonly expectedDetectionMs: Millis;
  /** Share of the drain time within which a leaving primary is replaced. */
  readonly leavingShare: number;
  /** Drain time of a target, from the platform's settings. */
  readonly targetDrainMs: Millis;
  /** Time that a target that is no longer listed stays usable while it answers. */
  readonly unlistedGraceMs: Millis;
  /** Time from the order to stop until the process is ended, from the platform's settings. */
  readonly graceMs: Millis;
  /** Time after the order to stop in which the platform may still send callers: two of its checks. */
  readonly drainAcceptMs: Millis;
  /** Share of the grace period that open transactions have to end. */
  readonly drainTransactionShare: number;
  /** Share of the latency objective that a request may spend in the queue. */
  readonly queueTimeShare: number;
  /** Statements that a target gets at a time for each of its slots, from all daemons together. */
  readonly inFlightPerSlot: number;
  /** Least time after which a read is sent to a second target. */
  readonly hedgeMinMs: Millis;
  /** A read is sent to a second target after this multiple of its usual time. */
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
  surplusIdleMs: 500,
  connectionPlanShare: 0.9,
  sampleEveryMs: 350,
  sampleIdleMs: 10_000,
  stalenessMarginMs: 60,
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

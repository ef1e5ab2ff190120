import type { Millis } from '@rosedeck/shared';

/** Settings of the core, already validated; the core does not check them again. */
export interface CoreSettings {
  /** Least time between probe rounds while requests wait for a round. */
  readonly urgentRoundMs: Millis;
  /** Probe interval of a group whose primary may have failed. */
  readonly alertRoundMs: Millis;
  /** Silence of a primary, towards this daemon or a replica, that shortens the probe interval. */
  readonly alertAfterMs: Millis;
  /** Probe interval of a group with traffic. */
  readonly activeRoundMs: Millis;
  /** Probe interval of a group without traffic. */
  readonly idleRoundMs: Millis;
  /** A group without a request for this long is idle. */
  readonly idleAfterMs: Millis;
  /** A probe without a reply after this time has failed. */
  readonly probeTimeoutMs: Millis;
  /** Silence of a primary after which it is suspected. */
  readonly suspectAfterMs: Millis;
  /** Time that this daemon leaves a group without a primary to another promoter. */
  readonly orphanWaitMs: Millis;
  /** Wait for the store's reply to a term claim; after it, the targets' terms alone decide. */
  readonly claimWaitMs: Millis;
  /** Wait for further grants after a majority has granted. */
  readonly fenceGraceMs: Millis;
  /** Wait for the candidate's reply to its promotion. */
  readonly promoteWaitMs: Millis;
  /** Timeout of one promotion attempt. */
  readonly promotionTimeoutMs: Millis;
  /** Least wait between two promotion attempts; the greatest is twice this. */
  readonly promotionBackoffMs: Millis;
  /** A leaving primary gets new work for this long, while a switch-over is prepared. */
  readonly leavingGraceMs: Millis;
  /** A switch-over waits up to this long for open transactions to end; no new ones begin meanwhile. */
  readonly switchoverDrainMs: Millis;
  /** A switch-over holds writes up to this long, until a successor has caught up. */
  readonly switchoverHoldMs: Millis;
  /** A longer time between two ticks with due work is a pause; observed state is then discarded. */
  readonly pauseLimitMs: Millis;
  /** Longest wait for a replica to catch up before a read goes to the primary. */
  readonly replicaWaitMs: Millis;
  /** Greatest number of requests queued per group. */
  readonly queueLimit: number;
  /** Waiting time after which a queued request has aged. */
  readonly ageingMs: Millis;
  /** Number of owners of a group at a time. */
  readonly ownersPerGroup: number;
  /** Time for which the outcome of a finished request is kept for queries. */
  readonly outcomeKeepMs: Millis;
  /** Middle of the retry-after time, which has jitter. */
  readonly retryAfterMs: Millis;
  /** Retries that a group earns with each request, as a share of one retry. */
  readonly retryBudgetShare: number;
  /** Greatest number of retries that a group can save up. */
  readonly retryBurst: number;
  /** Outcome queries sent to an owner for one request whose answer was lost. */
  readonly outcomeAsks: number;
  /** Middle of the wait (with jitter) before the second outcome query; it grows with each query. */
  readonly outcomeAskMs: Millis;
  /** Greatest number of tries of one request. */
  readonly maxTries: number;
  /** One of this many dispatches goes to the request that has aged longest, whatever its class. */
  readonly agedEvery: number;
  /** Time between two searches for queued requests that cannot meet their deadline. */
  readonly shedEveryMs: Millis;
  /** Initial estimate of the primary gap after a failure. */
  readonly expectedGapMs: Millis;
  /** Longest time that requests wait for a primary. */
  readonly holdLimitMs: Millis;
  /** A transaction without a statement for this long is rolled back. */
  readonly transactionIdleMs: Millis;
  /** Failures in a row that open the circuit breaker of a target. */
  readonly circuitFailures: number;
  /** Middle of the first time (with jitter) that a circuit stays open; it doubles with each failure. */
  readonly circuitOpenMs: Millis;
  /** Upper limit of that middle. */
  readonly circuitOpenMaxMs: Millis;
  /** An execution abandoned after at least this time counts as a failure of its target. */
  readonly circuitTimeoutMs: Millis;
  /** Middle of the time (with jitter) in which a reduced connection share grows by one connection. */
  readonly shareRecoveryMs: Millis;
  /** Idle timeout of a connection. */
  readonly connectionIdleMs: Millis;
  /** Timeout for opening a connection. */
  readonly connectTimeoutMs: Millis;
  /** A daemon refuses new work when its configuration was last confirmed longer ago than this. */
  readonly configLimitMs: Millis;
  /** Wait of one long poll of the store for the next revision. */
  readonly configWatchMs: Millis;
  /** Time between a daemon's polls of a confirmer. */
  readonly configAskMs: Millis;
  /** Wait before a retry after a store failure, and poll interval of a confirmer. */
  readonly configRetryMs: Millis;
  /** Age of the last confirmation from which confirmers poll each other. */
  readonly configQuorumAfterMs: Millis;
  /** Time from a daemon's start until its votes count; longer than the propagation of a change. */
  readonly configVoteAfterMs: Millis;
  /** A peer that announces that it is leaving owns no group for this long, whatever the list shows. */
  readonly leavingHoldMs: Millis;
  /** Length (before jitter) of the first suspicion of a peer that failed to answer. */
  readonly suspicionMs: Millis;
  /** Upper limit of that length, which doubles with each further failure. */
  readonly suspicionLimitMs: Millis;
}

/** Default settings; they suit the present numbers of daemons and groups. */
export const DEFAULT_CORE_SETTINGS: CoreSettings = {
  urgentRoundMs: 2,
  alertRoundMs: 25,
  alertAfterMs: 75,
  activeRoundMs: 200,
  idleRoundMs: 1_000,
  idleAfterMs: 5_000,
  probeTimeoutMs: 250,
  suspectAfterMs: 250,
  orphanWaitMs: 200,
  claimWaitMs: 100,
  fenceGraceMs: 20,
  promoteWaitMs: 150,
  promotionTimeoutMs: 500,
  promotionBackoffMs: 150,
  leavingGraceMs: 2_000,
  switchoverDrainMs: 1_000,
  switchoverHoldMs: 60,
  pauseLimitMs: 400,
  replicaWaitMs: 30,
  queueLimit: 512,
  ageingMs: 500,
  ownersPerGroup: 1,
  outcomeKeepMs: 60_000,
  retryAfterMs: 200,
  retryBudgetShare: 0.2,
  retryBurst: 32,
  outcomeAsks: 3,
  outcomeAskMs: 50,
  maxTries: 3,
  agedEvery: 8,
  shedEveryMs: 25,
  expectedGapMs: 750,
  holdLimitMs: 4_000,
  transactionIdleMs: 10_000,
  circuitFailures: 3,
  circuitOpenMs: 250,
  circuitOpenMaxMs: 4_000,
  circuitTimeoutMs: 500,
  shareRecoveryMs: 1_000,
  connectionIdleMs: 30_000,
  connectTimeoutMs: 1_000,
  configLimitMs: 3_000,
  configWatchMs: 400,
  configAskMs: 900,
  configRetryMs: 200,
  configQuorumAfterMs: 1_000,
  configVoteAfterMs: 4_000,
  leavingHoldMs: 15_000,
  suspicionMs: 2_000,
  suspicionLimitMs: 30_000,
};

/** Kinds of failure that an answer to a caller can carry. */
export type ErrorKind =
  | 'not_owner'
  | 'group_unavailable'
  | 'overloaded'
  | 'deadline_exceeded'
  | 'draining'
  | 'stale_configuration'
  | 'outcome_unknown'
  | 'write_unconfirmed'
  | 'transaction_lost'
  | 'target_error'
  | 'access_denied'
  | 'bad_mark'
  | 'bad_token'
  | 'unsupported'
  | 'too_large'
  | 'unknown_group'
  | 'read_interrupted'
  | 'unknown_prepared';

/** Whether the failed statement ran: no, possibly, or yes. */
export type RunState = 'not_run' | 'unknown' | 'ran';

/** MySQL error and message parts for one kind of failure. */
export interface ErrorAnswer {
  /** MySQL error number. */
  readonly code: number;
  /** Five-character SQL state. */
  readonly sqlState: string;
  readonly runState: RunState;
  /** True when the message carries a time after which the caller may retry. */
  readonly retryAfter: boolean;
  /** Stable text that follows the kind in the message. */
  readonly text: string;
}

const notRun = (
  code: number,
  sqlState: string,
  retryAfter: boolean,
  text: string,
): ErrorAnswer => ({
  code,
  sqlState,
  runState: 'not_run',
  retryAfter,
  text,
});

/** MySQL error, run state and text of every kind. */
export const ERROR_ANSWERS: Readonly<Record<ErrorKind, ErrorAnswer>> = {
  not_owner: notRun(1290, 'HY000', true, 'the owner of the database group has moved'),
  group_unavailable: notRun(1290, 'HY000', true, 'the database group has no usable primary'),
  overloaded: notRun(1040, '08004', true, 'too much work is queued'),
  deadline_exceeded: notRun(
    3024,
    'HY000',
    false,
    'the deadline passed before the statement was sent',
  ),
  draining: notRun(1053, '08S01', true, 'the daemon is shutting down'),
  stale_configuration: notRun(1053, '08S01', true, 'the daemon cannot confirm its configuration'),
  outcome_unknown: {
    code: 2013,
    sqlState: 'HY000',
    runState: 'unknown',
    retryAfter: false,
    text: 'the connection was lost after the statement was sent',
  },
  write_unconfirmed: {
    code: 2013,
    sqlState: 'HY000',
    runState: 'unknown',
    retryAfter: false,
    text: 'the write was not confirmed by a majority of its group',
  },
  transaction_lost: notRun(1213, '40001', true, 'the transaction was rolled back'),
  target_error: {
    code: 1105,
    sqlState: 'HY000',
    runState: 'ran',
    retryAfter: false,
    text: 'the target refused the statement',
  },
  access_denied: notRun(1045, '28000', false, 'access denied'),
  bad_mark: notRun(1231, '42000', false, 'a request mark is not valid'),
  bad_token: notRun(1231, '42000', false, 'the session token is not valid'),
  unsupported: notRun(1235, '42000', false, 'the command is not supported'),
  too_large: notRun(1153, '08S01', false, 'the packet is larger than allowed'),
  read_interrupted: {
    code: 2013,
    sqlState: 'HY000',
    runState: 'unknown',
    retryAfter: false,
    text: 'the read ended without an answer',
  },
  unknown_prepared: notRun(1243, 'HY000', false, 'the prepared statement does not exist'),
  unknown_group: notRun(1049, '42000', false, 'the database group does not exist'),
};

/** A failure of one request. */
export interface Failure {
  readonly kind: ErrorKind;
  /** Human-readable cause; never parsed. */
  readonly detail: string;
  /** Time after which a retry may succeed. */
  readonly retryAfterMs?: number;
  /** Set for `target_error`: the target's own MySQL error number and SQL state. */
  readonly code?: number;
  readonly sqlState?: string;
}

/** Creates a failure; without `retryAfterMs` the field is absent. */
export function createFailure(kind: ErrorKind, detail: string, retryAfterMs?: number): Failure {
  return retryAfterMs === undefined ? { kind, detail } : { kind, detail, retryAfterMs };
}

/** Whether the statement behind the failure ran. */
export function runStateOf(failure: Failure): RunState {
  return ERROR_ANSWERS[failure.kind].runState;
}

const RUN_STATE_TEXT: Readonly<Record<RunState, string>> = {
  not_run: 'not run',
  unknown: 'outcome unknown',
  ran: 'ran',
};

/**
 * The message for the caller: `kind: text (run state; retry after N ms): detail`. For `target_error`
 * it is the target's own message.
 */
export function formatFailure(failure: Failure): string {
  const answer = ERROR_ANSWERS[failure.kind];
  if (failure.kind === 'target_error') return failure.detail;
  const retry =
    failure.retryAfterMs === undefined ? '' : `; retry after ${Math.ceil(failure.retryAfterMs)} ms`;
  return `${failure.kind}: ${answer.text} (${RUN_STATE_TEXT[answer.runState]}${retry}): ${failure.detail}`;
}

import { ERROR_ANSWERS } from '@rosedeck/shared';
import type { ErrorKind, RunState } from '@rosedeck/shared';
import type { Operation } from './messages';

/** Where a request failed. */
export type FailurePlace = 'entry_hop' | 'owner_queue' | 'target' | 'confirmation';

/** Whether the request, or an earlier try of it, may have been sent on from that place. */
export type Delivery = 'unsent' | 'sent';

/** Whether rosedeck itself may retry a failed request. */
export type RetryRule = 'always' | 'if_idempotent' | 'never';

/** Operations that run at a target. */
export type TargetOperation = Exclude<Operation, 'abandon' | 'outcome'>;

/** What a failure means for its request. */
export interface OutcomeRule {
  readonly runState: RunState;
  /** Error kind of the answer when the request is not retried. */
  readonly kind: ErrorKind;
  readonly retry: RetryRule;
}

type RulesByOperation = Readonly<Record<TargetOperation, OutcomeRule>>;

const rule = (runState: RunState, kind: ErrorKind, retry: RetryRule): OutcomeRule => ({
  runState,
  kind,
  retry,
});

/** An open transaction whose COMMIT has not been sent is rolled back, so none of it has run. */
const ROLLED_BACK = rule('not_run', 'transaction_lost', 'never');
const UNKNOWN = rule('unknown', 'outcome_unknown', 'never');
const UNCONFIRMED = rule('unknown', 'write_unconfirmed', 'never');
const UNREACHED = rule('not_run', 'group_unavailable', 'always');
const EXPIRED = rule('not_run', 'deadline_exceeded', 'never');

const LOST_UNSENT: RulesByOperation = {
  read: UNREACHED,
  write: UNREACHED,
  begin: UNREACHED,
  statement: ROLLED_BACK,
  commit: ROLLED_BACK,
  rollback: ROLLED_BACK,
};

const LOST_SENT: RulesByOperation = {
  read: rule('unknown', 'outcome_unknown', 'always'),
  write: rule('unknown', 'outcome_unknown', 'if_idempotent'),
  begin: rule('not_run', 'transaction_lost', 'always'),
  statement: ROLLED_BACK,
  commit: UNKNOWN,
  rollback: ROLLED_BACK,
};

const EXPIRED_UNSENT: RulesByOperation = {
  read: EXPIRED,
  write: EXPIRED,
  begin: EXPIRED,
  statement: ROLLED_BACK,
  commit: ROLLED_BACK,
  rollback: ROLLED_BACK,
};

const EXPIRED_SENT: RulesByOperation = {
  read: UNKNOWN,
  write: UNKNOWN,
  begin: ROLLED_BACK,
  statement: ROLLED_BACK,
  commit: UNKNOWN,
  rollback: ROLLED_BACK,
};

const UNCONFIRMED_ALL: RulesByOperation = {
  read: UNCONFIRMED,
  write: UNCONFIRMED,
  begin: UNCONFIRMED,
  statement: UNCONFIRMED,
  commit: UNCONFIRMED,
  rollback: UNCONFIRMED,
};

/** Rules by place, delivery and operation; the only source of run states and retry rules. */
export const OUTCOME_RULES: Readonly<
  Record<FailurePlace, Readonly<Record<Delivery, RulesByOperation>>>
> = {
  entry_hop: { unsent: LOST_UNSENT, sent: LOST_SENT },
  owner_queue: { unsent: EXPIRED_UNSENT, sent: EXPIRED_SENT },
  target: { unsent: LOST_UNSENT, sent: LOST_SENT },
  confirmation: { unsent: UNCONFIRMED_ALL, sent: UNCONFIRMED_ALL },
};

/** The rule for a failure; `abandon` and `outcome` requests always count as unknown. */
export function findOutcomeRule(
  place: FailurePlace,
  mayHaveBeenSent: boolean,
  op: Operation,
): OutcomeRule {
  if (op === 'abandon' || op === 'outcome') return UNKNOWN;
  return OUTCOME_RULES[place][mayHaveBeenSent ? 'sent' : 'unsent'][op];
}

/** True when the rule permits a retry of this request. */
export function mayRetry(outcomeRule: OutcomeRule, idempotent: boolean): boolean {
  return outcomeRule.retry === 'always' || (outcomeRule.retry === 'if_idempotent' && idempotent);
}

/**
 * The error kind to answer with: a kind that means `not run` is replaced when a try may have run.
 */
export function consistentErrorKind(
  kind: ErrorKind,
  op: Operation,
  mayHaveRun: boolean,
): ErrorKind {
  if (!mayHaveRun || ERROR_ANSWERS[kind].runState !== 'not_run') return kind;
  return findOutcomeRule('owner_queue', true, op).kind;
}

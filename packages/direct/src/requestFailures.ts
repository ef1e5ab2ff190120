import { createFailure } from '@rosedeck/shared';
import type { ErrorKind, Millis } from '@rosedeck/shared';
import { retryAfterMs } from './admission';
import { dropConnection, loseConnection, releaseConnection } from './connections';
import { isPoolQueueing } from './leaseDispatch';
import { poolWaitMs } from './leasePlacement';
import { isPooled } from './poolOwners';
import { recordNotPrimary } from './primaryTracking';
import { recordReplyPosition } from './replyStats';
import { takeRetry } from './retryBudget';
import { rollBack } from './rollback';
import { hasNotRun } from './statements';
import type { CallerAnswer, LossReason, TargetReply } from './statements';
import type { ConnectionRow, RequestRow, SentOp, TargetRow, World } from './tables';

/** Called when a request ends, with its answer. */
export type FinishRequest = (world: World, row: RequestRow, answer: CallerAnswer) => void;

/** Called when a request is to be queued again. */
export type RequeueRequest = (world: World, row: RequestRow) => void;

/** Callbacks from the execution of requests to sessions and queues. */
export interface ExecutionHooks {
  readonly finish: FinishRequest;
  readonly requeue: RequeueRequest;
}

/** Pause before a busy target is tried again. */
const BUSY_RETRY_MS: Millis = 15;

/** True when a try is without a reply, or its result was not used: the statement may have run. */
export function mayHaveRun(row: RequestRow): boolean {
  return row.unansweredTries > 0 || row.hasUnusedResult;
}

/** Handles a reply by which a target refused or failed an operation of a request. */
export function handleRefusal(
  world: World,
  hooks: ExecutionHooks,
  row: RequestRow,
  connection: ConnectionRow,
  reply: Extract<TargetReply, { kind: 'failed' }>,
  sent: SentOp,
  isWrapped = false,
): void {
  const now = world.clock.now();
  const { target } = connection;
  row.running.delete(connection);
  if (reply.code === 'read_only') recordNotPrimary(world, target, sent);
  if (reply.code === 'behind') recordReplyPosition(target, reply, now);
  if (reply.code === 'unknown_prepared') connection.mustDiscard = true;
  const { transaction } = row;
  const isPinned = transaction?.connection === connection;
  const canTryAgain = reply.code === 'busy' && reply.inTransaction && !reply.transactionFailed;
  if (isPinned && canTryAgain && row.stage !== 'done') {
    row.lastError = reply.code;
    row.notBefore = now + BUSY_RETRY_MS;
    row.stage = 'queued';
    if (row.notBefore < row.deadlineAt) return;
  }
  if (transaction && isPinned) transaction.connection = undefined;
  // The rollback of a wrapped read has already been sent.
  if (!isWrapped) releaseAfterRefusal(world, connection, reply);
  if (row.stage === 'done') return;
  if (!hasNotRun(reply.code)) {
    hooks.finish(world, row, {
      kind: 'failed',
      failure: createFailure('target_error', reply.detail),
      targetCode: reply.code,
    });
    return;
  }
  if (row.running.size > 0) return;
  row.lastError = reply.code;
  if (isPinned) {
    failRequest(world, hooks, row, 'transaction_lost', `the target replied ${reply.code}`);
    return;
  }
  retry(world, hooks, row, reply.code, target);
}

function releaseAfterRefusal(
  world: World,
  connection: ConnectionRow,
  reply: Extract<TargetReply, { kind: 'failed' }>,
): void {
  if (connection.pending.length > 0) {
    loseConnection(world, connection, 'protocol', world.clock.now());
    return;
  }
  if (reply.inTransaction) rollBack(world, connection);
  else releaseConnection(world, connection, world.clock.now());
}

/** Retries a request of which nothing has run yet, since its target may have lost its log. */
export function retryDoubted(
  world: World,
  hooks: ExecutionHooks,
  row: RequestRow,
  target: TargetRow,
): void {
  if (row.running.size > 0) return;
  row.lastError = 'log in doubt';
  retry(world, hooks, row, 'log in doubt', target);
}

/**
 * Handles a success of a target that may have been replaced as the primary before it ran the
 * statement, or has lost its log: a commit there may be discarded, and a read may miss commits.
 */
export function handleReplacedPrimary(
  world: World,
  hooks: ExecutionHooks,
  row: RequestRow,
  connection: ConnectionRow,
  isWrapped: boolean,
): void {
  const { transaction } = row;
  const detail = connection.target.logLoss
    ? 'the primary has lost its log'
    : 'the primary was replaced while the statement ran';
  const isPinned = transaction?.connection === connection;
  if (isPinned) transaction.connection = undefined;
  if (!isWrapped) loseConnection(world, connection, 'closed', world.clock.now());
  row.lastError = 'primary replaced';
  row.hasUnusedResult = true;
  if (row.access === 'commit' || (row.access === 'write' && !transaction))
    failRequest(world, hooks, row, 'outcome_unknown', detail);
  else if (transaction) failRequest(world, hooks, row, 'transaction_lost', detail);
  else if (row.running.size === 0) retry(world, hooks, row, 'primary replaced', connection.target);
}

/** Handles the end of a connection that a request uses. */
export function handleLoss(
  world: World,
  hooks: ExecutionHooks,
  row: RequestRow,
  connection: ConnectionRow,
  reason: LossReason,
): void {
  const wasRunning = row.running.delete(connection);
  const { transaction } = row;
  const isPinned = transaction?.connection === connection;
  if (isPinned) transaction.connection = undefined;
  if (row.stage === 'done' || !wasRunning) {
    if (!isPinned) return;
    const detail = `the connection to the target ended (${reason})`;
    transaction.lostReason = detail;
    // A statement that a busy target refused waits for this connection alone.
    if (row.stage === 'queued') failRequest(world, hooks, row, 'transaction_lost', detail);
    return;
  }
  if (row.running.size > 0) return;
  // The loss of a pool owner says nothing about the target.
  if (reason === 'owner_lost' || reason === 'not_owner')
    row.tried.delete(connection.target.listed.id);
  // An owner that does not take a lease has taken none of the operations that it waits for.
  if (reason === 'not_owner' && connection.pending.some(({ op }) => op === 'run'))
    row.unansweredTries -= 1;
  row.lastError = reason;
  if (isPinned) {
    const isUnclear = row.access === 'commit' && mayHaveRun(row);
    const kind = isUnclear ? 'outcome_unknown' : 'transaction_lost';
    failRequest(world, hooks, row, kind, `the connection to the target ended (${reason})`);
    return;
  }
  if (mayHaveRun(row) && row.access !== 'read') {
    failRequest(world, hooks, row, 'outcome_unknown', `the connection ended (${reason})`);
    return;
  }
  retry(world, hooks, row, reason, connection.target);
}

function retry(
  world: World,
  hooks: ExecutionHooks,
  row: RequestRow,
  reason: string,
  target: TargetRow,
): void {
  const now = world.clock.now();
  if (row.session.closed) {
    failRequest(world, hooks, row, 'transaction_lost', 'the caller disconnected');
    return;
  }
  if (row.tries >= world.settings.maxTries || now >= row.deadlineAt) {
    giveUp(world, hooks, row, `tried ${row.tries} times; last failure: ${reason}`);
    return;
  }
  if (reason === 'busy' && isPooled(world, row.group) && !mayRetryBusy(world, row, now)) {
    refuseBusy(world, hooks, row, target, now);
    return;
  }
  world.io.log({
    type: 'request_retried',
    request: row.id,
    target: target.listed.id,
    reason,
    afterMs: Math.round(now - row.arrivedAt),
  });
  row.notBefore = reason === 'busy' ? now + BUSY_RETRY_MS : now;
  hooks.requeue(world, row);
}

function mayRetryBusy(world: World, row: RequestRow, now: Millis): boolean {
  return takeRetry(row.group.retryBudget, isPoolQueueing(world, row, now));
}

/** Refuses a request that a busy target did not run, with the wait at the target's pool. */
function refuseBusy(
  world: World,
  hooks: ExecutionHooks,
  row: RequestRow,
  target: TargetRow,
  now: Millis,
): void {
  const detail = 'the target is busy, and requests wait for it';
  if (mayHaveRun(row)) giveUp(world, hooks, row, detail);
  else {
    const waitMs = retryAfterMs(poolWaitMs(target, now), world.random);
    failRequest(world, hooks, row, 'overloaded', detail, waitMs);
  }
}

/** Ends a request that cannot be served in time; the error kind states whether it may have run. */
export function giveUp(world: World, hooks: ExecutionHooks, row: RequestRow, detail: string): void {
  const { transaction } = row;
  if (transaction?.connection) {
    const kind = row.access === 'commit' ? 'outcome_unknown' : 'transaction_lost';
    failRequest(world, hooks, row, mayHaveRun(row) ? kind : 'transaction_lost', detail);
    return;
  }
  let kind: ErrorKind = 'overloaded';
  if (mayHaveRun(row)) kind = row.access === 'read' ? 'read_interrupted' : 'outcome_unknown';
  else if (row.needsPrimary && row.group.primaryProvenAt === undefined) kind = 'group_unavailable';
  failRequest(world, hooks, row, kind, detail);
}

/** Ends a request at its deadline. Its connections are closed and never reused. */
export function expireRunning(world: World, hooks: ExecutionHooks, row: RequestRow): void {
  const connections = [...row.running];
  row.running.clear();
  giveUp(world, hooks, row, 'no reply within the statement timeout');
  for (const connection of connections) {
    if (row.transaction?.connection === connection) row.transaction.connection = undefined;
    connection.onLost = undefined;
    dropConnection(world, connection);
  }
}

/** Ends a request with a failure that the engine itself raises. */
export function failRequest(
  world: World,
  hooks: ExecutionHooks,
  row: RequestRow,
  kind: ErrorKind,
  detail: string,
  retryAfter?: Millis,
): void {
  if (row.transaction) row.transaction.lostReason ??= detail;
  hooks.finish(world, row, { kind: 'failed', failure: createFailure(kind, detail, retryAfter) });
}

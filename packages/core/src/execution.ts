import { recordTargetFailure, recordTargetSuccess } from './circuitBreaker';
import type { ConnectionId } from './commands';
import {
  dropConnection,
  removeConnection,
  recordOpenFailure,
  occupyConnection,
  releaseConnection,
} from './connections';
import { estimatesFor, updateEstimate } from './estimates';
import { fairQueueOf } from './groupQueue';
import type { Execution, OkAnswer, RowsAnswer } from './messages';
import { findOutcomeRule, mayRetry } from './outcomeRules';
import { finishRequest, refuse } from './finishRequest';
import { spendRetry } from './retryBudget';
import { ROLLED_BACK_CODES } from './sessionState';
import type { ConnectionRow, GroupRow, RequestRow, TargetRow } from './tables';
import {
  abandonTransaction,
  closeTransaction,
  removeTransactionOf,
  openTransaction,
  queueGroupDispatch,
} from './transactions';
import { queueCommand, recordLogEvent } from './world';
import type { World } from './world';

/**
 * MySQL error codes for a statement that did not run because the server is read-only, as a replica
 * is.
 */
const READ_ONLY_CODES: ReadonlySet<number> = new Set([1290, 1792, 1836]);

/** Checked too, since one of the codes also reports other options that prevent a statement. */
const READ_ONLY_TEXT = /read[- ]?only/i;

/**
 * Sends a request to a target on a connection; counts as a try. A `begin` opens its transaction.
 */
export function executeRequest(
  world: World,
  group: GroupRow,
  target: TargetRow,
  connection: ConnectionRow,
  row: RequestRow,
): void {
  row.stage = 'running';
  row.tries += 1;
  row.sentAt = world.clock.now();
  row.target = target.spec.id;
  row.term = target.report?.term ?? group.term;
  row.connection = connection.id;
  const isBegin = row.req.op === 'begin';
  occupyConnection(world, connection, row.req.id, isBegin ? row.req.transaction : undefined);
  if (isBegin) openTransaction(world, row, connection);
  recordLogEvent(world, {
    type: 'request_dispatched',
    group: group.spec.id,
    cls: row.req.cls,
    waitedMs: world.clock.now() - row.arrivedAt,
  });
  queueCommand(world, {
    type: 'execute',
    connection: connection.id,
    request: row.req.id,
    sql: row.req.sql,
    params: row.req.params,
    variables: row.req.variables,
  });
}

/**
 * Handles the end of an execution; one of a request that the connection no longer runs is ignored.
 */
export function applyExecution(
  world: World,
  id: ConnectionId,
  request: string,
  execution: Execution,
): void {
  const connection = world.connections.get(id);
  if (connection?.request !== request) return;
  const row = world.requests.get(request);
  if (execution.kind === 'lost') {
    removeConnection(world, id);
    removeTransactionOf(world, connection);
    queueGroupDispatch(world, connection);
    if (row) handleLoss(world, row, execution.sent, execution.message);
    return;
  }
  recordExecution(world, connection, row);
  const isEnd = connection.transaction !== undefined && endsTransaction(row, execution);
  releaseConnection(world, connection);
  if (isEnd) closeTransaction(world, connection);
  queueGroupDispatch(world, connection);
  if (!row) return;
  row.executedAt = world.clock.now();
  if (execution.kind === 'sql_error') handleSqlError(world, row, execution);
  else handleSuccess(world, row, execution);
}

/**
 * Handles the loss of a connection in any state; `refused` means that the target declined to open
 * it.
 */
export function applyConnectionClosed(world: World, id: ConnectionId, refused: boolean): void {
  const connection = removeConnection(world, id);
  if (!connection) return;
  removeTransactionOf(world, connection);
  queueGroupDispatch(world, connection);
  const target = world.targets.get(connection.target);
  if (target && connection.state === 'opening') recordOpenFailure(world, target, refused);
  const row = connection.request === undefined ? undefined : world.requests.get(connection.request);
  if (row) handleLoss(world, row, true, 'the target closed the connection');
}

/** Ends a request whose deadline has passed, with the error of the stage that it reached. */
export function expireRequest(world: World, id: string): void {
  const row = world.requests.get(id);
  if (!row || row.deadlineAt > world.clock.now()) return;
  if (row.stage === 'confirming') {
    const { kind } = findOutcomeRule('confirmation', true, row.req.op);
    refuse(world, row, kind, 'no majority confirmed the write before the deadline');
    return;
  }
  if (row.stage === 'running') {
    row.mayHaveRun = true;
    recordTimeout(world, row);
    abandonExecution(world, row);
    const { kind } = findOutcomeRule('target', true, row.req.op);
    refuse(world, row, kind, 'the target did not answer before the deadline');
    return;
  }
  const { kind } = findOutcomeRule('owner_queue', row.mayHaveRun, row.req.op);
  refuse(world, row, kind, 'no target was free or fresh enough in time');
  if (row.req.transaction !== undefined)
    abandonTransaction(world, row.req.transaction, 'a statement missed its deadline');
}

/** Ends a running request as if the target had closed its connection. */
export function failExecution(world: World, row: RequestRow, detail: string): void {
  abandonExecution(world, row);
  handleLoss(world, row, true, detail);
}

/** Drops a request that its entry has abandoned; a write that has been sent is left to finish. */
export function abandonRequest(world: World, subject: string): void {
  const row = world.requests.get(subject);
  if (!row || row.outcomeWaiters.length > 0) return;
  if (row.stage === 'running' && row.req.op === 'read') {
    row.mayHaveRun = true;
    abandonExecution(world, row);
  } else if (row.stage !== 'queued') {
    return;
  }
  const { kind } = findOutcomeRule('owner_queue', row.mayHaveRun, row.req.op);
  refuse(world, row, kind, 'the entry has abandoned the request');
}

/** Closes the connection of a running request, which must not be reused. */
function abandonExecution(world: World, row: RequestRow): void {
  if (row.connection === undefined) return;
  const connection = dropConnection(world, row.connection);
  if (!connection) return;
  removeTransactionOf(world, connection);
  queueGroupDispatch(world, connection);
}

function recordExecution(
  world: World,
  connection: ConnectionRow,
  row: RequestRow | undefined,
): void {
  const target = world.targets.get(connection.target);
  const group = target && world.groups.get(target.group);
  if (!target || !group) return;
  recordTargetSuccess(target);
  if (!row) return;
  const tookMs = world.clock.now() - connection.stateSince;
  updateEstimate(estimatesFor(group.estimates, row).slotTime, tookMs);
}

/**
 * Counts a timeout as a failure only after a long silence; a short deadline is no evidence against
 * the target.
 */
function recordTimeout(world: World, row: RequestRow): void {
  const connection =
    row.connection === undefined ? undefined : world.connections.get(row.connection);
  const target = connection && world.targets.get(connection.target);
  if (!connection || !target) return;
  const now = world.clock.now();
  if (now - connection.stateSince >= world.settings.circuitTimeoutMs)
    recordTargetFailure(world, target, now);
}

function handleSuccess(world: World, row: RequestRow, execution: RowsAnswer | OkAnswer): void {
  const { op } = row.req;
  if (op === 'write' || op === 'commit') {
    awaitConfirmation(world, row, execution);
    return;
  }
  if (op === 'read') recordRead(world, row);
  finishRequest(world, row, { ...execution, position: row.minPosition });
}

function awaitConfirmation(world: World, row: RequestRow, execution: RowsAnswer | OkAnswer): void {
  row.stage = 'confirming';
  row.heldAnswer = execution;
  row.writePosition = execution.position;
  if (execution.position) row.term = execution.position.term;
  const group = world.groups.get(row.req.group);
  if (!group) return;
  group.confirming.push(row);
  world.scheduler.queueJob('rounds', group.spec.id);
  world.scheduler.queueJob('confirmation', group.spec.id);
}

function handleSqlError(
  world: World,
  row: RequestRow,
  error: Extract<Execution, { kind: 'sql_error' }>,
): void {
  if (row.req.op !== 'read' && isReadOnlyError(error)) {
    handleDemoted(world, row, error.message);
    return;
  }
  finishRequest(world, row, {
    kind: 'failure',
    failure: {
      kind: 'target_error',
      detail: error.message,
      code: error.code,
      sqlState: error.sqlState,
    },
  });
}

/**
 * Handles a target that is no longer primary. The refused statement has not run; a write or BEGIN
 * waits for the next primary.
 */
function handleDemoted(world: World, row: RequestRow, detail: string): void {
  const group = world.groups.get(row.req.group);
  if (group && row.target === group.primary) group.primary = undefined;
  if (row.req.op === 'write' || row.req.op === 'begin') {
    requeue(world, row);
    return;
  }
  const { kind } = findOutcomeRule('target', false, row.req.op);
  refuse(world, row, kind, detail);
}

function handleLoss(world: World, row: RequestRow, sent: boolean, detail: string): void {
  if (sent) row.mayHaveRun = true;
  const rule = findOutcomeRule('target', row.mayHaveRun, row.req.op);
  const canRunTwice = world.policies.mayRunTwice(row.req.idempotent);
  if (mayRetry(rule, canRunTwice) && takeRetry(world, row, sent)) {
    requeue(world, row);
    return;
  }
  refuse(world, row, rule.kind, detail);
}

/** Takes a retry if tries, deadline and budget allow; a try that was not sent costs no budget. */
function takeRetry(world: World, row: RequestRow, sent: boolean): boolean {
  if (row.tries >= world.settings.maxTries) return false;
  if (row.deadlineAt <= world.clock.now()) return false;
  if (!sent) return true;
  const group = world.groups.get(row.req.group);
  return group !== undefined && spendRetry(group.ownerRetryBudget);
}

function requeue(world: World, row: RequestRow): void {
  const group = world.groups.get(row.req.group);
  if (!group) return;
  row.stage = 'queued';
  row.connection = undefined;
  fairQueueOf(group.queue, row).addRetry(row);
  recordLogEvent(world, { type: 'request_retried', group: group.spec.id, at: 'owner' });
  world.scheduler.queueJob('rounds', group.spec.id);
  world.scheduler.queueJob('dispatch', group.spec.id);
}

/**
 * True when no transaction is open afterwards: COMMIT, ROLLBACK, a failed BEGIN, some target
 * errors.
 */
function endsTransaction(row: RequestRow | undefined, execution: Execution): boolean {
  const op = row?.req.op;
  if (op === 'commit' || op === 'rollback') return true;
  if (execution.kind !== 'sql_error') return row === undefined;
  if (op === 'begin' || ROLLED_BACK_CODES.has(execution.code)) return true;
  return op === 'statement' && isReadOnlyError(execution);
}

function isReadOnlyError(error: Extract<Execution, { kind: 'sql_error' }>): boolean {
  return READ_ONLY_CODES.has(error.code) && READ_ONLY_TEXT.test(error.message);
}

function recordRead(world: World, row: RequestRow): void {
  const group = world.groups.get(row.req.group);
  const role = row.target === group?.primary ? 'primary' : 'replica';
  recordLogEvent(world, { type: 'read_served', group: row.req.group, role });
}

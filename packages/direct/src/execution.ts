import { createFailure } from '@rosedeck/shared';
import type { ErrorKind, Millis, Position } from '@rosedeck/shared';
import { dropConnection, loseConnection, releaseConnection, sendOps } from './connections';
import { noteLead, noteNotLeading } from './leadership';
import { noteResponse } from './placement';
import { lagBehind, laterOf } from './samples';
import { hasNotRun } from './statements';
import type { CallerAnswer, LossReason, TargetOp, TargetReply } from './statements';
import { noteMean } from './tables';
import type { ConnectionRow, ReplyHandler, RequestRow, SentOp, TargetRow, World } from './tables';

/** Told of the end of a request. */
export type FinishRequest = (world: World, row: RequestRow, answer: CallerAnswer) => void;

/** Told that a request is to be placed again. */
export type RequeueRequest = (world: World, row: RequestRow) => void;

/** What execution needs of the systems around it. */
export interface ExecutionHooks {
  readonly finish: FinishRequest;
  readonly requeue: RequeueRequest;
}

type Step = readonly [TargetOp, ReplyHandler];

/** Pause before a busy target is asked again. */
const BUSY_RETRY_MS: Millis = 15;

/**
 * Runs a request on a connection. A read that must see every commit runs inside a transaction of
 * its own: a single one would be served by a target that has just lost the lead.
 */
export function executeRequest(
  world: World,
  hooks: ExecutionHooks,
  row: RequestRow,
  connection: ConnectionRow,
  after: Position | undefined,
): void {
  const now = world.clock.now();
  row.stage = 'running';
  row.tries += 1;
  row.running.add(connection);
  row.tried.add(connection.target.entry.id);
  row.lastSentAt = now;
  row.target = connection.target.entry.id;
  world.running.add(row);
  connection.onLost = (reason) => {
    handleLoss(world, hooks, row, connection, reason);
  };
  if (row.transaction || (row.needsPrimary && row.access === 'read')) {
    beginFirst(world, hooks, row, connection, after);
    return;
  }
  const isStale = now - connection.lastReplyAt > world.settings.checkIdleMs;
  if (row.access === 'write' && isStale) {
    checkFirst(world, hooks, row, connection);
    return;
  }
  sendOps(world, connection, [
    ...setupSteps(world, row, connection),
    runStep(world, hooks, row, connection, after, false),
  ]);
}

/** Runs a later statement of an open transaction. */
export function executeInTransaction(
  world: World,
  hooks: ExecutionHooks,
  row: RequestRow,
  connection: ConnectionRow,
): void {
  const now = world.clock.now();
  row.stage = 'running';
  row.tries += 1;
  row.running.add(connection);
  row.lastSentAt = now;
  row.target = connection.target.entry.id;
  world.running.add(row);
  connection.onLost = (reason) => {
    handleLoss(world, hooks, row, connection, reason);
  };
  sendOps(world, connection, [
    ...setupSteps(world, row, connection),
    runStep(world, hooks, row, connection, undefined, false),
  ]);
}

/** Rolls back what a connection has open and frees it. */
export function rollBack(world: World, connection: ConnectionRow): void {
  connection.onLost = undefined;
  sendOps(world, connection, [rollbackStep(world, connection)]);
}

function rollbackStep(world: World, connection: ConnectionRow): Step {
  return [
    { op: 'rollback' },
    (reply) => {
      const now = world.clock.now();
      if (reply.inTransaction) loseConnection(world, connection, 'protocol', now);
      else releaseConnection(world, connection, now);
    },
  ];
}

/** A connection that was idle for long may be dead; a write must not be risked on it. */
function checkFirst(
  world: World,
  hooks: ExecutionHooks,
  row: RequestRow,
  connection: ConnectionRow,
): void {
  const begin: Step = [
    { op: 'begin', readOnly: false },
    (reply, sent) => {
      if (reply.kind === 'done') noteLead(world, connection.target, reply.position, sent);
    },
  ];
  const rollback: Step = [
    { op: 'rollback' },
    (reply) => {
      if (row.stage === 'done') {
        leave(world, row, connection);
        return;
      }
      if (reply.inTransaction) {
        loseConnection(world, connection, 'protocol', world.clock.now());
        return;
      }
      sendOps(world, connection, [
        ...setupSteps(world, row, connection),
        runStep(world, hooks, row, connection, undefined, false),
      ]);
    },
  ];
  sendOps(world, connection, [begin, rollback]);
}

function beginFirst(
  world: World,
  hooks: ExecutionHooks,
  row: RequestRow,
  connection: ConnectionRow,
  after: Position | undefined,
): void {
  const { transaction } = row;
  const readOnly = transaction !== undefined && !row.needsPrimary;
  const begin: Step = [
    { op: 'begin', readOnly, after: readOnly ? after : undefined },
    (reply, sent) => {
      if (reply.kind === 'failed') {
        handleRefusal(world, hooks, row, connection, reply, sent);
        return;
      }
      if (!readOnly) noteLead(world, connection.target, reply.position, sent);
      if (row.stage === 'done') {
        row.running.delete(connection);
        rollBack(world, connection);
        return;
      }
      if (transaction) transaction.connection = connection;
      sendOps(
        world,
        connection,
        transaction
          ? [runStep(world, hooks, row, connection, undefined, false)]
          : [
              runStep(world, hooks, row, connection, undefined, true),
              rollbackStep(world, connection),
            ],
      );
    },
  ];
  sendOps(world, connection, [...setupSteps(world, row, connection), begin]);
}

/** Brings session values and prepared statements of a connection to what the statement needs. */
function setupSteps(world: World, row: RequestRow, connection: ConnectionRow): Step[] {
  const wanted = row.session.values;
  const steps: Step[] = [];
  const add = (op: TargetOp): void => {
    steps.push([
      op,
      (reply) => {
        if (reply.kind === 'failed')
          loseConnection(world, connection, 'protocol', world.clock.now());
      },
    ]);
  };
  if ([...connection.values.keys()].some((name) => !wanted.has(name))) {
    add({ op: 'discard' });
    connection.values.clear();
    connection.prepared.clear();
  }
  for (const [name, value] of wanted) {
    if (connection.values.get(name) === value) continue;
    add({ op: 'set', name, value });
    connection.values.set(name, value);
  }
  if (row.prepare && !connection.prepared.has(row.prepare.name)) {
    add({ op: 'prepare', ...row.prepare });
    connection.prepared.add(row.prepare.name);
  }
  return steps;
}

function runStep(
  world: World,
  hooks: ExecutionHooks,
  row: RequestRow,
  connection: ConnectionRow,
  after: Position | undefined,
  isWrapped: boolean,
): Step {
  const now = world.clock.now();
  row.firstSentAt ??= now;
  row.mayHaveRun = true;
  return [
    { op: 'run', id: row.id, text: row.text, after },
    (reply, sent) => {
      applyRun(world, hooks, row, connection, reply, sent, isWrapped);
    },
  ];
}

function applyRun(
  world: World,
  hooks: ExecutionHooks,
  row: RequestRow,
  connection: ConnectionRow,
  reply: TargetReply,
  sent: SentOp,
  isWrapped: boolean,
): void {
  const { target } = connection;
  const now = world.clock.now();
  row.running.delete(connection);
  noteReply(target, reply, now);
  target.doneAt = now;
  if (reply.kind === 'failed') {
    handleRefusal(world, hooks, row, connection, reply, sent, isWrapped);
    return;
  }
  noteRun(world, row, target, now - sent.sentAt);
  const { transaction } = row;
  const provesLead = row.access === 'write' || (transaction ? !transaction.readOnly : isWrapped);
  if (provesLead && !(row.access === 'commit' && transaction?.wrote === false))
    noteLead(world, target, reply.position, sent);
  if (row.stage === 'done') {
    if (!isWrapped) freeAfter(world, connection, reply.inTransaction);
    return;
  }
  row.target = target.entry.id;
  const wrote = transaction ? row.access === 'commit' && transaction.wrote : row.access === 'write';
  if (wrote) {
    row.session.position = laterOf(row.session.position, reply.position);
    row.session.positionAt = now;
  }
  if (transaction && row.access === 'write') transaction.wrote = true;
  if (!transaction && !isWrapped) freeAfter(world, connection, reply.inTransaction);
  if (transaction && row.access === 'commit') {
    transaction.connection = undefined;
    freeAfter(world, connection, reply.inTransaction);
  }
  noteHold(world, row, connection, now);
  hooks.finish(world, row, { kind: 'done', rows: reply.rows, digest: reply.digest });
}

function noteHold(world: World, row: RequestRow, connection: ConnectionRow, now: Millis): void {
  if (row.transaction && row.access !== 'commit') return;
  noteMean(row.group.holdMs[row.needsPrimary ? 'primary' : 'any'], now - connection.takenAt);
}

function freeAfter(world: World, connection: ConnectionRow, inTransaction: boolean): void {
  const now = world.clock.now();
  if (inTransaction || connection.pending.length > 0)
    loseConnection(world, connection, 'protocol', now);
  else releaseConnection(world, connection, now);
}

function noteReply(target: TargetRow, reply: TargetReply, now: Millis): void {
  target.applied = laterOf(target.applied, reply.position);
  if (!reply.position) return;
  target.lag = { ms: lagBehind(target.group.samples, reply.position, now) ?? Infinity, at: now };
}

function noteRun(world: World, row: RequestRow, target: TargetRow, tookMs: Millis): void {
  if (row.access === 'commit') return;
  const usual = row.group.runMs[row.access];
  const expectedMs = row.group.routeMs.get(row.route.name)?.value ?? usual.value;
  const now = world.clock.now();
  noteResponse(target.rating, tookMs / expectedMs, now, world.settings.slownessFadeMs);
  noteMean(usual, tookMs);
  const own = row.group.routeMs.get(row.route.name);
  if (own) noteMean(own, tookMs);
  else row.group.routeMs.set(row.route.name, { value: tookMs });
}

/** A target has said why it did not do what it was asked. */
function handleRefusal(
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
  if (reply.code === 'read_only') noteNotLeading(world, target, sent);
  if (reply.code === 'behind') noteReply(target, reply, now);
  if (reply.code === 'unknown_prepared') connection.prepared.clear();
  const { transaction } = row;
  const isOpen = transaction?.connection === connection;
  if (isOpen && reply.code === 'busy' && reply.inTransaction && row.stage !== 'done') {
    row.mayHaveRun = false;
    row.lastProblem = reply.code;
    row.notBefore = now + BUSY_RETRY_MS;
    row.stage = 'queued';
    if (row.notBefore < row.deadlineAt) return;
  }
  if (transaction && isOpen) transaction.connection = undefined;
  // A wrapped read has its own rollback on the way.
  if (!isWrapped) settle(world, connection, reply);
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
  row.mayHaveRun = false;
  row.lastProblem = reply.code;
  if (isOpen) {
    finishAs(world, hooks, row, 'transaction_lost', `the target said ${reply.code}`);
    return;
  }
  retry(world, hooks, row, reply.code, target);
}

function settle(
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

/** A connection ended under a request. */
function handleLoss(
  world: World,
  hooks: ExecutionHooks,
  row: RequestRow,
  connection: ConnectionRow,
  reason: LossReason,
): void {
  const wasRunning = row.running.delete(connection);
  const { transaction } = row;
  const isOpen = transaction?.connection === connection;
  if (isOpen) transaction.connection = undefined;
  if (row.stage === 'done' || !wasRunning) {
    if (isOpen) transaction.lost = `the connection to the target ended (${reason})`;
    return;
  }
  if (row.running.size > 0) return;
  row.lastProblem = reason;
  if (isOpen) {
    const kind = row.access === 'commit' ? 'outcome_unknown' : 'transaction_lost';
    finishAs(world, hooks, row, kind, `the connection to the target ended (${reason})`);
    return;
  }
  if (row.mayHaveRun && row.access !== 'read') {
    finishAs(world, hooks, row, 'outcome_unknown', `the connection ended (${reason})`);
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
    finishAs(world, hooks, row, 'transaction_lost', 'the caller is gone');
    return;
  }
  if (row.tries >= world.settings.maxTries || now >= row.deadlineAt) {
    giveUp(world, hooks, row, `tried ${row.tries} times, last: ${reason}`);
    return;
  }
  world.sides.log({
    type: 'request_retried',
    request: row.id,
    target: target.entry.id,
    reason,
    afterMs: Math.round(now - row.arrivedAt),
  });
  row.notBefore = reason === 'busy' ? now + BUSY_RETRY_MS : now;
  hooks.requeue(world, row);
}

/** Ends a request that cannot be served in time, with what is known of it. */
export function giveUp(world: World, hooks: ExecutionHooks, row: RequestRow, detail: string): void {
  const { transaction } = row;
  if (transaction?.connection) {
    const kind = row.access === 'commit' ? 'outcome_unknown' : 'transaction_lost';
    finishAs(world, hooks, row, row.mayHaveRun ? kind : 'transaction_lost', detail);
    return;
  }
  let kind: ErrorKind = 'overloaded';
  if (row.mayHaveRun) kind = row.access === 'read' ? 'read_interrupted' : 'outcome_unknown';
  else if (row.needsPrimary && row.group.primaryProvenAt === undefined) kind = 'group_unavailable';
  finishAs(world, hooks, row, kind, detail);
}

/** Ends a running request whose time is up. Its connections are closed, never handed on. */
export function expireRunning(world: World, hooks: ExecutionHooks, row: RequestRow): void {
  const connections = [...row.running];
  row.running.clear();
  giveUp(world, hooks, row, 'no answer within the statement timeout');
  for (const connection of connections) {
    if (row.transaction?.connection === connection) row.transaction.connection = undefined;
    connection.onLost = undefined;
    dropConnection(world, connection);
  }
}

/** Ends a request with a failure of the engine's own. */
export function finishAs(
  world: World,
  hooks: ExecutionHooks,
  row: RequestRow,
  kind: ErrorKind,
  detail: string,
  retryAfter?: Millis,
): void {
  if (row.transaction) row.transaction.lost ??= detail;
  hooks.finish(world, row, { kind: 'failed', failure: createFailure(kind, detail, retryAfter) });
}

function leave(world: World, row: RequestRow, connection: ConnectionRow): void {
  row.running.delete(connection);
  freeAfter(world, connection, false);
}

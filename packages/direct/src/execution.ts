import type { Millis, Position } from '@rosedeck/shared';
import { loseConnection, sendOps } from './connections';
import { isLogDoubted, reviewCommit } from './logLoss';
import { recordPrimaryProof } from './primaryTracking';
import { logReadBound } from './readBounds';
import {
  releaseAfterReply,
  recordOccupancy,
  recordReplyPosition,
  recordRunTime,
} from './replyStats';
import { rollBack, rollbackStep } from './rollback';
import type { Step } from './rollback';
import { laterOf } from './sampleHistory';
import { isTrusted } from './fencing';
import {
  failRequest,
  handleLoss,
  handleRefusal,
  handleReplacedPrimary,
  retryDoubted,
} from './requestFailures';
import type { ExecutionHooks } from './requestFailures';
import type { TargetOp, TargetReply } from './statements';
import type { ConnectionRow, RequestRow, SentOp, SessionRow, TargetRow, World } from './tables';

/**
 * Transaction of its own that a read is wrapped in. `lead`: the read must see every commit, and a target
 * that was just demoted would still serve a single read. `position`: its message has no room for the
 * position that the target must have applied, which goes with the BEGIN.
 */
type Wrapping = 'lead' | 'position' | undefined;

/** Runs a request on a connection. */
export function executeRequest(
  world: World,
  hooks: ExecutionHooks,
  row: RequestRow,
  connection: ConnectionRow,
  after: Position | undefined,
): void {
  startTry(world, hooks, row, connection);
  logReadBound(world, row, connection.target, after);
  row.tried.add(connection.target.listed.id);
  const wrapping = wrappingOf(world, row, after);
  if (row.transaction || wrapping) {
    beginThenRun(world, hooks, row, connection, after, wrapping);
    return;
  }
  const needsValidation =
    row.lastSentAt - connection.lastReplyAt > world.settings.validateAfterIdleMs;
  if (row.access === 'write' && needsValidation) {
    validateThenRun(world, hooks, row, connection);
    return;
  }
  setUpThenRun(world, hooks, row, connection, after);
}

function wrappingOf(world: World, row: RequestRow, after: Position | undefined): Wrapping {
  if (row.transaction || row.access !== 'read') return undefined;
  if (row.needsPrimary) return 'lead';
  const length = row.id.length + row.text.length;
  return after && length > world.settings.maxPositionedLength ? 'position' : undefined;
}

/** Runs a later statement of an open transaction. */
export function executeInTransaction(
  world: World,
  hooks: ExecutionHooks,
  row: RequestRow,
  connection: ConnectionRow,
): void {
  if (row.transaction?.readOnly === false && !isStillPrimary(world, connection.target)) {
    failRequest(world, hooks, row, 'transaction_lost', 'the primary has been replaced');
    return;
  }
  startTry(world, hooks, row, connection);
  setUpThenRun(world, hooks, row, connection, undefined);
}

/** False when the target was the primary and may have been replaced since. */
function isStillPrimary(world: World, target: TargetRow): boolean {
  const { group } = target;
  return isTrusted(world, group, target.listed.id, target.ledTerm ?? 0, world.clock.now());
}

function startTry(
  world: World,
  hooks: ExecutionHooks,
  row: RequestRow,
  connection: ConnectionRow,
): void {
  row.stage = 'running';
  row.tries += 1;
  row.running.add(connection);
  connection.statementDeadlineAt = row.deadlineAt;
  row.lastSentAt = world.clock.now();
  row.target = connection.target.listed.id;
  row.connection = connection.id;
  world.running.add(row);
  connection.onLost = (reason) => {
    handleLoss(world, hooks, row, connection, reason);
  };
}

/**
 * Runs a statement once the target has confirmed what it needs on the connection: after a refused SET or
 * PARSE it would run with other values, or in another shape.
 */
function setUpThenRun(
  world: World,
  hooks: ExecutionHooks,
  row: RequestRow,
  connection: ConnectionRow,
  after: Position | undefined,
): void {
  const run = (): void => {
    sendOps(world, connection, [runStep(world, hooks, row, connection, after)]);
  };
  const steps = setupSteps(world, row, connection);
  const last = steps.pop();
  if (!last) {
    run();
    return;
  }
  const [op, handle] = last;
  const runOrRelease: Step = [
    op,
    (reply, sent) => {
      handle(reply, sent);
      if (reply.kind === 'failed') return;
      if (row.stage === 'done') releaseUnused(world, row, connection, reply.inTransaction);
      else run();
    },
  ];
  sendOps(world, connection, [...steps, runOrRelease]);
}

/** Runs a write after an empty transaction has shown that a long idle connection still works. */
function validateThenRun(
  world: World,
  hooks: ExecutionHooks,
  row: RequestRow,
  connection: ConnectionRow,
): void {
  const begin: Step = [
    { op: 'begin', readOnly: false },
    (reply, sent) => {
      if (reply.kind === 'done') recordPrimaryProof(world, connection.target, reply.position, sent);
    },
  ];
  const rollback: Step = [
    { op: 'rollback' },
    (reply) => {
      if (row.stage === 'done') {
        releaseUnused(world, row, connection, reply.inTransaction);
        return;
      }
      if (reply.inTransaction) {
        loseConnection(world, connection, 'protocol', world.clock.now());
        return;
      }
      if (isLogDoubted(connection.target)) {
        releaseUnused(world, row, connection, reply.inTransaction);
        retryDoubted(world, hooks, row, connection.target);
        return;
      }
      setUpThenRun(world, hooks, row, connection, undefined);
    },
  ];
  sendOps(world, connection, [begin, rollback]);
}

function beginThenRun(
  world: World,
  hooks: ExecutionHooks,
  row: RequestRow,
  connection: ConnectionRow,
  after: Position | undefined,
  wrapping: Wrapping,
): void {
  const { transaction } = row;
  const readOnly = wrapping !== 'lead' && !row.needsPrimary;
  const begin: Step = [
    { op: 'begin', readOnly, after: readOnly ? after : undefined },
    (reply, sent) => {
      if (reply.kind === 'failed') {
        handleRefusal(world, hooks, row, connection, reply, sent);
        return;
      }
      const { target } = connection;
      if (!readOnly) recordPrimaryProof(world, target, reply.position, sent);
      const isDoubted = !readOnly && isLogDoubted(target);
      if (row.stage === 'done' || isDoubted) {
        row.running.delete(connection);
        rollBack(world, connection);
        if (row.stage !== 'done') retryDoubted(world, hooks, row, target);
        return;
      }
      if (transaction) transaction.connection = connection;
      sendOps(
        world,
        connection,
        transaction
          ? [runStep(world, hooks, row, connection, undefined)]
          : [
              runStep(world, hooks, row, connection, undefined, wrapping),
              rollbackStep(world, connection),
            ],
      );
    },
  ];
  sendOps(world, connection, [...setupSteps(world, row, connection), begin]);
}

/** Steps that set the session variables and prepare the statement that a request needs. */
function setupSteps(world: World, row: RequestRow, connection: ConnectionRow): Step[] {
  const wanted = row.session.variables;
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
  const hasOtherVariables = [...connection.variables.keys()].some((name) => !wanted.has(name));
  if (connection.mustDiscard || hasOtherVariables) {
    add({ op: 'discard' });
    connection.variables.clear();
    connection.prepared.clear();
    connection.mustDiscard = false;
  }
  for (const [name, value] of wanted) {
    if (connection.variables.get(name) === value) continue;
    add({ op: 'set', name, value });
    connection.variables.set(name, value);
  }
  const { prepared } = row;
  if (prepared && connection.prepared.find(prepared) === undefined) {
    const { name, closed } = connection.prepared.assign(prepared);
    for (const old of closed) add({ op: 'close', name: old });
    add({ op: 'prepare', name, access: prepared.access, shape: prepared.shape });
  }
  return steps;
}

/** Text of the statement on a connection on which `setupSteps` has prepared it. */
function textOn(connection: ConnectionRow, { text, prepared }: RequestRow): string {
  if (!prepared) return text;
  const name = connection.prepared.find(prepared);
  if (name === undefined) throw new Error('the statement is not prepared on its connection');
  return `EXECUTE ${name} ${text}`;
}

/** The operation that runs the statement. */
function runStep(
  world: World,
  hooks: ExecutionHooks,
  row: RequestRow,
  connection: ConnectionRow,
  after: Position | undefined,
  wrapping?: Wrapping,
): Step {
  const now = world.clock.now();
  row.firstSentAt ??= now;
  row.unansweredTries += 1;
  return [
    { op: 'run', id: row.id, text: textOn(connection, row), after },
    (reply, sent) => {
      applyRunReply(world, hooks, row, connection, reply, sent, wrapping);
    },
  ];
}

/** True when the answer is only right if the target led when it ran the statement. */
function needsLeader(row: RequestRow, wrapping: Wrapping): boolean {
  const { transaction } = row;
  if (row.access === 'commit') return transaction?.wrote === true;
  return transaction ? !transaction.readOnly : wrapping === 'lead' || row.access === 'write';
}

function applyRunReply(
  world: World,
  hooks: ExecutionHooks,
  row: RequestRow,
  connection: ConnectionRow,
  reply: TargetReply,
  sent: SentOp,
  wrapping: Wrapping,
): void {
  const isWrapped = wrapping !== undefined;
  const { target } = connection;
  const now = world.clock.now();
  row.running.delete(connection);
  row.unansweredTries -= 1;
  recordReplyPosition(target, reply, now);
  target.lastStatementDoneAt = now;
  if (reply.kind === 'failed') {
    handleRefusal(world, hooks, row, connection, reply, sent, isWrapped);
    return;
  }
  recordRunTime(world, row, target, now - sent.sentAt);
  const { transaction } = row;
  const wrote = transaction ? row.access === 'commit' && transaction.wrote : row.access === 'write';
  const isReplaced =
    needsLeader(row, wrapping) &&
    (!isStillPrimary(world, target) ||
      reviewCommit(world, target, wrote ? reply.position : undefined, sent));
  if (isReplaced) {
    if (row.stage !== 'done') handleReplacedPrimary(world, hooks, row, connection, isWrapped);
    else if (!isWrapped) releaseAfterReply(world, connection, reply.inTransaction);
    return;
  }
  const provesPrimary =
    row.access === 'write' || (transaction ? !transaction.readOnly : wrapping === 'lead');
  if (provesPrimary && !(row.access === 'commit' && transaction?.wrote === false))
    recordPrimaryProof(world, target, reply.position, sent);
  if (row.stage === 'done') {
    if (!isWrapped) releaseAfterReply(world, connection, reply.inTransaction);
    return;
  }
  row.target = target.listed.id;
  if (wrote) recordCommit(row.session, reply.position, now);
  if (transaction && row.access === 'write') transaction.wrote = true;
  if (!transaction && !isWrapped) releaseAfterReply(world, connection, reply.inTransaction);
  if (transaction && row.access === 'commit') {
    transaction.connection = undefined;
    releaseAfterReply(world, connection, reply.inTransaction);
  }
  recordOccupancy(world, row, connection, now);
  hooks.finish(world, row, { kind: 'done', rows: reply.rows, digest: reply.digest });
}

/** Records a commit that is acknowledged to a session. Its position covers the commits before it. */
function recordCommit(session: SessionRow, position: Position | undefined, now: Millis): void {
  if (!position) {
    session.untoldCommitAt = now;
    return;
  }
  session.position = laterOf(session.position, position);
  session.positionAt = now;
  session.untoldCommitAt = undefined;
}

function releaseUnused(
  world: World,
  row: RequestRow,
  connection: ConnectionRow,
  inTransaction: boolean,
): void {
  row.running.delete(connection);
  releaseAfterReply(world, connection, inTransaction);
}

import { createFailure } from '@rosedeck/shared';
import type { ErrorKind, RequestId, SessionId } from '@rosedeck/shared';
import { dropConnection } from './connections';
import { executeInTransaction } from './execution';
import { rollBack } from './rollback';
import type { ExecutionHooks } from './requestFailures';
import { createRequest, dequeueRequest, enqueueRequest } from './requests';
import type { RequestSpec } from './requests';
import type { Access, CallerAnswer, CallerStatement } from './statements';
import type { RequestRow, SessionRow, TransactionRow, World } from './tables';

const LOCAL_OK: CallerAnswer = { kind: 'done', rows: [], digest: '-' };

/** Opens a caller's session; false when the database has no route. */
export function openSession(world: World, id: SessionId, database: string): boolean {
  if (!world.config?.routes.has(database)) return false;
  world.sessions.set(id, {
    id,
    database,
    variables: new Map(),
    prepared: new Map(),
    state: 'idle',
    positionAt: 0,
    closed: false,
  });
  return true;
}

/** Ends a session. An open transaction is rolled back, never committed. */
export function closeSession(world: World, id: SessionId): void {
  const session = world.sessions.get(id);
  if (!session) return;
  world.sessions.delete(id);
  session.closed = true;
  const { request, transaction } = session;
  if (request?.stage === 'queued' && !transaction?.connection) {
    dequeueRequest(request);
    request.stage = 'done';
  }
  if (request?.stage === 'running') return;
  rollBackTransaction(world, transaction);
}

/** Rolls back an open transaction at its target, if it has reached one. */
export function rollBackTransaction(world: World, transaction: TransactionRow | undefined): void {
  const connection = transaction?.connection;
  if (!transaction || !connection) return;
  transaction.connection = undefined;
  if (connection.pending.length > 0) dropConnection(world, connection);
  else rollBack(world, connection);
}

/** Answers one statement of a caller, or starts a request for it. */
export function applyStatement(
  world: World,
  hooks: ExecutionHooks,
  session: SessionRow,
  id: RequestId,
  statement: CallerStatement,
): void {
  const answer = answerLocally(world, session, statement);
  if (answer) {
    world.io.answer(session.id, id, answer, session.state);
    return;
  }
  startRequest(world, hooks, session, id, statement);
}

/** Answers a statement that needs no target; undefined for all others. */
function answerLocally(
  world: World,
  session: SessionRow,
  statement: CallerStatement,
): CallerAnswer | undefined {
  const { kind } = statement;
  if (session.state === 'failed') return answerInFailedTransaction(session, kind);
  if (kind === 'malformed') return failStatement(session, 'unsupported', statement.detail);
  if (kind === 'set') {
    session.variables.set(statement.name, statement.value);
    return LOCAL_OK;
  }
  if (kind === 'prepare') {
    session.prepared.set(statement.name, { access: statement.access, shape: statement.shape });
    return LOCAL_OK;
  }
  if (kind === 'close') {
    session.prepared.delete(statement.name);
    return LOCAL_OK;
  }
  if (kind === 'begin') return beginTransaction(world, session, statement.readOnly);
  if (kind === 'rollback') {
    if (!session.transaction)
      return failStatement(session, 'unsupported', 'no transaction is open');
    rollBackTransaction(world, session.transaction);
    endTransaction(session);
    return LOCAL_OK;
  }
  if (kind === 'commit' && !session.transaction)
    return failStatement(session, 'unsupported', 'no transaction is open');
  if (kind === 'execute' && !session.prepared.has(statement.name))
    return failStatement(session, 'unknown_prepared', `no prepared statement ${statement.name}`);
  return undefined;
}

/** A failed transaction accepts only commit and rollback. */
function answerInFailedTransaction(
  session: SessionRow,
  kind: CallerStatement['kind'],
): CallerAnswer {
  if (kind === 'rollback') {
    endTransaction(session);
    return LOCAL_OK;
  }
  if (kind === 'commit') {
    const detail = session.transaction?.lostReason ?? 'a statement of the transaction failed';
    endTransaction(session);
    return createFailedAnswer('transaction_lost', detail);
  }
  return createFailedAnswer('unsupported', 'the transaction has failed; roll it back first');
}

function beginTransaction(world: World, session: SessionRow, readOnly: boolean): CallerAnswer {
  if (session.transaction)
    return failStatement(session, 'unsupported', 'a transaction is already open');
  const route = world.config?.routes.get(session.database);
  if (!route) return createFailedAnswer('unknown_group', 'no route for the database');
  const now = world.clock.now();
  const isReadOnly = readOnly && route.policy !== 'primary';
  session.transaction = {
    readOnly: isReadOnly,
    route,
    beganAt: now,
    wrote: false,
    lastUsedAt: now,
  };
  session.state = 'transaction';
  return LOCAL_OK;
}

/** Fails a statement, and with it an open transaction. */
function failStatement(session: SessionRow, kind: ErrorKind, detail: string): CallerAnswer {
  if (session.transaction) {
    session.state = 'failed';
    session.transaction.lostReason ??= detail;
  }
  return createFailedAnswer(kind, detail);
}

function createFailedAnswer(kind: ErrorKind, detail: string): CallerAnswer {
  return { kind: 'failed', failure: createFailure(kind, detail) };
}

function endTransaction(session: SessionRow): void {
  session.transaction = undefined;
  session.state = 'idle';
}

function startRequest(
  world: World,
  hooks: ExecutionHooks,
  session: SessionRow,
  id: RequestId,
  statement: CallerStatement,
): void {
  const { transaction } = session;
  const route = transaction?.route ?? world.config?.routes.get(session.database);
  const group = route && world.groups.get(route.group);
  if (!route || !group) {
    const answer = failStatement(session, 'unknown_group', 'no route for the database');
    world.io.answer(session.id, id, answer, session.state);
    return;
  }
  if (transaction?.lostReason !== undefined) {
    const answer = failStatement(session, 'transaction_lost', transaction.lostReason);
    world.io.answer(session.id, id, answer, session.state);
    return;
  }
  const spec = createSpec(session, id, statement, transaction);
  const row = createRequest(world, session, route, group, spec);
  session.request = row;
  if (transaction) transaction.lastUsedAt = world.clock.now();
  if (transaction?.connection) executeInTransaction(world, hooks, row, transaction.connection);
  else enqueueRequest(world, row);
}

function createSpec(
  session: SessionRow,
  id: RequestId,
  statement: CallerStatement,
  transaction: TransactionRow | undefined,
): RequestSpec {
  if (statement.kind === 'execute') {
    const known = session.prepared.get(statement.name);
    const access = known?.access ?? 'read';
    const shape = known?.shape ?? '';
    const name = preparedName(access, shape);
    return {
      id,
      access,
      text: `EXECUTE ${name} ${statement.args}`,
      prepare: { name, access, shape },
      transaction,
    };
  }
  const access =
    statement.kind === 'commit' || statement.kind === 'write' ? statement.kind : 'read';
  const text = 'text' in statement ? statement.text : '';
  return { id, access, text, transaction };
}

/** One name per statement shape, so that sessions share the prepared statements of a connection. */
function preparedName(access: Access, shape: string): string {
  return `${access}_${shape}`;
}

/** Ends a request: updates its session, answers the caller and logs the outcome. */
export function finishRequest(world: World, row: RequestRow, answer: CallerAnswer): void {
  if (row.stage === 'done') return;
  row.stage = 'done';
  world.running.delete(row);
  dequeueRequest(row);
  const { session, transaction } = row;
  const now = world.clock.now();
  if (session.request === row) session.request = undefined;
  if (transaction) finishInTransaction(world, row, transaction, answer);
  if (!session.closed) world.io.answer(session.id, row.id, answer, session.state);
  world.io.log({
    type: 'request_done',
    request: row.id,
    session: session.id,
    route: row.route.name,
    target: row.target,
    outcome: answer.kind === 'done' ? 'ok' : (answer.targetCode ?? answer.failure.kind),
    waitedMs: Math.round((row.firstSentAt ?? now) - row.arrivedAt),
    tookMs: Math.round(now - row.arrivedAt),
    tries: row.tries,
    config: world.config?.version ?? 0,
    detail: answer.kind === 'failed' ? answer.failure.detail : undefined,
  });
}

function finishInTransaction(
  world: World,
  row: RequestRow,
  transaction: TransactionRow,
  answer: CallerAnswer,
): void {
  const { session } = row;
  transaction.lastUsedAt = world.clock.now();
  if (row.access === 'commit') {
    if (answer.kind === 'failed') rollBackTransaction(world, transaction);
    endTransaction(session);
    return;
  }
  if (answer.kind === 'failed') {
    session.state = 'failed';
    transaction.lostReason ??= answer.failure.detail;
    rollBackTransaction(world, transaction);
  } else if (session.closed) {
    rollBackTransaction(world, transaction);
  }
}

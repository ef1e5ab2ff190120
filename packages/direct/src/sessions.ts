import { createFailure } from '@rosedeck/shared';
import type { ErrorKind, Failure, RequestId, SessionId } from '@rosedeck/shared';
import murmurhash from 'murmurhash';
import { dropConnection } from './connections';
import { executeInTransaction } from './execution';
import { withdrawLeases } from './leases';
import { countOperation } from './quotas/quotaGate';
import { rollBack } from './rollback';
import type { ExecutionHooks } from './requestFailures';
import { createRequest, dequeueRequest, enqueueRequest } from './requests';
import type { RequestSpec } from './requests';
import type { Route } from './configuration';
import { dropPrepared, dropText, keepPrepared, keepValue } from './sessionText';
import { NO_DIGEST } from './statements';
import type { Access, CallerAnswer, CallerStatement, PreparedStatement } from './statements';
import type { RequestRow, SessionRow, TransactionRow, World } from './tables';
import { digestKey, resolveIdentity } from './tenants';
import type { Identity, TenantName } from './tenants';

const LOCAL_OK: CallerAnswer = { kind: 'done', rows: [], digest: NO_DIGEST };

/**
 * Opens a caller's session; `key` is the API key with which it connects, if any. Returns the reason of
 * a refusal.
 */
export function openSession(
  world: World,
  id: SessionId,
  database: string,
  key: string | undefined,
): ErrorKind | undefined {
  const { config } = world;
  const route = config?.routes.get(database);
  if (!config || !route) return 'unknown_group';
  // Also without tenants: a later configuration may have some, while the session is open.
  const digest = key === undefined ? undefined : digestKey(key);
  if (resolveIdentity(config.tenants, route.isPublic === true, digest).kind === 'denied')
    return 'access_denied';
  world.sessions.set(id, {
    id,
    database,
    key: digest,
    variables: new Map(),
    prepared: new Map(),
    keptLength: 0,
    state: 'idle',
    positionAt: 0,
    closed: false,
  });
  return undefined;
}

/** Ends a session. An open transaction is rolled back, never committed. */
export function closeSession(world: World, id: SessionId): void {
  const session = world.sessions.get(id);
  if (!session) return;
  world.sessions.delete(id);
  dropText(world, session);
  session.closed = true;
  const { request, transaction } = session;
  if (request?.stage === 'queued' && !transaction?.connection) {
    dequeueRequest(request);
    request.stage = 'done';
    withdrawLeases(world, request);
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
  if (isKeyDenied(world, session)) {
    denyStatement(world, session, id);
    return;
  }
  const answer = answerLocally(world, session, statement);
  if (answer) {
    world.io.answer(session.id, id, answer, session.state);
    return;
  }
  startRequest(world, hooks, session, id, statement);
}

/** True when the configuration in force lets a statement only be refused, for its database or key. */
export function isDenied(world: World, session: SessionRow, statement: CallerStatement): boolean {
  if (isKeyDenied(world, session)) return true;
  const { database, prepared, state, transaction } = session;
  if (state === 'failed' || transaction || world.config?.routes.has(database)) return false;
  const { kind } = statement;
  if (kind === 'execute') return prepared.has(statement.name);
  return kind === 'begin' || kind === 'read' || kind === 'write';
}

/** Refuses a statement; an open transaction fails with it and is rolled back. */
export function refuseStatement(
  world: World,
  session: SessionRow,
  id: RequestId,
  failure: Failure,
): void {
  const { transaction } = session;
  rollBackTransaction(world, transaction);
  if (transaction) {
    session.state = 'failed';
    transaction.lostReason ??= failure.detail;
  }
  world.io.answer(session.id, id, { kind: 'failed', failure }, session.state);
}

/** True when the session's key does not allow what the session does, by the newest configuration. */
function isKeyDenied(world: World, session: SessionRow): boolean {
  const { transaction, state } = session;
  // A failed transaction accepts only its end, whoever asks for it.
  if (state === 'failed') return false;
  const identity = identityOf(world, session, transaction?.route);
  if (identity?.kind !== 'allowed') return identity !== undefined;
  return transaction !== undefined && transaction.tenant !== identity.tenant;
}

/** The identity of a session on its route, or on that of its transaction; undefined without a route. */
function identityOf(world: World, session: SessionRow, used?: Route): Identity | undefined {
  const { config } = world;
  const route = used ?? config?.routes.get(session.database);
  return config && route
    ? resolveIdentity(config.tenants, route.isPublic === true, session.key)
    : undefined;
}

/** Refuses a statement whose key is no longer valid; an open transaction is rolled back. */
function denyStatement(world: World, session: SessionRow, id: RequestId): void {
  const { transaction } = session;
  const detail = 'the API key is no longer valid';
  logDenial(world, session, 'key_refused');
  if (transaction) {
    rollBackTransaction(world, transaction);
    const answer = failStatement(session, 'transaction_lost', detail);
    world.io.answer(session.id, id, answer, session.state);
    return;
  }
  world.io.answer(session.id, id, createFailedAnswer('access_denied', detail), session.state);
  world.io.closeSession(session.id);
  closeSession(world, session.id);
}

function logDenial(world: World, session: SessionRow, type: 'key_refused' | 'route_refused'): void {
  world.io.log({
    type,
    session: session.id,
    database: session.database,
    config: world.config?.version ?? 0,
    heard: world.fleet.newerConfig?.version,
  });
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
    return answerKept(session, keepValue(world, session, statement.name, statement.value));
  }
  if (kind === 'prepare') {
    const { name, access, shape } = statement;
    const prepared = createPrepared(access, shape);
    return answerKept(session, keepPrepared(world, session, name, prepared));
  }
  if (kind === 'close') {
    dropPrepared(world, session, statement.name);
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

function answerKept(session: SessionRow, refusal: ErrorKind | undefined): CallerAnswer {
  if (refusal === undefined) return LOCAL_OK;
  return failStatement(session, refusal, 'values and prepared statements take too much memory');
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
  if (!route) {
    logDenial(world, session, 'route_refused');
    return createFailedAnswer('unknown_group', 'no route for the database');
  }
  const now = world.clock.now();
  const isReadOnly = readOnly && route.policy !== 'primary';
  session.transaction = {
    readOnly: isReadOnly,
    route,
    beganAt: now,
    tenant: tenantOf(identityOf(world, session)),
    isCounted: false,
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
    logDenial(world, session, 'route_refused');
    const answer = failStatement(session, 'unknown_group', 'no route for the database');
    world.io.answer(session.id, id, answer, session.state);
    return;
  }
  if (transaction?.lostReason !== undefined) {
    const answer = failStatement(session, 'transaction_lost', transaction.lostReason);
    world.io.answer(session.id, id, answer, session.state);
    return;
  }
  const tenant = transaction ? transaction.tenant : tenantOf(identityOf(world, session));
  const spec = { ...createSpec(session, id, statement, transaction), tenant };
  const row = createRequest(world, session, route, group, spec);
  session.request = row;
  if (transaction) transaction.lastUsedAt = world.clock.now();
  if (transaction?.connection) executeInTransaction(world, hooks, row, transaction.connection);
  else {
    enqueueRequest(world, row);
    countOperation(world, row);
  }
}

function tenantOf(identity: Identity | undefined): TenantName | undefined {
  return identity?.kind === 'allowed' ? identity.tenant : undefined;
}

function createSpec(
  session: SessionRow,
  id: RequestId,
  statement: CallerStatement,
  transaction: TransactionRow | undefined,
): RequestSpec {
  if (statement.kind === 'execute') {
    const known = session.prepared.get(statement.name) ?? createPrepared('read', '');
    return { id, access: known.access, text: statement.args, prepared: known, transaction };
  }
  const access =
    statement.kind === 'commit' || statement.kind === 'write' ? statement.kind : 'read';
  const text = 'text' in statement ? statement.text : '';
  return { id, access, text, transaction };
}

function createPrepared(access: Access, shape: string): PreparedStatement {
  return { access, shape, hash: murmurhash.v3(`${access} ${shape}`).toString(36) };
}

/** Ends a request: updates its session, answers the caller and logs the outcome. */
export function finishRequest(world: World, row: RequestRow, answer: CallerAnswer): void {
  if (row.stage === 'done') return;
  row.stage = 'done';
  world.running.delete(row);
  dequeueRequest(row);
  withdrawLeases(world, row);
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
    connection: row.connection,
    prepared: row.prepared?.hash,
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

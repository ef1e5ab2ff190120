import { createFailure, runStateOf } from '@rosedeck/shared';
import type { ErrorKind, InstanceId, Millis, RequestId, TransactionId } from '@rosedeck/shared';
import type { Answer, FailureAnswer, Operation, OwnerRequest } from './messages';
import { findOutcomeRule, mayRetry, consistentErrorKind } from './outcomeRules';
import { statementIdentity } from './outcomes';
import { ownersOf } from './ownership';
import { createFailureAnswer } from './finishRequest';
import { FORWARDS_LIMIT } from './requests';
import { earnRetry, spendRetry } from './retryBudget';
import { breaksTransaction, raiseMinPosition, updateTransaction } from './sessionState';
import type { CallerStatement, EntryRequestRow, SessionRow } from './sessionState';
import { queueCommand, recordLogEvent } from './world';
import type { World } from './world';

/** Time after the deadline for the owner's own deadline answer to arrive. */
const ANSWER_GRACE_MS: Millis = 100;

/** Operation, owner and transaction of a request to be sent. */
export interface EntryRoute {
  readonly op: Operation;
  readonly owner: InstanceId;
  readonly transaction?: TransactionId;
}

/** Registers a caller's request and its deadline; does not send it. */
export function createEntryRequest(
  world: World,
  session: SessionRow,
  statement: CallerStatement,
  route: EntryRoute,
): EntryRequestRow {
  const row: EntryRequestRow = {
    ...route,
    statement,
    group: session.group,
    customer: session.customer,
    deadlineAt: world.clock.now() + statement.deadlineMs,
    excludedOwners: new Set(),
    joinedSessions: [],
    forwards: 0,
    tries: 0,
    mayHaveRun: false,
    outcomeQueries: 0,
  };
  session.openRequest = statement.id;
  world.entryRequests.set(statement.id, row);
  world.entryDeadlines.add(statement.id, row.deadlineAt + ANSWER_GRACE_MS);
  const group = world.groups.get(row.group);
  if (group) earnRetry(group.entryRetryBudget, world.settings);
  return row;
}

/** Sends a request to its current owner; counts as a try. */
export function sendRequest(world: World, row: EntryRequestRow): void {
  row.tries += 1;
  queueCommand(world, { type: 'send_peer', to: row.owner, request: buildOwnerRequest(world, row) });
}

/**
 * Adds a session that repeats a running request, so that it gets the same answer; refuses another
 * statement with the same id.
 */
export function joinRequest(
  world: World,
  row: EntryRequestRow,
  session: SessionRow,
  statement: CallerStatement,
): void {
  const isSame =
    statementIdentity(row.statement) === statementIdentity(statement) &&
    row.customer === session.customer;
  const isOutsideTransaction = row.transaction === undefined && session.transaction === undefined;
  if (isSame && isOutsideTransaction) {
    row.joinedSessions.push(session.id);
    session.openRequest = statement.id;
    return;
  }
  const failure = createFailure('bad_mark', 'the request id is in use by another statement');
  queueCommand(world, {
    type: 'answer_caller',
    session: session.id,
    request: statement.id,
    answer: { kind: 'failure', failure },
  });
}

/** Handles the owner's answer to a request or to an outcome query. */
export function applyPeerAnswer(world: World, id: RequestId, answer: Answer): void {
  const row = findRow(world, id);
  if (!row) return;
  const isRedirect = answer.kind === 'failure' && answer.failure.kind === 'not_owner';
  if (isRedirect && id === row.statement.id && followRedirect(world, row, answer)) return;
  answerCaller(world, row, answer);
}

/** Handles the loss of the connection to the owner, before or after the request was sent. */
export function applyPeerLost(world: World, id: RequestId, to: InstanceId, sent: boolean): void {
  const row = findRow(world, id);
  if (row?.owner !== to) return;
  if (id !== row.statement.id) {
    scheduleOutcomeQuery(world, row);
    return;
  }
  row.excludedOwners.add(to);
  if (sent) row.mayHaveRun = true;
  const rule = findOutcomeRule('entry_hop', row.mayHaveRun, row.op);
  const canRunTwice = world.policies.mayRunTwice(row.statement.idempotent);
  if (mayRetry(rule, canRunTwice) && takeRetry(world, row, sent)) {
    if (row.transaction !== undefined) abandonAtOwner(world, row, to);
    retryAtOtherOwner(world, row);
    return;
  }
  if (rule.runState === 'unknown' && row.op !== 'read') {
    queryOutcome(world, row);
    return;
  }
  answerFailure(world, row, rule.kind, `the connection to owner ${to} failed`);
}

/** Ends a caller's request whose deadline has passed, or sends a due outcome query. */
export function expireEntryRequest(world: World, id: RequestId): void {
  const row = findRow(world, id);
  if (!row) return;
  const hasExpired = row.deadlineAt <= world.clock.now();
  if (!hasExpired) {
    if (id !== row.statement.id) queryOutcome(world, row);
    return;
  }
  // The request may have reached the owner, so its outcome counts as unknown.
  const rule = findOutcomeRule('owner_queue', true, row.op);
  answerFailure(world, row, rule.kind, 'no answer from the owner before the deadline');
}

/** Asks an owner to abandon a request, or a whole transaction. */
export function sendAbandon(
  world: World,
  owner: InstanceId,
  from: Pick<EntryRequestRow, 'group' | 'customer'>,
  what: Pick<OwnerRequest, 'subject' | 'transaction'>,
): void {
  const request: OwnerRequest = {
    ...what,
    id: `${what.transaction ?? what.subject ?? ''}/abandon`,
    entry: world.self,
    group: from.group,
    customer: from.customer,
    cls: '',
    op: 'abandon',
    sql: '',
    deadlineMs: ANSWER_GRACE_MS,
    idempotent: true,
    tries: 0,
    forwards: FORWARDS_LIMIT,
  };
  queueCommand(world, { type: 'send_peer', to: owner, request });
}

const OUTCOME_QUERY_INFIX = '/outcome/';

/** Finds a request by its own id or by the id of its latest outcome query. */
function findRow(world: World, id: RequestId): EntryRequestRow | undefined {
  const known = world.entryRequests.get(id);
  if (known) return known;
  const end = id.lastIndexOf(OUTCOME_QUERY_INFIX);
  if (end < 0) return undefined;
  const row = world.entryRequests.get(id.slice(0, end));
  return row && outcomeQueryId(row) === id ? row : undefined;
}

function outcomeQueryId(row: EntryRequestRow): RequestId {
  return `${row.statement.id}${OUTCOME_QUERY_INFIX}${row.outcomeQueries}`;
}

/** Queries the owner that the request was sent to; only that daemon records its outcome. */
function queryOutcome(world: World, row: EntryRequestRow): void {
  row.outcomeQueries += 1;
  const request: OwnerRequest = {
    ...buildOwnerRequest(world, row),
    id: outcomeQueryId(row),
    op: 'outcome',
    sql: '',
    params: undefined,
    subject: row.statement.id,
    transaction: undefined,
    forwards: FORWARDS_LIMIT,
  };
  queueCommand(world, { type: 'send_peer', to: row.owner, request });
}

function scheduleOutcomeQuery(world: World, row: EntryRequestRow): void {
  const { outcomeAsks, outcomeAskMs } = world.settings;
  const waitMs = outcomeAskMs * row.outcomeQueries * (0.5 + world.random());
  const at = world.clock.now() + waitMs;
  if (row.outcomeQueries >= outcomeAsks || at >= row.deadlineAt) {
    const kind = findOutcomeRule('entry_hop', true, row.op).kind;
    answerFailure(
      world,
      row,
      kind,
      `owner ${row.owner} is unreachable, so the outcome cannot be queried`,
    );
    return;
  }
  world.entryDeadlines.add(outcomeQueryId(row), at);
}

/**
 * Takes a retry if tries, deadline and budget allow. Only a sent try, which may have loaded an
 * owner, costs budget.
 */
function takeRetry(world: World, row: EntryRequestRow, sent: boolean): boolean {
  if (row.tries >= world.settings.maxTries) return false;
  if (row.deadlineAt <= world.clock.now()) return false;
  if (!sent) return true;
  const group = world.groups.get(row.group);
  return group !== undefined && spendRetry(group.entryRetryBudget);
}

function buildOwnerRequest(world: World, row: EntryRequestRow): OwnerRequest {
  const { statement } = row;
  const session = world.sessions.get(statement.session);
  return {
    id: statement.id,
    entry: world.self,
    group: row.group,
    customer: row.customer,
    cls: statement.cls,
    op: row.op,
    sql: statement.sql,
    params: statement.params,
    variables: statement.variables,
    deadlineMs: Math.max(1, row.deadlineAt - world.clock.now()),
    minPosition: session?.minPositions.get(row.group),
    maxAgeMs: statement.maxAgeMs,
    idempotent: statement.idempotent,
    transaction: row.transaction,
    tries: row.tries - 1,
    forwards: row.forwards,
  };
}

function followRedirect(world: World, row: EntryRequestRow, answer: FailureAnswer): boolean {
  if (row.forwards >= FORWARDS_LIMIT) return false;
  const next = answer.owner ?? ownersOf(world, row.group)[0] ?? world.self;
  const isNextUnusable = row.excludedOwners.has(next) || isSuspected(world, next);
  row.forwards = answer.standIn || isNextUnusable ? FORWARDS_LIMIT : row.forwards + 1;
  // The answering daemon names a failed owner: at `FORWARDS_LIMIT` it serves the request itself.
  if (!isNextUnusable) row.owner = next;
  row.tries -= 1;
  sendRequest(world, row);
  return true;
}

function isSuspected(world: World, id: InstanceId): boolean {
  const peer = world.peers.get(id);
  return peer !== undefined && peer.suspectedUntil > world.clock.now();
}

function retryAtOtherOwner(world: World, row: EntryRequestRow): void {
  const next = ownersOf(world, row.group).find((id) => !row.excludedOwners.has(id));
  row.owner = next ?? world.self;
  row.forwards = FORWARDS_LIMIT;
  recordLogEvent(world, { type: 'request_retried', group: row.group, at: 'entry' });
  sendRequest(world, row);
}

function abandonAtOwner(world: World, row: EntryRequestRow, owner: InstanceId): void {
  sendAbandon(world, owner, row, { subject: row.statement.id, transaction: row.transaction });
}

function answerFailure(world: World, row: EntryRequestRow, kind: ErrorKind, detail: string): void {
  answerCaller(world, row, createFailureAnswer(world, kind, detail));
}

/** An owner's `not run` covers its own tries only; an earlier try may have run at another owner. */
function correctAnswer(world: World, row: EntryRequestRow, answer: Answer): Answer {
  if (answer.kind !== 'failure' || runStateOf(answer.failure) !== 'not_run') return answer;
  const kind = consistentErrorKind(answer.failure.kind, row.op, row.mayHaveRun);
  if (kind === answer.failure.kind) return answer;
  return createFailureAnswer(world, kind, answer.failure.detail);
}

function answerCaller(world: World, row: EntryRequestRow, given: Answer): void {
  const { statement } = row;
  const answer = correctAnswer(world, row, given);
  world.entryRequests.delete(statement.id);
  if (mayLeaveTransactionOpen(row, answer)) abandonAtOwner(world, row, row.owner);
  for (const id of [statement.session, ...row.joinedSessions]) {
    const session = world.sessions.get(id);
    if (session) answerSession(world, session, row, answer);
  }
}

/** True when the owner may still hold a transaction open that no session will end. */
function mayLeaveTransactionOpen(row: EntryRequestRow, answer: Answer): boolean {
  if (row.transaction === undefined || !breaksTransaction(answer)) return false;
  return row.op !== 'commit' || !row.mayHaveRun;
}

function answerSession(
  world: World,
  session: SessionRow,
  row: EntryRequestRow,
  answer: Answer,
): void {
  session.openRequest = undefined;
  updateTransaction(session, row, answer);
  if (answer.kind !== 'failure' && answer.position)
    raiseMinPosition(session, row.group, answer.position);
  queueCommand(world, {
    type: 'answer_caller',
    session: session.id,
    request: row.statement.id,
    answer,
  });
}

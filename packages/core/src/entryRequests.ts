import { createFailure, runStateOf } from '@rosedeck/shared';
import type { ErrorKind, InstanceId, Millis, RequestId, TransactionId } from '@rosedeck/shared';
import type { Answer, FailureAnswer, Operation, OwnerRequest } from './messages';
import { findOutcomeRule, mayRetry, consistentErrorKind } from './outcomeRules';
import { statementIdentity } from './outcomes';
import { ownersOf } from './ownership';
import { failureAnswer } from './finishRequest';
import { FORWARDS_LIMIT } from './requests';
import { earnRetry, spendRetry } from './retryBudget';
import { breaksTransaction, raiseMinPosition, updateTransaction } from './sessionState';
import type { CallerStatement, EntryRequestRow, SessionRow } from './sessionState';
import { queueCommand, recordLogEvent } from './world';
import type { World } from './world';

/** Time that an owner's own answer at the deadline has to arrive. */
const ANSWER_GRACE_MS: Millis = 100;

/** How a request goes out. */
export interface EntryRoute {
  readonly op: Operation;
  readonly owner: InstanceId;
  readonly transaction?: TransactionId;
}

/** Creates the row of a caller's request. */
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
    followers: [],
    forwards: 0,
    tries: 0,
    mayHaveRun: false,
    asks: 0,
  };
  session.open = statement.id;
  world.entryRequests.set(statement.id, row);
  world.entryDeadlines.add(statement.id, row.deadlineAt + ANSWER_GRACE_MS);
  const group = world.groups.get(row.group);
  if (group) earnRetry(group.entryRetryBudget, world.settings);
  return row;
}

/** Sends a request to its owner. */
export function sendRequest(world: World, row: EntryRequestRow): void {
  row.tries += 1;
  queueCommand(world, { type: 'send_peer', to: row.owner, request: describeRequest(world, row) });
}

/** Lets a session wait for the answer of a request that another session has sent already. */
export function followRequest(
  world: World,
  row: EntryRequestRow,
  session: SessionRow,
  statement: CallerStatement,
): void {
  const same =
    statementIdentity(row.statement) === statementIdentity(statement) &&
    row.customer === session.customer;
  const plain = row.transaction === undefined && session.transaction === undefined;
  if (same && plain) {
    row.followers.push(session.id);
    session.open = statement.id;
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

/** Takes in the owner's answer, to the request itself or to the question for its outcome. */
export function applyPeerAnswer(world: World, id: RequestId, answer: Answer): void {
  const row = findRow(world, id);
  if (!row) return;
  const moved = answer.kind === 'failure' && answer.failure.kind === 'not_owner';
  if (moved && id === row.statement.id && followOwner(world, row, answer)) return;
  answerCaller(world, row, answer);
}

/** Takes in that the way to the owner broke, before or after the request had been sent. */
export function applyPeerLost(world: World, id: RequestId, to: InstanceId, sent: boolean): void {
  const row = findRow(world, id);
  if (row?.owner !== to) return;
  if (id !== row.statement.id) {
    planAsk(world, row);
    return;
  }
  row.excludedOwners.add(to);
  if (sent) row.mayHaveRun = true;
  const rule = findOutcomeRule('entry_hop', row.mayHaveRun, row.op);
  const repeatable = world.policies.mayRunTwice(row.statement.idempotent);
  if (mayRetry(rule, repeatable) && mayTryAgain(world, row, sent)) {
    if (row.transaction !== undefined) abandonAt(world, row, to);
    retryElsewhere(world, row);
    return;
  }
  if (rule.runState === 'unknown' && row.op !== 'read') {
    askOutcome(world, row);
    return;
  }
  answerFailure(world, row, rule.kind, `daemon ${to} is gone`);
}

/** Ends a caller's request whose deadline has passed, or asks again for an outcome. */
export function expireEntryRequest(world: World, id: RequestId): void {
  const row = findRow(world, id);
  if (!row) return;
  const isOver = row.deadlineAt <= world.clock.now();
  if (!isOver) {
    if (id !== row.statement.id) askOutcome(world, row);
    return;
  }
  // The last send may have reached the owner, whatever is known of it here.
  const rule = findOutcomeRule('owner_queue', true, row.op);
  answerFailure(world, row, rule.kind, 'no answer from the owner within the deadline');
}

/** Tells an owner that the caller of a request, or of a whole transaction, is gone. */
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

const ASK_MARK = '/outcome/';

function findRow(world: World, id: RequestId): EntryRequestRow | undefined {
  const known = world.entryRequests.get(id);
  if (known) return known;
  const end = id.lastIndexOf(ASK_MARK);
  if (end < 0) return undefined;
  const row = world.entryRequests.get(id.slice(0, end));
  return row && askId(row) === id ? row : undefined;
}

function askId(row: EntryRequestRow): RequestId {
  return `${row.statement.id}${ASK_MARK}${row.asks}`;
}

/** Asks the owner that the request was sent to; another one could not know its outcome. */
function askOutcome(world: World, row: EntryRequestRow): void {
  row.asks += 1;
  const request: OwnerRequest = {
    ...describeRequest(world, row),
    id: askId(row),
    op: 'outcome',
    sql: '',
    params: undefined,
    subject: row.statement.id,
    transaction: undefined,
    forwards: FORWARDS_LIMIT,
  };
  queueCommand(world, { type: 'send_peer', to: row.owner, request });
}

function planAsk(world: World, row: EntryRequestRow): void {
  const { outcomeAsks, outcomeAskMs } = world.settings;
  const waitMs = outcomeAskMs * row.asks * (0.5 + world.random());
  const at = world.clock.now() + waitMs;
  if (row.asks >= outcomeAsks || at >= row.deadlineAt) {
    const kind = findOutcomeRule('entry_hop', true, row.op).kind;
    answerFailure(world, row, kind, `daemon ${row.owner} is gone and cannot be asked`);
    return;
  }
  world.entryDeadlines.add(askId(row), at);
}

/** A request that never left costs no budget; one that did may have loaded an owner. */
function mayTryAgain(world: World, row: EntryRequestRow, sent: boolean): boolean {
  if (row.tries >= world.settings.maxTries) return false;
  if (row.deadlineAt <= world.clock.now()) return false;
  if (!sent) return true;
  const group = world.groups.get(row.group);
  return group !== undefined && spendRetry(group.entryRetryBudget);
}

function describeRequest(world: World, row: EntryRequestRow): OwnerRequest {
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

function followOwner(world: World, row: EntryRequestRow, answer: FailureAnswer): boolean {
  if (row.forwards >= FORWARDS_LIMIT) return false;
  const next = answer.owner ?? ownersOf(world, row.group)[0] ?? world.self;
  const isGone = row.excludedOwners.has(next) || isSuspected(world, next);
  row.forwards = answer.standIn || isGone ? FORWARDS_LIMIT : row.forwards + 1;
  // The daemon that answered does not know yet that the owner is gone: it is to stand in.
  if (!isGone) row.owner = next;
  row.tries -= 1;
  sendRequest(world, row);
  return true;
}

function isSuspected(world: World, id: InstanceId): boolean {
  const peer = world.peers.get(id);
  return peer !== undefined && peer.suspectedUntil > world.clock.now();
}

function retryElsewhere(world: World, row: EntryRequestRow): void {
  const next = ownersOf(world, row.group).find((id) => !row.excludedOwners.has(id));
  row.owner = next ?? world.self;
  row.forwards = FORWARDS_LIMIT;
  recordLogEvent(world, { type: 'request_retried', group: row.group, at: 'entry' });
  sendRequest(world, row);
}

function abandonAt(world: World, row: EntryRequestRow, owner: InstanceId): void {
  sendAbandon(world, owner, row, { subject: row.statement.id, transaction: row.transaction });
}

function answerFailure(world: World, row: EntryRequestRow, kind: ErrorKind, detail: string): void {
  answerCaller(world, row, failureAnswer(world, kind, detail));
}

/** An owner's `not run` speaks of its own tries only; an earlier one may have run elsewhere. */
function correctAnswer(world: World, row: EntryRequestRow, answer: Answer): Answer {
  if (answer.kind !== 'failure' || runStateOf(answer.failure) !== 'not_run') return answer;
  const kind = consistentErrorKind(answer.failure.kind, row.op, row.mayHaveRun);
  if (kind === answer.failure.kind) return answer;
  return failureAnswer(world, kind, answer.failure.detail);
}

function answerCaller(world: World, row: EntryRequestRow, given: Answer): void {
  const { statement } = row;
  const answer = correctAnswer(world, row, given);
  world.entryRequests.delete(statement.id);
  if (leavesTransaction(row, answer)) abandonAt(world, row, row.owner);
  for (const id of [statement.session, ...row.followers]) {
    const session = world.sessions.get(id);
    if (session) answerSession(world, session, row, answer);
  }
}

/** True when the owner may still hold a transaction open that nobody will end. */
function leavesTransaction(row: EntryRequestRow, answer: Answer): boolean {
  if (row.transaction === undefined || !breaksTransaction(answer)) return false;
  return row.op !== 'commit' || !row.mayHaveRun;
}

function answerSession(
  world: World,
  session: SessionRow,
  row: EntryRequestRow,
  answer: Answer,
): void {
  session.open = undefined;
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

import { createFailure } from '@rosedeck/shared';
import type { CustomerId, GroupId, InstanceId, Position, SessionId } from '@rosedeck/shared';
import { isConfigStale } from './configFreshness';
import { createEntryRequest, joinRequest, sendAbandon, sendRequest } from './entryRequests';
import type { Answer, Operation } from './messages';
import { pickOwner } from './ownership';
import { createFailureAnswer } from './finishRequest';
import { raiseMinPosition } from './sessionState';
import type { CallerStatement, EntryRequestRow, SessionRow } from './sessionState';
import { queueCommand, recordLogEvent } from './world';
import type { World } from './world';

const PLAIN_OK: Answer = { kind: 'ok', affectedRows: 0, insertId: 0 };

/** Opens a session; it has no minimum position until an answer or a token sets one. */
export function openSession(
  world: World,
  id: SessionId,
  customer: CustomerId,
  group: GroupId,
): void {
  world.sessions.set(id, { id, customer, group, minPositions: new Map() });
}

/** Closes a session, abandons its open request and rolls back its open transaction. */
export function closeSession(world: World, id: SessionId): void {
  const session = world.sessions.get(id);
  if (!session) return;
  world.sessions.delete(id);
  const open =
    session.openRequest === undefined ? undefined : world.entryRequests.get(session.openRequest);
  if (open) abandonOpenRequest(world, session, open);
  const { transaction } = session;
  if (!transaction || transaction.broken || open?.op === 'commit') return;
  sendAbandon(world, transaction.owner, session, { transaction: transaction.id });
}

/** Raises a session's minimum position to that of a session token presented by the caller. */
export function presentToken(
  world: World,
  id: SessionId,
  group: GroupId,
  position: Position,
): void {
  const session = world.sessions.get(id);
  if (session) raiseMinPosition(session, group, position);
}

/** Handles a statement of a caller: sends it to the owner of its group, or answers at once. */
export function acceptStatement(world: World, statement: CallerStatement): void {
  const session = world.sessions.get(statement.session);
  if (!session) return;
  const running = world.entryRequests.get(statement.id);
  if (running) {
    joinRequest(world, running, session, statement);
    return;
  }
  const { transaction } = session;
  if (transaction?.broken) {
    answerInBrokenTransaction(world, session, statement);
    return;
  }
  if (!transaction) {
    if (refuseIfConfigStale(world, session, statement)) return;
    startRequest(world, session, statement);
    return;
  }
  if (statement.op === 'begin') {
    // Some servers commit the open transaction here. The caller has not asked for a commit: refuse.
    const failure = createFailure('unsupported', 'a transaction is open; end it first');
    answerAtOnce(world, session, statement, { kind: 'failure', failure });
    return;
  }
  const isEnd = statement.op === 'commit' || statement.op === 'rollback';
  const op: Operation = isEnd ? statement.op : 'statement';
  const row = createEntryRequest(world, session, statement, {
    op,
    owner: transaction.owner,
    transaction: transaction.id,
  });
  sendRequest(world, row);
}

/** Refuses new requests while the configuration cannot be confirmed; open transactions continue. */
function refuseIfConfigStale(
  world: World,
  session: SessionRow,
  statement: CallerStatement,
): boolean {
  if (!isConfigStale(world, world.clock.now())) return false;
  const kind = 'stale_configuration';
  const detail = `revision ${world.config.revision} could not be confirmed`;
  const { group } = session;
  recordLogEvent(world, { type: 'request_refused', group, request: statement.id, kind });
  answerAtOnce(world, session, statement, createFailureAnswer(world, kind, detail));
  return true;
}

function startRequest(world: World, session: SessionRow, statement: CallerStatement): void {
  const isEnd = statement.op === 'commit' || statement.op === 'rollback';
  if (isEnd) {
    answerAtOnce(world, session, statement, PLAIN_OK);
    return;
  }
  const owner: InstanceId = pickOwner(world, session.group, statement.op, statement.id);
  const transaction = statement.op === 'begin' ? `${statement.id}/t` : undefined;
  sendRequest(
    world,
    createEntryRequest(world, session, statement, { op: statement.op, owner, transaction }),
  );
}

/**
 * Abandons a request that no other session waits for, except a COMMIT. The owner lets a write that
 * has been sent finish, so that its outcome can still be queried.
 */
function abandonOpenRequest(world: World, session: SessionRow, row: EntryRequestRow): void {
  const isShared = row.joinedSessions.some((id) => world.sessions.has(id));
  if (isShared || row.op === 'commit') return;
  world.entryRequests.delete(row.statement.id);
  sendAbandon(world, row.owner, session, {
    subject: row.statement.id,
    transaction: row.transaction,
  });
}

function answerInBrokenTransaction(
  world: World,
  session: SessionRow,
  statement: CallerStatement,
): void {
  const { op } = statement;
  if (op === 'rollback' || op === 'begin' || op === 'commit') session.transaction = undefined;
  if (op === 'begin') {
    startRequest(world, session, statement);
    return;
  }
  const detail = 'an earlier statement of the transaction failed; roll back and begin again';
  const answer: Answer =
    op === 'rollback'
      ? PLAIN_OK
      : { kind: 'failure', failure: createFailure('transaction_lost', detail) };
  answerAtOnce(world, session, statement, answer);
}

function answerAtOnce(
  world: World,
  session: SessionRow,
  statement: CallerStatement,
  answer: Answer,
): void {
  queueCommand(world, {
    type: 'answer_caller',
    session: session.id,
    request: statement.id,
    answer,
  });
}

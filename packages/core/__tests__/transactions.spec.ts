import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { GROUP, OK, SELF, createHarness, createStatement, failureOf, written } from './harness';
import type { Harness } from './harness';

const LOST = { kind: 'lost', sent: true, message: 'cut' } as const;

/** Opens a transaction at the owner and returns its connection. */
function begin(h: Harness, name: string, entry = SELF): number {
  h.request({ id: `${name}/begin`, op: 'begin', transaction: name, entry });
  h.execute(`${name}/begin`, OK);
  return h.sent('execute').at(-1)?.connection ?? 0;
}

function requestInTransaction(
  h: Harness,
  name: string,
  op: 'statement' | 'commit' | 'rollback',
  id: string,
): void {
  h.request({ id, op, transaction: name });
}

function kindOf(h: Harness, request: string): string | undefined {
  const answer = h.answersOf(request)[0];
  return failureOf(answer)?.kind ?? answer?.kind;
}

function isClosed(h: Harness, connection: number): boolean {
  return h.sent('close_connection').some((one) => one.connection === connection);
}

/** Posts a caller's statement to a core that is both entry and owner, and delivers the messages. */
function postStatement(
  h: Harness,
  id: string,
  op: 'begin' | 'write' | 'commit' | 'rollback',
): void {
  h.core.post({ type: 'caller_statement', statement: createStatement({ id, session: 's', op }) });
  deliverMessages(h);
}

/** Delivers peer messages from the daemon to itself until none is left. */
function deliverMessages(h: Harness): void {
  for (;;) {
    h.settle();
    const index = h.commands.findIndex(
      (one) => one.type === 'send_peer' || (one.type === 'answer_peer' && one.entry === SELF),
    );
    const [command] = index < 0 ? [] : h.commands.splice(index, 1);
    if (command?.type === 'send_peer') h.core.post({ type: 'request', request: command.request });
    else if (command?.type === 'answer_peer')
      h.core.post({ type: 'peer_answer', request: command.request, answer: command.answer });
    else return;
  }
}

function callerKind(h: Harness, request: string): string | undefined {
  const found = h.sent('answer_caller').find((one) => one.request === request);
  return failureOf(found?.answer)?.kind ?? found?.answer.kind;
}

function openCaller(h: Harness): void {
  h.core.post({ type: 'session_opened', session: 's', customer: 'baharat', group: GROUP });
}

test('a transaction has a connection of its own until it ends; the connection is reset before reuse', () => {
  const h = createHarness();
  const own = begin(h, 't');
  h.request({ id: 'other' });
  assert.is.not(h.sent('execute').at(-1)?.connection, own);
  requestInTransaction(h, 't', 'statement', 's1');
  assert.is(h.sent('execute').at(-1)?.connection, own);
  h.execute('s1', OK);
  requestInTransaction(h, 't', 'commit', 'c');
  h.core.post({ type: 'executed', connection: own, request: 'c', execution: written(0) });
  const resets = h.core.tick().commands.filter((one) => one.type === 'reset_connection');
  assert.is(resets[0]?.connection, own);
  assert.is(h.core.world.connections.get(own)?.state, 'resetting');
  h.core.post({ type: 'connection_reset', connection: own });
  h.settle();
  assert.is(h.core.world.connections.get(own)?.state, 'idle');
});

test('the connection of a statement that timed out is closed, and a late answer is ignored', () => {
  const h = createHarness();
  const own = begin(h, 't');
  h.request({ id: 's1', op: 'statement', transaction: 't', deadlineMs: 100 });
  h.run(150);
  assert.is(kindOf(h, 's1'), 'transaction_lost');
  assert.ok(isClosed(h, own));
  h.core.post({ type: 'executed', connection: own, request: 's1', execution: OK });
  h.run(5);
  assert.is(h.answersOf('s1').length, 1);
  requestInTransaction(h, 't', 'commit', 'c');
  assert.is(kindOf(h, 'c'), 'transaction_lost');
  assert.not.ok(h.sent('execute').some((one) => one.request === 'c'));
});

test('a statement that got no slot before its deadline ends its transaction', () => {
  const h = createHarness({}, {}, { slots: 1 });
  const own = begin(h, 't');
  h.request({ id: 'w' });
  h.request({ id: 's1', op: 'statement', transaction: 't', deadlineMs: 50 });
  h.run(100);
  assert.is(kindOf(h, 's1'), 'transaction_lost');
  assert.ok(isClosed(h, own));
});

test('after a lost connection a transaction has not run, unless its COMMIT was sent: then it is unknown', () => {
  const h = createHarness();
  begin(h, 'a');
  requestInTransaction(h, 'a', 'statement', 'a1');
  h.execute('a1', LOST);
  assert.is(kindOf(h, 'a1'), 'transaction_lost');
  begin(h, 'b');
  requestInTransaction(h, 'b', 'commit', 'bc');
  h.execute('bc', LOST);
  assert.is(kindOf(h, 'bc'), 'outcome_unknown');
  assert.is(h.core.world.transactions.size, 0);
});

test('a COMMIT without an answer at its deadline is unknown, and its connection is closed', () => {
  const h = createHarness();
  const own = begin(h, 't');
  h.request({ id: 'c', op: 'commit', transaction: 't', deadlineMs: 100 });
  h.run(150);
  assert.is(kindOf(h, 'c'), 'outcome_unknown');
  assert.ok(isClosed(h, own));
});

test('only the transactions of a lost entry are rolled back', () => {
  const h = createHarness();
  const gone = begin(h, 'a', 'entry-2');
  const kept = begin(h, 'b', 'entry-3');
  h.core.post({ type: 'entry_lost', entry: 'entry-2' });
  h.settle();
  assert.ok(isClosed(h, gone));
  assert.not.ok(isClosed(h, kept));
  assert.equal([...h.core.world.transactions.keys()], ['b']);
});

test('an idle transaction is rolled back after the idle timeout, one in use is not', () => {
  const h = createHarness({ transactionIdleMs: 300 });
  const idle = begin(h, 'a');
  const used = begin(h, 'b');
  for (let index = 0; index < 4; index += 1) {
    h.run(100);
    requestInTransaction(h, 'b', 'statement', `b${index}`);
    h.execute(`b${index}`, OK);
  }
  assert.ok(isClosed(h, idle));
  assert.not.ok(isClosed(h, used));
});

test('a deadlock reported by the target ends the transaction, so that no later statement runs outside it', () => {
  const h = createHarness();
  const own = begin(h, 't');
  requestInTransaction(h, 't', 'statement', 's1');
  h.execute('s1', { kind: 'sql_error', code: 1213, sqlState: '40001', message: 'deadlock' });
  requestInTransaction(h, 't', 'statement', 's2');
  assert.is(kindOf(h, 's1'), 'target_error');
  assert.is(kindOf(h, 's2'), 'transaction_lost');
  assert.is(h.core.world.connections.get(own)?.transaction, undefined);
});

test('a caller that disconnects within a transaction leaves nothing open', () => {
  const h = createHarness();
  openCaller(h);
  postStatement(h, 'b', 'begin');
  h.execute('b', OK);
  deliverMessages(h);
  postStatement(h, 'w', 'write');
  const own = h.sent('execute').at(-1)?.connection ?? 0;
  h.core.post({ type: 'session_closed', session: 's' });
  deliverMessages(h);
  assert.ok(isClosed(h, own));
  assert.is(h.core.world.transactions.size, 0);
  assert.is(h.core.world.entryRequests.size, 0);
});

test('a caller that disconnects while its BEGIN runs leaves nothing open', () => {
  const h = createHarness();
  openCaller(h);
  postStatement(h, 'b', 'begin');
  h.core.post({ type: 'session_closed', session: 's' });
  deliverMessages(h);
  h.execute('b', OK);
  deliverMessages(h);
  assert.is(h.core.world.transactions.size, 0);
  h.request({ id: 'next' });
  assert.is(h.core.world.requests.size, 1);
});

test('a caller that disconnects while its COMMIT runs does not stop the COMMIT', () => {
  const h = createHarness();
  openCaller(h);
  postStatement(h, 'b', 'begin');
  h.execute('b', OK);
  deliverMessages(h);
  postStatement(h, 'c', 'commit');
  const own = h.sent('execute').at(-1)?.connection ?? 0;
  h.core.post({ type: 'session_closed', session: 's' });
  deliverMessages(h);
  assert.not.ok(isClosed(h, own));
});

test('a queued write of a disconnected caller is dropped, a sent one keeps its outcome', () => {
  const h = createHarness({}, {}, { slots: 1 });
  openCaller(h);
  h.core.post({ type: 'session_opened', session: 'q', customer: 'baharat', group: GROUP });
  postStatement(h, 'sent', 'write');
  const queued = createStatement({ id: 'queued', session: 'q' });
  h.core.post({ type: 'caller_statement', statement: queued });
  deliverMessages(h);
  for (const session of ['s', 'q']) h.core.post({ type: 'session_closed', session });
  deliverMessages(h);
  h.execute('sent', written(0));
  deliverMessages(h);
  assert.is(h.sent('execute').length, 1);
  assert.is(h.core.world.outcomes.find('sent')?.answer.kind, 'ok');
});

test('a lost owner breaks the transaction: statements are refused until the caller ends it', () => {
  const h = createHarness();
  openCaller(h);
  postStatement(h, 'b', 'begin');
  h.execute('b', OK);
  deliverMessages(h);
  const statement = createStatement({ id: 'w', session: 's' });
  h.core.post({ type: 'caller_statement', statement });
  h.settle();
  h.core.post({ type: 'peer_lost', request: 'w', to: SELF, sent: true });
  deliverMessages(h);
  assert.is(callerKind(h, 'w'), 'transaction_lost');
  postStatement(h, 'w2', 'write');
  assert.is(callerKind(h, 'w2'), 'transaction_lost');
  postStatement(h, 'c', 'commit');
  assert.is(callerKind(h, 'c'), 'transaction_lost');
  postStatement(h, 'w3', 'write');
  assert.is(h.sent('execute').at(-1)?.request, 'w3');
});

test('a COMMIT on a new session commits nothing of the previous session, which is rolled back', () => {
  const h = createHarness();
  openCaller(h);
  postStatement(h, 'b', 'begin');
  h.execute('b', OK);
  deliverMessages(h);
  const connection = h.sent('execute').at(-1)?.connection ?? 0;
  h.core.post({ type: 'session_closed', session: 's' });
  deliverMessages(h);
  openCaller(h);
  const sent = h.sent('execute').length;
  postStatement(h, 'c', 'commit');
  // As at any MySQL server, a COMMIT without a transaction is acknowledged and does nothing.
  assert.is(callerKind(h, 'c'), 'ok');
  assert.is(h.sent('execute').length, sent);
  assert.ok(isClosed(h, connection) || h.sent('reset_connection').length > 0);
});

test('a BEGIN inside a transaction is refused, and the transaction continues', () => {
  const h = createHarness();
  openCaller(h);
  postStatement(h, 'b', 'begin');
  h.execute('b', OK);
  deliverMessages(h);
  postStatement(h, 'b2', 'begin');
  assert.is(callerKind(h, 'b2'), 'unsupported');
  postStatement(h, 'w', 'write');
  assert.is(h.sent('execute').at(-1)?.connection, h.sent('execute')[0]?.connection);
});

test('a retried BEGIN does not leave the transaction of the first try open', () => {
  const h = createHarness();
  const first = begin(h, 't');
  const second = begin(h, 't');
  assert.ok(isClosed(h, first));
  assert.not.ok(isClosed(h, second));
});

test('once all slots have stalled, one COMMIT whose locks they may wait for exceeds the slots', () => {
  const h = createHarness();
  begin(h, 't');
  begin(h, 'u');
  for (let index = 0; index < 5; index += 1) h.request({ id: `w${index}` });
  for (const name of ['t', 'u']) requestInTransaction(h, name, 'commit', `${name}/c`);
  const isSent = (id: string): boolean => h.sent('execute').some((one) => one.request === id);
  h.run(40);
  assert.not.ok(isSent('t/c'));
  h.run(60);
  assert.ok(isSent('t/c'));
  assert.not.ok(isSent('u/c'));
  assert.is(h.core.world.targets.get('t1')?.inFlight, 4);
});

test('while statements end as usual, the slots are never exceeded', () => {
  const h = createHarness();
  begin(h, 't');
  for (let index = 0; index < 40; index += 1) h.request({ id: `w${index}` });
  let most = 0;
  for (let round = 0; round < 10; round += 1) {
    h.request({ id: `s${round}`, op: 'statement', transaction: 't' });
    h.run(20);
    most = Math.max(most, h.core.world.targets.get('t1')?.inFlight ?? 0);
    for (const one of [...h.core.world.connections.values()])
      if (one.request !== undefined) h.execute(one.request, written(0));
  }
  assert.is(most, 3);
});

test('after a stall, new writes leave a slot to open transactions', () => {
  const h = createHarness();
  begin(h, 't');
  for (let index = 0; index < 8; index += 1) h.request({ id: `w${index}` });
  requestInTransaction(h, 't', 'statement', 's1');
  h.run(100);
  h.execute('s1', OK);
  for (const id of ['w0', 'w1', 'w2']) h.execute(id, written(0));
  assert.is(h.core.world.targets.get('t1')?.inFlight, 2);
  requestInTransaction(h, 't', 'commit', 'c');
  assert.is(h.sent('execute').at(-1)?.request, 'c');
});

test('a leaving target finishes its open transactions and takes no new work after its grace period', () => {
  const h = createHarness({ leavingGraceMs: 0 });
  const own = begin(h, 't');
  h.core.post({ type: 'list', instances: [], targets: [{ id: 't1', leaving: true }] });
  h.settle();
  requestInTransaction(h, 't', 'statement', 's1');
  assert.is(h.sent('execute').at(-1)?.connection, own);
  h.execute('s1', OK);
  h.request({ id: 'w' });
  assert.is.not(h.sent('execute').at(-1)?.request, 'w');
  requestInTransaction(h, 't', 'commit', 'c');
  h.execute('c', written(0));
  h.run(5);
  assert.is(kindOf(h, 'c'), 'ok');
  assert.ok(isClosed(h, own));
});

test.run();

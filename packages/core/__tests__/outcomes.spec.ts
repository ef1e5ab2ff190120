import { ERROR_ANSWERS } from '@rosedeck/shared';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { OUTCOME_RULES, findOutcomeRule, mayRetry, consistentErrorKind } from '../src/index';
import { GROUP, OK, SELF, createHarness, createStatement, failureOf, written } from './harness';
import type { Harness } from './harness';

const LOST = { kind: 'lost', sent: true, message: 'cut' } as const;
const UNSENT = { kind: 'lost', sent: false, message: 'cut' } as const;

function openCaller(h: Harness, session: string): void {
  h.core.post({ type: 'session_opened', session, customer: 'baharat', group: GROUP });
}

function callerAnswers(h: Harness, session: string): (string | undefined)[] {
  return h
    .sent('answer_caller')
    .filter((one) => one.session === session)
    .map((one) => failureOf(one.answer)?.kind ?? one.answer.kind);
}

/** Creates the harness of a draining daemon, so that the other daemon `entry-2` owns the group. */
function createEntry(): Harness {
  const h = createHarness();
  const instance = { failureDomain: 'a', host: '127.0.0.1', peerPort: 1, leaving: false };
  h.core.post({ type: 'drain' });
  h.core.post({ type: 'list', instances: [{ ...instance, id: 'entry-2' }], targets: [] });
  h.settle();
  return h;
}

test('each rule has the run state of its error kind', () => {
  for (const deliveries of Object.values(OUTCOME_RULES)) {
    for (const rules of Object.values(deliveries)) {
      for (const rule of Object.values(rules))
        assert.is(ERROR_ANSWERS[rule.kind].runState, rule.runState);
    }
  }
});

test('no rule treats a sent write, read or COMMIT as not run, or retries a sent write that is not idempotent', () => {
  for (const place of ['entry_hop', 'owner_queue', 'target', 'confirmation'] as const) {
    for (const op of ['read', 'write', 'commit'] as const)
      assert.is.not(findOutcomeRule(place, true, op).runState, 'not_run');
    for (const op of ['write', 'commit'] as const)
      assert.not.ok(mayRetry(findOutcomeRule(place, true, op), false));
  }
});

test('an error kind that means not run is replaced once a try may have run', () => {
  assert.is(consistentErrorKind('overloaded', 'write', true), 'outcome_unknown');
  assert.is(consistentErrorKind('overloaded', 'write', false), 'overloaded');
  assert.is(consistentErrorKind('target_error', 'write', true), 'target_error');
});

test('a non-idempotent write is sent once, and is unknown after a lost connection', () => {
  const h = createHarness();
  h.request({ id: 'w' });
  h.execute('w', LOST);
  h.run(100);
  assert.is(h.sent('execute').length, 1);
  assert.is(failureOf(h.answersOf('w')[0])?.kind, 'outcome_unknown');
});

test('an idempotent write is retried after a lost connection, up to maxTries', () => {
  const h = createHarness({ maxTries: 3 });
  h.request({ id: 'w', idempotent: true });
  for (let tries = 0; tries < 3; tries += 1) {
    h.execute('w', LOST);
    h.run(10);
  }
  assert.is(h.sent('execute').length, 3);
  assert.is(failureOf(h.answersOf('w')[0])?.kind, 'outcome_unknown');
});

test('the tries of the entry count against maxTries at the owner', () => {
  const h = createHarness({ maxTries: 3 });
  h.request({ id: 'w', idempotent: true, tries: 2 });
  h.execute('w', LOST);
  h.run(10);
  assert.is(h.sent('execute').length, 1);
});

test('the retry budget of a group limits retries to a share of its requests', () => {
  const count = (retryBudgetShare: number, retryBurst: number): number => {
    const h = createHarness({ retryBudgetShare, retryBurst, circuitFailures: 1_000 });
    for (let index = 0; index < 100; index += 1) {
      h.request({ id: `w${index}`, idempotent: true });
      while (h.answersOf(`w${index}`).length === 0) h.execute(`w${index}`, LOST);
    }
    return h.sent('execute').length - 100;
  };
  assert.is(count(1_000, 1_000), 200);
  assert.ok(count(0.2, 5) <= 25);
});

test('a write that was never sent is retried although it is not idempotent', () => {
  const h = createHarness();
  h.request({ id: 'w' });
  h.execute('w', UNSENT);
  h.run(10);
  h.execute('w', written(0));
  h.run(10);
  assert.is(h.sent('execute').length, 2);
  assert.is(h.answersOf('w')[0]?.kind, 'ok');
});

test('a retried write that is queued at its deadline is unknown, because its first try was sent', () => {
  const h = createHarness();
  h.request({ id: 'w', idempotent: true, deadlineMs: 300 });
  h.dead.add('t1');
  h.execute('w', LOST);
  h.run(400);
  assert.is(failureOf(h.answersOf('w')[0])?.kind, 'outcome_unknown');
});

test('a read without an answer at its deadline is unknown, and its connection is closed', () => {
  const h = createHarness();
  h.request({ id: 'r', op: 'read', deadlineMs: 200, minPosition: { term: 1, index: 0 } });
  const used = h.sent('execute')[0]?.connection;
  h.run(250);
  assert.is(failureOf(h.answersOf('r')[0])?.kind, 'outcome_unknown');
  assert.ok(h.sent('close_connection').some((one) => one.connection === used));
  h.core.post({ type: 'executed', connection: used ?? 0, request: 'r', execution: OK });
  h.run(10);
  assert.is(h.answersOf('r').length, 1);
});

test('a request id that is running or has run does not run again, whichever entry sends it', () => {
  const h = createHarness();
  h.request({ id: 'w' });
  h.request({ id: 'w', entry: 'entry-2' });
  h.execute('w', written(0));
  h.run(10);
  h.request({ id: 'w', entry: 'entry-3' });
  assert.is(h.sent('execute').length, 1);
  const entries = h.sent('answer_peer').map((one) => `${one.entry} ${one.answer.kind}`);
  assert.equal(entries, [`${SELF} ok`, 'entry-2 ok', 'entry-3 ok']);
});

test('a request id that belongs to another statement is refused', () => {
  const h = createHarness();
  h.request({ id: 'w' });
  h.request({ id: 'w', entry: 'entry-2', sql: 'DELETE' });
  assert.is(failureOf(h.answersOf('w')[0])?.kind, 'bad_mark');
});

test('a request that was refused without having run can be sent again under its id', () => {
  const h = createHarness();
  h.dead.add('t1');
  h.request({ id: 'w', deadlineMs: 100 });
  h.run(150);
  assert.is(failureOf(h.answersOf('w')[0])?.kind, 'group_unavailable');
  h.dead.clear();
  h.run(1_000);
  h.request({ id: 'w' });
  assert.is(h.sent('execute').length, 1);
});

test('after losing the connection to the owner, the entry queries the same owner for the outcome', () => {
  const h = createEntry();
  openCaller(h, 's');
  h.core.post({ type: 'caller_statement', statement: createStatement({ id: 'w', session: 's' }) });
  h.settle();
  h.core.post({ type: 'peer_lost', request: 'w', to: 'entry-2', sent: true });
  h.settle();
  const [first, query] = h.sent('send_peer');
  assert.is(first?.request.op, 'write');
  assert.is(query?.request.op, 'outcome');
  assert.is(query?.request.subject, 'w');
  const answer = { kind: 'ok', affectedRows: 1, insertId: 0 } as const;
  h.core.post({ type: 'peer_answer', request: query?.request.id ?? '', answer });
  h.settle();
  assert.equal(callerAnswers(h, 's'), ['ok']);
});

test('the outcome stays unknown after several failed outcome queries', () => {
  const h = createEntry();
  openCaller(h, 's');
  h.core.post({ type: 'caller_statement', statement: createStatement({ id: 'w', session: 's' }) });
  h.settle();
  for (let step = 0; step < 400; step += 1) {
    const last = h.sent('send_peer').at(-1)?.request.id ?? '';
    h.core.post({ type: 'peer_lost', request: last, to: 'entry-2', sent: step === 0 });
    h.run(1);
  }
  assert.equal(callerAnswers(h, 's'), ['outcome_unknown']);
  assert.is(h.sent('send_peer').filter((one) => one.request.op === 'write').length, 1);
});

test('an owner answers outcome queries for running and finished requests', () => {
  const h = createHarness();
  h.request({ id: 'w' });
  h.request({ id: 'w/outcome/1', op: 'outcome', subject: 'w', forwards: 2 });
  assert.is(h.answersOf('w/outcome/1').length, 0);
  h.execute('w', written(0));
  h.run(10);
  h.request({ id: 'w/outcome/2', op: 'outcome', subject: 'w', forwards: 2 });
  h.request({ id: 'x/outcome/1', op: 'outcome', subject: 'x', forwards: 2 });
  assert.is(h.answersOf('w/outcome/1')[0]?.kind, 'ok');
  assert.is(h.answersOf('w/outcome/2')[0]?.kind, 'ok');
  assert.is(failureOf(h.answersOf('x/outcome/1')[0])?.kind, 'outcome_unknown');
});

test('a not-run answer of another owner becomes unknown once the first owner may have run the request', () => {
  const h = createEntry();
  openCaller(h, 's');
  const statement = createStatement({ id: 'w', session: 's', idempotent: true });
  h.core.post({ type: 'caller_statement', statement });
  h.settle();
  h.core.post({ type: 'peer_lost', request: 'w', to: 'entry-2', sent: true });
  h.settle();
  const failure = { kind: 'overloaded', detail: '' } as const;
  h.core.post({ type: 'peer_answer', request: 'w', answer: { kind: 'failure', failure } });
  h.settle();
  assert.equal(callerAnswers(h, 's'), ['outcome_unknown']);
});

test.run();

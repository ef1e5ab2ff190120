import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { GROUP, OK, SELF, createHarness, failureOf, reportAt, written } from './harness';
import { ORIGIN } from '@rosedeck/shared';
import type { Harness } from './harness';

/** A read with a minimum position, which waits for no position sample. */
const READ_WITH_POSITION = { op: 'read', minPosition: { term: 1, index: 0 } } as const;

/** Ids of the requests sent to targets, in order of sending. */
function executionOrder(h: Harness): string[] {
  return h.sent('execute').map((one) => one.request);
}

function kindOf(h: Harness, request: string): string | undefined {
  const answer = h.answersOf(request)[0];
  return failureOf(answer)?.kind ?? answer?.kind;
}

/** Advances the clock by `ms` and ends all running requests, `rounds` times. */
function serve(h: Harness, ms: number, rounds: number): void {
  for (let round = 0; round < rounds; round += 1) {
    h.run(ms);
    for (const connection of h.core.world.connections.values()) {
      if (connection.request !== undefined) h.execute(connection.request, written(0));
    }
  }
}

/** Runs a few writes of `ms`, so that the owner has an estimate of their duration. */
function warmUpEstimates(h: Harness, ms: number): void {
  for (let count = 0; count < 3; count += 1) {
    h.request({ id: `learn-${count}` });
    serve(h, ms, 1);
  }
  h.run(5);
}

test('a target runs no more statements at a time than its slots', () => {
  const h = createHarness();
  for (let index = 0; index < 10; index += 1) h.request({ id: `w${index}` });
  h.run(20);
  assert.is(h.sent('execute').length, 3);
  serve(h, 1, 1);
  assert.is(h.sent('execute').length, 6);
});

test('classes are served in strict order', () => {
  const h = createHarness();
  for (let index = 0; index < 3; index += 1) h.request({ id: `busy${index}`, cls: 'check' });
  h.request({ id: 'low', cls: 'check' });
  h.request({ id: 'middle', cls: 'recipe' });
  h.request({ id: 'high', cls: 'order' });
  h.execute('busy0', written(0));
  h.execute('busy1', written(0));
  h.execute('busy2', written(0));
  assert.equal(executionOrder(h).slice(3), ['high', 'middle', 'low']);
});

test('ageing gives a starved class one dispatch in `agedEvery`, and no more', () => {
  const serveLow = (agedEvery: number): number => {
    const h = createHarness({ agedEvery, ageingMs: 50, queueLimit: 5_000 });
    for (let index = 0; index < 100; index += 1) h.request({ id: `low${index}`, cls: 'check' });
    for (let round = 0; round < 40; round += 1) {
      for (let index = 0; index < 4; index += 1) h.request({ id: `high${round}-${index}` });
      serve(h, 5, 1);
    }
    return executionOrder(h).filter((id) => id.startsWith('low')).length;
  };
  assert.is(serveLow(1_000_000), 3);
  const served = serveLow(8);
  assert.ok(served >= 10 && served <= 20, `${served} of a lower class`);
});

test('customers of one class take turns, however many requests one of them queues', () => {
  const h = createHarness();
  for (let index = 0; index < 30; index += 1) h.request({ id: `a${index}`, customer: 'a' });
  h.request({ id: 'b0', customer: 'b' });
  h.request({ id: 'b1', customer: 'b' });
  serve(h, 1, 3);
  const first = executionOrder(h).slice(3, 8);
  assert.ok(first.includes('b0') && first.includes('b1'), first.join(' '));
});

test('a request that cannot be served before its deadline is refused at once, with a jittered retry-after', () => {
  const run = (canServeInTime?: () => boolean): Harness => {
    const h = createHarness({}, canServeInTime ? { canServeInTime } : {});
    warmUpEstimates(h, 30);
    for (let index = 0; index < 60; index += 1) h.request({ id: `w${index}`, deadlineMs: 300 });
    return h;
  };
  const unlimited = run(() => true);
  assert.is(unlimited.sent('answer_peer').filter((one) => one.answer.kind === 'failure').length, 0);
  const h = run();
  const refused = h.sent('answer_peer').filter((one) => one.answer.kind === 'failure');
  assert.ok(refused.length >= 20, `${refused.length} refused`);
  const times = refused.map((one) => failureOf(one.answer)?.retryAfterMs ?? 0);
  assert.is(failureOf(refused[0]?.answer)?.kind, 'overloaded');
  assert.ok(Math.max(...times) > 1.3 * Math.min(...times));
});

test('a first-class request is accepted although lower classes fill the queue', () => {
  const h = createHarness({ queueLimit: 20 });
  for (let index = 0; index < 40; index += 1) h.request({ id: `low${index}`, cls: 'check' });
  assert.is(kindOf(h, 'low39'), 'overloaded');
  assert.ok((failureOf(h.answersOf('low39')[0])?.retryAfterMs ?? 0) >= 100);
  for (let index = 0; index < 15; index += 1) h.request({ id: `high${index}` });
  for (let index = 0; index < 15; index += 1) assert.is(kindOf(h, `high${index}`), undefined);
  const shed = h.sent('answer_peer').filter((one) => failureOf(one.answer)?.kind === 'overloaded');
  assert.is(shed.filter((one) => one.request.startsWith('low')).length, shed.length);
});

test('a customer that fills the queue does not shut out others of its class', () => {
  const h = createHarness({ queueLimit: 20 });
  for (let index = 0; index < 40; index += 1) h.request({ id: `a${index}`, customer: 'a' });
  for (let index = 0; index < 15; index += 1) h.request({ id: `b${index}`, customer: 'b' });
  const refused = h.sent('answer_peer').map((one) => one.request);
  assert.is(refused.filter((id) => id.startsWith('a')).length, 17 + 10);
  assert.is(refused.filter((id) => id.startsWith('b')).length, 5);
});

test('reads that wait for a position sample are evicted for the first class too', () => {
  const h = createHarness({ queueLimit: 10, expectedGapMs: 2_000 });
  for (const id of ['t1', 't2', 't3']) h.reports.set(id, reportAt(2, 'replica'));
  h.run(50);
  for (let index = 0; index < 12; index += 1)
    h.request({ id: `low${index}`, cls: 'check', op: 'read', deadlineMs: 5_000 });
  h.request({ id: 'high', deadlineMs: 5_000 });
  assert.is(kindOf(h, 'high'), undefined);
  assert.is(kindOf(h, 'low9'), 'overloaded');
});

test('a queued request that higher classes delay past its deadline is shed well before the deadline', () => {
  const h = createHarness();
  warmUpEstimates(h, 30);
  for (let index = 0; index < 3; index += 1) h.request({ id: `busy${index}` });
  h.request({ id: 'low', cls: 'check', deadlineMs: 500 });
  for (let index = 0; index < 55; index += 1) h.request({ id: `high${index}` });
  h.run(60);
  assert.is(kindOf(h, 'low'), 'overloaded');
});

test('idle transactions occupy connections but no slots', () => {
  const h = createHarness();
  for (let index = 0; index < 4; index += 1) {
    const name = { id: `b${index}`, transaction: `t${index}` };
    h.request({ ...name, op: 'begin', minPosition: ORIGIN });
    h.execute(`b${index}`, OK);
  }
  for (let index = 0; index < 4; index += 1) h.request({ id: `w${index}` });
  assert.equal(executionOrder(h).slice(4), ['w0', 'w1', 'w2']);
});

test('open transactions of lower classes leave one connection to the first class', () => {
  const h = createHarness({}, {}, { connectionLimit: 6 });
  for (let index = 0; index < 6; index += 1) {
    h.request({ id: `b${index}`, op: 'begin', transaction: `t${index}`, cls: 'check' });
    h.execute(`b${index}`, OK);
  }
  assert.is(h.sent('execute').length, 3);
  h.request({ id: 'high' });
  assert.is(h.sent('execute').length, 4);
});

test('a refused connection shrinks the share, which grows back slowly', () => {
  const h = createHarness({ shareRecoveryMs: 100 });
  const target = h.core.world.targets.get('t1');
  h.request({ id: 'w0' });
  assert.is(target?.connectionShare, 10);
  h.full.add('t1');
  for (let index = 1; index < 3; index += 1) h.request({ id: `w${index}` });
  assert.is(target?.connectionShare, 1);
  const opened = h.sent('open_connection').length;
  h.run(40);
  assert.is(h.sent('open_connection').length, opened);
  h.full.clear();
  h.run(400);
  assert.is(h.sent('execute').length, 3);
  const share = target?.connectionShare ?? 0;
  assert.ok(share > 1 && share <= 5, `share ${share}`);
});

test('an unreachable target is tried with growing, jittered pauses', () => {
  const h = createHarness({ circuitFailures: 3, circuitOpenMs: 250 });
  h.dead.add('t1');
  h.request({ id: 'w' });
  h.run(2_000);
  const tries = h.sent('open_connection').filter((one) => one.target === 't1').length;
  assert.ok(tries >= 4 && tries <= 9, `${tries} tries`);
});

test('after timeouts open the circuit, a target gets one request at a time until one succeeds', () => {
  const h = createHarness({ circuitFailures: 3, circuitOpenMs: 100, circuitTimeoutMs: 200 });
  for (let index = 0; index < 3; index += 1) h.request({ id: `w${index}`, deadlineMs: 250 });
  h.run(260);
  const before = h.sent('execute').length;
  for (let index = 3; index < 6; index += 1) h.request({ id: `w${index}` });
  assert.is(h.sent('execute').length, before);
  h.run(200);
  assert.is(h.sent('execute').length, before + 1);
  h.execute('w3', written(0));
  assert.is(h.sent('execute').length, before + 3);
});

test('connections of an idle group are closed after the idle timeout', () => {
  const h = createHarness({ connectionIdleMs: 500 });
  h.request({ id: 'w' });
  h.execute('w', written(0));
  assert.is(h.core.world.connections.size, 1);
  h.run(600);
  assert.is(h.core.world.connections.size, 0);
  assert.is(h.sent('close_connection').length, 1);
});

test('writes wait for the next primary if the gap is expected to end before their deadline', () => {
  const h = createHarness({ expectedGapMs: 300 });
  h.reports.set('t1', reportAt(2, 'replica'));
  h.reports.set('t2', reportAt(2, 'replica'));
  h.run(50);
  h.request({ id: 'long', deadlineMs: 2_000 });
  h.request({ id: 'short', deadlineMs: 100 });
  assert.is(kindOf(h, 'short'), 'group_unavailable');
  h.run(100);
  assert.is(kindOf(h, 'long'), undefined);
  h.reports.set('t2', reportAt(2, 'primary'));
  h.run(50);
  assert.ok(executionOrder(h).includes('long'));
});

test('after twice the expected gap, waiting and arriving requests are refused at once', () => {
  const run = (mayHold?: () => boolean): Harness => {
    const h = createHarness({ expectedGapMs: 300 }, mayHold ? { mayHold } : {});
    for (const id of ['t1', 't2', 't3']) h.reports.set(id, reportAt(2, 'replica'));
    h.run(50);
    for (let index = 0; index < 5; index += 1) h.request({ id: `w${index}`, deadlineMs: 5_000 });
    h.run(700);
    return h;
  };
  const unlimited = run(() => true);
  assert.is(unlimited.sent('answer_peer').length, 0);
  const h = run();
  for (let index = 0; index < 5; index += 1) assert.is(kindOf(h, `w${index}`), 'group_unavailable');
  h.request({ id: 'late', deadlineMs: 5_000 });
  assert.is(kindOf(h, 'late'), 'group_unavailable');
  const times = h.sent('answer_peer').map((one) => failureOf(one.answer)?.retryAfterMs);
  assert.is(new Set(times).size, 6);
});

test('the expected gap follows the measured gaps', () => {
  const h = createHarness({ expectedGapMs: 600 });
  const { primaryGap } = h.core.world.groups.get(GROUP) ?? { primaryGap: { expectedMs: 0 } };
  for (const id of ['t1', 't2', 't3']) h.reports.set(id, reportAt(2, 'replica'));
  h.run(1_200);
  h.reports.set('t2', reportAt(2, 'primary'));
  h.run(700);
  assert.ok(primaryGap.expectedMs > 1_000, `${primaryGap.expectedMs} ms`);
});

test('several owners share slots and connections, and together stay within both', () => {
  const executionCounts = [1, 2, 3].map((owners) => {
    const h = createHarness({ ownersPerGroup: owners });
    const instances = ['entry-1', 'entry-2', 'entry-3'].map((id) => ({
      id,
      failureDomain: id,
      host: '127.0.0.1',
      peerPort: 1,
      leaving: false,
    }));
    h.core.post({ type: 'list', instances, targets: [] });
    h.settle();
    for (let index = 0; index < 8; index += 1) h.request({ id: `w${index}`, forwards: 2 });
    h.run(20);
    return h.sent('execute').length;
  });
  assert.is(executionCounts[0], 3);
  assert.ok(executionCounts[1] === 1 || executionCounts[1] === 2);
  assert.is(executionCounts[2], 1);
});

test('an entry that is an owner serves reads itself; the id of a write selects its owner at any entry', () => {
  const instances = ['entry-1', 'entry-2'].map((id) => ({
    id,
    failureDomain: id,
    host: '127.0.0.1',
    peerPort: 1,
    leaving: false,
  }));
  const h = createHarness({ ownersPerGroup: 8 });
  h.core.post({ type: 'list', instances, targets: [] });
  for (let index = 0; index < 12; index += 1) {
    for (const op of ['read', 'write'] as const) {
      const session = `${op}${index}`;
      h.core.post({ type: 'session_opened', session, customer: 'baharat', group: GROUP });
      const statement = {
        id: session,
        session,
        op,
        sql: 'x',
        cls: 'order',
        deadlineMs: 100,
        idempotent: false,
      };
      h.core.post({ type: 'caller_statement', statement });
    }
  }
  h.settle();
  const sends = h.sent('send_peer');
  assert.ok(sends.filter((one) => one.request.op === 'read').every((one) => one.to === SELF));
  const owners = new Set(sends.filter((one) => one.request.op === 'write').map((one) => one.to));
  assert.is(owners.size, 2);
});

test('without a primary, reads run on a replica that is fresh enough', () => {
  const h = createHarness();
  h.dead.add('t1');
  h.run(300);
  h.request({ id: 'r', ...READ_WITH_POSITION, minPosition: { term: 1, index: 0 } });
  h.run(40);
  assert.is(h.sent('execute').length, 1);
});

test.run();

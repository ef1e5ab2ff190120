import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { OK, createHarness, failureOf, reportAt, written } from './harness';
import type { Harness } from './harness';

const FREE_READ = { op: 'read', minPosition: { term: 1, index: 0 } } as const;

function kindOf(h: Harness, request: string): string | undefined {
  const answer = h.answersOf(request)[0];
  return failureOf(answer)?.kind ?? answer?.kind;
}

/** Makes `t2` the primary of term 2 while `t1` no longer answers. */
function replacePrimary(h: Harness): void {
  h.dead.add('t1');
  h.reports.set('t2', reportAt(2, 'primary'));
  h.reports.set('t3', reportAt(2, 'replica'));
  h.run(60);
}

test('work on a replaced primary is answered once the new primary is known, not at the deadline', () => {
  const h = createHarness();
  h.request({ id: 'b', op: 'begin', transaction: 't' });
  h.execute('b', OK);
  h.request({ id: 'w', deadlineMs: 10_000 });
  h.request({ id: 's', op: 'statement', transaction: 't', deadlineMs: 10_000 });
  h.request({ id: 'i', idempotent: true, deadlineMs: 10_000 });
  replacePrimary(h);
  assert.is(kindOf(h, 'w'), 'outcome_unknown');
  assert.is(kindOf(h, 's'), 'transaction_lost');
  h.execute('i', written(0, 2));
  h.run(60);
  assert.is(kindOf(h, 'i'), 'ok');
});

test('an idle transaction of a replaced primary is lost, and a late COMMIT is not sent', () => {
  const h = createHarness();
  h.request({ id: 'b', op: 'begin', transaction: 't' });
  h.execute('b', OK);
  replacePrimary(h);
  h.request({ id: 'c', op: 'commit', transaction: 't' });
  assert.is(kindOf(h, 'c'), 'transaction_lost');
});

test('reads at a silent replica are retried at another target', () => {
  const h = createHarness();
  for (let index = 0; index < 2; index += 1) h.request({ id: `r${index}`, ...FREE_READ });
  const silentTargets = new Set(h.sent('execute').map((one) => targetOf(h, one.connection)));
  for (const id of silentTargets) h.dead.add(id);
  h.run(300);
  const retried = h.sent('execute').slice(2);
  assert.is(retried.length, 2);
  for (const one of retried) assert.not.ok(silentTargets.has(targetOf(h, one.connection)));
});

test('without retry budget, reads at a silent replica keep waiting', () => {
  const h = createHarness({ retryBurst: 0, retryBudgetShare: 0 });
  h.request({ id: 'r', ...FREE_READ });
  const [first] = h.sent('execute');
  h.dead.add(targetOf(h, first?.connection ?? 0));
  h.run(300);
  assert.is(kindOf(h, 'r'), undefined);
  h.execute('r', OK);
  assert.is(kindOf(h, 'r'), 'ok');
});

function targetOf(h: Harness, connection: number): string {
  const opened = h.sent('open_connection').find((one) => one.connection === connection);
  return opened?.target ?? '';
}

test.run();

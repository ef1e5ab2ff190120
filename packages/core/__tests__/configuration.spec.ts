import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { applyPatch, confirmerCount, diffTrees } from '../src/index';
import { SETTLE_MS, createFleet, entryOf } from './configFleet';

const ALL = ['d1', 'd2', 'd3', 'd4', 'd5'];

test('a change in the store reaches every daemon within a second', () => {
  const fleet = createFleet(12);
  fleet.run(1_500);
  fleet.store.entries.set(1, entryOf(1));
  fleet.run(1_000);
  for (const id of ['d1', 'd6', 'd12']) {
    assert.is(fleet.revisionOf(id), 1);
    assert.is(fleet.isStale(id), false);
  }
});

test('old, repeated and missing entries never set a daemon back or make it skip a revision', () => {
  const fleet = createFleet(3);
  fleet.run(500);
  const core = fleet.coreOf('d1');
  for (const revision of [2, 1, 1, 3, 2, 5, 3]) {
    core.post({ type: 'config_entry', entry: entryOf(revision, `c${revision}`) });
  }
  core.post({ type: 'config_loaded', snapshot: { revision: 1, tree: { x: 'old' } } });
  fleet.run(50);
  assert.is(fleet.revisionOf('d1'), 3);
  assert.equal(core.world.config.tree, { x: 3 });
  assert.equal(fleet.applied.get('d1'), [1, 2, 3]);
});

test('a change held by a majority reaches the other daemons through peers during a store outage', () => {
  const fleet = createFleet(5);
  fleet.run(SETTLE_MS);
  fleet.store.down = true;
  for (const id of ALL.slice(0, 3)) {
    fleet.coreOf(id).post({ type: 'config_entry', entry: entryOf(1) });
  }
  fleet.run(3_000);
  for (const id of ALL) assert.is(fleet.revisionOf(id), 1);
  for (const id of ALL) assert.is(fleet.isStale(id), false);
});

test('daemons stay fresh during a long outage of the store alone, also in a larger fleet', () => {
  const fleet = createFleet(24);
  fleet.run(SETTLE_MS);
  fleet.store.down = true;
  for (let second = 0; second < 30; second += 1) {
    fleet.run(1_000);
    for (let index = 1; index <= 24; index += 1) assert.is(fleet.isStale(`d${index}`), false);
  }
});

test('a daemon isolated from the store and its peers refuses new work after 3 s', () => {
  const run = (configLimitMs: number): boolean => {
    const fleet = createFleet(5, { configLimitMs });
    fleet.run(2_000);
    const rest = ALL.slice(1);
    fleet.cutLinks(['d1'], ['store', ...rest]);
    fleet.store.entries.set(1, entryOf(1));
    fleet.run(3_000);
    assert.is(fleet.revisionOf('d1'), 0);
    assert.is(fleet.revisionOf('d2'), 1);
    fleet.cut.clear();
    const wasStale = fleet.isStale('d1');
    fleet.run(1_500);
    assert.is(fleet.revisionOf('d1'), 1);
    assert.is(fleet.isStale('d1'), false);
    return wasStale;
  };
  assert.is(run(Infinity), false, 'without a limit the daemon stays fresh');
  assert.is(run(3_000), true);
});

test('two daemons isolated together do not keep each other fresh', () => {
  const fleet = createFleet(5);
  fleet.run(2_000);
  fleet.cutLinks(['d1', 'd2'], ['store', 'd3', 'd4', 'd5']);
  fleet.run(3_000);
  assert.is(fleet.isStale('d1'), true);
  assert.is(fleet.isStale('d2'), true);
  for (const id of ['d3', 'd4', 'd5']) assert.is(fleet.isStale(id), false);
});

test('during a store outage the minority of a partition is stale and the majority is not', () => {
  const fleet = createFleet(5);
  fleet.run(SETTLE_MS);
  fleet.store.down = true;
  fleet.cutLinks(['d1', 'd2'], ['d3', 'd4', 'd5']);
  fleet.run(6_000);
  for (const id of ['d1', 'd2']) assert.is(fleet.isStale(id), true);
  for (const id of ['d3', 'd4', 'd5']) assert.is(fleet.isStale(id), false);
});

test('a change reaches a daemon that has links to only some of the daemons with the change', () => {
  const fleet = createFleet(5);
  fleet.run(SETTLE_MS);
  fleet.store.down = true;
  fleet.run(1_500);
  for (const id of ['d1', 'd2', 'd3']) {
    fleet.coreOf(id).post({ type: 'config_entry', entry: entryOf(1) });
  }
  fleet.cutLinks(['d4', 'd5'], ['d1', 'd2']);
  fleet.run(1_500);
  assert.is(fleet.revisionOf('d4'), 1, 'd4 has the change from d3');
});

test('a daemon that starts during an outage takes the highest revision of its peers', () => {
  const fleet = createFleet(5);
  for (let revision = 1; revision <= 70; revision += 1) {
    fleet.store.entries.set(revision, entryOf(revision));
  }
  fleet.run(SETTLE_MS);
  fleet.stop('d1');
  fleet.store.down = true;
  fleet.run(500);
  fleet.start('d1');
  assert.is(fleet.isStale('d1'), true);
  fleet.run(1_000);
  assert.is(fleet.revisionOf('d1'), 70);
  assert.is(fleet.isStale('d1'), false);
  assert.equal(fleet.applied.get('d1'), [70]);
});

test('daemons that lost a change by a restart do not outvote it', () => {
  const fleet = createFleet(5);
  fleet.run(SETTLE_MS);
  fleet.store.down = true;
  fleet.cutLinks(['d1', 'd2', 'd3'], ['d4', 'd5']);
  for (const id of ['d1', 'd2', 'd3']) {
    fleet.coreOf(id).post({ type: 'config_entry', entry: entryOf(1) });
  }
  fleet.run(500);
  for (const id of ['d1', 'd2', 'd3']) {
    fleet.stop(id);
    fleet.start(id);
  }
  fleet.cut.clear();
  fleet.run(5_000);
  for (const id of ALL) assert.is(fleet.isStale(id), true);
  fleet.store.entries.set(1, entryOf(1));
  fleet.store.down = false;
  fleet.run(2_000);
  for (const id of ALL) assert.is(fleet.revisionOf(id), 1);
  for (const id of ALL) assert.is(fleet.isStale(id), false);
});

test('a daemon that starts without store and peers stays stale', () => {
  const fleet = createFleet(3);
  fleet.stop('d1');
  fleet.store.down = true;
  fleet.cutLinks(['d1'], ['d2', 'd3']);
  fleet.start('d1');
  fleet.run(10_000);
  assert.is(fleet.isStale('d1'), true);
});

test('a push after a missed change makes the daemon poll for it', () => {
  const fleet = createFleet(3);
  fleet.run(SETTLE_MS);
  fleet.store.down = true;
  for (const revision of [1, 2]) {
    fleet.coreOf('d1').post({ type: 'config_entry', entry: entryOf(revision) });
  }
  assert.is(fleet.push('d1', 'd2', entryOf(2)), false);
  fleet.run(50);
  assert.is(fleet.revisionOf('d2'), 2);
  assert.is(fleet.push('d1', 'd2', entryOf(2)), true);
});

test('a stale daemon refuses new requests as not run and continues open transactions', () => {
  const fleet = createFleet(3);
  const core = fleet.coreOf('d1');
  fleet.cutLinks(['d1'], ['store', 'd2', 'd3']);
  fleet.run(3_500);
  core.post({ type: 'session_opened', session: 's', customer: 'c', group: 'g' });
  const statement = { session: 's', cls: 'x', sql: '', deadlineMs: 500, idempotent: false };
  core.post({ type: 'caller_statement', statement: { ...statement, id: 'r1', op: 'write' } });
  const answers = core.tick().commands.filter((one) => one.type === 'answer_caller');
  const [answer] = answers.map((one) => one.answer);
  assert.is(answer?.kind === 'failure' && answer.failure.kind, 'stale_configuration');
  assert.ok(answer?.kind === 'failure' && (answer.failure.retryAfterMs ?? 0) > 0);
  const session = core.world.sessions.get('s');
  if (session) session.transaction = { id: 't', owner: 'd1', broken: false };
  core.post({ type: 'caller_statement', statement: { ...statement, id: 'r2', op: 'write' } });
  assert.is(core.tick().commands.filter((one) => one.type === 'send_peer').length, 1);
});

test('calls to the store grow more slowly than the fleet', () => {
  const callsOf = (count: number): number => {
    const fleet = createFleet(count);
    fleet.run(2_000);
    const before = fleet.calls.store;
    fleet.run(5_000);
    return fleet.calls.store - before;
  };
  const small = callsOf(8);
  const large = callsOf(80);
  assert.ok(large < small * 3, `${small} calls of 8 daemons, ${large} of 80`);
  assert.is(confirmerCount(420), 29);
});

test('a merge patch turns one tree into another', () => {
  const base = { a: { b: 1, c: [1, 2] }, d: 'x' };
  const next = { a: { b: 1, c: [2] }, e: { f: true } };
  const patch = diffTrees(base, next);
  assert.equal(patch, { a: { c: [2] }, d: null, e: { f: true } });
  assert.equal(applyPatch(base, patch ?? {}), next);
  assert.is(diffTrees(next, next), undefined);
});

test.run();

import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createRig, openSession } from './rig';
import type { ReceivedAnswer, Rig } from './rig';

function createWarmRig(database = 'bookings'): Rig {
  const rig = createRig();
  rig.run(300);
  openSession(rig, 's', database);
  return rig;
}

function resultOf(received: ReceivedAnswer | undefined): string | undefined {
  return received?.answer.kind === 'failed' ? received.answer.failure.kind : received?.answer.kind;
}

test('a transaction keeps one connection from its first statement to its commit', () => {
  const rig = createWarmRig();
  const begin = rig.submit('s', { kind: 'begin', readOnly: false });
  assert.is(rig.answerOf(begin)?.state, 'transaction');
  rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(40);
  const { connection } = rig.engine.world.sessions.get('s')?.transaction ?? {};
  assert.ok(connection);
  rig.submit('s', { kind: 'read', text: 'READ 1' });
  rig.run(40);
  assert.is(rig.engine.world.sessions.get('s')?.transaction?.connection, connection);
  const commit = rig.submit('s', { kind: 'commit', text: 'COMMIT' });
  rig.run(40);
  assert.is(resultOf(rig.answerOf(commit)), 'done');
  assert.is(rig.answerOf(commit)?.state, 'idle');
  assert.is(connection.state, 'idle');
});

test('no other session uses the connection of an open transaction', () => {
  const rig = createWarmRig();
  rig.submit('s', { kind: 'begin', readOnly: false });
  rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(40);
  const pinned = rig.engine.world.sessions.get('s')?.transaction?.connection;
  openSession(rig, 'other', 'bookings');
  rig.submit('other', { kind: 'write', text: 'WRITE 2 y' });
  rig.run(5);
  const used = [...(rig.engine.world.sessions.get('other')?.request?.running ?? [])];
  assert.ok(used.length <= 1 && !used.includes(pinned as never));
});

test('a commit is never sent for a caller that has disconnected', () => {
  const rig = createWarmRig();
  rig.submit('s', { kind: 'begin', readOnly: false });
  rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(40);
  rig.engine.closeSession('s');
  rig.run(100);
  const [primary] = rig.targets;
  assert.not.ok(primary?.executed.some((one) => one.text === 'COMMIT'));
  assert.is(primary?.received.index, 100);
  assert.is(rig.engine.world.connections.size > 0, true);
});

test('no transaction stays open when a caller disconnects during a statement', () => {
  const rig = createWarmRig();
  rig.submit('s', { kind: 'begin', readOnly: false });
  rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(6);
  rig.engine.closeSession('s');
  rig.run(200);
  for (const row of rig.engine.world.connections.values()) assert.is(row.state, 'idle');
  assert.is(rig.targets[0]?.received.index, 100);
});

test('a transaction whose connection breaks before the commit is reported as lost', () => {
  const rig = createWarmRig();
  const [primary] = rig.targets;
  rig.submit('s', { kind: 'begin', readOnly: false });
  rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(40);
  if (primary) rig.reset(primary);
  const next = rig.submit('s', { kind: 'read', text: 'READ 1' });
  assert.is(resultOf(rig.answerOf(next)), 'transaction_lost');
  assert.is(rig.answerOf(next)?.state, 'failed');
  const refused = rig.submit('s', { kind: 'read', text: 'READ 1' });
  assert.is(resultOf(rig.answerOf(refused)), 'unsupported');
  const commit = rig.submit('s', { kind: 'commit', text: 'COMMIT' });
  assert.is(resultOf(rig.answerOf(commit)), 'transaction_lost');
  assert.is(rig.answerOf(commit)?.state, 'idle');
});

test('a commit without a reply has an unknown outcome and is not retried', () => {
  const rig = createWarmRig();
  const [primary] = rig.targets;
  rig.submit('s', { kind: 'begin', readOnly: false });
  rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(40);
  const commit = rig.submit('s', { kind: 'commit', text: 'COMMIT' });
  rig.run(2);
  if (primary) rig.reset(primary);
  assert.is(resultOf(rig.answerOf(commit)), 'outcome_unknown');
  rig.run(1_000);
  assert.is(primary?.executed.filter((one) => one.text === 'COMMIT').length, 1);
});

test('a single write without a reply has an unknown outcome and is not retried', () => {
  const rig = createWarmRig();
  const [primary] = rig.targets;
  if (primary) primary.dropsReplies = true;
  const write = rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(1_200);
  assert.is(resultOf(rig.answerOf(write)), 'outcome_unknown');
  assert.is(primary?.executed.filter((one) => one.id === write).length, 1);
});

test('a write refused by a demoted primary runs once at the new one', () => {
  const rig = createWarmRig();
  const [old, next] = rig.targets;
  if (!next) throw new Error('no target');
  rig.promote(next);
  const write = rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(900);
  assert.is(resultOf(rig.answerOf(write)), 'done');
  assert.is(old?.executed.length, 0);
  assert.is(next.executed.filter((one) => one.id === write).length, 1);
});

test('variables of one session never reach the statements of another', () => {
  const rig = createWarmRig('beats');
  rig.submit('s', { kind: 'set', name: 'zone', value: 'a' });
  openSession(rig, 'plain', 'beats');
  for (let at = 0; at < 30; at += 1) {
    const own = rig.submit('s', { kind: 'read', text: `READ ${at}` });
    const plain = rig.submit('plain', { kind: 'read', text: `READ ${at}` });
    rig.run(60);
    const rows = [own, plain].map((id) => {
      const answer = rig.answerOf(id)?.answer;
      return answer?.kind === 'done' ? answer.rows[0]?.split('/')[1] : 'failed';
    });
    assert.equal(rows, ['zone=a', '']);
  }
});

test('an idle transaction is ended, and the next statement reports it as lost', () => {
  const rig = createWarmRig();
  rig.submit('s', { kind: 'begin', readOnly: false });
  rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(3_200);
  for (const row of rig.engine.world.connections.values()) assert.is(row.state, 'idle');
  const next = rig.submit('s', { kind: 'write', text: 'WRITE 2 x' });
  assert.is(resultOf(rig.answerOf(next)), 'transaction_lost');
});

test('a change of the route applies from the next transaction on', () => {
  const rig = createWarmRig();
  rig.submit('s', { kind: 'begin', readOnly: false });
  rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(40);
  rig.engine.applyConfig(
    { version: 2, routes: new Map(), groups: new Map(), transactionIdleMs: 3_000 },
    'test',
  );
  const commit = rig.submit('s', { kind: 'commit', text: 'COMMIT' });
  rig.run(40);
  assert.is(resultOf(rig.answerOf(commit)), 'done');
  const read = rig.submit('s', { kind: 'read', text: 'READ 1' });
  assert.is(resultOf(rig.answerOf(read)), 'unknown_group');
});

test('an older configuration never replaces a newer one', () => {
  const rig = createWarmRig();
  const { config } = rig.engine.world;
  if (!config) throw new Error('no configuration');
  rig.engine.applyConfig({ ...config, version: 5 }, 'test');
  rig.engine.applyConfig({ ...config, version: 4, routes: new Map() }, 'test');
  assert.is(rig.engine.world.config?.version, 5);
  assert.is(rig.engine.world.config?.routes.size, 3);
});

test('a statement that waits for a busy target is answered when the connection ends', () => {
  const rig = createRig();
  rig.run(300);
  openSession(rig, 's', 'bookings');
  rig.submit('s', { kind: 'begin', readOnly: false });
  rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(100);
  const [primary] = rig.targets;
  if (!primary) throw new Error('no primary');
  primary.repliesBusy = true;
  const write = rig.submit('s', { kind: 'write', text: 'WRITE 2 x' });
  rig.run(4);
  assert.is(rig.answerOf(write), undefined);
  rig.reset(primary);
  rig.run(100);
  const answer = rig.answerOf(write)?.answer;
  assert.is(answer?.kind === 'failed' && answer.failure.kind, 'transaction_lost');
});

test.run();

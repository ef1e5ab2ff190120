import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { ownersOf } from '../src/index';
import type { ListedInstance } from '../src/index';
import { GROUP, OK, SELF, createHarness, written } from './harness';
import type { Harness } from './harness';

const PEERS = ['entry-2', 'entry-3'];

function createInstances(leaving: readonly string[] = []): ListedInstance[] {
  return [SELF, ...PEERS].map((id, index) => ({
    id,
    failureDomain: `fd-${index}`,
    host: '127.0.0.1',
    peerPort: index + 1,
    leaving: leaving.includes(id),
  }));
}

function postList(h: Harness, leavingTargets: readonly string[] = []): void {
  const targets = ['t1', 't2', 't3'].map((id) => ({ id, leaving: leavingTargets.includes(id) }));
  h.core.post({ type: 'list', instances: createInstances(), targets });
  h.settle();
}

const firstOwner = (h: Harness): string => ownersOf(h.core.world, GROUP)[0] ?? '';

test('a peer that announces that it is leaving loses its owner roles at once, whatever the list shows', () => {
  const h = createHarness();
  postList(h);
  const before = firstOwner(h);
  const isSelf = before === SELF;
  if (isSelf) h.core.post({ type: 'drain' });
  else h.core.post({ type: 'config_asked', ask: { from: before, revision: 0, leaving: true } });
  assert.is.not(firstOwner(h), before);
  postList(h);
  assert.is.not(firstOwner(h), before);
  if (!isSelf) {
    h.core.post({ type: 'config_asked', ask: { from: before, revision: 0, leaving: false } });
    assert.is(firstOwner(h), before);
  }
});

test('a drain is announced to all peers; running work continues and new work is redirected', () => {
  const h = createHarness();
  h.request({ id: 'running', op: 'write' });
  h.settle();
  h.core.post({ type: 'list', instances: createInstances(), targets: [] });
  h.core.post({ type: 'drain' });
  h.settle();
  const polled = h.sent('config_ask').map((one) => one.to);
  assert.equal([...polled].sort(), PEERS);
  h.request({ id: 'new', op: 'write' });
  const [answer] = h.answersOf('new');
  assert.is(answer?.kind === 'failure' && answer.failure.kind, 'not_owner');
  assert.ok(answer?.kind === 'failure' && PEERS.includes(answer.owner ?? ''));
  h.execute('running', OK);
  h.settle();
  h.run(100);
  assert.is(h.answersOf('running')[0]?.kind, 'ok');
});

test('repeated failures of a peer lengthen its suspicion; an answer ends it', () => {
  const h = createHarness();
  postList(h);
  const peer = h.core.world.peers.get('entry-2');
  const lengths: number[] = [];
  for (let count = 0; count < 6; count += 1) {
    h.core.post({ type: 'peer_suspected', peer: 'entry-2' });
    lengths.push((peer?.suspectedUntil ?? 0) - h.clock.now());
  }
  const { suspicionMs, suspicionLimitMs } = h.core.world.settings;
  assert.ok((lengths[0] ?? 0) >= suspicionMs && (lengths[0] ?? 0) <= 1.5 * suspicionMs);
  assert.ok((lengths[1] ?? 0) > (lengths[0] ?? 0));
  assert.ok((lengths[5] ?? 0) <= 1.5 * suspicionLimitMs);
  h.core.post({ type: 'peer_up', peer: 'entry-2' });
  assert.is(peer?.suspectedUntil, 0);
});

test('replicas that start to leave while reads are queued get none of them', () => {
  const readsAtReplicas = (avoidsLeaving: boolean): number => {
    const h = createHarness({}, { avoidsLeaving });
    h.run(100);
    // The replicas' last connections are taken, so that the reads wait in the queue.
    for (let index = 0; index < 12; index += 1) {
      h.request({ id: `r${index}`, op: 'read', deadlineMs: 5_000, maxAgeMs: 10_000 });
    }
    h.run(20);
    const running = h.sent('execute').length;
    assert.ok(running > 0 && running < 12, `${running} of 12 run`);
    postList(h, ['t2', 't3']);
    for (const { request } of h.sent('execute')) h.execute(request, OK);
    h.run(200);
    return h
      .sent('execute')
      .slice(running)
      .filter(({ connection }) => h.core.world.connections.get(connection)?.target !== 't1').length;
  };
  assert.ok(readsAtReplicas(false) > 0, 'the naive policy sends some reads to leaving replicas');
  assert.is(readsAtReplicas(true), 0);
});

test('a target listed as leaving before its group is configured is leaving', () => {
  const h = createHarness();
  h.core.post({ type: 'list', instances: [], targets: [{ id: 'late', leaving: true }] });
  const group = h.core.world.groups.get(GROUP);
  if (!group) throw new Error('no group');
  const spec = { ...group.spec.targets[0], id: 'late' } as (typeof group.spec.targets)[number];
  const targets = [...group.spec.targets, spec];
  h.core.post({ type: 'groups', groups: [{ ...group.spec, targets }] });
  assert.is(h.core.world.targets.get('late')?.leaving, true);
});

test('a removed group finishes running requests and refuses the rest as not run', () => {
  const h = createHarness();
  h.request({ id: 'running', op: 'write' });
  h.settle();
  h.core.post({ type: 'groups', groups: [] });
  h.request({ id: 'new', op: 'write' });
  const [refused] = h.answersOf('new');
  assert.is(refused?.kind === 'failure' && refused.failure.kind, 'unknown_group');
  h.execute('running', written(0));
  h.run(200);
  assert.is(h.answersOf('running')[0]?.kind, 'ok');
  assert.is(h.core.world.groups.size, 0);
  assert.is(h.core.world.targets.size, 0);
});

test('changed credentials replace connections once their statement has ended', () => {
  const h = createHarness();
  h.request({ id: 'running', op: 'write' });
  h.settle();
  const [first] = h.core.world.connections.keys();
  const group = h.core.world.groups.get(GROUP);
  if (!group) throw new Error('no group');
  h.core.post({ type: 'groups', groups: [{ ...group.spec, loginId: 'next' }] });
  h.settle();
  assert.is(h.core.world.connections.has(first ?? 0), true);
  h.execute('running', OK);
  h.settle();
  assert.is(h.core.world.connections.has(first ?? 0), false);
});

test.run();

import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { at, createRig } from './rig';

test('a read without a position waits for a sample sent after its arrival', () => {
  const rig = createRig();
  rig.targets.a.received = rig.targets.a.applied = at(1, 20);
  rig.targets.b.applied = rig.targets.c.applied = at(1, 10);
  rig.send({ id: 'r', op: 'read' });
  rig.run(60);
  assert.is(rig.targetOf('r'), 'a');
  assert.equal(rig.core.world.requests.get('r')?.minPosition, at(1, 20));
});

test('one sample serves all waiting reads', () => {
  const rig = createRig();
  const before = rig.list('probe').length;
  for (let n = 0; n < 200; n += 1) rig.send({ id: `r${n}`, op: 'read' });
  rig.run(3);
  assert.ok(rig.list('probe').length - before <= 6, 'two rounds of three probes at most');
  assert.is(rig.core.world.groups.get('g')?.queue.unsampled.size, 0);
});

test('a sample of a primary is discarded once a majority is in a later term', () => {
  const rig = createRig();
  rig.targets.b.term = rig.targets.c.term = 2;
  rig.send({ id: 'r', op: 'read' });
  rig.run(100);
  assert.is(rig.executions('r').length, 0);
});

test('a read with a minimum position does not run on a replica behind it', () => {
  const rig = createRig();
  rig.targets.a.received = rig.targets.a.applied = at(1, 15);
  rig.targets.c.received = rig.targets.c.applied = at(1, 15);
  rig.run(60);
  rig.send({ id: 'r', op: 'read', minPosition: at(1, 15) });
  rig.run(20);
  assert.is(rig.targetOf('r'), 'c');
});

test('a primary of an older term does not cover a position of a later one', () => {
  const rig = createRig();
  rig.send({ id: 'r', op: 'read', minPosition: at(2, 5) });
  rig.send({ id: 'b', op: 'begin', transaction: 't', minPosition: at(2, 5) });
  rig.run(100);
  assert.is(rig.executions('r').length, 0);
  assert.is(rig.executions('b').length, 0);
});

test('data age counts from the sending of the sample, not from its receipt', () => {
  const rig = createRig();
  rig.targets.a.delayMs = rig.targets.b.delayMs = rig.targets.c.delayMs = 200;
  rig.run(600);
  rig.send({ id: 'r', op: 'read', minPosition: at(1, 1), maxAgeMs: 150 });
  rig.run(150);
  assert.is(rig.executions('r').length, 0);
});

test('a read with a maximum age runs on a replica whose lag is below it', () => {
  const rig = createRig();
  rig.targets.a.received = rig.targets.a.applied = at(1, 15);
  rig.run(60);
  rig.send({ id: 'r', op: 'read', minPosition: at(1, 10), maxAgeMs: 1_000 });
  rig.run(20);
  assert.is.not(rig.targetOf('r'), 'a');
});

test('a replica that lost applied data by a restart is as old as what it still has', () => {
  const rig = createRig();
  rig.targets.a.received = rig.targets.a.applied = at(1, 15);
  rig.targets.b.received = rig.targets.b.applied = at(1, 15);
  rig.run(100);
  rig.targets.b.received = rig.targets.b.applied = at(1, 2);
  rig.targets.c.received = rig.targets.c.applied = at(1, 2);
  rig.targets.a.up = false;
  rig.run(40);
  rig.send({ id: 'r', op: 'read', minPosition: at(1, 1), maxAgeMs: 1_000 });
  rig.run(20);
  assert.is(rig.executions('r').length, 0);
});

test('target reports from before a process suspension are not used after it', () => {
  const rig = createRig();
  rig.targets.a.delayMs = rig.targets.b.delayMs = rig.targets.c.delayMs = 500;
  rig.pause(1_000);
  rig.send({ id: 'r', op: 'read', minPosition: at(1, 5), maxAgeMs: 100_000 });
  rig.run(20);
  assert.is(rig.executions('r').length, 0);
});

test('a read with maximum age 0 does not run on a primary when a majority is in a later term', () => {
  const rig = createRig();
  rig.targets.b.term = rig.targets.c.term = 2;
  rig.send({ id: 'r', op: 'read', minPosition: at(1, 10), maxAgeMs: 0 });
  rig.run(100);
  assert.is(rig.executions('r').length, 0);
});

test('the first BEGIN of a session without a minimum position waits for a sample', () => {
  const rig = createRig();
  rig.targets.b.term = rig.targets.c.term = 2;
  rig.send({ id: 'b', op: 'begin', transaction: 't' });
  rig.run(50);
  assert.is(rig.executions('b').length, 0);
});

test.run();

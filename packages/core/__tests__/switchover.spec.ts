import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DEFAULT_CORE_SETTINGS } from '../src/index';
import { at, createRig, kindOf } from './rig';

test('a leaving primary is replaced by a target that stays, and no request is refused', () => {
  const rig = createRig();
  rig.send({ id: 'w', op: 'write' });
  rig.run(5);
  rig.postList(['a', 'c']);
  rig.run(40);
  assert.equal(
    rig.list('promote').map((one) => one.target),
    [],
    'a write is still running',
  );
  rig.targets.a.received = rig.targets.b.received = rig.targets.c.received = at(1, 11);
  rig.finish('w', at(1, 11));
  rig.run(60);
  assert.is(kindOf(rig.answers.get('w')), 'ok');
  assert.equal(
    rig.list('promote').map((one) => one.target),
    ['b'],
  );
});

test('open transactions end before the switch-over; new ones wait for it', () => {
  const rig = createRig();
  rig.send({ id: 'b1', op: 'begin', transaction: 't1', minPosition: at(1, 1) });
  rig.run(5);
  rig.finish('b1');
  rig.run(5);
  rig.postList(['a']);
  rig.run(20);
  rig.send({ id: 'b2', op: 'begin', transaction: 't2', minPosition: at(1, 1) });
  rig.run(50);
  assert.is(rig.executions('b2').length, 0);
  assert.is(rig.list('promote').length, 0);
  rig.send({ id: 'r1', op: 'rollback', transaction: 't1' });
  rig.run(5);
  rig.finish('r1');
  rig.run(60);
  assert.is(rig.list('promote').length, 1);
  assert.is.not(rig.targetOf('b2'), 'a');
});

test('writes go to the old primary again when no successor catches up', () => {
  const rig = createRig();
  rig.targets.a.received = rig.targets.a.applied = at(1, 30);
  rig.postList(['a']);
  rig.run(DEFAULT_CORE_SETTINGS.switchoverHoldMs + 20);
  rig.send({ id: 'w', op: 'write' });
  rig.run(20);
  assert.is(rig.targetOf('w'), 'a');
  assert.is(rig.list('adopt_term').length, 0);
});

test('a leaving primary without a successor gets no new work after the grace period', () => {
  const rig = createRig();
  rig.targets.b.term = rig.targets.c.term = 1;
  rig.postList(['a', 'b', 'c']);
  rig.run(DEFAULT_CORE_SETTINGS.leavingGraceMs + 50);
  rig.send({ id: 'w', op: 'write', deadlineMs: 500 });
  rig.run(600);
  assert.is(rig.executions('w').length, 0);
});

test('a primary that dies during the preparation of a switch-over is replaced at once', () => {
  const rig = createRig();
  rig.targets.a.received = at(1, 30);
  rig.postList(['a']);
  rig.run(10);
  rig.targets.a.up = false;
  rig.targets.b.contactAgeMs = rig.targets.c.contactAgeMs = 300;
  rig.run(100);
  assert.is(rig.list('promote').length, 1);
});

test('a daemon that has not read the list yet accepts no work', () => {
  const rig = createRig();
  rig.core.world.hasList = false;
  rig.send({ id: 'r', op: 'read', minPosition: at(1, 1) });
  rig.run(20);
  assert.is(kindOf(rig.answers.get('r')), 'stale_configuration');
  assert.is(rig.executions('r').length, 0);
  rig.postList(['b']);
  rig.send({ id: 's', op: 'read', minPosition: at(1, 1) });
  rig.run(20);
  assert.is(rig.targetOf('s'), 'c');
});

test.run();

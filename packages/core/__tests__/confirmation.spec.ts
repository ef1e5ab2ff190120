import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { at, createRig, kindOf } from './rig';
import type { Rig } from './rig';

/** Runs a write on the primary at position 1:11; no replica has received it yet. */
function startUnconfirmedWrite(): Rig {
  const rig = createRig();
  rig.send({ id: 'w', op: 'write' });
  rig.run(5);
  rig.targets.a.received = rig.targets.a.applied = at(1, 11);
  rig.finish('w', at(1, 11));
  rig.run(20);
  return rig;
}

test('a write is not acknowledged until a majority has it', () => {
  const rig = startUnconfirmedWrite();
  assert.is(rig.answers.get('w'), undefined);
  rig.targets.b.received = at(1, 11);
  rig.run(10);
  assert.is(kindOf(rig.answers.get('w')), 'ok');
});

test('a replica with an equal index of another term does not confirm a write', () => {
  const rig = startUnconfirmedWrite();
  Object.assign(rig.targets.b, { received: at(2, 11) });
  rig.run(20);
  assert.is(rig.answers.get('w'), undefined);
});

test('a replica in a later term does not confirm a write of an earlier term', () => {
  const rig = startUnconfirmedWrite();
  Object.assign(rig.targets.b, { term: 2, received: at(1, 11) });
  rig.run(20);
  assert.is(rig.answers.get('w'), undefined);
});

test('reports from before a partition do not confirm a write that is answered after it', () => {
  const rig = createRig();
  rig.send({ id: 'w', op: 'write' });
  rig.run(5);
  for (const target of Object.values(rig.targets)) target.received = target.applied = at(1, 11);
  rig.run(50);
  for (const target of Object.values(rig.targets)) target.up = false;
  rig.run(600);
  rig.finish('w', at(1, 11));
  rig.run(5);
  assert.is.not(kindOf(rig.answers.get('w')), 'ok');
});

test('a write of a replaced primary is not acknowledged', () => {
  const rig = startUnconfirmedWrite();
  Object.assign(rig.targets.b, { term: 2, role: 'primary', received: at(2, 11) });
  Object.assign(rig.targets.c, { term: 2 });
  rig.run(20);
  assert.is(kindOf(rig.answers.get('w')), 'write_unconfirmed');
});

test('after a pause, a daemon does not acknowledge a write by a reply from before the pause', () => {
  const rig = startUnconfirmedWrite();
  rig.targets.b.received = at(1, 11);
  rig.targets.b.delayMs = 3;
  rig.run(2);
  // The reply that would confirm the write is in flight; during the pause b becomes primary in term 2.
  rig.pause(1_000);
  Object.assign(rig.targets.b, { term: 2, role: 'primary', received: at(2, 12) });
  Object.assign(rig.targets.c, { term: 2, received: at(2, 12) });
  rig.run(50);
  assert.is(kindOf(rig.answers.get('w')), 'write_unconfirmed');
});

test('without a majority, a write ends at its deadline as unconfirmed', () => {
  const rig = startUnconfirmedWrite();
  rig.run(1_600);
  assert.is(kindOf(rig.answers.get('w')), 'write_unconfirmed');
});

test.run();

import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { at, createRig } from './rig';
import type { Rig } from './rig';

/** Runs two specs with the default policy and with the naive policy that each must detect. */

function promotesOnOneGrant(rig: Rig): boolean {
  rig.targets.a.up = false;
  rig.targets.b.contactAgeMs = rig.targets.c.contactAgeMs = 300;
  rig.targets.b.adopts = false;
  rig.run(400);
  return rig.list('promote').length > 0;
}

test('without fencing by a majority, one grant is enough to promote', () => {
  assert.is(promotesOnOneGrant(createRig()), false);
  assert.is(promotesOnOneGrant(createRig({ isFenced: (grants) => grants >= 1 })), true);
});

function readsAfterPause(rig: Rig): boolean {
  rig.targets.a.delayMs = rig.targets.b.delayMs = rig.targets.c.delayMs = 500;
  rig.pause(1_000);
  rig.send({ id: 'r', op: 'read', minPosition: at(1, 5), maxAgeMs: 100_000 });
  rig.run(20);
  return rig.executions('r').length > 0;
}

test('without a reset after a pause, a read uses reports from before the pause', () => {
  assert.is(readsAfterPause(createRig()), false);
  assert.is(readsAfterPause(createRig({ resetsAfterPause: false })), true);
});

test.run();

import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { applyFleet, createReport, createRig } from './rig';
import type { Rig } from './rig';

const OTHERS = ['d2', 'd3', 'd4', 'd5', 'd6', 'd7', 'd8'];

/** One of eight daemons; reports of `names` arrive every 100 ms for `ms`. */
function hear(rig: Rig, names: readonly string[], ms: number): void {
  for (let at = 0; at < ms; at += 100) {
    for (const name of names) rig.engine.applyPeer(createReport(name));
    rig.run(100);
  }
}

function createDaemon(promotionsFenced = false): Rig {
  const rig = createRig({ promotionsFenced });
  applyFleet(rig, ['d1', ...OTHERS]);
  hear(rig, OTHERS, 400);
  return rig;
}

test('a daemon on the smaller side of a split leaves the rotation while the split lasts', () => {
  const rig = createDaemon();
  hear(rig, ['d2', 'd3'], 1_500);
  assert.ok(rig.engine.isIsolated());
  hear(rig, OTHERS, 100);
  assert.not.ok(rig.engine.isIsolated());
});

test('a daemon that reads the claims stays in the rotation although it hears nobody', () => {
  const rig = createDaemon();
  for (let at = 0; at < 3_000; at += 250) {
    rig.engine.claimsRead(rig.now());
    rig.run(250);
  }
  assert.not.ok(rig.engine.isIsolated());
});

test('lost reports do not take a daemon out of the rotation', () => {
  const rig = createDaemon();
  hear(rig, [], 1_000);
  assert.not.ok(rig.engine.isIsolated());
});

test('no daemon leaves the rotation where the platform fences promotions', () => {
  const rig = createDaemon(true);
  hear(rig, [], 5_000);
  assert.not.ok(rig.engine.isIsolated());
});

test.run();

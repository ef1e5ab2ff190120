import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { mustSaveTargets } from '../src/index';
import type { ListedTarget, SaveInputs } from '../src/index';
import { toListed } from './fakeTarget';
import { createRig, openSession } from './rig';
import type { Rig } from './rig';

/** A rig whose list has been empty for longer than unlisted targets are used, as after a cold start. */
function createColdRig(): { rig: Rig; earlier: ListedTarget[] } {
  const rig = createRig();
  const earlier = rig.targets.map(toListed);
  rig.applyList(() => undefined);
  rig.run(4_000);
  assert.is(rig.engine.world.targets.size, 0);
  return { rig, earlier };
}

function readKind(rig: Rig): string {
  const id = rig.submit('s', { kind: 'read', text: 'READ 1' });
  rig.run(300);
  return rig.answerOf(id)?.answer.kind ?? 'none';
}

// All daemons restart in an outage of the store in which the entries of the targets have expired: they
// are written again only within two seconds of its end.
test('after a cold start, targets of an earlier list serve until their entries are written again', () => {
  const { rig, earlier } = createColdRig();
  openSession(rig, 's', 'loops');
  assert.is(rig.engine.hasTargetsForRoutes(), false);
  rig.engine.recallTargets(earlier);
  assert.is(rig.engine.hasTargetsForRoutes(), true);
  rig.run(100);
  assert.is(readKind(rig), 'done');
  rig.applyList();
  assert.is(readKind(rig), 'done');
  rig.run(4_000);
  assert.is(rig.engine.world.targets.size, 3);
});

test('a target of an earlier list whose entry does not return is not used any more', () => {
  const { rig, earlier } = createColdRig();
  rig.engine.recallTargets(earlier);
  rig.run(1_000);
  rig.applyList((listed) => (listed.id === 't3' ? undefined : listed));
  rig.run(3_000);
  assert.equal([...rig.engine.world.targets.keys()].sort(), ['t1', 't2']);
});

test('the list goes before an earlier one: by id, by address and by incarnation', () => {
  const { rig, earlier } = createColdRig();
  const [first, second] = earlier;
  if (!first || !second) throw new Error('no targets');
  rig.applyList((listed) => (listed.id === 't1' ? listed : undefined));
  rig.engine.recallTargets([
    { ...first, address: '10.9.9.9:1' },
    { ...second, id: 'reused', address: first.address },
    { ...second, group: 'unknown', id: 'foreign' },
    second,
  ]);
  const { targets } = rig.engine.world;
  assert.equal([...targets.keys()].sort(), ['t1', 't2']);
  assert.is(targets.get('t1')?.listed.address, first.address);
  rig.applyList((listed) => ({ ...listed, incarnation: listed.incarnation + 1 }));
  assert.is(rig.engine.world.targets.get('t2')?.listed.incarnation, second.incarnation + 1);
});

test('a recalled primary that one daemon cannot reach is not replaced as one that is gone', () => {
  const { rig, earlier } = createColdRig();
  rig.engine.applyDirectory(['d1', 'd2', 'd3'].map((name) => ({ name, failureDomain: 'a' })));
  const [primary] = rig.targets;
  if (primary) primary.refusing = true;
  rig.engine.recallTargets(earlier);
  openSession(rig, 's', 'bookings');
  rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(2_500);
  assert.equal(rig.promotions, []);
});

test('targets are saved once they are settled, by a current view, and never none', () => {
  const due: SaveInputs = {
    isSaved: false,
    targets: 3,
    unchangedMs: 400,
    sinceWriteMs: 1_000,
    viewAgeMs: 100,
  };
  assert.is(mustSaveTargets(due), true);
  assert.is(mustSaveTargets({ ...due, isSaved: true }), false);
  assert.is(mustSaveTargets({ ...due, targets: 0 }), false);
  assert.is(mustSaveTargets({ ...due, unchangedMs: 399 }), false);
  assert.is(mustSaveTargets({ ...due, sinceWriteMs: 999 }), false);
  assert.is(mustSaveTargets({ ...due, viewAgeMs: 3_001 }), false);
});

test.run();

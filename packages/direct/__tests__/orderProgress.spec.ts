import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { mayOrder, orderProgress } from '../src/index';
import { claim, createUnfencedRig, hearOthers, OTHERS } from './fencingRig';
import { createReport, createRig } from './rig';

test('the progress of an order counts the daemons of the directory', () => {
  const rig = createUnfencedRig();
  const progress = orderProgress(rig.engine.world, 'g', new Set(['d2', 'unlisted']));
  assert.is(progress.daemons, 5);
  assert.is(progress.acknowledged, 2);
});

test('an order waits for daemons that report although they are not listed', () => {
  const rig = createUnfencedRig();
  rig.engine.applyPeer(createReport('unlisted'));
  const listed = new Set(OTHERS);
  assert.is(orderProgress(rig.engine.world, 'g', listed).daemons, 6);
  assert.not.ok(
    mayOrder({ ...orderProgress(rig.engine.world, 'g', listed), sinceQuorumMs: 0, fenceWaitMs: 9 }),
  );
});

test('a replica that was only claimed as the primary does not confirm that the old one stopped', () => {
  const rig = createUnfencedRig();
  rig.engine.claimSeen('g', 't2');
  rig.engine.leadershipsSeen([claim(2, 't2')]);
  const [old] = rig.targets;
  if (!old) throw new Error('no targets');
  // Cut off from here, the old primary serves the daemons that have missed the claim.
  old.silent = true;
  old.refusing = true;
  rig.reset(old);
  hearOthers(rig, OTHERS, 3_000);
  assert.is(rig.engine.world.groups.get('g')?.primary, 't2');
  rig.engine.leadershipsSeen([claim(3, 't3', 60)]);
  hearOthers(rig, OTHERS, 300);
  assert.not.ok(orderProgress(rig.engine.world, 'g', new Set()).steppedDown);
});

test('a proven primary that steps down confirms that it stopped', () => {
  const rig = createUnfencedRig();
  rig.engine.leadershipsSeen([claim(2, 't2')]);
  hearOthers(rig, OTHERS, 300);
  assert.ok(orderProgress(rig.engine.world, 'g', new Set()).steppedDown);
});

test('an order waits for daemons that a lapse has taken from the directory, and for former confirmers', () => {
  const rig = createUnfencedRig();
  const { world } = rig.engine;
  const daemons = (): number => orderProgress(world, 'g', new Set()).daemons;
  rig.engine.applyDirectory([{ name: 'd1', failureDomain: 'a' }]);
  rig.engine.applyDirectory(
    ['d1', 'd2', 'd3', 'new'].map((name) => ({ name, failureDomain: 'a' })),
  );
  rig.engine.applyDirectory([{ name: 'd1', failureDomain: 'a' }]);
  assert.is(daemons(), 6);
  rig.engine.confirmersSeen({ version: 2, members: ['d1', 'd6'], previous: ['d1', 'd7'] });
  assert.is(daemons(), 8);
  rig.run(25_000);
  assert.equal(world.fleet.peers.size, 0);
  assert.is(daemons(), 2);
});

test('nothing is ordered while the directory is empty', () => {
  const rig = createRig({ promotionsFenced: false });
  const progress = orderProgress(rig.engine.world, 'g', new Set());
  assert.not.ok(mayOrder({ ...progress, sinceQuorumMs: 0, fenceWaitMs: 0 }));
});

test.run();

import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { PeerReport, World } from '../src/index';
import { daemonCount, estimateOthers } from '../src/fleet';
import { createReport, createRig } from './rig';

const connectionsOfOthers = (world: World, target: string): number | undefined =>
  estimateOthers(world, target, 'connections');

const othersInFlight = (world: World, target: string): number =>
  estimateOthers(world, target, 'inFlight') ?? 0;

const reportOf = (name: string, loads: PeerReport['loads']): PeerReport =>
  createReport(name, { loads });

test('a new report of a daemon replaces its last one', () => {
  const rig = createRig();
  const { engine } = rig;
  engine.applyPeer(reportOf('d2', [['t1', 4, 1.5]]));
  engine.applyPeer(reportOf('d3', [['t1', 2, 0.25]]));
  assert.is(connectionsOfOthers(engine.world, 't1'), 6);
  assert.is(othersInFlight(engine.world, 't1'), 1.75);
  engine.applyPeer(reportOf('d2', [['t2', 3, 1]]));
  assert.is(connectionsOfOthers(engine.world, 't1'), 2);
  assert.is(othersInFlight(engine.world, 't1'), 0.25);
  assert.is(connectionsOfOthers(engine.world, 't2'), 3);
});

test('daemons heard and silent are logged only where each hears all others', () => {
  const eventsIn = (count: number): number => {
    const rig = createRig();
    const names = Array.from({ length: count }, (_, at) => `d${at}`);
    rig.engine.applyDirectory(names.map((name) => ({ name, failureDomain: 'a' })));
    rig.engine.applyPeer(reportOf('d2', []));
    rig.run(3_000);
    return rig.events.filter(({ type }) => type === 'peer_heard' || type === 'peer_silent').length;
  };
  assert.is(eventsIn(8), 2);
  assert.is(eventsIn(195), 0);
});

test('a time jump leaves nothing of earlier loads and failures', () => {
  const rig = createRig();
  const { engine } = rig;
  rig.run(300);
  engine.applyPeer(reportOf('d2', [['t1', 4, 1.5]]));
  const target = rig.targets[1];
  if (target) target.refusing = true;
  if (target) rig.reset(target);
  rig.run(600);
  assert.ok((engine.world.targets.get('t2')?.failures ?? 0) > 1);
  engine.timeJumped(4_000);
  assert.is(engine.world.targets.get('t2')?.failures, 0);
  engine.applyPeer(reportOf('d2', [['t1', 4, 1.5]]));
  assert.is(connectionsOfOthers(engine.world, 't1'), 4);
  assert.is(othersInFlight(engine.world, 't1'), 1.5);
});

test('the load of a daemon that falls silent is no longer counted', () => {
  const rig = createRig();
  const { engine } = rig;
  engine.applyPeer(reportOf('d2', [['t1', 4, 1.5]]));
  rig.run(engine.world.settings.peerReportMaxAgeMs - 100);
  engine.applyPeer(reportOf('d3', [['t1', 2, 0.25]]));
  rig.run(300);
  assert.is(daemonCount(engine.world), 2);
  assert.is(connectionsOfOthers(engine.world, 't1'), 2);
  assert.is(othersInFlight(engine.world, 't1'), 0.25);
});

test('listed daemons without a report count with the average load', () => {
  const rig = createRig();
  const { engine } = rig;
  const names = ['d1', 'd2', 'd3', 'd4', 'd5'];
  engine.applyDirectory(names.map((name) => ({ name, failureDomain: 'a' })));
  assert.is(connectionsOfOthers(engine.world, 't1'), undefined);
  engine.applyPeer(reportOf('d2', [['t1', 4, 1]]));
  engine.applyPeer(reportOf('d3', [['t1', 2, 1]]));
  assert.is(connectionsOfOthers(engine.world, 't1'), 12);
  assert.is(othersInFlight(engine.world, 't1'), 4);
});

test.run();

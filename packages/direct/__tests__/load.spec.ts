import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createWarmRig, READ, runLoad, share, WRITE } from './loadReplay';
import { createRig, freezeReplicas } from './rig';

test('reads keep their objective when one of three targets becomes five times slower', () => {
  const rig = createWarmRig();
  if (rig.targets[1]) rig.targets[1].runMs = 100;
  const tallies = runLoad(rig, [{ database: 'beats', perSecond: 150, statement: READ }], 5_000);
  assert.ok(share(tallies.beats?.inTime ?? 0, tallies.beats) > 0.97);
});

test('at three times the capacity, the most urgent class keeps its objective', () => {
  const rig = createWarmRig();
  const streams = [
    { database: 'bookings', perSecond: 30, statement: WRITE },
    { database: 'beats', perSecond: 1_300, statement: READ },
  ];
  const { bookings, beats } = runLoad(rig, streams, 4_000);
  assert.ok(share(bookings?.inTime ?? 0, bookings) > 0.95, JSON.stringify({ bookings, beats }));
});

test('at three times the capacity, 80 % of the capacity still serves reads in time', () => {
  const rig = createWarmRig();
  const { beats } = runLoad(rig, [{ database: 'beats', perSecond: 1_300, statement: READ }], 4_000);
  // Nine slots of 20 ms serve 450 a second.
  assert.ok((beats?.inTime ?? 0) > 0.8 * 450 * 4, JSON.stringify(beats));
});

test('requests refused under overload are refused within their share of the objective', () => {
  const rig = createWarmRig();
  const { beats } = runLoad(rig, [{ database: 'beats', perSecond: 1_300, statement: READ }], 4_000);
  assert.ok((beats?.refused ?? 0) > 0);
  assert.ok((beats?.slowestRefusalMs ?? 0) <= 0.75 * 400 + 25, JSON.stringify(beats));
});

test('cheap urgent work at the primary keeps its objective when all replicas lag', () => {
  const rig = createWarmRig();
  freezeReplicas(rig, 'applied');
  const streams = [
    { database: 'bookings', perSecond: 30, statement: WRITE },
    { database: 'beats', perSecond: 100, statement: READ },
    { database: 'loops', perSecond: 100, statement: READ },
  ];
  runLoad(rig, streams, 2_000);
  const before = rig.answers.length;
  const { bookings } = runLoad(rig, streams, 4_000);
  assert.ok(rig.answers.length > before);
  assert.ok(share(bookings?.inTime ?? 0, bookings) > 0.95, JSON.stringify(bookings));
});

test('lagging replicas are tried at intervals, not by every read', () => {
  const rig = createWarmRig();
  freezeReplicas(rig, 'applied');
  const streams = [
    { database: 'bookings', perSecond: 20, statement: WRITE },
    { database: 'loops', perSecond: 60, statement: READ },
  ];
  runLoad(rig, streams, 3_000);
  const count = (): number => rig.events.filter((event) => event.type === 'request_retried').length;
  const before = count();
  runLoad(rig, streams, 4_000);
  // Two replicas, each tried again after 150 ms, by the few reads that arrive at that moment.
  assert.ok(count() - before < 2 * 2 * (5_500 / 150), `${count() - before} retries`);
});

test('a replica that receives but applies late is promoted when reads overload the primary', () => {
  const rig = createWarmRig();
  freezeReplicas(rig, 'applied');
  const streams = [
    { database: 'bookings', perSecond: 30, statement: WRITE },
    { database: 'beats', perSecond: 250, statement: READ },
  ];
  runLoad(rig, streams, 6_000);
  assert.is(rig.promotions.length > 0, true);
});

test('replicas that receive nothing are not promoted', () => {
  const rig = createWarmRig();
  freezeReplicas(rig, 'applied', 'received');
  const streams = [
    { database: 'bookings', perSecond: 30, statement: WRITE },
    { database: 'beats', perSecond: 250, statement: READ },
  ];
  runLoad(rig, streams, 6_000);
  assert.is(rig.promotions.length, 0);
});

test('connection attempts to a target at its limit are throttled', () => {
  const rig = createRig({}, 1);
  rig.run(300);
  const streams = [{ database: 'beats', perSecond: 200, statement: READ }];
  runLoad(rig, streams, 2_000);
  const full = rig.events.filter((event) => event.type === 'target_full').length;
  assert.ok(full < 3 * (3_500 / 250), `${full} refusals`);
});

test('after a primary gap all classes keep their objectives again at once', () => {
  const rig = createWarmRig();
  const [old, next] = rig.targets;
  if (!old || !next) throw new Error('no targets');
  old.silent = true;
  old.refusing = true;
  rig.reset(old);
  const streams = [
    { database: 'bookings', perSecond: 40, statement: WRITE },
    { database: 'beats', perSecond: 120, statement: READ },
  ];
  runLoad(rig, streams, 1_000);
  rig.engine.promotionEnded('g', rig.promotions[0]?.target ?? '', 'ordered');
  rig.promote(next);
  rig.run(200);
  const { bookings, beats } = runLoad(rig, streams, 3_000);
  assert.ok(share(bookings?.inTime ?? 0, bookings) > 0.97, JSON.stringify(bookings));
  assert.ok(share(beats?.inTime ?? 0, beats) > 0.97, JSON.stringify(beats));
});

test.run();

import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { hasSettled, nextMembers } from '../src/index';
import type { ConfirmerSet, MembershipInputs } from '../src/index';
import { hasLease } from '../src/fencing';
import { playConfirmers } from './confirmerModel';
import { applyFleet, createReport, createRig, openSession } from './rig';
import type { Rig } from './rig';

const EIGHT = Array.from({ length: 8 }, (_, at) => `d${at + 1}`);

/** Lets reports of the named daemons arrive every 100 ms for a time. */
function hear(rig: Rig, names: readonly string[], ms: number): void {
  const opinions = [{ group: 'g', target: 't1', reachable: false }];
  for (let at = 0; at < ms; at += 100) {
    for (const name of names) rig.engine.applyPeer(createReport(name, { opinions }));
    rig.run(100);
  }
}

function createFleetOfEight(): Rig {
  const rig = createRig({ promotionsFenced: false });
  applyFleet(rig, EIGHT);
  hear(rig, EIGHT.slice(1), 1_000);
  openSession(rig, 's', 'bookings');
  return rig;
}

function list(rig: Rig, names: readonly string[]): void {
  rig.engine.applyDirectory(names.map((name) => ({ name, failureDomain: 'a' })));
}

// Two primaries in a split that follows an outage in which the entries of all daemons lapse.
test('daemons that the directory lists alone after a lapse replace no primary', () => {
  const rig = createFleetOfEight();
  list(rig, []);
  hear(rig, EIGHT.slice(1), 500);
  list(rig, ['d1', 'd2', 'd3']);
  if (rig.targets[0]) rig.targets[0].silent = true;
  rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  for (let at = 0; at < 8_000; at += 500) {
    rig.engine.storeRead(rig.now());
    hear(rig, ['d2', 'd3'], 500);
  }
  assert.equal(rig.promotions, []);
});

// A daemon that reads the directory before the others have written their entries is no quorum.
test('a daemon that knows only its own entry uses no primary without the store', () => {
  const rig = createRig({ promotionsFenced: false });
  list(rig, ['d1']);
  rig.engine.claimsRead(rig.now());
  rig.run(2_000);
  assert.not.ok(hasLease(rig.engine.world, rig.now()));
  assert.ok(rig.engine.isIsolated());
});

test('entries that lapse on the other side of a split leave its daemons in the quorum', () => {
  const rig = createFleetOfEight();
  list(rig, EIGHT.slice(0, 5));
  hear(rig, EIGHT.slice(1, 4), 1_500);
  assert.not.ok(hasLease(rig.engine.world, rig.now()));
  hear(rig, EIGHT.slice(1, 5), 400);
  assert.ok(hasLease(rig.engine.world, rig.now()));
});

test('a set that may have been replaced unnoticed gives no lease', () => {
  const rig = createFleetOfEight();
  rig.claimBasis = { ...rig.claimBasis, ageMs: 29_000 };
  hear(rig, EIGHT.slice(1), 1_000);
  assert.ok(hasLease(rig.engine.world, rig.now()));
  rig.claimBasis = { ...rig.claimBasis, ageMs: 31_000 };
  hear(rig, EIGHT.slice(1), 1_000);
  assert.not.ok(hasLease(rig.engine.world, rig.now()));
});

test('daemons that know a newer set do not confirm an older one', () => {
  const rig = createFleetOfEight();
  for (let at = 0; at < 900; at += 100) {
    for (const name of EIGHT.slice(1, 5)) rig.engine.applyPeer(createReport(name, { confirms: 2 }));
    for (const name of EIGHT.slice(5)) rig.engine.applyPeer(createReport(name));
    rig.run(100);
  }
  assert.not.ok(hasLease(rig.engine.world, rig.now()));
});

// A restarted process has forgotten the claims that its earlier life has acknowledged.
test('a restarted confirmer confirms nothing until it knows the claims again', () => {
  const rig = createRig({ promotionsFenced: false });
  applyFleet(rig, EIGHT.slice(0, 5));
  hear(rig, ['d2', 'd3'], 500);
  assert.is(rig.engine.report(1, 0).confirms, undefined);
  assert.not.ok(hasLease(rig.engine.world, rig.now()));
  hear(rig, ['d2', 'd3', 'd4'], 200);
  assert.is(rig.engine.report(1, 0).confirms, 1);
  const other = createRig({ promotionsFenced: false });
  applyFleet(other, EIGHT.slice(0, 5));
  other.engine.claimsRead(other.now());
  assert.is(other.engine.report(1, 0).confirms, 1);
});

test('a set is in force for claims once a quorum of the one before it knows it', () => {
  const previous = ['a', 'b', 'c', 'd', 'e'];
  const set: ConfirmerSet = { version: 2, members: ['a', 'b', 'c', 'f'], previous };
  assert.not.ok(hasSettled({ set, consenting: 2, knownMs: 34_000 }));
  assert.ok(hasSettled({ set, consenting: 3, knownMs: 0 }));
  assert.ok(hasSettled({ set, consenting: 0, knownMs: 35_000 }));
  assert.ok(hasSettled({ set: { version: 1, members: ['a'] }, consenting: 0, knownMs: 0 }));
});

const STABLE: MembershipInputs = {
  listed: EIGHT,
  unchangedMs: 60_000,
  viewAgeMs: 0,
  missingMs: () => 0,
  place: 0,
};

function knownSet(members: readonly string[], isSettled = true): MembershipInputs['known'] {
  return { set: { version: 1, members }, since: 0, isSettled };
}

test('the first set has the daemons of a directory that is stable', () => {
  assert.equal([...(nextMembers(STABLE) ?? [])].sort(), EIGHT);
  assert.is(nextMembers({ ...STABLE, unchangedMs: 1_000 }), undefined);
  assert.is(nextMembers({ ...STABLE, viewAgeMs: 3_000 }), undefined);
  assert.is(nextMembers({ ...STABLE, listed: [] }), undefined);
});

test('a member is replaced once it has been neither listed nor heard for some time', () => {
  const listed = [...EIGHT.slice(1), 'd9'];
  const known = knownSet(EIGHT);
  const missingFor = (ms: number) => (name: string) => (name === 'd1' ? ms : 0);
  const replaced = nextMembers({ ...STABLE, listed, known, missingMs: missingFor(6_000) });
  assert.equal(replaced, [...EIGHT.slice(1), 'd9']);
  assert.is(nextMembers({ ...STABLE, known, missingMs: missingFor(4_000) }), undefined);
});

test('a set does not change again before its last change has settled', () => {
  const known = knownSet(EIGHT.slice(0, 4), false);
  assert.is(nextMembers({ ...STABLE, known }), undefined);
  assert.equal(nextMembers({ ...STABLE, known: knownSet(EIGHT.slice(0, 4)) })?.length, 8);
});

test('a large fleet has nine confirmers, the same ones for all its daemons', () => {
  const listed = Array.from({ length: 90 }, (_, at) => `d${at}`);
  const members = nextMembers({ ...STABLE, listed });
  assert.is(members?.length, 9);
  assert.equal(nextMembers({ ...STABLE, listed: listed.toReversed() }), members);
  assert.is(nextMembers({ ...STABLE, listed, known: knownSet(members ?? []) }), undefined);
});

const SEEDS = Array.from({ length: 40 }, (_, at) => at + 1);

test('no daemon uses a primary that a newer one has replaced, in splits, lapses and restarts', () => {
  let orders = 0;
  for (const seed of SEEDS) {
    const result = playConfirmers(seed, 'set');
    assert.equal(result.violations.slice(0, 3), [], `seed ${seed}`);
    orders += result.orders;
  }
  assert.ok(orders > SEEDS.length * 3, `${orders} orders`);
});

test('the same model finds two primaries where quorums count the directory', () => {
  const broken = SEEDS.filter((seed) => playConfirmers(seed, 'directory').violations.length > 0);
  assert.ok(broken.length > 0);
});

test.run();

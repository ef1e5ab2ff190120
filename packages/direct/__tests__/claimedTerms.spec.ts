import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { chooseCandidate } from '../src/index';
import { claim, hearOthers, OTHERS } from './fencingRig';
import type { FakeTarget } from './fakeTarget';
import { applyFleet, createRig, openSession } from './rig';
import type { Rig } from './rig';

/** Time from an order until its target leads. */
const PROMOTE_MS = 300;

/** A claim must be followed by a usable primary within this time: the users' bound of recovery. */
const RECOVERY_MS = 12_000;

/** Carries out the orders of a platform that does not fence for a time; the present primary stays as it is. */
function runPlatform(rig: Rig, ms: number, carriesOut = true): void {
  const due: { target: FakeTarget; at: number }[] = [];
  let seen = rig.promotions.length;
  for (let at = 0; at < ms; at += 50) {
    hearOthers(rig, OTHERS, 50);
    for (const [index, { target: id }] of rig.promotions.slice(seen).entries()) {
      const target = rig.targets.find((one) => one.id === id);
      rig.engine.leadershipsSeen([claim(rig.promotionTerms[seen + index] ?? 0, id, rig.now())]);
      if (target && carriesOut) due.push({ target, at: rig.now() + PROMOTE_MS });
      rig.engine.promotionEnded('g', id, 'ordered');
    }
    seen = rig.promotions.length;
    for (const one of due.filter((order) => rig.now() >= order.at)) {
      due.splice(due.indexOf(one), 1);
      if (one.target.role !== 'primary') rig.promoteUnfenced(one.target);
    }
  }
}

/** A daemon that starts beside a claim to the next term, while the target at `place` leads the first one. */
function startBesideClaim(place: number, target: string): Rig {
  const rig = createRig({ promotionsFenced: false });
  rig.targets.forEach((one, at) => (one.role = at === place ? 'primary' : 'replica'));
  rig.applyList();
  rig.engine.leadershipsSeen([claim(2, target)]);
  applyFleet(rig, ['d1', ...OTHERS]);
  openSession(rig, 's', 'bookings');
  return rig;
}

/** Whether the group serves a write in the end, within the bound. */
function recovers(rig: Rig): boolean {
  runPlatform(rig, RECOVERY_MS);
  const id = rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  hearOthers(rig, OTHERS, 200);
  return rig.answerOf(id)?.answer.kind === 'done';
}

for (const place of [0, 1, 2]) {
  const id = `t${place + 1}`;
  // A service without a primary for good: an order for the present primary changes nothing.
  test(`a claim to the next term for the present primary ${id} does not stop its group for good`, () => {
    assert.ok(recovers(startBesideClaim(place, id)));
  });

  test(`a claim whose order was never sent does not stop the group of ${id} for good`, () => {
    assert.ok(recovers(startBesideClaim(place, place === 0 ? 't2' : 't1')));
  });
}

test('a claim whose target is gone does not stop the group for good', () => {
  const rig = startBesideClaim(0, 't2');
  const gone = rig.targets[1];
  if (!gone) throw new Error('no target');
  gone.refusing = true;
  gone.silent = true;
  rig.applyList((listed) => (listed.id === 't2' ? undefined : listed));
  assert.ok(recovers(rig));
});

test('an order that is not carried out is followed by another one', () => {
  const rig = startBesideClaim(0, 't2');
  runPlatform(rig, 4_000, false);
  assert.ok(rig.promotions.length > 0);
  assert.ok(recovers(rig));
});

test('an order whose result is not known is not repeated once its target leads', () => {
  const rig = startBesideClaim(0, 't2');
  if (rig.targets[1]) rig.promoteUnfenced(rig.targets[1]);
  assert.ok(recovers(rig));
  assert.is(rig.promotions.length, 0);
});

test('a primary that returns in its old term while orders are lost leads again in a newer one', () => {
  const rig = createRig({ promotionsFenced: false });
  applyFleet(rig, ['d1', ...OTHERS]);
  hearOthers(rig, OTHERS, 500);
  openSession(rig, 's', 'bookings');
  const [primary] = rig.targets;
  if (!primary) throw new Error('no target');
  primary.received = { term: 1, index: 130 };
  primary.applied = primary.received;
  primary.silent = true;
  rig.reset(primary);
  rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  for (let at = 0; at < 5_500; at += 50) {
    const before = rig.promotions.length;
    hearOthers(rig, OTHERS, 50);
    for (const { group, target } of rig.promotions.slice(before)) {
      rig.engine.leadershipsSeen([claim(2, target, rig.now())]);
      rig.engine.promotionEnded(group, target, 'unavailable');
    }
  }
  assert.ok(rig.promotions.length > 0);
  primary.silent = false;
  rig.reset(primary);
  assert.ok(recovers(rig));
  // Commits that only its log has are kept.
  assert.ok(primary.role === 'primary' && primary.received.index >= 130);
});

test('a candidate that still leads is not chosen', () => {
  const candidate = { leaving: false, failing: false, reply: 'status' } as const;
  const leading = { ...candidate, id: 'a', received: { term: 1, index: 9 }, isLeading: true };
  const replica = { ...candidate, id: 'b', received: { term: 1, index: 7 } };
  assert.is(chooseCandidate([leading, replica])?.id, 'b');
  assert.is(chooseCandidate([leading]), undefined);
});

test.run();

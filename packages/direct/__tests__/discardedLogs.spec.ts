import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { mayHoldDiscarded } from '../src/index';
import type { KnownHistory, PromotionCandidate } from '../src/index';
import type { FakeTarget } from './fakeTarget';
import { createReport, createRig, openSession } from './rig';
import type { Rig } from './rig';

interface SplitRig extends Rig {
  /** The old primary, with ten commits that the promotion of `next` has discarded. */
  readonly old: FakeTarget;
  readonly next: FakeTarget;
  readonly other: FakeTarget;
  /** Cuts this daemon off from a target. */
  readonly cut: (target: FakeTarget) => void;
  readonly heal: (target: FakeTarget) => void;
}

/** A rig of one daemon of three, cut off from the targets that a promotion has left with the group. */
function createSplitRig(): SplitRig {
  const rig = createRig();
  const [old, next, other] = rig.targets;
  if (!old || !next || !other) throw new Error('no targets');
  rig.engine.applyDirectory(['d1', 'd2', 'd3'].map((name) => ({ name, failureDomain: 'a' })));
  rig.run(300);
  openSession(rig, 's', 'bookings');
  const cut = (target: FakeTarget): void => {
    target.silent = true;
    target.refusing = true;
    rig.reset(target);
  };
  const heal = (target: FakeTarget): void => {
    target.silent = false;
    target.refusing = false;
  };
  return Object.assign(rig, { old, next, other, cut, heal });
}

/** Promotes `next`; the old primary is out of its reach and keeps the end of its log. */
function promoteNext({ old, next, other }: SplitRig): void {
  old.received = { term: 1, index: 110 };
  old.applied = old.received;
  old.role = 'replica';
  for (const target of [next, other]) {
    target.term = 2;
    target.received = { term: 2, index: 120 };
    target.applied = target.received;
  }
  next.role = 'primary';
}

/** The other daemons report for a time that they cannot reach a target. */
function reportSuspicion(rig: Rig, target: string, ms: number): void {
  const opinions = [{ group: 'g', target, reachable: false }];
  for (let at = 0; at < ms; at += 200) {
    for (const name of ['d2', 'd3']) rig.engine.applyPeer(createReport(name, { opinions }));
    rig.run(200);
  }
}

test('a log that a promotion has cut back is not promoted when the new primary is lost', () => {
  const rig = createSplitRig();
  promoteNext(rig);
  rig.run(500);
  assert.is(rig.engine.world.groups.get('g')?.term, 2);
  rig.cut(rig.next);
  rig.cut(rig.other);
  rig.submit('s', { kind: 'read', text: 'READ 1' });
  reportSuspicion(rig, 't2', 6_000);
  assert.equal(rig.promotions, []);
});

test('a target that does not reply to the survey is not promoted for a remembered position', () => {
  const rig = createSplitRig();
  rig.other.received = { term: 1, index: 105 };
  rig.other.applied = rig.other.received;
  rig.run(200);
  openSession(rig, 'r', 'loops');
  for (let at = 0; at < 10; at += 1) {
    rig.submit('r', { kind: 'read', text: 'READ 1' });
    rig.run(50);
  }
  rig.other.ignoresStatus = true;
  rig.cut(rig.old);
  reportSuspicion(rig, 't1', 1_400);
  assert.equal(rig.promotions, [{ group: 'g', target: 't2' }]);
});

test('a promotion is not ordered after the primary has proven to lead', () => {
  const rig = createSplitRig();
  rig.cut(rig.next);
  rig.cut(rig.other);
  rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  promoteNext(rig);
  const group = rig.engine.world.groups.get('g');
  for (let at = 0; at < 400 && group?.promotion === undefined; at += 1) rig.run(25);
  assert.is(group?.promotion?.stage, 'survey');
  rig.heal(rig.next);
  rig.run(400);
  assert.is(group?.primary, 't2');
  assert.equal(rig.promotions, []);
});

test('a promotion that began before a time jump is not ordered', () => {
  const rig = createSplitRig();
  const group = rig.engine.world.groups.get('g');
  rig.cut(rig.next);
  rig.cut(rig.other);
  promoteNext(rig);
  for (let at = 0; at < 400 && group?.promotion === undefined; at += 1) rig.run(25);
  assert.is(group?.promotion?.stage, 'survey');
  rig.engine.timeJumped(5_000);
  rig.run(400);
  assert.equal(rig.promotions, []);
});

test('a promotion is not ordered after the view has read a newer claim', () => {
  const rig = createSplitRig();
  const group = rig.engine.world.groups.get('g');
  rig.cut(rig.next);
  rig.cut(rig.other);
  rig.old.role = 'replica';
  rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  for (let at = 0; at < 400 && group?.promotion === undefined; at += 1) rig.run(25);
  assert.is(group?.promotion?.stage, 'survey');
  rig.claimBasis = { era: 0, ageMs: 0, revision: 12 };
  rig.run(400);
  assert.equal(rig.promotions, []);
});

test('a log beyond that of a claimed target is not promoted by a daemon that never saw it lead', () => {
  const rig = createSplitRig();
  rig.cut(rig.next);
  rig.cut(rig.other);
  promoteNext(rig);
  const claim = { target: 't2', received: { term: 1, index: 105 } };
  rig.claimBasis = { era: 0, ageMs: 0, revision: 7, claim };
  rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(8_000);
  assert.equal(rig.promotions, []);
  assert.ok(rig.events.some((event) => event.type === 'promotion_abandoned'));
});

test('the newest log is promoted after a claim that has not taken effect', () => {
  const rig = createSplitRig();
  rig.old.role = 'replica';
  rig.other.received = { term: 1, index: 108 };
  const claim = { target: 't2', received: { term: 1, index: 105 } };
  rig.claimBasis = { era: 0, ageMs: 0, revision: 7, claim };
  rig.cut(rig.old);
  reportSuspicion(rig, 't1', 3_000);
  assert.equal(rig.promotions[0], { group: 'g', target: 't3' });
});

test('a claimed promotion has to be ordered only while its reason stands', () => {
  const rig = createSplitRig();
  rig.cut(rig.old);
  reportSuspicion(rig, 't1', 1_400);
  const target = rig.promotions[0]?.target ?? '';
  assert.is(rig.engine.mustOrder('g', target), true);
  assert.is(rig.engine.mustOrder('g', 't9'), false);
  rig.heal(rig.old);
  rig.run(600);
  assert.is(rig.engine.mustOrder('g', target), false);
});

test('a daemon that hears nobody and has not reached the store since starts no promotion', () => {
  const rig = createSplitRig();
  rig.old.role = 'replica';
  rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  rig.cut(rig.next);
  rig.cut(rig.other);
  const lostAt = rig.now();
  for (let at = 0; at < 8_000; at += 25) {
    rig.claimBasis = { ...rig.claimBasis, ageMs: rig.now() - lostAt + 500 };
    rig.run(25);
  }
  const isStarted = (): boolean => rig.events.some(({ type }) => type === 'promotion_started');
  assert.is(isStarted(), false);
  rig.claimBasis = { ...rig.claimBasis, ageMs: 0 };
  rig.run(1_500);
  assert.is(isStarted(), true);
});

test('a log may hold discarded commits unless it is of the newest known history', () => {
  const claim = { target: 'b', received: { term: 2, index: 50 } };
  const isUnsafe = (
    position: readonly [number, number],
    history: Partial<KnownHistory>,
    change: Partial<PromotionCandidate> = {},
  ): boolean => {
    const received = { term: position[0], index: position[1] };
    const candidate = { id: 'a', received, reply: 'status' as const, ...change };
    return mayHoldDiscarded(candidate, { term: 0, ...history });
  };
  assert.is(isUnsafe([2, 50], { term: 3 }), true);
  assert.is(isUnsafe([3, 10], { term: 3 }), false);
  assert.is(isUnsafe([2, 50], { claim, term: 3 }), false);
  assert.is(isUnsafe([2, 51], { claim, term: 3 }), true);
  assert.is(isUnsafe([2, 50], { claim }, { reply: 'position' }), true);
  assert.is(isUnsafe([2, 51], { claim }), true);
  assert.is(isUnsafe([2, 51], { claim }, { id: 'b' }), false);
  assert.is(isUnsafe([2, 51], { claim, term: 3 }, { id: 'b' }), true);
  assert.is(isUnsafe([1, 10], { claim }), true);
  assert.is(isUnsafe([3, 51], { claim }), false);
  assert.is(isUnsafe([0, 0], {}, { received: undefined }), false);
  assert.is(isUnsafe([0, 0], { claim }, { received: undefined }), true);
});

test('a claim that never took effect does not bar the logs beyond it', () => {
  for (const isListed of [true, false]) {
    const rig = createSplitRig();
    const claim = { target: 't2', received: { term: 1, index: 105 } };
    rig.claimBasis = { era: 0, ageMs: 0, revision: 7, claim };
    rig.engine.leadershipsSeen([{ group: 'g', term: 2, token: 7, target: 't2' }]);
    for (const one of rig.targets) one.applied = one.received = { term: 1, index: 200 };
    for (let at = 0; at < 70; at += 1) {
      rig.submit('s', { kind: 'write', text: `WRITE ${at} x` });
      rig.run(100);
    }
    rig.cut(rig.next);
    if (!isListed) rig.applyList((listed) => (listed.id === 't2' ? undefined : listed));
    rig.run(1_000);
    rig.cut(rig.old);
    reportSuspicion(rig, 't1', 5_000);
    assert.is(rig.promotions[0]?.target, 't3');
  }
});

test('a claim that has not taken effect leaves the one before it in force', () => {
  const rig = createSplitRig();
  rig.cut(rig.next);
  rig.old.role = 'replica';
  rig.old.applied = rig.old.received = { term: 1, index: 110 };
  const previous = { target: 't2', received: { term: 1, index: 105 } };
  const claim = { target: 't3', received: { term: 1, index: 100 }, previous };
  rig.claimBasis = { era: 0, ageMs: 0, revision: 9, claim };
  rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(10_000);
  assert.ok(rig.promotions.length > 0);
  assert.ok(rig.promotions.every(({ target }) => target === 't3'));
  assert.equal(rig.orders[0]?.previous, { ...previous, previous: undefined });
  assert.equal(rig.orders[0]?.received, { term: 1, index: 100 });
  assert.is(rig.orders[0]?.basis.revision, 9);
});

test('replies that take longer than the usual wait for a status still count', () => {
  const rig = createSplitRig();
  for (const target of [rig.next, rig.other]) target.statusMs = 320;
  rig.cut(rig.old);
  reportSuspicion(rig, 't1', 3_000);
  assert.is(rig.promotions.length > 0, true);
});

test('opinions that change every 300 ms do not keep a lost primary in place', () => {
  const rig = createSplitRig();
  rig.cut(rig.old);
  const opinion = (name: string, reachable: boolean): void => {
    const opinions = [{ group: 'g', target: 't1', reachable }];
    rig.engine.applyPeer(createReport(name, { opinions }));
  };
  for (let at = 0; at < 6_000; at += 100) {
    opinion('d2', true);
    opinion('d3', Math.floor(at / 300) % 2 === 0);
    rig.run(100);
  }
  assert.ok(rig.promotions.length > 0);
});

test('a log of which a claim of an earlier release tells nothing is not promoted', () => {
  const rig = createSplitRig();
  rig.cut(rig.next);
  rig.old.role = 'replica';
  rig.old.applied = rig.old.received = { term: 1, index: 110 };
  rig.claimBasis = { era: 0, ageMs: 0, revision: 7, claim: { target: 't2' } };
  rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(10_000);
  assert.ok(rig.promotions.every(({ target }) => target !== 't1'));
});

test('a claim of an earlier release bars no promotion once its target has left the list', () => {
  const rig = createSplitRig();
  rig.cut(rig.next);
  rig.old.role = 'replica';
  rig.claimBasis = { era: 0, ageMs: 0, revision: 7, claim: { target: 't2' } };
  rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(5_000);
  assert.equal(rig.promotions, []);
  rig.applyList((listed) => (listed.id === 't2' ? undefined : listed));
  rig.run(10_000);
  assert.ok(rig.promotions.length > 0);
});

test('a claim of an earlier release bars no promotion once its target has led', () => {
  const rig = createSplitRig();
  rig.claimBasis = { era: 0, ageMs: 0, revision: 7, claim: { target: 't2' } };
  promoteNext(rig);
  rig.run(2_000);
  assert.is(rig.engine.world.groups.get('g')?.primary, 't2');
  rig.cut(rig.next);
  reportSuspicion(rig, 't2', 6_000);
  assert.equal(rig.promotions[0], { group: 'g', target: 't3' });
  assert.ok(rig.promotions.every(({ target }) => target === 't3'));
});

test.run();

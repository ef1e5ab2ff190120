// A primary that starts again under its id with an empty log, while other targets may hold what it had. It
// leads the term that it led, so that its writes were acknowledged and lost, or nothing was served for good.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { emptyLog } from './fakeTarget';
import type { FakeTarget } from './fakeTarget';
import { hearOthers, OTHERS } from './fencingRig';
import { applyFleet, createRig, openSession } from './rig';
import type { Rig } from './rig';

interface LossRig extends Rig {
  readonly primary: FakeTarget;
}

function createLossRig(promotionsFenced: boolean, change?: (target: FakeTarget) => void): LossRig {
  const rig = createRig({ promotionsFenced });
  if (change) rig.targets.forEach(change);
  applyFleet(rig, ['d1', ...OTHERS]);
  hearOthers(rig, OTHERS, 400);
  for (const database of ['bookings', 'beats']) openSession(rig, database, database);
  const [primary] = rig.targets;
  if (!primary) throw new Error('the rig has targets');
  return { ...rig, primary };
}

/** How a target that starts again is listed: as the same start of it, or as a later one. */
const LISTINGS = ['same', 'later'] as const;

/** Starts targets again without their logs. The others receive nothing from a log that lacks theirs. */
function restartEmpty(
  rig: Rig,
  targets: readonly FakeTarget[],
  listing: (typeof LISTINGS)[number],
): void {
  for (const target of rig.targets) target.isDeaf = !targets.includes(target);
  for (const target of targets) {
    emptyLog(target);
    rig.reset(target);
  }
  if (listing === 'same') return;
  const ids = new Set(targets.map(({ id }) => id));
  rig.applyList((listed) => (ids.has(listed.id) ? { ...listed, incarnation: 2 } : listed));
}

/** Sends requests for a time, one in 20 ms; returns their ids. */
function sendFor(rig: Rig, kind: 'read' | 'write', ms: number): string[] {
  const ids: string[] = [];
  for (let at = 0; at < ms; at += 20) {
    const session = openSession(rig, `${kind}-${rig.now()}`, 'bookings');
    ids.push(rig.submit(session, { kind, text: `${kind.toUpperCase()} 1 x` }));
    if (at % 100 === 0) hearOthers(rig, OTHERS, 0);
    rig.run(20);
    if (at % 100 === 80) hearOthers(rig, OTHERS, 100);
  }
  hearOthers(rig, OTHERS, 300);
  return ids;
}

function countDone(rig: Rig, ids: readonly string[]): number {
  return ids.filter((id) => rig.answerOf(id)?.answer.kind === 'done').length;
}

function isLossLogged({ events }: Rig): boolean {
  return events.some(({ type }) => type === 'log_lost');
}

function waitForPromotion(rig: Rig, ms = 3_000): string | undefined {
  for (let at = 0; at < ms && rig.promotions.length === 0; at += 100) hearOthers(rig, OTHERS, 100);
  return rig.promotions[0]?.target;
}

/** Carries out the first promotion, and waits until the new primary is used. */
function carryOut(rig: LossRig, fenced: boolean): FakeTarget {
  const next = rig.targets.find(({ id }) => id === rig.promotions[0]?.target);
  if (!next) throw new Error('no target was promoted');
  if (fenced) rig.promote(next);
  else rig.promoteUnfenced(next);
  rig.engine.promotionEnded('g', next.id, 'ordered');
  hearOthers(rig, OTHERS, 600);
  return next;
}

for (const fenced of [true, false]) {
  const fence = fenced ? 'with a fence' : 'without a fence';
  for (const listing of LISTINGS) {
    const where = `${fence}, listed as the ${listing} start`;

    test(`a primary that starts again without its log acknowledges no write, ${where}`, () => {
      const rig = createLossRig(fenced);
      assert.ok(countDone(rig, sendFor(rig, 'write', 100)) > 0);
      restartEmpty(rig, [rig.primary], listing);
      assert.is(countDone(rig, sendFor(rig, 'write', 1_000)), 0);
    });

    test(`a primary that starts again without its log answers no read, ${where}`, () => {
      const rig = createLossRig(fenced);
      sendFor(rig, 'write', 100);
      restartEmpty(rig, [rig.primary], listing);
      assert.is(countDone(rig, sendFor(rig, 'read', 1_000)), 0);
    });

    test(`a replica replaces a primary that starts again without its log, ${where}`, () => {
      const rig = createLossRig(fenced);
      sendFor(rig, 'write', 100);
      restartEmpty(rig, [rig.primary], listing);
      assert.ok(['t2', 't3'].includes(waitForPromotion(rig) ?? 'none'));
      const next = carryOut(rig, fenced);
      const before = next.executed.length;
      assert.ok(countDone(rig, sendFor(rig, 'write', 200)) > 0);
      assert.ok(next.executed.length > before);
      Object.assign(rig.primary, {
        role: 'replica',
        term: next.term,
        received: next.received,
        applied: next.applied,
      });
      hearOthers(rig, OTHERS, 500);
      assert.is(rig.engine.world.targets.get('t1')?.logLoss, undefined);
    });

    test(`a group whose targets all start again without their logs is served, ${where}`, () => {
      const rig = createLossRig(fenced);
      const write = rig.submit('beats', { kind: 'write', text: 'WRITE 1 x' });
      hearOthers(rig, OTHERS, 200);
      assert.is(rig.answerOf(write)?.answer.kind, 'done');
      restartEmpty(rig, rig.targets, listing);
      hearOthers(rig, OTHERS, 1_500);
      assert.equal(rig.promotions, []);
      const [first, ...later] = sendFor(rig, 'write', 200);
      assert.is(countDone(rig, [first ?? '', ...later]), later.length + 1);
      const read = rig.submit('beats', { kind: 'read', text: 'READ 1' });
      hearOthers(rig, OTHERS, 200);
      assert.is(rig.answerOf(read)?.answer.kind, 'done');
    });
  }

  test(`a primary that names an older term and no log is replaced, ${fence}`, () => {
    const rig = createLossRig(fenced);
    sendFor(rig, 'write', 100);
    restartEmpty(rig, [rig.primary], 'later');
    rig.primary.term = 0;
    assert.ok(['t2', 't3'].includes(waitForPromotion(rig) ?? 'none'));
  });

  test(`a group of one target that starts again without its log is served, ${fence}`, () => {
    const rig = createLossRig(fenced);
    rig.applyList((listed) => (listed.id === 't1' ? listed : undefined));
    hearOthers(rig, OTHERS, 6_000);
    assert.ok(countDone(rig, sendFor(rig, 'write', 100)) > 0);
    restartEmpty(rig, [rig.primary], 'same');
    hearOthers(rig, OTHERS, 1_500);
    assert.ok(countDone(rig, sendFor(rig, 'write', 100)) > 0);
  });

  // Its entries were taken for those that it had lost.
  test(`a primary is not used once its new log is as long as the lost one, ${fence}`, () => {
    const rig = createLossRig(fenced);
    sendFor(rig, 'write', 100);
    restartEmpty(rig, [rig.primary], 'later');
    for (const target of rig.targets) target.silent = target !== rig.primary;
    for (let at = 0; at < 20 && !isLossLogged(rig); at += 1) hearOthers(rig, OTHERS, 100);
    rig.primary.received = { term: 1, index: 500 };
    rig.primary.applied = rig.primary.received;
    assert.is(countDone(rig, sendFor(rig, 'write', 400)), 0);
  });

  // The samples of before were the only sign.
  test(`a loss is noticed after a time jump, ${fence}`, () => {
    const rig = createLossRig(fenced);
    sendFor(rig, 'write', 100);
    rig.engine.timeJumped(1_000);
    restartEmpty(rig, [rig.primary], 'same');
    for (const target of rig.targets) target.silent = target !== rig.primary;
    assert.is(countDone(rig, sendFor(rig, 'read', 400)), 0);
  });

  test(`a log that a later term has cut back is no lost one, ${fence}`, () => {
    const rig = createLossRig(fenced);
    sendFor(rig, 'write', 100);
    const { primary } = rig;
    primary.received = { term: 1, index: 90 };
    primary.applied = primary.received;
    primary.term = 3;
    rig.reset(primary);
    if (!fenced) rig.engine.leadershipsSeen([{ group: 'g', term: 3, token: 60, target: 't1' }]);
    hearOthers(rig, OTHERS, 500);
    assert.ok(countDone(rig, sendFor(rig, 'write', 200)) > 0);
    assert.equal(rig.promotions, []);
    assert.not.ok(isLossLogged(rig));
  });
}

test('targets that all start again without their logs, none of them leading, get a primary', () => {
  const rig = createLossRig(true);
  sendFor(rig, 'write', 100);
  restartEmpty(rig, rig.targets, 'later');
  rig.primary.role = 'replica';
  assert.ok(waitForPromotion(rig, 8_000));
});

test('no target without a log is promoted while another may have one', () => {
  const rig = createLossRig(true);
  sendFor(rig, 'write', 100);
  const [, , holder] = rig.targets;
  if (!holder) throw new Error('the rig has three targets');
  restartEmpty(
    rig,
    rig.targets.filter((target) => target !== holder),
    'later',
  );
  rig.primary.role = 'replica';
  holder.silent = true;
  rig.reset(holder);
  assert.is(waitForPromotion(rig, 8_000), undefined);
});

test('replicas stay paused while the primary has lost its log', () => {
  const rig = createLossRig(true);
  const groups = new Map([['g', { connectionLimit: 20, syncReplicas: 1 }]]);
  const { routes = new Map(), transactionIdleMs = 0 } = rig.engine.world.config ?? {};
  rig.engine.applyConfig({ version: 2, routes, groups, transactionIdleMs }, 'test');
  sendFor(rig, 'write', 100);
  restartEmpty(rig, [rig.primary], 'later');
  const first = waitForPromotion(rig) ?? '';
  rig.engine.promotionEnded('g', first, 'lost_claim');
  hearOthers(rig, OTHERS, 300);
  assert.ok(rig.targets.some(({ id, held }) => id !== first && held > 0));
});

test('a primary that loses its log before the first commit of its term acknowledges no write', () => {
  const rig = createLossRig(true);
  sendFor(rig, 'write', 100);
  const [, next] = rig.targets;
  if (!next) throw new Error('the rig has three targets');
  const { received } = rig.primary;
  for (const target of rig.targets) target.isDeaf = true;
  rig.promote(next);
  Object.assign(next, { received, applied: received });
  hearOthers(rig, OTHERS, 600);
  restartEmpty(rig, [next], 'later');
  assert.is(countDone(rig, sendFor(rig, 'write', 600)), 0);
});

for (const fenced of [true, false])
  test(`a daemon that starts after the loss acknowledges no write, ${fenced ? 'with' : 'without'} a fence`, () => {
    const rig = createLossRig(fenced, (target) => {
      if (target.id === 't1') emptyLog(target);
      target.isDeaf = true;
    });
    assert.is(countDone(rig, sendFor(rig, 'write', 600)), 0);
    assert.ok(['t2', 't3'].includes(waitForPromotion(rig) ?? 'none'));
  });

test.run();

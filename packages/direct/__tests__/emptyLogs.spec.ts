// A group whose targets hold nothing yet, as each new one: it is served as any other, with a fence and
// without one. Without a fence, no request was served, since nothing gave the log its first position.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { ReadPolicy } from '../src/index';
import { emptyLog } from './fakeTarget';
import type { FakeTarget } from './fakeTarget';
import { hearOthers, OTHERS } from './fencingRig';
import { applyFleet, createRig, freezeReplicas, openSession } from './rig';
import type { Rig } from './rig';

/** A rig of five daemons whose targets are changed before it first connects to them. */
function createEmptyRig(promotionsFenced: boolean, change: (target: FakeTarget) => void): Rig {
  const rig = createRig({ promotionsFenced });
  rig.targets.forEach(change);
  applyFleet(rig, ['d1', ...OTHERS]);
  hearOthers(rig, OTHERS, 400);
  for (const database of ['bookings', 'loops', 'beats']) openSession(rig, database, database);
  return rig;
}

function outcomeOf(rig: Rig, session: string, kind: 'read' | 'write', ms = 200): string {
  const id = rig.submit(session, { kind, text: `${kind.toUpperCase()} 1 x` });
  hearOthers(rig, OTHERS, ms);
  const answer = rig.answerOf(id)?.answer;
  return answer?.kind === 'failed' ? answer.failure.kind : (answer?.kind ?? 'none');
}

/** The targets that ran `count` reads of a database. */
function readersOf(rig: Rig, database: string, count: number): Set<string> {
  const before = rig.targets.map(({ executed }) => executed.length);
  for (let at = 0; at < count; at += 1) assert.is(outcomeOf(rig, database, 'read', 100), 'done');
  const ran = rig.targets.filter(({ executed }, at) => executed.length > (before[at] ?? 0));
  return new Set(ran.map(({ id }) => id));
}

/** The policies whose reads replicas serve, too. */
const BOUNDED = { loops: 'bounded_staleness', beats: 'read_your_writes' } satisfies Record<
  string,
  ReadPolicy
>;

for (const fenced of [true, false]) {
  const where = fenced ? 'with a fence' : 'without a fence';

  test(`a group whose logs are empty is served, ${where}`, () => {
    const rig = createEmptyRig(fenced, emptyLog);
    assert.is(outcomeOf(rig, 'bookings', 'read'), 'done');
    assert.is(outcomeOf(rig, 'bookings', 'write'), 'done');
    assert.is(outcomeOf(rig, 'bookings', 'read'), 'done');
  });

  test(`replicas serve bounded reads of empty logs, ${where}`, () => {
    const rig = createEmptyRig(fenced, emptyLog);
    for (const database of Object.keys(BOUNDED)) {
      const readers = readersOf(rig, database, 12);
      assert.ok(readers.has('t2') || readers.has('t3'), [...readers].join(' '));
    }
  });

  test(`a daemon tells others that it reaches a primary with an empty log, ${where}`, () => {
    const rig = createEmptyRig(fenced, emptyLog);
    outcomeOf(rig, 'bookings', 'read');
    const { opinions } = rig.engine.report(1, 0);
    assert.equal(opinions, [{ group: 'g', target: 't1', reachable: true }]);
  });

  test(`a primary that is lost before its first commit is replaced, ${where}`, () => {
    const rig = createEmptyRig(fenced, emptyLog);
    const [primary, next] = rig.targets;
    if (!primary || !next) throw new Error('the rig has three targets');
    outcomeOf(rig, 'bookings', 'read');
    primary.refusing = true;
    primary.silent = true;
    rig.reset(primary);
    for (let at = 0; at < 60 && rig.promotions.length === 0; at += 1) hearOthers(rig, OTHERS, 100);
    const [promotion] = rig.promotions;
    const promoted = rig.targets.find(({ id }) => id === promotion?.target);
    if (!promoted) throw new Error('no target was promoted');
    if (fenced) rig.promote(promoted);
    else rig.promoteUnfenced(promoted);
    emptyLog(promoted);
    rig.engine.promotionEnded('g', promoted.id, 'ordered');
    hearOthers(rig, OTHERS, 500);
    assert.is(outcomeOf(rig, 'bookings', 'write'), 'done');
    assert.is(promoted.executed.length, 1);
  });

  test(`a primary that names its position in the status alone is served, ${where}`, () => {
    const rig = createEmptyRig(fenced, (target) => {
      target.hidesPosition = true;
    });
    assert.is(outcomeOf(rig, 'bookings', 'write'), 'done');
    const readers = readersOf(rig, 'loops', 12);
    assert.ok(readers.has('t2') || readers.has('t3'), [...readers].join(' '));
  });

  // Its next read went to a replica that had not received the write.
  test(`a session reads its write whose position was not told, ${where}`, () => {
    const rig = createEmptyRig(fenced, (target) => {
      target.hidesPosition = true;
    });
    freezeReplicas(rig, 'applied', 'received');
    assert.is(outcomeOf(rig, 'beats', 'write'), 'done');
    assert.equal([...readersOf(rig, 'beats', 8)], ['t1']);
  });
}

test.run();

import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { chooseCandidate, targetsToSave } from '../src/index';
import { checkLogs } from '../src/logSafety';
import type { OtherLog } from '../src/logSafety';
import type { FakeTarget } from './fakeTarget';
import { createRig, openSession } from './rig';
import type { Rig } from './rig';

interface SyncRig {
  readonly rig: Rig;
  readonly primary: FakeTarget;
  readonly first: FakeTarget;
  readonly second: FakeTarget;
}

/** A group whose commits are acknowledged once one of its two replicas has received them. */
function createSyncRig(): SyncRig {
  const rig = createRig();
  const { config } = rig.engine.world;
  const [primary, first, second] = rig.targets;
  if (!config || !primary || !first || !second) throw new Error('no targets');
  const groups = new Map([['g', { connectionLimit: 20, syncReplicas: 1 }]]);
  rig.engine.applyConfig({ ...config, version: 2, groups }, 'test');
  rig.run(300);
  openSession(rig, 's', 'bookings');
  return { rig, primary, first, second };
}

/** Cuts this daemon off from a target that goes on. */
function cutOff(rig: Rig, target: FakeTarget): void {
  target.refusing = false;
  target.silent = true;
}

function crash(rig: Rig, target: FakeTarget): void {
  target.refusing = true;
  target.silent = true;
  rig.reset(target);
}

/** Writes every 100 ms for a time. */
function write(rig: Rig, ms: number): void {
  for (let at = 0; at < ms; at += 100) {
    openSession(rig, `w${rig.now()}`, 'bookings');
    rig.submit(`w${rig.now()}`, { kind: 'write', text: 'WRITE 1 x' });
    rig.run(100);
  }
}

function eventsOf(rig: Rig, type: string): typeof rig.events {
  return rig.events.filter((event) => event.type === type);
}

// Acknowledged commits were discarded: the primary and the other replica went on behind a split.
test('a replica is not promoted while one that cannot be reached may have further commits', () => {
  const { rig, primary, second } = createSyncRig();
  cutOff(rig, primary);
  cutOff(rig, second);
  write(rig, 8_000);
  assert.equal(rig.promotions, []);
  const [event] = eventsOf(rig, 'promotion_awaits');
  assert.is(event?.type === 'promotion_awaits' && event.awaited, 't1 t3');
});

test('writes are refused at once while a log is awaited', () => {
  const { rig, primary, second } = createSyncRig();
  cutOff(rig, primary);
  cutOff(rig, second);
  write(rig, 4_000);
  openSession(rig, 'late', 'bookings');
  const id = rig.submit('late', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(1);
  const answer = rig.answerOf(id)?.answer;
  assert.is(answer?.kind === 'failed' && answer.failure.kind, 'group_unavailable');
});

test('a lost primary is replaced as soon as before where all replicas reply', () => {
  const { rig, primary } = createSyncRig();
  crash(rig, primary);
  rig.run(900);
  assert.is(rig.promotions.length, 1);
});

test('the other replicas receive nothing more before a promotion is ordered', () => {
  const { rig, primary, first, second } = createSyncRig();
  cutOff(rig, primary);
  write(rig, 300);
  while (rig.promotions.length === 0 && rig.now() < 6_000) rig.run(1);
  const [promotion] = rig.promotions;
  const other = promotion?.target === 't2' ? second : first;
  assert.ok(other.held > 1);
  assert.is(promotion?.target === 't2' ? first.held : second.held, 0);
});

test('the replica that has received more by the time of the pause is promoted', () => {
  const { rig, primary, first, second } = createSyncRig();
  second.isDeaf = true;
  first.received = { term: 1, index: 140 };
  cutOff(rig, primary);
  write(rig, 3_000);
  assert.is(rig.promotions[0]?.target, 't2');
});

test('replicas receive again once the promotion has taken effect', () => {
  const { rig, primary, first, second } = createSyncRig();
  crash(rig, primary);
  rig.run(900);
  const next = rig.promotions[0]?.target === 't2' ? first : second;
  const other = next === first ? second : first;
  rig.engine.promotionEnded('g', next.id, 'ordered');
  const { held } = other;
  rig.promote(next);
  // A platform whose promotions do not end the pauses of other servers.
  other.held = held;
  assert.ok(held > 0);
  rig.run(1_000);
  assert.is(other.held, 0);
});

test('replicas receive again after a promotion that was given up, once no order of it is late', () => {
  const { rig, primary, first, second } = createSyncRig();
  cutOff(rig, primary);
  write(rig, 2_500);
  assert.is(rig.promotions.length, 1);
  rig.engine.promotionEnded('g', rig.promotions[0]?.target ?? '', 'unknown');
  primary.silent = false;
  rig.reset(primary);
  rig.run(6_000);
  assert.ok(first.held + second.held > 0);
  rig.run(9_000);
  assert.is(first.held + second.held, 0);
});

test('a replica that a killed daemon has paused receives again', () => {
  const { rig, second } = createSyncRig();
  second.held = 2;
  rig.run(25_000);
  assert.is(second.held, 0);
});

test('a replica that does not know the pause does not stop a promotion', () => {
  const { rig, primary, first, second } = createSyncRig();
  first.rejectsPause = true;
  second.rejectsPause = true;
  crash(rig, primary);
  rig.run(1_000);
  assert.is(rig.promotions.length, 1);
});

test('a replica that ended before the last sample of the primary is not awaited', () => {
  const { rig, primary, second } = createSyncRig();
  crash(rig, second);
  write(rig, 1_000);
  crash(rig, primary);
  write(rig, 1_500);
  assert.is(rig.promotions[0]?.target, 't2');
});

test('a replica that ends with the primary is awaited', () => {
  const { rig, primary, second } = createSyncRig();
  crash(rig, primary);
  crash(rig, second);
  write(rig, 8_000);
  assert.equal(rig.promotions, []);
});

test('a replica whose entry expires while it cannot be reached is still awaited', () => {
  const { rig, primary, second } = createSyncRig();
  cutOff(rig, primary);
  cutOff(rig, second);
  rig.applyList((listed) => (listed.id === 't2' ? listed : undefined));
  write(rig, 12_000);
  assert.equal([...rig.engine.world.targets.keys()], ['t2']);
  assert.equal(rig.promotions, []);
  const group = rig.engine.world.groups.get('g');
  if (!group) throw new Error('no group');
  assert.equal(
    targetsToSave(group).map(({ id }) => id),
    ['t1', 't2', 't3'],
  );
});

test('a replica that is gone for long is not awaited', () => {
  const { rig, primary } = createSyncRig();
  rig.applyList((listed) => (listed.id === 't3' ? undefined : listed));
  write(rig, 6_000);
  crash(rig, primary);
  write(rig, 1_500);
  assert.is(rig.promotions[0]?.target, 't2');
});

test('a server that takes over the log at an address ends the wait for the one before', () => {
  const { rig, primary, second } = createSyncRig();
  crash(rig, primary);
  crash(rig, second);
  write(rig, 3_000);
  assert.equal(rig.promotions, []);
  second.silent = false;
  second.refusing = false;
  rig.applyList((listed) => (listed.id === 't3' ? { ...listed, incarnation: 2 } : listed));
  write(rig, 1_500);
  assert.is(rig.promotions.length, 1);
});

test('only the log of a server that left as planned is taken over by the next one at its address', () => {
  const takenOver = (leaving: boolean): boolean => {
    const { rig, primary, second } = createSyncRig();
    rig.applyList((listed) => (listed.id === 't3' ? { ...listed, leaving } : listed));
    rig.run(100);
    crash(rig, primary);
    crash(rig, second);
    rig.applyList((listed) => (listed.id === 't3' ? undefined : listed));
    write(rig, 6_000);
    assert.equal(rig.promotions, []);
    rig.targets.push({ ...second, id: 't4', silent: false, refusing: false });
    const address = '10.0.0.3:1';
    rig.applyList((listed) => {
      if (listed.id === 't3') return undefined;
      return listed.id === 't4' ? { ...listed, address } : listed;
    });
    write(rig, 4_000);
    return rig.promotions.length > 0;
  };
  assert.ok(takenOver(true));
  assert.not.ok(takenOver(false));
});

test('a server that is paused already and keeps its term counts as paused', () => {
  const { rig, primary, first, second } = createSyncRig();
  for (const target of [first, second])
    Object.defineProperty(target, 'held', { get: () => 9, set: () => undefined });
  crash(rig, primary);
  write(rig, 2_000);
  assert.is(rig.promotions.length, 1);
});

test('a primary that is back as a replica tells all that it has acknowledged', () => {
  const { rig, primary, first, second } = createSyncRig();
  cutOff(rig, second);
  crash(rig, primary);
  write(rig, 3_000);
  assert.equal(rig.promotions, []);
  primary.role = 'replica';
  primary.silent = false;
  primary.refusing = false;
  primary.received = { term: 1, index: first.received.index + 3 };
  write(rig, 2_000);
  assert.is(rig.promotions[0]?.target, 't1');
});

/** A release of the second replica, and a first one that lacks its last commits; then the primary crashes. */
function crashInRelease(drainingMs: number): SyncRig {
  const sync = createSyncRig();
  const { rig, primary, first, second } = sync;
  rig.applyList((listed) => (listed.id === 't3' ? { ...listed, leaving: true } : listed));
  rig.run(drainingMs);
  first.isDeaf = true;
  second.received = { term: 1, index: first.received.index + 7 };
  crash(rig, primary);
  write(rig, 1_500);
  return sync;
}

// Acknowledged commits were discarded: a replica that lacked them was promoted since it stays.
test('a leaving replica that alone has the last commits is promoted', () => {
  assert.is(crashInRelease(500).rig.promotions[0]?.target, 't3');
});

test('a leaving replica is asked for its log until it ends', () => {
  assert.is(crashInRelease(4_000).rig.promotions[0]?.target, 't3');
});

test('a leaving replica that was promoted is replaced once another one has its log', () => {
  const { rig, first, second } = crashInRelease(500);
  rig.engine.promotionEnded('g', 't3', 'ordered');
  rig.promote(second);
  rig.run(500);
  assert.is(rig.promotions.length, 1);
  first.isDeaf = false;
  first.received = second.received;
  write(rig, 2_000);
  assert.is(rig.promotions[1]?.target, 't2');
});

test('a leaving replica is promoted only for a newer log, and only where commits wait for replicas', () => {
  const staying = { id: 'a', leaving: false, failing: false, reply: 'status' } as const;
  const leaving = { ...staying, id: 'b', leaving: true };
  const at = (index: number): { received: { term: number; index: number } } => ({
    received: { term: 1, index },
  });
  const choose = (a: number, b: number, preference?: 'newest'): string | undefined =>
    chooseCandidate(
      [
        { ...staying, ...at(a) },
        { ...leaving, ...at(b) },
      ],
      preference,
    )?.id;
  assert.is(choose(7, 8, 'newest'), 'b');
  assert.is(choose(8, 8, 'newest'), 'a');
  assert.is(choose(7, 8), 'a');
});

const log = (id: string, index?: number, isFinal = true): OtherLog => ({
  id,
  received: index === undefined ? undefined : { term: 1, index },
  isFinal,
});

test('a log is complete if it covers all known ones, and no more than the replicas of a commit are unknown', () => {
  const received = { term: 1, index: 9 };
  const check = (...others: readonly OtherLog[]): string =>
    checkLogs({ syncReplicas: 1, received, others }).kind;
  assert.is(check(log('p'), log('b', 9)), 'complete');
  assert.is(check(log('p'), log('b', 10)), 'behind');
  assert.is(check(log('p'), log('b', 9, false)), 'awaits');
  assert.is(check(log('p'), log('b')), 'awaits');
  assert.is(check(log('p', 9), log('b')), 'complete');
  assert.is(check(log('p'), log('b', 9), log('c')), 'awaits');
  const floor = { term: 1, index: 12 };
  assert.is(checkLogs({ syncReplicas: 1, received, others: [], floor }).kind, 'behind');
  assert.is(
    checkLogs({ syncReplicas: 2, received, others: [log('p'), log('b')] }).kind,
    'complete',
  );
});

test.run();

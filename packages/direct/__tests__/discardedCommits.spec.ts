import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { FakeTarget } from './fakeTarget';
import { createRig, openSession } from './rig';
import type { Rig } from './rig';

const RECEIVED = { term: 1, index: 100 };

/** Makes a target lead the next term with a log that ends at `RECEIVED`, as do all others then. */
function promoteWithout(rig: Rig, next: FakeTarget): void {
  const term = Math.max(...rig.targets.map((one) => one.term)) + 1;
  for (const one of rig.targets) {
    Object.assign(one, { term, role: one === next ? 'primary' : 'replica' });
    Object.assign(one, { received: RECEIVED, applied: RECEIVED });
  }
}

/** A rig whose sessions have written five commits, which a promotion then discards. */
function createCutRig(): Rig {
  const rig = createRig();
  rig.run(200);
  for (const database of ['loops', 'beats']) openSession(rig, database, database);
  for (let at = 0; at < 5; at += 1) {
    rig.submit('beats', { kind: 'write', text: 'WRITE 1 x' });
    rig.run(100);
  }
  const [, next] = rig.targets;
  if (!next) throw new Error('no target');
  promoteWithout(rig, next);
  rig.run(600);
  return rig;
}

function outcomesOf(rig: Rig, session: string, count: number): unknown[] {
  return Array.from({ length: count }, () => {
    const read = rig.submit(session, { kind: 'read', text: 'READ 1' });
    rig.run(120);
    return rig.answerOf(read)?.answer.kind;
  });
}

test('reads do not fail until the samples of discarded commits are too old', () => {
  const rig = createCutRig();
  assert.equal(outcomesOf(rig, 'loops', 4), Array(4).fill('done'));
});

test('a session reads again after a promotion has discarded its last commit', () => {
  const rig = createCutRig();
  rig.run(5_000);
  assert.equal(outcomesOf(rig, 'beats', 4), Array(4).fill('done'));
});

test('replicas serve reads after two promotions have discarded all commits of a term', () => {
  const rig = createCutRig();
  rig.submit('beats', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(200);
  assert.is(rig.engine.world.groups.get('g')?.term, 2);
  const [, , next] = rig.targets;
  if (!next) throw new Error('no target');
  promoteWithout(rig, next);
  rig.run(4_000);
  const served = Array.from({ length: 8 }, () => {
    const read = rig.submit('loops', { kind: 'read', text: 'READ 1' });
    rig.run(120);
    const answer = rig.answerOf(read)?.answer;
    return answer?.kind === 'done' ? answer.rows[0] : 'failed';
  });
  assert.not.ok(served.includes('failed'), served.join(' '));
  assert.ok(served.includes('t1/') || served.includes('t2/'), served.join(' '));
});

test('a late reply of the primary before a promotion does not bring its samples back', () => {
  const rig = createCutRig();
  rig.submit('beats', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(200);
  const position = { term: 1, index: 105 };
  const sample = { group: 'g', primary: 't1', position, ageMs: 0, leaderTerm: 0 };
  const askedAt = (rig.engine.world.groups.get('g')?.termSeenAt ?? 0) - 1;
  rig.engine.samplesReceived({ samples: [sample], totals: [] }, askedAt, 'd2');
  const group = rig.engine.world.groups.get('g');
  assert.is(group?.term, 2);
  assert.ok(group?.samples.every((one) => one.position.term === 2));
});

test.run();

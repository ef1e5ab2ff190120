import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { CallerStatement } from '../src/index';
import { applyFleet, createReport, createRig, openSession } from './rig';
import type { Rig } from './rig';

const OTHERS = ['d2', 'd3', 'd4', 'd5'];

const WRITE: CallerStatement = { kind: 'write', text: 'WRITE 1 x' };
const READ: CallerStatement = { kind: 'read', text: 'READ 1' };

/** A daemon that has just restarted, beside others, while the primary of term 2 has led for long. */
function createRestartedRig(): Rig {
  const rig = createRig({ promotionsFenced: false });
  const [primary] = rig.targets;
  if (primary) primary.term = 2;
  applyFleet(rig, ['d1', ...OTHERS]);
  rig.engine.leadershipsSeen([{ group: 'g', term: 2, token: 50, target: 't1' }]);
  return rig;
}

/** Submits a statement of a new session every 20 ms, and returns the requests. */
function submitFor(rig: Rig, ms: number, database: string, statement: CallerStatement): string[] {
  const requests: string[] = [];
  for (let at = 0; at < ms; at += 20) {
    const session = openSession(rig, `${database}-${rig.now()}`, database);
    requests.push(rig.submit(session, statement));
    rig.run(20);
  }
  return requests;
}

function countDone(rig: Rig, requests: readonly string[]): number {
  rig.run(400);
  return requests.filter((id) => rig.answerOf(id)?.answer.kind === 'done').length;
}

test('a claim from before a restart refuses no work for a primary that lives', () => {
  const rig = createRestartedRig();
  rig.engine.claimsRead(rig.now());
  const requests = submitFor(rig, 200, 'bookings', WRITE);
  assert.is(countDone(rig, requests), requests.length);
});

test('reads without a sample wait for the first proof after a restart', () => {
  const rig = createRestartedRig();
  rig.engine.claimsRead(rig.now());
  const requests = submitFor(rig, 200, 'beats', READ);
  assert.is(countDone(rig, requests), requests.length);
});

test('after a restart without a lease, callers are refused within 0.75 of their objective', () => {
  const rig = createRestartedRig();
  const requests = submitFor(rig, 2_000, 'bookings', WRITE);
  rig.run(400);
  const waits = requests.map((id, at) => (rig.answerOf(id)?.at ?? Infinity) - 1_000 - at * 20);
  assert.ok(
    waits.every((ms) => ms <= 150 + 25),
    String(Math.max(...waits)),
  );
  // After a second without a lease there is no reason to expect one soon.
  assert.ok(waits.slice(50).every((ms) => ms <= 25));
});

test('a lost lease is expected back with the next reports', () => {
  const rig = createRestartedRig();
  rig.engine.claimsRead(rig.now());
  rig.run(200);
  // The lease of the read ends at 700 ms; the reports of the others come 50 ms later.
  rig.run(520);
  const requests = submitFor(rig, 40, 'bookings', WRITE);
  for (const name of OTHERS) rig.engine.applyPeer(createReport(name));
  assert.is(countDone(rig, requests), requests.length);
});

test.run();

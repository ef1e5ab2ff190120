import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createRig, openSession } from './rig';

test('a draining daemon without sessions serves callers while the platform may send them', () => {
  const rig = createRig();
  rig.run(300);
  rig.engine.drain();
  rig.run(1_000);
  assert.not.ok(rig.engine.isDrained());
  openSession(rig, 'late', 'loops');
  const read = rig.submit('late', { kind: 'read', text: 'READ 1' });
  rig.run(1_500);
  assert.is(rig.answerOf(read)?.answer.kind, 'done');
  rig.run(500);
  assert.ok(rig.engine.isDrained());
});

test('a drain closes idle sessions late and a few per tick, and never busy ones', () => {
  const rig = createRig();
  rig.run(300);
  for (let at = 0; at < 30; at += 1) openSession(rig, `s${at}`, 'loops');
  rig.engine.drain();
  rig.run(2_000);
  assert.is(rig.closedSessions.length, 0);
  const read = rig.submit('s0', { kind: 'read', text: 'READ 1' });
  for (const target of rig.targets) target.runMs = 600;
  rig.run(250);
  assert.ok(rig.closedSessions.length >= 8 && rig.closedSessions.length < 30);
  assert.not.ok(rig.closedSessions.includes('s0'));
  rig.run(1_500);
  assert.is(rig.answerOf(read)?.answer.kind, 'done');
  assert.ok(rig.engine.isDrained());
});

test('a drain leaves an open transaction some time, then its next statement fails', () => {
  const rig = createRig();
  rig.run(300);
  openSession(rig, 's', 'bookings');
  rig.submit('s', { kind: 'begin', readOnly: false });
  rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(50);
  rig.engine.drain();
  rig.run(2_500);
  assert.is(rig.engine.world.sessions.get('s')?.transaction?.lostReason, undefined);
  rig.run(500);
  const next = rig.submit('s', { kind: 'read', text: 'READ 1' });
  const answer = rig.answerOf(next)?.answer;
  assert.is(answer?.kind === 'failed' && answer.failure.kind, 'transaction_lost');
  assert.not.ok(rig.engine.isDrained());
  rig.submit('s', { kind: 'rollback' });
  rig.run(100);
  assert.ok(rig.engine.isDrained());
});

test.run();

import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createRig, freezeReplicas, openSession } from './rig';
import type { Rig } from './rig';

/** Id of the target that a successful read ran on. */
function servedBy(rig: Rig, request: string): string {
  const received = rig.answerOf(request);
  if (received?.answer.kind !== 'done') throw new Error(`${request} was not served`);
  return (received.answer.rows[0] ?? '').split('/')[0] ?? '';
}

/** A rig that has run long enough to have samples of several ages. */
function createWarmRig(): Rig {
  const rig = createRig();
  rig.run(200);
  openSession(rig, 'warm', 'loops');
  rig.submit('warm', { kind: 'read', text: 'READ 1' });
  rig.run(2_000);
  return rig;
}

test('a read of a primary route is never answered by a demoted primary', () => {
  const rig = createWarmRig();
  const [old, next] = rig.targets;
  openSession(rig, 's', 'bookings');
  if (!old || !next) throw new Error('no targets');
  rig.promote(next);
  const read = rig.submit('s', { kind: 'read', text: 'READ 7' });
  rig.run(900);
  assert.is(servedBy(rig, read), next.id);
  assert.not.ok(old.executed.some((one) => one.id === read));
});

test('a bounded-staleness read runs on a replica within its limit', () => {
  const rig = createWarmRig();
  openSession(rig, 's', 'loops');
  const reads = Array.from({ length: 12 }, (_, at) => {
    const id = rig.submit('s', { kind: 'read', text: `READ ${at}` });
    rig.run(60);
    return servedBy(rig, id);
  });
  assert.ok(reads.some((id) => id !== 't1'));
});

test('a bounded-staleness read never runs on a replica beyond its limit', () => {
  const rig = createWarmRig();
  openSession(rig, 'w', 'bookings');
  openSession(rig, 's', 'loops');
  freezeReplicas(rig, 'applied');
  rig.submit('w', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(2_000);
  for (let at = 0; at < 10; at += 1) {
    const read = rig.submit('s', { kind: 'read', text: `READ ${at}` });
    rig.run(100);
    assert.is(servedBy(rig, read), 't1');
  }
});

test('a session reads its own write at once, at the primary while replicas lag', () => {
  const rig = createWarmRig();
  openSession(rig, 's', 'beats');
  for (let at = 0; at < 10; at += 1) {
    const write = rig.submit('s', { kind: 'write', text: `WRITE ${at} x` });
    rig.run(25);
    assert.is(rig.answerOf(write)?.answer.kind, 'done');
    const read = rig.submit('s', { kind: 'read', text: `READ ${at}` });
    rig.run(40);
    assert.is(servedBy(rig, read), 't1');
  }
});

test('samples from before a suspension are not used', () => {
  const rig = createWarmRig();
  const { world } = rig.engine;
  assert.ok((world.groups.get('g')?.samples.length ?? 0) > 0);
  rig.engine.timeJumped(4_000);
  assert.is(world.groups.get('g')?.samples.length, 0);
  openSession(rig, 's', 'loops');
  const read = rig.submit('s', { kind: 'read', text: 'READ 1' });
  rig.run(100);
  assert.is(servedBy(rig, read), 't1');
});

test('a sample whose request was sent before a suspension does not count', () => {
  const rig = createWarmRig();
  openSession(rig, 'w', 'bookings');
  rig.submit('w', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(5);
  rig.engine.timeJumped(4_000);
  rig.run(18);
  const samples = rig.engine.world.groups.get('g')?.samples ?? [];
  assert.not.ok(samples.some((sample) => sample.position.index === 101));
});

test('replicas serve reads without a primary while their data is recent enough', () => {
  const rig = createWarmRig();
  const [primary] = rig.targets;
  if (primary) primary.silent = true;
  openSession(rig, 's', 'beats');
  for (let at = 0; at < 8; at += 1) {
    const read = rig.submit('s', { kind: 'read', text: `READ ${at}` });
    rig.run(150);
    assert.not.equal(servedBy(rig, read), 't1');
  }
});

test('a replica whose refusal of BEGIN was lost counted as the primary by the ROLLBACK behind it', () => {
  const rig = createWarmRig();
  openSession(rig, 's', 'loops');
  for (const target of rig.targets) {
    target.role = 'replica';
    target.losesBegins = true;
  }
  const reads = Array.from({ length: 10 }, (_, at) => {
    const id = rig.submit('s', { kind: 'read', text: `READ ${at}` });
    rig.run(1_000);
    return rig.answerOf(id)?.answer.kind;
  });
  // All samples from before are older than the limit of the route.
  assert.equal(reads.slice(3), Array(7).fill('failed'));
});

test('a read whose reply is lost is sent to a second target', () => {
  const rig = createWarmRig();
  for (const target of rig.targets.slice(0, 2)) target.dropsReplies = true;
  openSession(rig, 's', 'beats');
  const reads = Array.from({ length: 6 }, (_, at) => {
    const id = rig.submit('s', { kind: 'read', text: `READ ${at}` });
    rig.run(700);
    return id;
  });
  for (const read of reads) assert.is(servedBy(rig, read), 't3');
});

test('a read whose first try was lost is never reported as not run after later refusals', () => {
  const rig = createWarmRig();
  openSession(rig, 's', 'beats');
  for (const target of rig.targets) target.runMs = 100;
  const read = rig.submit('s', { kind: 'read', text: 'READ 1' });
  rig.run(60);
  for (const target of rig.targets) {
    target.repliesBusy = true;
    rig.reset(target);
  }
  rig.run(1_200);
  const answer = rig.answerOf(read)?.answer;
  assert.is(answer?.kind === 'failed' && answer.failure.kind, 'read_interrupted');
  assert.ok(
    rig.events.some((event) => event.type === 'request_retried' && event.reason === 'busy'),
  );
});

test('a read that all targets refused has not run', () => {
  const rig = createWarmRig();
  openSession(rig, 's', 'beats');
  for (const target of rig.targets) target.repliesBusy = true;
  const read = rig.submit('s', { kind: 'read', text: 'READ 1' });
  rig.run(1_200);
  const answer = rig.answerOf(read)?.answer;
  assert.is(answer?.kind === 'failed' && answer.failure.kind, 'overloaded');
});

test('a target that was slow is avoided', () => {
  const rig = createWarmRig();
  const [, slow] = rig.targets;
  if (slow) slow.runMs = 150;
  openSession(rig, 's', 'beats');
  const served: string[] = [];
  for (let at = 0; at < 40; at += 1) {
    const read = rig.submit('s', { kind: 'read', text: `READ ${at}` });
    rig.run(170);
    served.push(servedBy(rig, read));
  }
  const late = served.slice(20);
  assert.ok(late.filter((id) => id === 't2').length <= 3, late.join(' '));
});

test('the connection of a hedged read whose first target never replies is closed', () => {
  const rig = createRig();
  rig.run(300);
  openSession(rig, 's', 'loops');
  const read = rig.submit('s', { kind: 'read', text: 'READ 1' });
  rig.run(5);
  const busy = [...rig.engine.world.connections.values()].find((row) => row.state === 'busy');
  const silent = rig.targets.find(({ id }) => id === busy?.target.listed.id);
  if (!busy || !silent) throw new Error('the read was not sent');
  silent.silent = true;
  rig.run(500);
  assert.is(rig.answerOf(read)?.answer.kind, 'done');
  rig.run(2_000);
  assert.not.ok(rig.engine.world.connections.has(busy.id));
});

test.run();

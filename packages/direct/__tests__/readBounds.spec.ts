import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { DirectLogEvent } from '../src/index';
import { createRig, openSession } from './rig';
import type { Rig } from './rig';

type Event<Type extends DirectLogEvent['type']> = Extract<DirectLogEvent, { type: Type }>;

function eventsOf<Type extends DirectLogEvent['type']>(rig: Rig, type: Type): Event<Type>[] {
  return rig.events.filter((event): event is Event<Type> => event.type === type);
}

/** A rig with samples of several ages, whose primary has been settled for some seconds. */
function createSettledRig(): Rig {
  const rig = createRig();
  rig.run(200);
  openSession(rig, 'warm', 'loops');
  rig.submit('warm', { kind: 'read', text: 'READ 1' });
  rig.run(4_000);
  rig.events.length = 0;
  return rig;
}

test('the bounds of reads are logged only while the primary is unsettled', () => {
  const rig = createSettledRig();
  openSession(rig, 's', 'loops');
  rig.submit('s', { kind: 'read', text: 'READ 1' });
  rig.run(100);
  assert.equal(eventsOf(rig, 'read_bound'), []);
  const [primary] = rig.targets;
  if (primary) primary.silent = true;
  rig.run(700);
  const [sample] = rig.engine.world.groups.get('g')?.samples ?? [];
  const read = rig.submit('s', { kind: 'read', text: 'READ 1' });
  const arrivedAt = rig.now();
  rig.run(100);
  const [bound] = eventsOf(rig, 'read_bound');
  assert.is(bound?.request, read);
  assert.is(bound?.policy, 'bounded_staleness');
  assert.is(bound?.position, '1:100');
  assert.is(bound?.basis, 'sample');
  assert.is(bound?.takenBy, 'd1');
  assert.is(bound?.proven, false);
  assert.ok((bound?.sampleAgeMs ?? Infinity) <= arrivedAt - (sample?.sentAt ?? 0));
  assert.ok((bound?.sampleAgeMs ?? Infinity) <= 1_500);
});

test('at most four bounds a second are logged for a group', () => {
  const rig = createSettledRig();
  rig.engine.claimSeen('g', 't2');
  const [primary] = rig.targets;
  if (primary) primary.silent = true;
  openSession(rig, 's', 'loops');
  for (let at = 0; at < 20; at += 1) {
    rig.submit('s', { kind: 'read', text: 'READ 1' });
    rig.run(50);
  }
  const { length } = eventsOf(rig, 'read_bound');
  assert.ok(length >= 2 && length <= 4, `${length}`);
});

test('a bound names the commit of its session, and the proof that stands for a position', () => {
  const rig = createSettledRig();
  const [, next] = rig.targets;
  if (!next) throw new Error('no target');
  openSession(rig, 's', 'beats');
  rig.promote(next);
  const write = rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(400);
  assert.is(rig.answerOf(write)?.answer.kind, 'done');
  const read = rig.submit('s', { kind: 'read', text: 'READ 1' });
  rig.run(300);
  rig.engine.timeJumped(4_000);
  const proven = rig.submit('s', { kind: 'read', text: 'READ 1' });
  rig.run(100);
  const bounds = eventsOf(rig, 'read_bound');
  const ofSession = bounds.find(({ request }) => request === read);
  assert.is(ofSession?.basis, 'session');
  assert.is(ofSession?.position, '2:101');
  const ofProof = bounds.find(({ request }) => request === proven);
  assert.is(ofProof?.proven, true);
  assert.is(ofProof?.position, 'none');
});

test('a sample of a newer term is logged with what it drops', () => {
  const rig = createSettledRig();
  const [, next] = rig.targets;
  if (!next) throw new Error('no target');
  openSession(rig, 'w', 'bookings');
  rig.promote(next);
  rig.submit('w', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(400);
  const [event] = eventsOf(rig, 'samples_dropped');
  assert.is(event?.newest, '1:100');
  assert.is(event?.by, '2:100');
  assert.ok((event?.dropped ?? 0) > 1);
});

test.run();

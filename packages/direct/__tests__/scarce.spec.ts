import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { samplerOf } from '../src/index';
import type { ListedDaemon, PeerReport } from '../src/index';
import { createRig, openSession } from './rig';
import type { Rig } from './rig';

/** More daemons than a target has connections, in two failure domains. */
const DAEMONS: readonly ListedDaemon[] = Array.from({ length: 40 }, (_, at) => ({
  name: `d${at + 1}`,
  failureDomain: at % 2 === 0 ? 'a' : 'b',
}));

function createScarceRig(): Rig {
  const rig = createRig();
  rig.engine.applyDirectory(DAEMONS);
  return rig;
}

test('each failure domain has one sampler of a group, the same for all of its daemons', () => {
  const first = samplerOf(DAEMONS, 'g', 'a');
  const second = samplerOf(DAEMONS, 'g', 'b');
  assert.ok(first !== undefined && second !== undefined && first !== second);
  assert.is(samplerOf(DAEMONS.toReversed(), 'g', 'a'), first);
  const rest = DAEMONS.filter((daemon) => daemon.name !== first);
  assert.is.not(samplerOf(rest, 'g', 'a'), first);
  assert.is(samplerOf(DAEMONS, 'g', 'nowhere'), undefined);
});

test('few groups change their sampler when a daemon leaves', () => {
  const groups = Array.from({ length: 200 }, (_, at) => `g${at}`);
  const before = groups.map((group) => samplerOf(DAEMONS, group, 'a'));
  const rest = DAEMONS.filter((daemon) => daemon.name !== before[0]);
  const moved = groups.filter((group, at) => samplerOf(rest, group, 'a') !== before[at]);
  assert.ok(moved.length < 30, `${moved.length} moved`);
});

test('scarce connections are closed when idle, and samples are requested from the sampler', () => {
  const rig = createScarceRig();
  openSession(rig, 's', 'loops');
  for (let at = 0; at < 6; at += 1) {
    rig.submit('s', { kind: 'read', text: 'READ 1' });
    rig.run(300);
  }
  assert.ok(rig.sampleRequests.length >= 2);
  assert.is(rig.sampleRequests[0]?.peer, samplerOf(DAEMONS, 'g', 'a'));
  rig.run(4_000);
  assert.is(rig.engine.world.connections.size, 0);
});

test('a peer sample serves reads and is dated by the time of its request', () => {
  const rig = createScarceRig();
  openSession(rig, 's', 'loops');
  const askedAt = rig.now();
  rig.run(100);
  const position = { term: 1, index: 100 };
  rig.engine.samplesReceived([{ group: 'g', primary: 't1', position, ageMs: 200 }], askedAt);
  const sample = rig.engine.world.groups.get('g')?.samples.at(-1);
  assert.is(sample?.sentAt, askedAt - 200);
  const reads = Array.from({ length: 8 }, () => {
    const id = rig.submit('s', { kind: 'read', text: 'READ 1' });
    rig.run(80);
    const answer = rig.answerOf(id)?.answer;
    return answer?.kind === 'done' ? answer.rows[0]?.split('/')[0] : 'failed';
  });
  assert.ok(
    reads.some((id) => id === 't2' || id === 't3'),
    reads.join(' '),
  );
});

test('samples that were requested before a suspension are ignored', () => {
  const rig = createScarceRig();
  const askedAt = rig.now();
  rig.run(50);
  rig.engine.timeJumped(4_000);
  const position = { term: 1, index: 100 };
  rig.engine.samplesReceived([{ group: 'g', primary: 't1', position, ageMs: 10 }], askedAt);
  assert.is(rig.engine.world.groups.get('g')?.samples.length, 0);
});

test('peer samples of an older term are ignored', () => {
  const rig = createScarceRig();
  const receiveSample = (term: number, index: number): void => {
    const peerSample = { group: 'g', primary: 't1', position: { term, index }, ageMs: 0 };
    rig.engine.samplesReceived([peerSample], rig.now());
    rig.run(10);
  };
  receiveSample(2, 90);
  receiveSample(1, 200);
  assert.equal(rig.engine.world.groups.get('g')?.samples.at(-1)?.position, { term: 2, index: 90 });
});

test('connections that other daemons report cannot be borrowed', () => {
  const rig = createRig();
  rig.run(100);
  const report = (held: number): PeerReport => ({
    name: 'd2',
    config: 1,
    view: 1,
    opinions: [],
    loads: [['t1', held, 0]],
    storeAgeMs: 0,
    leaderships: [],
  });
  rig.engine.applyPeer(report(17));
  openSession(rig, 's', 'bookings');
  for (let at = 0; at < 20; at += 1) {
    openSession(rig, `w${at}`, 'bookings');
    rig.submit(`w${at}`, { kind: 'begin', readOnly: false });
    rig.submit(`w${at}`, { kind: 'write', text: 'WRITE 1 x' });
  }
  rig.run(150);
  const count = rig.connectionsAt('t1');
  assert.ok(count >= 1 && count <= 9, `${count} connections`);
});

test('a new directory names new samplers', () => {
  const rig = createRig({}, 5);
  rig.engine.applyDirectory(DAEMONS);
  rig.run(100);
  const first = samplerOf(DAEMONS, 'g', 'a');
  const rest = DAEMONS.filter(({ name }) => name !== first);
  rig.engine.applyDirectory(rest);
  openSession(rig, 's', 'loops');
  rig.submit('s', { kind: 'read', text: 'READ 1' });
  rig.run(1_000);
  assert.is(rig.sampleRequests.at(-1)?.peer, samplerOf(rest, 'g', 'a'));
});

test('a tick reads the directory of a large fleet only after it has changed', () => {
  let reads = 0;
  const daemons = Array.from({ length: 195 }, (_, at) => ({
    name: `d${at}`,
    get failureDomain() {
      reads += 1;
      return 'a';
    },
  }));
  const rig = createRig({}, 5);
  rig.engine.applyDirectory(daemons);
  rig.run(100);
  reads = 0;
  rig.run(1_000);
  assert.is(reads, 0);
});

test.run();

import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { samplersOf, scarceIdleTimeoutMs } from '../src/index';
import type { DirectSettings, ListedDaemon, PeerReport } from '../src/index';
import { emptyLog } from './fakeTarget';
import { createReport, createRig, openSession } from './rig';
import type { Rig } from './rig';

/** More daemons than a target has connections, in two failure domains. */
const DAEMONS: readonly ListedDaemon[] = Array.from({ length: 40 }, (_, at) => ({
  name: `d${at + 1}`,
  failureDomain: at % 2 === 0 ? 'a' : 'b',
}));

/** The sampler of a group in a failure domain. */
function samplerOf(
  daemons: readonly ListedDaemon[],
  group: string,
  failureDomain: string,
): string | undefined {
  return samplersOf(daemons, group).get(failureDomain);
}

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
  rig.engine.samplesReceived(
    { samples: [{ group: 'g', primary: 't1', position, ageMs: 200, leaderTerm: 0 }], totals: [] },
    askedAt,
    's1',
  );
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

test('a daemon learns of a primary whose sampler has no position of it', () => {
  const rig = createScarceRig();
  rig.engine.samplesReceived(
    { samples: [{ group: 'g', primary: 't1', ageMs: 10, leaderTerm: 0 }], totals: [] },
    rig.now(),
    's1',
  );
  const group = rig.engine.world.groups.get('g');
  assert.is(group?.primaryLearnedAt, rig.now() - 10);
  assert.is(group?.samples.length, 0);
});

test('a sampler tells others that a primary with an empty log leads', () => {
  const rig = createRig({}, 5, samplerOf(DAEMONS, 'g', 'a'));
  rig.targets.forEach(emptyLog);
  rig.engine.applyDirectory(DAEMONS);
  openSession(rig, 's', 'bookings');
  rig.submit('s', { kind: 'read', text: 'READ 1' });
  rig.run(400);
  const { samples } = rig.engine.replyToRequest('d1', [{ group: 'g', loads: [] }]);
  assert.ok(samples.some(({ primary, position }) => primary === 't1' && position?.index === 0));
});

test('samples that were requested before a suspension are ignored', () => {
  const rig = createScarceRig();
  const askedAt = rig.now();
  rig.run(50);
  rig.engine.timeJumped(4_000);
  const position = { term: 1, index: 100 };
  rig.engine.samplesReceived(
    { samples: [{ group: 'g', primary: 't1', position, ageMs: 10, leaderTerm: 0 }], totals: [] },
    askedAt,
    's1',
  );
  assert.is(rig.engine.world.groups.get('g')?.samples.length, 0);
});

test('peer samples of an older term are ignored', () => {
  const rig = createScarceRig();
  const receiveSample = (term: number, index: number): void => {
    const peerSample = {
      group: 'g',
      primary: 't1',
      position: { term, index },
      ageMs: 0,
      leaderTerm: 0,
    };
    rig.engine.samplesReceived({ samples: [peerSample], totals: [] }, rig.now(), 's1');
    rig.run(10);
  };
  receiveSample(2, 90);
  receiveSample(1, 200);
  assert.equal(rig.engine.world.groups.get('g')?.samples.at(-1)?.position, { term: 2, index: 90 });
});

test('connections that other daemons report cannot be borrowed', () => {
  const rig = createRig();
  rig.run(100);
  const report = (held: number): PeerReport => createReport('d2', { loads: [['t1', held, 0]] });
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

/** A daemon of a scarce fleet that leaves the samples of group g to another one. */
function createFollowerRig(settings: Partial<DirectSettings> = {}): Rig {
  const rig = createRig(settings, 5);
  const sampler = samplerOf(DAEMONS, 'g', 'a');
  if (sampler === 'd1') throw new Error('the rig samples the group itself');
  rig.engine.applyDirectory(DAEMONS);
  openSession(rig, 's', 'bookings');
  return rig;
}

/** Delivers a sample that names the primary, taken now. */
function tellPrimary(rig: Rig, primary: string, leaderTerm = 0): void {
  const position = { term: 1, index: 100 };
  rig.engine.samplesReceived(
    { samples: [{ group: 'g', primary, position, ageMs: 0, leaderTerm }], totals: [] },
    rig.now(),
    's1',
  );
}

test('a daemon that does not probe adopts the new primary that its sampler has proven', () => {
  const rig = createFollowerRig();
  rig.run(100);
  const [old, next] = rig.targets;
  if (!old || !next) throw new Error('no targets');
  old.silent = true;
  rig.promote(next);
  rig.run(50);
  tellPrimary(rig, 't2');
  const write = rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(100);
  assert.is(rig.answerOf(write)?.answer.kind, 'done');
  assert.is(next.executed.length, 1);
});

test('a sampler does not pass on a primary that it has not proven', () => {
  const name = samplerOf(DAEMONS, 'g', 'a') ?? '';
  const rig = createRig({}, 5, name);
  rig.engine.applyDirectory(DAEMONS);
  rig.run(400);
  const ask = [{ group: 'g', loads: [] }];
  assert.is(rig.engine.replyToRequest('d40', ask).samples[0]?.primary, 't1');
  rig.engine.claimSeen('g', 't2');
  for (const target of rig.targets) {
    target.silent = true;
    rig.reset(target);
  }
  rig.run(2_700);
  assert.is(rig.engine.world.groups.get('g')?.primary, 't2');
  const [sample] = rig.engine.replyToRequest('d40', ask).samples;
  assert.ok(sample);
  assert.is(sample.primary, undefined);
});

test('a sample older than what a daemon has seen itself does not change its primary', () => {
  const rig = createFollowerRig();
  tellPrimary(rig, 't1');
  rig.run(500);
  const position = { term: 1, index: 100 };
  const old = { group: 'g', primary: 't2', position, ageMs: 900, leaderTerm: 0 };
  rig.engine.samplesReceived({ samples: [old], totals: [] }, rig.now(), 's1');
  assert.is(rig.engine.world.groups.get('g')?.primary, 't1');
});

test('samples are requested more often while the primary may have been replaced', () => {
  const rig = createFollowerRig();
  const countRequests = (): number => {
    const before = rig.sampleRequests.length;
    for (let at = 0; at < 10; at += 1) {
      rig.submit('s', { kind: 'read', text: 'READ 1' });
      tellPrimary(rig, 't1');
      rig.run(200);
    }
    return rig.sampleRequests.length - before;
  };
  const usual = countRequests();
  if (rig.targets[0]) {
    rig.targets[0].refusing = true;
    rig.reset(rig.targets[0]);
  }
  rig.run(200);
  assert.ok(countRequests() > 2 * usual);
});

test('without a fence a daemon uses the primary in the term that its sampler has proven', () => {
  const rig = createFollowerRig({ promotionsFenced: false });
  rig.engine.claimsRead(rig.now());
  rig.run(100);
  const before = rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(60);
  assert.is.not(rig.answerOf(before)?.answer.kind, 'done');
  tellPrimary(rig, 't1', 1);
  rig.engine.claimsRead(rig.now());
  const write = rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(100);
  assert.is(rig.answerOf(write)?.answer.kind, 'done');
  rig.engine.leadershipsSeen([{ group: 'g', term: 2, token: 9, target: 't2' }]);
  tellPrimary(rig, 't1', 1);
  rig.engine.claimsRead(rig.now());
  const after = rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(60);
  assert.is.not(rig.answerOf(after)?.answer.kind, 'done');
});

test('opinions of a primary reach the samplers of its group, from the samplers only', () => {
  const samplers = samplersOf(DAEMONS, 'g');
  const name = samplers.get('a');
  if (name === undefined) throw new Error('no sampler');
  const rig = createRig({}, 5, name);
  rig.engine.applyDirectory(DAEMONS);
  assert.equal([...rig.engine.opinionReceivers()], [samplers.get('b')]);
  assert.is(createFollowerRig().engine.opinionReceivers().size, 0);
});

test('a sampler replaces a lost primary before the daemons that do not sample it', () => {
  const startOf = (name: string): number => {
    const rig = createRig({}, 5, name);
    rig.engine.applyDirectory(DAEMONS);
    rig.run(300);
    openSession(rig, 's', 'bookings');
    if (rig.targets[0]) {
      rig.targets[0].refusing = true;
      rig.targets[0].silent = true;
      rig.reset(rig.targets[0]);
    }
    const suspecting = { group: 'g', target: 't1', reachable: false };
    const startedAt = rig.now();
    while (rig.promotions.length === 0 && rig.now() - startedAt < 9_000) {
      rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
      rig.engine.applyPeer(createReport('d39', { opinions: [suspecting] }));
      rig.run(100);
    }
    return rig.now() - startedAt;
  };
  const sampler = startOf(samplersOf(DAEMONS, 'g').get('a') ?? '');
  assert.ok(sampler < 1_500, `${sampler} ms`);
  assert.ok(startOf('d1') > sampler + 1_000);
});

/** What the sampler's reply says of all daemons' loads at t1. */
function tellTotal(rig: Rig, connections: number, inFlight: number): void {
  const totals = [{ group: 'g', loads: [['t1', connections, inFlight] as const] }];
  rig.engine.samplesReceived({ samples: [], totals }, rig.now(), 's1');
}

test('the loads of hundreds of daemons add up at the sampler, and reach each of them', () => {
  const name = samplerOf(DAEMONS, 'g', 'a') ?? '';
  const rig = createRig({}, 5, name);
  rig.engine.applyDirectory(DAEMONS);
  const loads = (connections: number, inFlight: number) => [
    { group: 'g', loads: [['t1', connections, inFlight] as const] },
  ];
  for (let at = 0; at < 30; at += 1) rig.engine.replyToRequest(`d${at}`, loads(1, 0.1));
  const other = DAEMONS.find(({ failureDomain }) => failureDomain === 'b');
  rig.engine.applyPeer(createReport(other?.name ?? '', { groupLoads: loads(20, 4) }));
  const { totals } = rig.engine.replyToRequest('d0', loads(1, 0.1));
  const [target, connections, inFlight] = totals[0]?.loads[0] ?? [];
  assert.is(target, 't1');
  assert.is(connections, 50);
  assert.is(Math.round((inFlight ?? 0) * 10), 70);
  rig.run(3_000);
  const [later] = rig.engine.replyToRequest('d0', loads(1, 0)).totals;
  assert.ok((later?.loads[0]?.[1] ?? 0) < 3);
});

test('a daemon opens no connection to a target that the sum shows at its limit', () => {
  const opened = (connections: number): number => {
    const rig = createFollowerRig();
    rig.run(100);
    tellPrimary(rig, 't1');
    tellTotal(rig, connections, 0);
    for (let at = 0; at < 4; at += 1) {
      openSession(rig, `w${at}`, 'bookings');
      rig.submit(`w${at}`, { kind: 'begin', readOnly: false });
      rig.submit(`w${at}`, { kind: 'write', text: 'WRITE 1 x' });
    }
    rig.run(60);
    return rig.connectionsAt('t1');
  };
  assert.ok(opened(0) > 1);
  assert.is(opened(5), 1);
});

test('idle connections to a target are closed as it fills up, so that restarts find room', () => {
  const keptWith = (connections: number, inFlight = 0): number => {
    const rig = createFollowerRig();
    rig.run(100);
    tellPrimary(rig, 't1');
    tellTotal(rig, 0, 0);
    const write = rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
    rig.run(60);
    assert.is(rig.answerOf(write)?.answer.kind, 'done');
    tellTotal(rig, connections, inFlight);
    rig.run(200);
    return rig.connectionsAt('t1');
  };
  assert.is(keptWith(1), 1);
  assert.is(keptWith(3), 0);
  // Opening it again would take a slot of the statements that wait there.
  assert.is(keptWith(3, 9), 1);
});

test('the targets of a fleet that loses power have connections left for its restart', () => {
  // Each of 195 daemons uses a target about once in two seconds and keeps what the policy allows.
  const limit = 117;
  let held = 0;
  for (let round = 0; round < 200; round += 1) {
    const timeoutMs = scarceIdleTimeoutMs({ adaptedMs: 2_000, limit, held, saturated: false });
    held += 0.2 * (Math.min(195, (195 * timeoutMs) / 2_000 + 10) - held);
  }
  assert.ok(held < 0.6 * limit, `${held} connections`);
  assert.is(scarceIdleTimeoutMs({ adaptedMs: 900, limit, saturated: false }), 900);
});

test('reads avoid the target that the sum shows busy', () => {
  const rig = createFollowerRig();
  rig.run(100);
  tellPrimary(rig, 't1');
  const totals = [{ group: 'g', loads: [['t2', 4, 4] as const] }];
  for (let at = 0; at < 12; at += 1) {
    rig.engine.samplesReceived({ samples: [], totals }, rig.now(), 's1');
    tellPrimary(rig, 't1');
    rig.submit('s', { kind: 'read', text: 'READ 1' });
    openSession(rig, `r${at}`, 'loops');
    rig.submit(`r${at}`, { kind: 'read', text: 'READ 1' });
    rig.run(100);
  }
  const [, busy, free] = rig.targets;
  assert.ok((free?.executed.length ?? 0) > 2 * (busy?.executed.length ?? 0));
});

/** Reads through a daemon that samples nothing, while another one sends the samples. */
function readWithSample(rig: Rig): string {
  const position = { term: 1, index: 100 };
  rig.engine.samplesReceived(
    { samples: [{ group: 'g', primary: 't1', position, ageMs: 0, leaderTerm: 0 }], totals: [] },
    rig.now(),
    's1',
  );
  const id = rig.submit('s', { kind: 'read', text: 'READ 1' });
  rig.run(700);
  return rig.answerOf(id)?.answer.kind ?? 'none';
}

test('reads of a scarce group go on after a cut of all its targets from one daemon', () => {
  const rig = createScarceRig();
  openSession(rig, 's', 'loops');
  for (const target of rig.targets) target.refusing = true;
  for (let at = 0; at < 6; at += 1) assert.is(readWithSample(rig), 'failed');
  for (const target of rig.targets) target.refusing = false;
  rig.run(3_000);
  // The first read is refused, and shows that somebody still uses the group.
  readWithSample(rig);
  assert.is(readWithSample(rig), 'done');
});

test('a daemon without connections tries targets that are out of reach no more than twice a second', () => {
  const rig = createScarceRig();
  openSession(rig, 's', 'loops');
  for (const target of rig.targets) target.refusing = true;
  readWithSample(rig);
  const failuresOf = (): number[] =>
    [...rig.engine.world.targets.values()].map(({ failures }) => failures);
  const before = failuresOf();
  for (let at = 0; at < 10; at += 1) readWithSample(rig);
  for (const [at, failures] of failuresOf().entries())
    assert.ok(failures - (before[at] ?? 0) <= 14, `${failures}`);
});

test('a daemon whose directory is nearly empty after a restart leaves connections to the others', () => {
  const rig = createRig();
  rig.engine.applyDirectory(DAEMONS.slice(0, 1));
  rig.engine.fleetSizeSeen(40, 0);
  openSession(rig, 's', 'loops');
  for (let at = 0; at < 30; at += 1) {
    openSession(rig, `s${at}`, 'loops');
    rig.submit(`s${at}`, { kind: 'read', text: 'READ 1' });
  }
  rig.run(60);
  for (const target of rig.targets) assert.ok(rig.connectionsAt(target.id) <= 1, target.id);
});

test.run();

import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { confirmersToReplace, isCurrent, mayOrder, quorumOf, supersedes } from '../src/index';
import type { OrderInputs, ReplacementInputs } from '../src/index';
import { hasLease } from '../src/fencing';
import { claim, createUnfencedRig, hearOthers, OTHERS } from './fencingRig';
import { applyFleet, createReport, createRig, openSession } from './rig';
import type { Rig } from './rig';

/** Submits a write and returns its outcome after `ms`; undefined while it has no answer. */
function writeOutcome(rig: Rig, ms = 60): string | undefined {
  const id = rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  hearOthers(rig, OTHERS, ms);
  const answer = rig.answerOf(id)?.answer;
  return answer?.kind === 'failed' ? answer.failure.kind : answer?.kind;
}

test('writes reach a proven primary while the confirmers are heard', () => {
  assert.is(writeOutcome(createUnfencedRig()), 'done');
});

test('a claim ends the use of the old primary and tells it to step down', () => {
  const rig = createUnfencedRig();
  rig.engine.leadershipsSeen([claim(2, 't2')]);
  const index = rig.targets[0]?.received.index;
  assert.is.not(writeOutcome(rig), 'done');
  assert.is(rig.targets[0]?.received.index, index);
  assert.is(rig.targets[0]?.role, 'replica');
});

test('a claim that another daemon reports has the same effect', () => {
  const rig = createUnfencedRig();
  rig.engine.applyPeer(createReport('d2', { leaderships: [claim(2, 't2')] }));
  assert.is.not(writeOutcome(rig), 'done');
});

test('a daemon that hears neither confirmers nor the store stops using the primary', () => {
  const rig = createUnfencedRig();
  rig.run(800);
  const id = rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(300);
  assert.is(rig.targets[0]?.executed.length, 0);
  const answer = rig.answerOf(id)?.answer;
  assert.is(answer?.kind === 'failed' && answer.failure.kind, 'group_unavailable');
});

test('a daemon that hears no confirmers uses the primary while it reads the claims', () => {
  const rig = createUnfencedRig();
  rig.run(800);
  assert.ok(rig.engine.needsClaims());
  rig.engine.claimsRead(rig.now());
  rig.run(200);
  const id = rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(60);
  assert.is(rig.answerOf(id)?.answer.kind, 'done');
});

test('a daemon logs why it sends the primary no work, and when it does again', () => {
  const rig = createUnfencedRig();
  rig.run(800);
  rig.engine.claimsRead(rig.now());
  rig.run(100);
  rig.engine.leadershipsSeen([claim(2, 't2')]);
  rig.run(100);
  const causes = rig.events.flatMap((event) => {
    if (event.type === 'primary_usable') return ['usable'];
    return event.type === 'primary_unusable' ? [event.cause] : [];
  });
  assert.equal(causes, ['unproven', 'usable', 'no_lease', 'usable', 'unproven']);
});

test('a minority of a split does not use the old primary', () => {
  const rig = createUnfencedRig();
  hearOthers(rig, ['d2'], 900);
  const id = rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  hearOthers(rig, ['d2'], 200);
  assert.is.not(rig.answerOf(id)?.answer.kind, 'done');
  assert.is(rig.targets[0]?.executed.length, 0);
});

test('daemons without a configuration do not confirm that no newer claim stands', () => {
  const rig = createUnfencedRig();
  for (let at = 0; at < 900; at += 100) {
    for (const name of OTHERS) rig.engine.applyPeer(createReport(name, { config: 0 }));
    rig.run(100);
  }
  assert.not.ok(hasLease(rig.engine.world, rig.now()));
  const id = rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(100);
  assert.is.not(rig.answerOf(id)?.answer.kind, 'done');
  assert.is(rig.targets[0]?.executed.length, 0);
});

test('a commit that the old primary acknowledges after a claim has an unknown outcome', () => {
  const rig = createUnfencedRig();
  if (rig.targets[0]) rig.targets[0].runMs = 200;
  const id = rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(50);
  rig.engine.leadershipsSeen([claim(2, 't2')]);
  hearOthers(rig, OTHERS, 400);
  const answer = rig.answerOf(id)?.answer;
  assert.is(answer?.kind === 'failed' && answer.failure.kind, 'outcome_unknown');
});

test('a read that the old primary serves after a claim is not answered from there', () => {
  const rig = createUnfencedRig();
  if (rig.targets[0]) rig.targets[0].runMs = 100;
  const id = rig.submit('s', { kind: 'read', text: 'READ 1' });
  rig.run(50);
  rig.engine.leadershipsSeen([claim(2, 't2')]);
  rig.run(70);
  const answer = rig.answerOf(id)?.answer;
  assert.is.not(answer?.kind, 'done');
});

test('a read that a replaced primary has run is not reported as not run', () => {
  const rig = createUnfencedRig();
  if (rig.targets[0]) rig.targets[0].runMs = 100;
  const id = rig.submit('s', { kind: 'read', text: 'READ 1' });
  rig.run(50);
  rig.engine.leadershipsSeen([claim(2, 't2')]);
  hearOthers(rig, OTHERS, 1_200);
  const answer = rig.answerOf(id)?.answer;
  assert.is(answer?.kind === 'failed' && answer.failure.kind, 'read_interrupted');
});

test('an open transaction at the old primary is ended at its next statement', () => {
  const rig = createUnfencedRig();
  rig.submit('s', { kind: 'begin', readOnly: false });
  rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  hearOthers(rig, OTHERS, 100);
  rig.engine.leadershipsSeen([claim(2, 't2')]);
  const commit = rig.submit('s', { kind: 'commit', text: 'COMMIT' });
  rig.run(1);
  const answer = rig.answerOf(commit)?.answer;
  assert.is(answer?.kind === 'failed' && answer.failure.kind, 'transaction_lost');
});

test('the old primary is not believed again, also after a restart that reads the claim', () => {
  const rig = createUnfencedRig();
  const [old, next] = rig.targets;
  if (!old || !next) throw new Error('no targets');
  rig.promoteUnfenced(next);
  old.term = 1;
  const restarted = createRig({ promotionsFenced: false });
  restarted.engine.leadershipsSeen([claim(2, 't2')]);
  applyFleet(restarted, ['d1', ...OTHERS]);
  hearOthers(restarted, OTHERS, 600);
  assert.is(restarted.engine.world.groups.get('g')?.primaryProvenAt, undefined);
});

test('the claimed primary is used once it proves the next term', () => {
  const rig = createUnfencedRig();
  rig.engine.leadershipsSeen([claim(2, 't2')]);
  hearOthers(rig, OTHERS, 300);
  if (rig.targets[1]) rig.promoteUnfenced(rig.targets[1]);
  hearOthers(rig, OTHERS, 300);
  assert.is(writeOutcome(rig), 'done');
  assert.is(rig.engine.world.groups.get('g')?.primary, 't2');
});

test('a primary that is promoted again is used in its new term', () => {
  const rig = createUnfencedRig();
  rig.engine.leadershipsSeen([claim(3, 't1')]);
  hearOthers(rig, OTHERS, 200);
  assert.is.not(writeOutcome(rig), 'done');
  if (rig.targets[0]) rig.targets[0].term = 3;
  hearOthers(rig, OTHERS, 300);
  assert.is(writeOutcome(rig), 'done');
});

test('a claim whose order never took effect is followed by another promotion', () => {
  const rig = createUnfencedRig();
  rig.engine.leadershipsSeen([claim(2, 't2')]);
  hearOthers(rig, OTHERS, 5_500);
  assert.is(rig.promotions.length, 1);
  assert.is(rig.promotionTerms[0], 2);
});

test('the side of a split without a quorum claims no promotion', () => {
  const promotionsHearing = (names: readonly string[]): number => {
    const rig = createUnfencedRig();
    const [old] = rig.targets;
    if (!old) throw new Error('no target');
    hearOthers(rig, names, 800);
    old.refusing = true;
    old.silent = true;
    rig.reset(old);
    hearOthers(rig, names, 6_000);
    return rig.promotions.length;
  };
  assert.is(promotionsHearing(['d2']), 0);
  assert.ok(promotionsHearing(['d2', 'd3']) > 0);
});

test('the promotion of a lost primary names a term above all that are known', () => {
  const rig = createUnfencedRig();
  const [old, second] = rig.targets;
  if (!old || !second) throw new Error('no targets');
  second.term = 4;
  old.refusing = true;
  old.silent = true;
  rig.reset(old);
  hearOthers(rig, OTHERS, 6_000);
  assert.is(rig.promotionTerms[0], 5);
});

test('lagging replicas cause no promotion where it costs a time without a primary', () => {
  const events = [true, false].map((promotionsFenced) => {
    const rig = createRig({ promotionsFenced });
    rig.engine.applyDirectory([{ name: 'd1', failureDomain: 'a' }]);
    rig.run(400);
    const group = rig.engine.world.groups.get('g');
    if (!group) throw new Error('no group');
    for (let at = 0; at < 2_000; at += 25) {
      group.lastShortageAt = rig.now();
      for (const id of ['t2', 't3']) {
        const target = rig.engine.world.targets.get(id);
        if (target) target.lag = { ms: 5_000, at: rig.now() };
      }
      rig.run(25);
    }
    return rig.events.filter((event) => event.type === 'promotion_started').length;
  });
  assert.ok((events[0] ?? 0) > 0);
  assert.is(events[1], 0);
});

test('a leadership supersedes those of lower terms, and of older claims to its own term', () => {
  assert.ok(supersedes(claim(2, 'a', 1), undefined));
  assert.ok(supersedes(claim(3, 'a', 1), claim(2, 'b', 9)));
  assert.ok(supersedes(claim(2, 'a', 9), claim(2, 'b', 1)));
  assert.not.ok(supersedes(claim(2, 'a', 1), claim(2, 'b', 9)));
});

test('only the claimed target may lead the claimed term', () => {
  assert.ok(isCurrent(claim(2, 'a'), 2, 'a'));
  assert.not.ok(isCurrent(claim(2, 'a'), 2, 'b'));
  assert.not.ok(isCurrent(claim(2, 'a'), 1, 'a'));
  assert.ok(isCurrent(claim(2, 'a'), 3, 'b'));
});

const ORDER: OrderInputs = {
  steppedDown: false,
  daemons: 8,
  acknowledged: 1,
  confirmers: 8,
  acknowledgedConfirmers: 1,
  confirmersNeeded: 5,
  isSetSettled: true,
  sinceQuorumMs: 0,
  fenceWaitMs: 500,
};

test('a promotion is ordered once nobody can acknowledge a write of the old primary', () => {
  assert.not.ok(mayOrder(ORDER));
  assert.ok(mayOrder({ ...ORDER, steppedDown: true }));
  assert.ok(mayOrder({ ...ORDER, acknowledged: 8, acknowledgedConfirmers: 8 }));
  const quorum = { ...ORDER, acknowledged: 5, acknowledgedConfirmers: 5 };
  assert.not.ok(mayOrder({ ...quorum, sinceQuorumMs: 400 }));
  assert.ok(mayOrder({ ...quorum, sinceQuorumMs: 500 }));
  assert.not.ok(mayOrder({ ...quorum, sinceQuorumMs: 9_000, isSetSettled: false }));
  const minority = { ...ORDER, acknowledged: 4, acknowledgedConfirmers: 4, sinceQuorumMs: 9_000 };
  assert.not.ok(mayOrder(minority));
});

const HALF_SPLIT: ReplacementInputs = {
  confirmers: 8,
  unrenewedMs: 3_000,
  renewalMs: 1_200,
  storeReadAgeMs: 500,
};

test('half of the confirmers replace a primary that no longer reaches the store', () => {
  assert.is(confirmersToReplace(HALF_SPLIT), 4);
  assert.is(confirmersToReplace({ ...HALF_SPLIT, confirmers: 9 }), 5);
  assert.is(confirmersToReplace({ ...HALF_SPLIT, unrenewedMs: 2_000 }), 5);
  assert.is(confirmersToReplace({ ...HALF_SPLIT, storeReadAgeMs: 4_000 }), 5);
  assert.is(confirmersToReplace({ ...HALF_SPLIT, storeReadAgeMs: Infinity }), 5);
});

test('no confirmers that replace a primary leave a quorum to the others', () => {
  for (let confirmers = 1; confirmers <= 9; confirmers += 1) {
    const others = confirmers - confirmersToReplace({ ...HALF_SPLIT, confirmers });
    assert.ok(others < quorumOf(confirmers), String(confirmers));
  }
});

/** Four of eight daemons on the side of the store, the primary on the other side, for `ms`. */
function splitInHalf(rig: Rig, ms: number): void {
  const reachable = rig.targets.slice(1);
  const [primary] = rig.targets;
  if (!primary) throw new Error('no primary');
  primary.silent = true;
  rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  for (let at = 0; at < ms; at += 100) {
    if (at % 1_200 === 0) for (const target of reachable) renewed.set(target.id, rig.now());
    renewList(rig);
    const opinions = at < 800 ? [] : [{ group: 'g', target: 't1', reachable: false }];
    for (const name of ['d2', 'd3', 'd4']) rig.engine.applyPeer(createReport(name, { opinions }));
    rig.run(100);
  }
}

/** Revisions of the targets' entries in the store. */
const renewed = new Map<string, number>();

function renewList(rig: Rig): void {
  rig.applyList((listed) => ({ ...listed, revision: renewed.get(listed.id) ?? listed.revision }));
  rig.engine.storeRead(rig.now());
}

function createFleetOfEight(): Rig {
  renewed.clear();
  const rig = createRig({ promotionsFenced: false });
  const others = ['d2', 'd3', 'd4', 'd5', 'd6', 'd7', 'd8'];
  applyFleet(rig, ['d1', ...others]);
  for (let at = 0; at < 13_000; at += 1_200) {
    for (const target of rig.targets) renewed.set(target.id, rig.now());
    renewList(rig);
    hearOthers(rig, others, 1_200);
  }
  openSession(rig, 's', 'bookings');
  return rig;
}

test('a split in halves does not leave the group without a primary until it heals', () => {
  const rig = createFleetOfEight();
  splitInHalf(rig, 4_000);
  assert.is(rig.promotions.length, 1);
});

test('half of the confirmers replace no primary while the others may count another set', () => {
  const rig = createFleetOfEight();
  const members = ['d1', 'd2', 'd3', 'd4', 'd5', 'd6', 'd7', 'd9'];
  const previous = ['d1', 'd2', 'd3', 'd4', 'd5', 'd6', 'd7', 'd8'];
  rig.engine.confirmersSeen({ version: 2, members, previous });
  splitInHalf(rig, 4_000);
  assert.is(rig.promotions.length, 0);
});

test('the half of a split that cannot read the store replaces no primary', () => {
  const rig = createFleetOfEight();
  if (rig.targets[0]) rig.targets[0].silent = true;
  rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  hearOthers(rig, ['d2', 'd3', 'd4'], 6_000);
  assert.is(rig.promotions.length, 0);
});

test('a contested primary is used again although no quorum is heard', () => {
  const rig = createUnfencedRig();
  const group = rig.engine.world.groups.get('g');
  if (!group) throw new Error('no group');
  rig.run(900);
  group.contested = true;
  rig.run(100);
  assert.not.ok(group.contested);
});

test('a new primary whose log lacks the newest entries is adopted from a sample', () => {
  const rig = createUnfencedRig();
  const group = rig.engine.world.groups.get('g');
  if (!group) throw new Error('no group');
  rig.engine.leadershipsSeen([claim(3, 't2')]);
  group.term = 2;
  group.samples.push({ position: { term: 2, index: 7 }, sentAt: rig.now() - 100 });
  const position = { term: 1, index: 100 };
  const sample = { group: 'g', primary: 't2', position, ageMs: 0, leaderTerm: 3 };
  rig.engine.samplesReceived({ samples: [sample], totals: [] }, rig.now(), 's1');
  assert.is(group.primary, 't2');
  assert.equal(
    group.samples.map((one) => one.position),
    [position],
  );
});

test.run();

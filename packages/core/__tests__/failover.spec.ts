import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DEFAULT_CORE_SETTINGS } from '../src/index';
import { at, createRig, kindOf } from './rig';
import type { Rig } from './rig';

const settings = DEFAULT_CORE_SETTINGS;

/** The replicas report that they have lost contact with the primary. */
function expirePrimaryContact(rig: Rig): void {
  rig.targets.b.contactAgeMs = rig.targets.c.contactAgeMs = 300;
}

function killPrimary(rig: Rig): void {
  rig.targets.a.up = false;
  expirePrimaryContact(rig);
}

const promotedTargets = (rig: Rig): string[] => rig.list('promote').map((one) => one.target);
const claimedTerms = (rig: Rig): number[] => rig.list('claim_term').map((one) => one.term);

test('a killed primary is replaced by the target with the latest log', () => {
  const rig = createRig();
  rig.targets.c.received = at(1, 12);
  killPrimary(rig);
  rig.run(400);
  assert.equal(promotedTargets(rig), ['c']);
  assert.is(rig.core.world.groups.get('g')?.term, 2);
});

test('no target is promoted before a majority has adopted the term', () => {
  const rig = createRig();
  killPrimary(rig);
  rig.targets.b.adopts = false;
  rig.run(400);
  assert.ok(rig.list('adopt_term').length > 0);
  assert.equal(promotedTargets(rig), []);
});

test('a promotion continues when the store does not answer the claim', () => {
  const rig = createRig();
  rig.claim = undefined;
  killPrimary(rig);
  rig.run(500);
  assert.is(promotedTargets(rig).length, 1);
});

test('a primary that answers again while the term is claimed is not replaced', () => {
  const rig = createRig();
  rig.run(300);
  rig.claim = undefined;
  rig.targets.a.up = false;
  rig.targets.b.contactAgeMs = rig.targets.c.contactAgeMs = 400;
  for (let at = 0; at < 2_000 && rig.list('claim_term').length === 0; at += 1) rig.run(1);
  rig.targets.a.up = true;
  rig.targets.b.contactAgeMs = rig.targets.c.contactAgeMs = 0;
  rig.run(1_000);
  assert.is(rig.list('claim_term').length, 1);
  assert.is(rig.list('adopt_term').length, 0);
});

test('a promotion continues when the store is unavailable for the claim', () => {
  const rig = createRig();
  rig.claim = { result: 'unavailable' };
  killPrimary(rig);
  rig.run(400);
  assert.is(promotedTargets(rig).length, 1);
});

test('after a refused claim no target is fenced, and the next try claims a term above that of the store', () => {
  const rig = createRig();
  rig.claim = { result: 'refused', heldTerm: 7 };
  killPrimary(rig);
  rig.run(40);
  assert.is(rig.list('adopt_term').length, 0);
  rig.claim = { result: 'granted' };
  rig.run(400);
  assert.equal(claimedTerms(rig), [2, 8]);
  assert.is(promotedTargets(rig).length, 1);
});

test('a new promotion starts when another promoter dies after fencing', () => {
  const rig = createRig();
  killPrimary(rig);
  // Another promoter has fenced both replicas in term 2 and has died.
  rig.targets.b.term = rig.targets.c.term = 2;
  rig.run(settings.orphanWaitMs - 50);
  assert.equal(claimedTerms(rig), []);
  rig.run(200);
  assert.equal(claimedTerms(rig), [3]);
  assert.is(promotedTargets(rig).length, 1);
});

test('a promotion ends when another promoter installs a primary in a later term', () => {
  const rig = createRig();
  killPrimary(rig);
  rig.targets.b.adopts = rig.targets.c.adopts = false;
  rig.run(40);
  Object.assign(rig.targets.c, { term: 5, role: 'primary', received: at(5, 11), contactAgeMs: 0 });
  Object.assign(rig.targets.b, { term: 5, received: at(5, 11), contactAgeMs: 0 });
  rig.run(600);
  assert.equal(promotedTargets(rig), []);
  assert.is(rig.core.world.groups.get('g')?.primary, 'c');
  assert.is(rig.core.world.groups.get('g')?.promotion, undefined);
});

test('a promoter that the targets refuse waits before it claims a higher term', () => {
  const rig = createRig();
  killPrimary(rig);
  rig.run(1);
  rig.targets.b.term = rig.targets.c.term = 4;
  rig.run(1_200);
  const terms = claimedTerms(rig);
  assert.ok((terms.at(-1) ?? 0) > 4);
  assert.ok(terms.length <= 4, `${terms.length} claims in 1200 ms`);
});

test('a candidate that dies is not chosen again in the next term', () => {
  const rig = createRig();
  rig.targets.b.received = at(1, 12);
  killPrimary(rig);
  rig.targets.b.acceptsPromotion = false;
  rig.run(30);
  assert.equal(promotedTargets(rig), ['b']);
  rig.targets.b.up = false;
  rig.targets.a.up = true;
  rig.run(900);
  assert.not.equal(promotedTargets(rig).at(-1), 'b');
  assert.ok((rig.core.world.groups.get('g')?.term ?? 0) > 2);
});

test('an isolated primary is replaced, although it answers and has the longest log', () => {
  const rig = createRig();
  rig.targets.a.received = at(1, 40);
  expirePrimaryContact(rig);
  rig.run(400);
  assert.is.not(promotedTargets(rig)[0], 'a');
});

test('a new primary is not suspected for the silence of the old one', () => {
  const rig = createRig();
  killPrimary(rig);
  rig.run(200);
  assert.equal(claimedTerms(rig), [2]);
});

test('one target in a later term does not replace the primary; a later promotion brings the target back', () => {
  const rig = createRig();
  rig.targets.c.term = 3;
  rig.send({ id: 'w', op: 'write' });
  rig.run(5);
  rig.targets.a.received = rig.targets.b.received = at(1, 11);
  rig.finish('w', at(1, 11));
  rig.run(5);
  assert.is(kindOf(rig.answers.get('w')), 'ok');
  rig.run(settings.promotionTimeoutMs + 200);
  assert.equal(claimedTerms(rig), [4]);
});

test('a daemon finds the primary even if a later term of one target is reported first', () => {
  const rig = createRig();
  rig.pause(1_000);
  rig.targets.c.term = 3;
  rig.targets.a.delayMs = rig.targets.b.delayMs = 30;
  rig.run(100);
  assert.is(rig.core.world.groups.get('g')?.primary, 'a');
});

test('a pause of the daemon itself does not cause a promotion', () => {
  const rig = createRig();
  rig.run(10);
  rig.pause(2_000);
  rig.targets.b.delayMs = rig.targets.c.delayMs = 40;
  rig.run(300);
  assert.equal(claimedTerms(rig), []);
});

test('a primary that only this daemon cannot reach is not replaced; requests go to the next owner', () => {
  const rig = createRig();
  rig.postList([], ['d2']);
  rig.core.post({ type: 'peer_suspected', peer: 'd2', forMs: 5 });
  rig.targets.a.up = false;
  rig.run(400);
  rig.send({ id: 'w', op: 'write', forwards: 0 });
  rig.run(20);
  assert.equal(claimedTerms(rig), []);
  const answer = rig.answers.get('w');
  assert.is(kindOf(answer), 'not_owner');
  assert.is(answer?.kind === 'failure' ? answer.owner : undefined, 'd2');
});

test.run();

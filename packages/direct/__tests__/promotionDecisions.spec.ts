import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { recordStatus } from '../src/primaryTracking';
import { createRig, openSession } from './rig';
import type { Rig } from './rig';

function createWarmRig(): Rig {
  const rig = createRig();
  rig.run(300);
  openSession(rig, 's', 'bookings');
  return rig;
}

test('a claim that was missed delays a promotion, and says nothing of the time that one takes', () => {
  const rig = createWarmRig();
  const [old, next] = rig.targets;
  const group = rig.engine.world.groups.get('g');
  if (!old || !next || !group) throw new Error('no targets');
  const before = group.promotionMs.value;
  old.refusing = true;
  rig.reset(old);
  rig.engine.claimMissed('g', 't2');
  rig.run(1_500);
  assert.is(rig.promotions.length, 0);
  next.role = 'primary';
  next.received = { term: 2, index: 120 };
  rig.run(500);
  assert.is(group.primary, 't2');
  assert.is(group.promotionMs.value, before);
});

test('a promotion that was decided before a suspension is not ordered after it', () => {
  const rig = createWarmRig();
  const [old, , other] = rig.targets;
  const group = rig.engine.world.groups.get('g');
  if (!old || !other || !group) throw new Error('no targets');
  old.refusing = true;
  rig.reset(old);
  other.silent = true;
  for (let at = 0; at < 2_000 && !group.promotion; at += 1) rig.run(1);
  assert.is(group.promotion?.stage, 'survey');
  rig.engine.timeJumped(5_000);
  old.refusing = false;
  rig.run(2_000);
  assert.equal(rig.promotions, []);
});

test('a time jump does not make a daemon forget the claim of another one', () => {
  const rig = createWarmRig();
  const [old, next, other] = rig.targets;
  if (!old || !next || !other) throw new Error('no targets');
  rig.engine.applyDirectory(['d1', 'd2', 'd3'].map((name) => ({ name, failureDomain: 'a' })));
  // This daemon reaches only the old primary, which holds commits that the promotion discarded.
  old.received = { term: 1, index: 120 };
  for (const target of [next, other]) {
    target.silent = true;
    target.refusing = true;
    rig.reset(target);
  }
  old.role = 'replica';
  rig.applyList((listed) => ({ ...listed, role: 'replica', revision: 2 }));
  rig.engine.claimSeen('g', 't2');
  rig.engine.timeJumped(1_000);
  rig.submit('s', { kind: 'write', text: 'WRITE 1 x' });
  rig.run(12_000);
  assert.equal(rig.promotions, []);
});

test('a status that was requested before a promotion is no answer to its survey', () => {
  const rig = createWarmRig();
  const [old, next, other] = rig.targets;
  const { world } = rig.engine;
  const group = world.groups.get('g');
  if (!old || !next || !other || !group) throw new Error('no targets');
  old.refusing = true;
  rig.reset(old);
  next.silent = true;
  other.silent = true;
  for (let at = 0; at < 2_000 && !group.promotion; at += 1) rig.run(1);
  const startedAt = group.promotion?.startedAt ?? 0;
  const reply = { kind: 'done', rows: [], digest: '', inTransaction: false } as const;
  const status = { role: 'replica', term: 1, received: { term: 1, index: 90 } } as const;
  const sent = { op: 'status', epoch: 0, handle: () => undefined } as const;
  const answer = (sentAt: number): void => {
    for (const target of group.targets.values())
      recordStatus(world, target, { ...reply, status }, { ...sent, sentAt });
    rig.run(60);
  };
  answer(startedAt - 300);
  assert.is(rig.promotions.length, 0);

  answer(startedAt);
  assert.is(rig.promotions.length, 1);
});

test.run();

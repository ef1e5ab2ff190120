import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createRig } from './rig';
import type { Rig } from './rig';

/** A rig with an idle connection of each tenant. */
function createRigWith(tenants: readonly string[], connections = 4): Rig {
  const rig = createRig(connections, 4);
  for (const tenant of tenants) {
    rig.request(`first-${tenant}`, { tenant });
    rig.openAll();
    rig.use(`first-${tenant}`, 10);
  }
  return rig;
}

const RESTING = { inTransaction: false, wasBusy: false };

test('a request that waits for its connection to open blocks none that an idle one can serve', () => {
  const rig = createRigWith(['a']);
  rig.request('b1', { tenant: 'b' });
  rig.request('a1', { tenant: 'a', keyInMs: 900 });
  assert.not.ok(rig.grants.has('b1'));
  assert.ok(rig.grants.has('a1'));
});

test('a connection is lent again only after its session values are cleared', () => {
  const rig = createRigWith(['a'], 1);
  rig.request('a1', { tenant: 'a' });
  const id = rig.grants.get('a1') ?? 0;
  rig.pool.operationSent('a1', true);
  rig.pool.replied(id, RESTING);
  rig.pool.giveBack('a1');
  rig.request('a2', { tenant: 'a' });
  assert.equal(rig.clears, [id]);
  assert.not.ok(rig.grants.has('a2'));
  rig.pool.cleared(id);
  assert.is(rig.grants.get('a2'), id);
});

test('a connection that is returned in use, or in a transaction, is closed', () => {
  for (const inTransaction of [false, true]) {
    const rig = createRigWith(['a'], 1);
    rig.request('a1', { tenant: 'a' });
    const id = rig.grants.get('a1') ?? 0;
    rig.pool.operationSent('a1', false);
    if (inTransaction) rig.pool.replied(id, { inTransaction, wasBusy: false });
    rig.pool.giveBack('a1');
    assert.equal(rig.closes, [id]);
    assert.is(rig.pool.stats().connections, 0);
  }
});

test('a lease counts as in flight for 50 ms, and while an operation is outstanding', () => {
  const rig = createRigWith(['a']);
  rig.request('a1', { tenant: 'a' });
  assert.is(rig.inFlight(), 1);
  rig.advance(49);
  assert.is(rig.inFlight(), 1);
  rig.advance(1);
  assert.is(rig.inFlight(), 0);
  assert.ok(rig.pool.operationSent('a1', false));
  assert.is(rig.inFlight(), 1);
  rig.pool.replied(rig.grants.get('a1') ?? 0, { inTransaction: true, wasBusy: false });
  assert.is(rig.inFlight(), 0);
});

test('a lease lost its place in flight between its set-up and its statement', () => {
  const rig = createRigWith(['a']);
  rig.request('a1', { tenant: 'a' });
  rig.pool.operationSent('a1', true);
  rig.advance(60);
  rig.pool.replied(rig.grants.get('a1') ?? 0, RESTING);
  assert.is(rig.inFlight(), 1);
  rig.advance(49);
  assert.is(rig.inFlight(), 1);
  rig.advance(1);
  assert.is(rig.inFlight(), 0);
});

test('statements on granted leases pass when the limit in flight is used up', () => {
  const rig = createRig(12, 4);
  for (let at = 0; at < 10; at += 1) {
    rig.request(`r${at}`);
    rig.openAll();
    const id = rig.grants.get(`r${at}`) ?? 0;
    rig.pool.operationSent(`r${at}`, false);
    rig.pool.replied(id, { inTransaction: true, wasBusy: false });
  }
  for (let at = 0; at < 10; at += 1) assert.ok(rig.pool.operationSent(`r${at}`, false));
  assert.is(rig.inFlight(), 10);
  rig.request('late');
  rig.openAll();
  assert.not.ok(rig.grants.has('late'));
});

test('operations of unknown, waiting or returned leases are not passed on', () => {
  const rig = createRigWith(['a'], 1);
  rig.request('a1', { tenant: 'a' });
  rig.request('a2', { tenant: 'a' });
  assert.not.ok(rig.pool.operationSent('a2', false));
  assert.not.ok(rig.pool.operationSent('none', false));
  rig.use('a1', 10);
  assert.not.ok(rig.pool.operationSent('a1', false));
});

test('busy replies cut the limit in flight by a quarter, once in 100 ms', () => {
  const rig = createRig(12, 8);
  const limit = (): number => rig.pool.stats().targets?.get('t')?.inFlightLimit ?? 0;
  rig.request('r');
  rig.openAll();
  const reply = (wasBusy: boolean): void => {
    rig.pool.operationSent('r', false);
    rig.pool.replied(rig.grants.get('r') ?? 0, { inTransaction: false, wasBusy });
  };
  assert.is(limit(), 10);
  reply(true);
  reply(true);
  assert.is(limit(), 7);
  for (let at = 0; at < 10; at += 1) {
    rig.advance(100);
    reply(true);
  }
  assert.is(limit(), 4);
});

test('the end of a link withdraws its requests and closes what it left unclean', () => {
  const rig = createRigWith(['a', 'b'], 2);
  rig.request('a1', { tenant: 'a', link: 'lost' });
  rig.request('b1', { tenant: 'b', link: 'lost' });
  rig.request('a2', { tenant: 'a', link: 'lost' });
  rig.request('a3', { tenant: 'a' });
  rig.pool.operationSent('b1', false);
  rig.pool.linkLost('lost');
  assert.equal(rig.closes, [rig.grants.get('b1')]);
  assert.is(rig.grants.get('a3'), rig.grants.get('a1'));
  assert.not.ok(rig.grants.has('a2') || rig.refusals.has('a2'));
  assert.is(rig.pool.stats().leased, 1);
});

test('the holder of a lease learns why its connection ended', () => {
  const rig = createRigWith(['a']);
  rig.request('a1', { tenant: 'a' });
  rig.pool.connectionLost(rig.grants.get('a1') ?? 0, 'closed');
  assert.is(rig.losses.get('a1'), 'closed');
  rig.pool.giveBack('a1');
  assert.is(rig.pool.stats().leased, 0);
});

test('a draining pool grants nothing new, and is drained once the last lease is returned', () => {
  const rig = createRigWith(['a'], 1);
  rig.request('a1', { tenant: 'a' });
  rig.request('a2', { tenant: 'a' });
  rig.pool.drain();
  assert.is(rig.refusals.get('a2')?.reason, 'not_owner');
  rig.request('a3', { tenant: 'a' });
  assert.is(rig.refusals.get('a3')?.reason, 'not_owner');
  assert.not.ok(rig.pool.isDrained());
  rig.use('a1', 10);
  assert.ok(rig.pool.isDrained());
  assert.is(rig.pool.stats().connections, 0);
});

test('a target that is no longer pooled is refused, and its leases go on until returned', () => {
  const rig = createRigWith(['a', 'b']);
  rig.request('a1', { tenant: 'a' });
  rig.pool.applyTargets([]);
  assert.is(rig.pool.stats().connections, 1);
  rig.request('a2', { tenant: 'a' });
  assert.is(rig.refusals.get('a2')?.reason, 'not_owner');
  rig.use('a1', 10);
  assert.is(rig.pool.stats().connections, 0);
});

test.run();

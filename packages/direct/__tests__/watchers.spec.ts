import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { mustFetchView, mustSpread, mustWatch, watchersOf } from '../src/index';
import { createRandom, createRig, openSession } from './rig';

const fleetOf = (count: number) =>
  Array.from({ length: count }, (_, at) => ({
    name: `d${at}`,
    failureDomain: 'abcde'.charAt(at % 5),
  }));

test('a small fleet watches the store with every daemon', () => {
  assert.is(watchersOf(fleetOf(12)).size, 12);
  assert.is(watchersOf([]).size, 0);
});

test('a large fleet has two watchers in each failure domain, whatever its size', () => {
  for (const count of [90, 195, 420]) {
    const fleet = fleetOf(count);
    const watchers = watchersOf(fleet);
    assert.is(watchers.size, 10);
    const domains = fleet.filter(({ name }) => watchers.has(name)).map((one) => one.failureDomain);
    assert.equal(domains.sort(), 'aabbccddee'.split(''));
    assert.equal(watchersOf(fleet.toReversed()), watchers);
  }
});

test('hundreds of daemons make no more calls to the store than a small fleet', () => {
  const input = { ready: true, listed: true, storeSilentMs: 500, jitter: 0 };
  const fleet = fleetOf(195);
  const watchers = watchersOf(fleet);
  const watching = fleet.filter(({ name }) =>
    mustWatch({ ...input, isWatcher: watchers.has(name) }),
  );
  assert.ok(watching.length <= watchersOf(fleetOf(12)).size);
});

test('daemons that lost all watchers ask the store, not all of them at once', () => {
  const watchingAfter = (storeSilentMs: number): number =>
    fleetOf(100).filter((_, at) =>
      mustWatch({ ready: true, listed: true, isWatcher: false, storeSilentMs, jitter: at / 100 }),
    ).length;
  assert.is(watchingAfter(2_900), 0);
  const early = watchingAfter(3_400);
  assert.ok(early > 0 && early < 50);
  assert.is(watchingAfter(6_100), 100);
});

/** Interval of reports. */
const ROUND_MS = 350;

/** Peers that get a daemon's report of one round at random. */
const FANOUT = 3;

/** Time until all of 195 daemons have a change, when a third of the daemons is cut off the store. */
function spreadMs(spreads: typeof mustSpread): number {
  const fleet = fleetOf(195);
  const watchers = watchersOf(fleet);
  const random = createRandom(7);
  const knownAt = new Map<string, number>();
  const heardAt = new Map<string, number>();
  for (const name of watchers) if (random() > 1 / 3) knownAt.set(name, 0);
  let now = 0;
  while (knownAt.size < fleet.length && now < 20_000) {
    now += ROUND_MS;
    for (const sender of fleet) {
      const since = knownAt.get(sender.name);
      if (since === undefined || since === now) continue;
      const toDomain = spreads(watchers.has(sender.name), now - since);
      for (const peer of fleet) {
        const isNear = peer.failureDomain === sender.failureDomain;
        const isSent = (toDomain && isNear) || random() < FANOUT / fleet.length;
        if (!isSent || knownAt.has(peer.name)) continue;
        const firstAt = heardAt.get(peer.name) ?? now;
        heardAt.set(peer.name, firstAt);
        const fetches = mustFetchView({
          behindMs: now - firstAt,
          isNear,
          isWatching: false,
          storeAgeMs: 0,
          sinceFetchMs: 1_000,
        });
        if (fetches) knownAt.set(peer.name, now);
      }
    }
  }
  return now;
}

test('a change reaches a large fleet in time although the store serves only part of it', () => {
  // The platform allows 6,000 ms, of which the pause after a watch takes up to 2,000.
  const allowedMs = 6_000 - 2_000;
  assert.ok(spreadMs(mustSpread) < allowedMs, `${spreadMs(mustSpread)} ms`);
  assert.not.ok(spreadMs(() => false) < allowedMs, `${spreadMs(() => false)} ms`);
});

test('a daemon watches the store until it is ready and finds its own entry', () => {
  const input = { ready: true, listed: true, isWatcher: false, storeSilentMs: 0, jitter: 0 };
  assert.not.ok(mustWatch(input));
  assert.ok(mustWatch({ ...input, ready: false }));
  assert.ok(mustWatch({ ...input, listed: false }));
});

test('the timed systems run seldom while nothing is under way', () => {
  const large = createRig();
  large.engine.applyDirectory(fleetOf(195));
  large.run(200);
  assert.is(large.engine.nextTickMs(), 100);
  openSession(large, 's', 'loops');
  large.submit('s', { kind: 'read', text: 'READ 1' });
  assert.is(large.engine.nextTickMs(), 25);
  large.run(100);
  assert.is(large.engine.nextTickMs(), 100);
  const small = createRig();
  small.engine.applyDirectory(fleetOf(8));
  small.run(200);
  assert.is(small.engine.nextTickMs(), 100);
});

test('the timed systems run often while requests may need a primary that is not proven', () => {
  const rig = createRig({ promotionsFenced: false });
  rig.engine.applyDirectory(fleetOf(8));
  rig.run(200);
  assert.is(rig.engine.nextTickMs(), 25);
  rig.run(1_000);
  assert.is(rig.engine.nextTickMs(), 100);
});

test('the timed systems run when the hedge of a running read is due', () => {
  const rig = createRig();
  rig.run(200);
  openSession(rig, 's', 'beats');
  rig.submit('s', { kind: 'read', text: 'READ 1' });
  rig.run(500);
  for (const target of rig.targets) target.runMs = 1_000;
  rig.submit('s', { kind: 'read', text: 'READ 2' });
  const sentAt = rig.now();
  let hedgedAt = Infinity;
  while (hedgedAt === Infinity && rig.now() < sentAt + 400) {
    rig.run(1);
    if (rig.events.some(({ type }) => type === 'request_hedged')) hedgedAt = rig.now();
  }
  // The delay of a hedge is 120 ms, as reads usually take 20 ms.
  assert.ok(hedgedAt - sentAt <= 120 + 25, String(hedgedAt - sentAt));
});

test.run();

import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { mustWatch, watchersOf } from '../src/index';
import { createRig, openSession } from './rig';

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

test('a daemon watches the store until it is ready and finds its own entry', () => {
  const input = { ready: true, listed: true, isWatcher: false, storeSilentMs: 0, jitter: 0 };
  assert.not.ok(mustWatch(input));
  assert.ok(mustWatch({ ...input, ready: false }));
  assert.ok(mustWatch({ ...input, listed: false }));
});

test('the timed systems of a large fleet run seldom while nothing is under way', () => {
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
  assert.is(small.engine.nextTickMs(), 25);
});

test.run();

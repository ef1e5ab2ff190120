import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createManualClock } from '@rosedeck/shared';
import { applyPatch, commitChange, propagateEntry } from '../src/index';
import type { ChangeRequest, CommitIo, ConfigEntry, JsonObject, PropagationIo } from '../src/index';
import { entryOf } from './configFleet';

interface FakeStore {
  readonly log: Map<number, ConfigEntry>;
  down: boolean;
  /** Answers lost after the change took effect. */
  loseAnswers: number;
}

function createStore(): FakeStore {
  return { log: new Map(), down: false, loseAnswers: 0 };
}

/** Input and output of a daemon's commits to the store. */
function createIo(store: FakeStore): CommitIo & { entries: ConfigEntry[] } {
  const clock = createManualClock();
  const entries: ConfigEntry[] = [];
  return {
    clock,
    entries,
    timestamp: () => 'now',
    sleep: (ms) => {
      clock.advance(ms);
      return Promise.resolve();
    },
    current: () => ({
      revision: entries.length,
      tree: entries.reduce<JsonObject>((tree, entry) => applyPatch(tree, entry.patch), {}),
      entries,
    }),
    check: (tree) => (tree.bad === undefined ? [] : ['bad: unknown key']),
    create: (entry) => {
      if (store.down) return Promise.resolve('unknown');
      if (store.log.has(entry.revision)) return Promise.resolve('exists');
      store.log.set(entry.revision, entry);
      if (store.loseAnswers === 0) return Promise.resolve('created');
      store.loseAnswers -= 1;
      return Promise.resolve('unknown');
    },
    read: (revision) =>
      store.down ? Promise.reject(new Error('down')) : Promise.resolve(store.log.get(revision)),
    apply: (entry) => {
      if (entry.revision === entries.length + 1) entries.push(entry);
    },
  };
}

const patchOf = (id: string, patch: JsonObject, expected?: number): ChangeRequest => ({
  id,
  who: 'op',
  change: { kind: 'patch', patch },
  expected,
});

test('concurrent changes of different keys are both kept, in one order', async () => {
  const store = createStore();
  const [a, b] = [createIo(store), createIo(store)];
  const [first, second] = await Promise.all([
    commitChange(a, patchOf('a', { x: 1 })),
    commitChange(b, patchOf('b', { y: 2 })),
  ]);
  assert.is(first.kind, 'accepted');
  assert.is(second.kind, 'accepted');
  assert.equal(b.current().tree, { x: 1, y: 2 });
  assert.equal([...store.log.keys()], [1, 2]);
});

test('a replaced tree is rebased as the patch against the base of its request', async () => {
  const store = createStore();
  store.log.set(1, { ...entryOf(1), patch: { x: 1, y: 1 } });
  const [a, b] = [createIo(store), createIo(store)];
  for (const one of [a, b]) one.apply({ ...entryOf(1), patch: { x: 1, y: 1 } });
  await commitChange(a, patchOf('a', { x: 9 }));
  const change = { kind: 'replace', tree: { x: 1, y: 5 } } as const;
  await commitChange(b, { id: 'b', who: 'op', change });
  assert.equal(b.current().tree, { x: 9, y: 5 });
});

test('with an expected revision the later of two changes gets a conflict', async () => {
  const store = createStore();
  const [a, b] = [createIo(store), createIo(store)];
  const results = await Promise.all([
    commitChange(a, patchOf('a', { x: 1 }, 0)),
    commitChange(b, patchOf('b', { x: 2 }, 0)),
  ]);
  assert.equal(
    results.map((one) => one.kind),
    ['accepted', 'conflict'],
  );
  assert.is(store.log.size, 1);
});

test('the later of two changes is checked again on the new base', async () => {
  const store = createStore();
  const [a, b] = [createIo(store), createIo(store)];
  const strict: CommitIo = {
    ...b,
    check: (tree) => (tree.x !== undefined && tree.y !== undefined ? ['x excludes y'] : []),
  };
  await commitChange(a, patchOf('a', { x: 1 }));
  const result = await commitChange(strict, patchOf('b', { y: 1 }));
  assert.is(result.kind, 'refused');
  assert.is(store.log.size, 1);
});

test('a change whose answer was lost is found by its id and made once', async () => {
  const store = createStore();
  store.loseAnswers = 1;
  const io = createIo(store);
  const result = await commitChange(io, patchOf('a', { x: 1 }));
  assert.is(result.kind, 'accepted');
  assert.is(store.log.size, 1);
  const fresh = createIo(store);
  fresh.apply(entryOf(1));
  fresh.entries.length = 0;
  for (const entry of store.log.values()) fresh.apply(entry);
  const repeated = await commitChange(fresh, patchOf('a', { x: 1 }));
  assert.is(repeated.kind === 'accepted' && repeated.entry.revision, 1);
  assert.is(store.log.size, 1);
});

test('a daemon without the recent changes reads them before it commits a repeated one', async () => {
  const store = createStore();
  store.log.set(1, entryOf(1, 'a'));
  store.log.set(2, entryOf(2, 'b'));
  const io: CommitIo = {
    ...createIo(store),
    current: () => ({ revision: 2, tree: { x: 2 }, entries: [] }),
  };
  const result = await commitChange(io, patchOf('a', { x: 1 }));
  assert.is(result.kind === 'accepted' && result.entry.revision, 1);
});

test('during a store outage a change ends as unavailable and may have taken effect', async () => {
  const store = createStore();
  store.down = true;
  const result = await commitChange(createIo(store), patchOf('a', { x: 1 }));
  assert.equal(result, { kind: 'unavailable', maybe: true });
});

test('an invalid change is refused as a whole', async () => {
  const store = createStore();
  const result = await commitChange(createIo(store), patchOf('a', { x: 1, bad: 1 }));
  assert.equal(result, { kind: 'refused', faults: ['bad: unknown key'] });
  assert.is(store.log.size, 0);
});

function createPropagationIo(silent: readonly string[]): PropagationIo {
  const clock = createManualClock();
  return {
    clock,
    configLimitMs: 3_000,
    sleep: (ms) => {
      clock.advance(ms);
      return new Promise((resolve) => {
        setImmediate(resolve);
      });
    },
    peers: () => ['d2', 'd3', 'd4', 'd5'],
    isMajority: (acknowledged) => acknowledged.size + 1 >= 3,
    push: (peer) =>
      silent.includes(peer) ? Promise.reject(new Error('gone')) : Promise.resolve(true),
  };
}

test('propagation ends when all have the change, or 3 s after a majority has it', async () => {
  const quick = createPropagationIo([]);
  assert.equal(await propagateEntry(quick, entryOf(1)), {
    listed: 4,
    acknowledged: 4,
    inForce: true,
  });
  assert.ok(quick.clock.now() < 1_000);
  const slow = createPropagationIo(['d5']);
  assert.equal(await propagateEntry(slow, entryOf(1)), {
    listed: 4,
    acknowledged: 3,
    inForce: true,
  });
  assert.ok(slow.clock.now() >= 3_000 && slow.clock.now() < 4_000);
  const partial = await propagateEntry(createPropagationIo(['d3', 'd4', 'd5']), entryOf(1));
  assert.is(partial.inForce, false);
});

test.run();

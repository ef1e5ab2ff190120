import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { createStore } from '@rosedeck/clients';
import type { CoreEvent } from '@rosedeck/core';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { startPlatformAdapter } from '../src/platformAdapter';

const HOST = '127.0.0.1';

/** Longest wait for the last list. */
const SEEN_LIMIT_MS = 5_000;

const INSTANCE = {
  id: 'entry-2',
  failureDomain: 'a',
  host: HOST,
  peerPort: 7,
  leaving: false,
};

/** Serves texts as replies to the watches of the list, one after another, and returns what was passed on. */
async function readLists(texts: readonly string[]): Promise<{
  readonly events: CoreEvent[];
  readonly unreadable: string[];
}> {
  const rest = [...texts];
  const server = http.createServer((_, res) => {
    const text = rest.shift();
    if (text !== undefined) res.end(text);
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  const store = createStore(HOST, port);
  const events: CoreEvent[] = [];
  const unreadable: string[] = [];
  const adapter = startPlatformAdapter({
    self: 'entry-1',
    store,
    list: { host: HOST, port },
    countBytes: () => undefined,
    claimWaitMs: 100,
    post: (event) => events.push(event),
    onUnreadable: (version, entries) => unreadable.push(`${entries} of version ${version}`),
  });
  try {
    const endsAt = performance.now() + SEEN_LIMIT_MS;
    while (events.length === 0) {
      assert.ok(performance.now() < endsAt, 'a list was passed on');
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  } finally {
    adapter.close();
    store.close();
    server.close();
    server.closeAllConnections();
  }
  return { events, unreadable };
}

const list = (version: number, instances: readonly unknown[], targets: readonly unknown[] = []) =>
  JSON.stringify({ version, instances, targets });

const NESTED = '['.repeat(100_000) + ']'.repeat(100_000);

test('a reply that is no list is followed by the next one', async () => {
  const odd = [
    '',
    '{',
    '5',
    NESTED,
    '{"version":2}',
    '{"version":2,"instances":"none","targets":[]}',
    '{"version":1e400,"instances":[],"targets":[]}',
  ];
  const { events, unreadable } = await readLists([...odd, list(3, [INSTANCE])]);
  assert.equal(events, [{ type: 'list', instances: [INSTANCE], targets: [] }]);
  assert.equal(unreadable, []);
});

test('entries of a list that cannot be used are left out and counted', async () => {
  const ports = [0, 65_536, 87_841, 1.5, -1, '7', null];
  const instances = [
    ...ports.map((peerPort) => ({ ...INSTANCE, id: 'odd', peerPort })),
    { ...INSTANCE, host: 'a b' },
    { ...INSTANCE, host: 'h'.repeat(1_000) },
    { ...INSTANCE, id: '' },
    null,
    INSTANCE,
  ];
  const targets = [null, { id: 't1', leaving: false, more: 1 }, { id: 't2', leaving: 1 }];
  const text = list(3, instances, [...targets, '@']).replace('"@"', NESTED);
  const { events, unreadable } = await readLists([text]);
  assert.equal(events, [
    { type: 'list', instances: [INSTANCE], targets: [{ id: 't1', leaving: false }] },
  ]);
  assert.equal(unreadable, ['14 of version 3']);
});

test.run();

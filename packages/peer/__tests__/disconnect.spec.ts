import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { OK, closeAll, createClient, startRelay, createRequest, startServer } from './testPeers';

test('a closed connection is reported with the id of the daemon that opened it', async () => {
  let resolveDisconnected: (peer: string) => void = () => undefined;
  const disconnected = new Promise<string>((resolve) => {
    resolveDisconnected = resolve;
  });
  const server = await startServer(
    () => Promise.resolve(OK),
    (peer) => {
      resolveDisconnected(peer);
    },
  );
  const client = createClient(server.port, { self: 'entry-7' });
  await client.run(createRequest('r'));
  client.close();
  assert.is(await disconnected, 'entry-7');
});

test('a silent peer is disconnected only when it has transactions open', async () => {
  const disconnected: string[] = [];
  let resolveFirst: () => void = () => undefined;
  const firstDisconnected = new Promise<void>((resolve) => {
    resolveFirst = resolve;
  });
  const server = await startServer(
    () => Promise.resolve(OK),
    (peer) => {
      disconnected.push(peer);
      resolveFirst();
    },
    () => new Set(['holds', 'answers']),
  );
  for (const self of ['idle', 'holds']) {
    const relay = await startRelay(server.port);
    const client = createClient(relay.port, { self });
    await client.run(createRequest(self));
    relay.freeze();
  }
  await createClient(server.port, { self: 'answers' }).run(createRequest('answers'));
  await firstDisconnected;
  assert.equal(disconnected, ['holds']);
});

test.after(closeAll);

test.run();

import net from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import WebSocket from 'ws';
import type { Answer, OwnerRequest } from '@rosedeck/core';
import {
  OK,
  TIMES,
  closeAll,
  createClient,
  startRelay,
  describeOutcome,
  createRequest,
  startServer,
} from './testPeers';

const neverAnswer = (): Promise<Answer> => new Promise(() => undefined);

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 1));
}

function createRows(count: number, cell: string): Answer {
  const column = {
    table: '',
    schema: '',
    type: 253,
    charset: 45,
    flags: 0,
    length: 9,
    decimals: 0,
  };
  return {
    kind: 'rows',
    columns: [{ ...column, name: 'c' }],
    rows: Array.from({ length: count }, (_, index) => [index === 1 ? null : `${cell}${index}`]),
    position: { term: 2, index: 5 },
  };
}

test('a request arrives once, with all its fields', async () => {
  const seen: OwnerRequest[] = [];
  const server = await startServer((req) => {
    seen.push(req);
    return Promise.resolve(OK);
  });
  const client = createClient(server.port);
  const full = createRequest('r1', {
    op: 'read',
    params: ['a', 1.5, true, null, { base64: 'AP8=' }],
    minPosition: { term: 3, index: 9 },
    maxAgeMs: 250,
    transaction: 't1',
    subject: 'r0',
    tries: 1,
    forwards: 2,
  });
  assert.equal(await client.run(full), OK);
  assert.equal(seen, [full]);
});

test('answers in another order than their requests are matched by number', async () => {
  const waiting = new Map<string, (answer: Answer) => void>();
  const server = await startServer((req) => new Promise((resolve) => waiting.set(req.id, resolve)));
  const client = createClient(server.port);
  const ids = Array.from({ length: 50 }, (_, index) => `r${index}`);
  const answers = Promise.all(ids.map((id) => client.run(createRequest(id))));
  await waitUntil(() => waiting.size === ids.length);
  for (const id of [...ids].reverse()) waiting.get(id)?.(createRows(2, id));
  assert.equal(
    await answers,
    ids.map((id) => createRows(2, id)),
  );
});

test('an answer larger than the message limit arrives whole and does not delay a small one', async () => {
  const big = createRows(40, 'വ"\\'.repeat(200_000));
  const server = await startServer((req) => Promise.resolve(req.id === 'big' ? big : OK));
  const client = createClient(server.port, { times: { ...TIMES, silenceMs: 5_000 } });
  const order: string[] = [];
  const recordOrder = (id: string) => (answer: Answer) => {
    order.push(id);
    return answer;
  };
  const [first] = await Promise.all([
    client.run(createRequest('big')).then(recordOrder('big')),
    client.run(createRequest('small')).then(recordOrder('small')),
  ]);
  assert.equal(order, ['small', 'big']);
  assert.equal(first, big);
});

test('many simultaneous answers, one of them a single long row, arrive whole', async () => {
  const answers = new Map<string, Answer>();
  for (let index = 0; index < 200; index += 1) {
    answers.set(`r${index}`, createRows(3, `${index}`.repeat(20_000)));
  }
  answers.set('long', createRows(1, '\u0000'.repeat(4_000_000)));
  const server = await startServer(async (req) => {
    await new Promise(setImmediate);
    return answers.get(req.id) ?? OK;
  });
  const client = createClient(server.port, { times: { ...TIMES, silenceMs: 5_000 } });
  const ids = [...answers.keys()];
  const found = await Promise.all(ids.map((id) => client.run(createRequest(id))));
  assert.equal(found, [...answers.values()]);
});

test('a request is not sent when the connection is refused', async () => {
  const server = net.createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  assert.is(await describeOutcome(createClient(port).run(createRequest('r1'))), 'lost, sent=false');
});

test('a request is not sent when the WebSocket handshake gets no reply', async () => {
  const server = net.createServer(() => undefined);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as net.AddressInfo;
  assert.is(await describeOutcome(createClient(port).run(createRequest('r1'))), 'lost, sent=false');
  server.close();
});

test('a connection closed after sending leaves the outcome unknown, and the next request reconnects', async () => {
  let shouldAnswer = false;
  const seen: string[] = [];
  const server = await startServer((req) => {
    seen.push(req.id);
    return shouldAnswer ? Promise.resolve(OK) : neverAnswer();
  });
  const relay = await startRelay(server.port);
  let losses = 0;
  const client = createClient(relay.port, { onLost: () => (losses += 1) });
  const first = describeOutcome(client.run(createRequest('r1')));
  await waitUntil(() => seen.length === 1);
  relay.cut();
  assert.is(await first, 'lost, sent=true');
  assert.is(losses, 1);
  shouldAnswer = true;
  assert.is(await describeOutcome(client.run(createRequest('r2'))), 'ok');
  assert.equal(seen, ['r1', 'r2']);
  assert.is(relay.countConnections(), 2);
});

test('a connection closed within a large answer fails the request without a partial answer', async () => {
  const server = await startServer(() => Promise.resolve(createRows(20, 'x'.repeat(100_000))));
  const relay = await startRelay(server.port);
  relay.cutAfter(600_000);
  const client = createClient(relay.port, { times: { ...TIMES, silenceMs: 5_000 } });
  assert.is(await describeOutcome(client.run(createRequest('r1'))), 'lost, sent=true');
});

test('a request fails when the peer sends nothing for the silence limit', async () => {
  const server = await startServer(neverAnswer);
  const relay = await startRelay(server.port);
  const client = createClient(relay.port);
  const call = describeOutcome(client.run(createRequest('r1')));
  relay.freeze();
  assert.match(await call, 'lost');
});

test('a request is not lost because the process itself was blocked for the silence limit', async () => {
  const server = await startServer(() => {
    const end = performance.now() + TIMES.silenceMs * 2;
    while (performance.now() < end);
    return Promise.resolve(OK);
  });
  assert.is(await describeOutcome(createClient(server.port).run(createRequest('r1'))), 'ok');
});

test('a long-running request does not count as silence', async () => {
  const server = await startServer(
    () => new Promise((resolve) => setTimeout(resolve, TIMES.silenceMs * 4, OK)),
  );
  assert.is(await describeOutcome(createClient(server.port).run(createRequest('r1'))), 'ok');
});

test('an idle connection closes unless it is needed, and the next request reconnects', async () => {
  const closed: string[] = [];
  const server = await startServer(
    () => Promise.resolve(OK),
    (peer) => closed.push(peer),
  );
  let isNeeded = true;
  let mayCloseCalls = 0;
  const client = createClient(server.port, {
    times: { ...TIMES, pingMs: 5, idleMs: 5 },
    mayClose: () => {
      mayCloseCalls += 1;
      return !isNeeded;
    },
  });
  await client.run(createRequest('r1'));
  await waitUntil(() => mayCloseCalls > 2);
  assert.equal(closed, []);
  isNeeded = false;
  await waitUntil(() => closed.length === 1);
  assert.equal(closed, ['entry-1']);
  assert.is(await describeOutcome(client.run(createRequest('r2'))), 'ok');
});

test('a peer is reported as disconnected after its last connection closes', async () => {
  const closed: string[] = [];
  const server = await startServer(
    () => Promise.resolve(OK),
    (peer) => closed.push(peer),
  );
  const clients = [createClient(server.port), createClient(server.port)];
  for (const client of clients) await client.run(createRequest('r1'));
  clients[0]?.close();
  const other = createClient(server.port, { self: 'entry-2' });
  await other.run(createRequest('r2'));
  other.close();
  await waitUntil(() => closed.length > 0);
  assert.equal(closed, ['entry-2']);
  clients[1]?.close();
  await waitUntil(() => closed.length > 1);
  assert.equal(closed, ['entry-2', 'entry-1']);
});

test('a statement too large for a message is refused without sending it', async () => {
  let runs = 0;
  const server = await startServer(() => {
    runs += 1;
    return Promise.resolve(OK);
  });
  const client = createClient(server.port);
  const answer = await client.run(createRequest('r1', { sql: 'x'.repeat(9_000_000) }));
  assert.is(answer.kind === 'failure' && answer.failure.kind, 'too_large');
  assert.is(runs, 0);
});

test('a request that fails validation at the peer is not run', async () => {
  let runs = 0;
  const server = await startServer(() => {
    runs += 1;
    return Promise.resolve(OK);
  });
  const client = createClient(server.port);
  const invalid = createRequest('r1', { deadlineMs: -1 });
  const [one, two] = [client.run(invalid), client.run(invalid)].map(describeOutcome);
  assert.equal([await one, await two], ['lost, sent=false', 'lost, sent=false']);
  assert.is(runs, 0);
});

test('invalid messages at the peer port do not affect other connections', async () => {
  const server = await startServer(() => Promise.resolve(OK));
  for (const text of ['nonsense', '{"id":1}', '[]', '{"id":1,"method":"mutation","params":{}}']) {
    const socket = new WebSocket(`ws://127.0.0.1:${server.port}/?self=entry-9`);
    socket.on('error', () => undefined);
    await new Promise((resolve) => socket.once('open', resolve));
    socket.send(text);
    socket.send(Buffer.from([0xff, 0xfe]));
    await new Promise((resolve) => setImmediate(resolve));
    socket.terminate();
  }
  assert.is(await describeOutcome(createClient(server.port).run(createRequest('r1'))), 'ok');
});

test.after.each(closeAll);

test.run();

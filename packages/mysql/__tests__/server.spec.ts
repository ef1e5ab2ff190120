import net from 'node:net';
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { ServerConnection } from '../src/index';
import type { TestServer } from './testServer';
import { PASSWORD, answerOk, closeServers, sendBytes, startTestServer } from './testServer';

const SEED = 20_261_203;
const ERROR_MARK = 0xff;

/** Error number and text of the last packet, when that is an error. */
function readError(bytes: Buffer): string {
  let offset = 0;
  let last: Buffer = Buffer.alloc(0);
  while (offset + 4 <= bytes.length) {
    const end = offset + 4 + bytes.readUIntLE(offset, 3);
    last = bytes.subarray(offset + 4, end);
    offset = end;
  }
  if (last[0] !== ERROR_MARK) return 'no error';
  return `${last.readUInt16LE(1)} ${last.subarray(4).toString()}`;
}

/** Bytes of the last packet, with its header. */
function readLast(bytes: Buffer): number {
  let offset = 0;
  let length = 0;
  while (offset < bytes.length) {
    length = 4 + bytes.readUIntLE(offset, 3);
    offset += length;
  }
  return length;
}

async function isServing(
  connect: () => Promise<{ ping: () => Promise<void>; destroy: () => void }>,
) {
  const connection = await connect();
  await connection.ping();
  connection.destroy();
}

test('random bytes in place of a login harm no one else', async () => {
  const { server, connect } = await startTestServer();
  await fc.assert(
    fc.asyncProperty(fc.uint8Array({ maxLength: 400 }), async (bytes) => {
      await sendBytes(server.port, bytes);
    }),
    { seed: SEED, numRuns: 200 },
  );
  await isServing(connect);
});

/** Connects by the library and hands over the socket, so that raw bytes follow a good login. */
async function loggedIn(connect: TestServer['connect']): Promise<net.Socket> {
  const connection = (await connect()) as unknown as { connection: { stream: net.Socket } };
  const { stream } = connection.connection;
  stream.removeAllListeners('data');
  stream.removeAllListeners('close');
  stream.on('error', () => undefined);
  return stream;
}

function untilClosed(socket: net.Socket): Promise<Buffer> {
  const chunks: Buffer[] = [];
  socket.on('data', (chunk: Buffer) => chunks.push(chunk));
  return new Promise((resolve) => {
    socket.on('close', () => {
      resolve(Buffer.concat(chunks));
    });
  });
}

function packet(payload: readonly number[], sequence = 0): Buffer {
  const header = Buffer.alloc(4);
  header.writeUIntLE(payload.length, 0, 3);
  header.writeUInt8(sequence, 3);
  return Buffer.concat([header, Buffer.from(payload)]);
}

test('random commands after a login harm no one else', async () => {
  const { connect } = await startTestServer();
  const command = fc.tuple(
    fc.constantFrom(0, 2, 3, 4, 5, 9, 0x0e, 0x11, 0x16, 0x17, 0x18, 0x19, 0x1a, 0x1b, 0x1f, 0xff),
    fc.uint8Array({ maxLength: 60 }),
  );
  await fc.assert(
    fc.asyncProperty(fc.array(command, { maxLength: 6 }), async (commands) => {
      const socket = await loggedIn(connect);
      const ended = untilClosed(socket);
      for (const [code, rest] of commands) socket.write(packet([code, ...rest]));
      socket.end();
      await ended;
    }),
    { seed: SEED, numRuns: 200 },
  );
  await isServing(connect);
});

test('a packet out of order ends the connection with an error', async () => {
  const { connect } = await startTestServer();
  const socket = await loggedIn(connect);
  const ended = untilClosed(socket);
  socket.write(packet([0x0e], 7));
  assert.match(readError(await ended), '1156 08S01Got packets out of order');
});

test('a packet that is announced larger than the limit ends the connection at once', async () => {
  const { connect } = await startTestServer(answerOk, { packetBytes: 1_000 });
  const socket = await loggedIn(connect);
  const ended = untilClosed(socket);
  const header = packet([3]);
  header.writeUIntLE(1_001, 0, 3);
  socket.write(header);
  assert.match(readError(await ended), '1153 08S01');
});

test('packets of the greatest length do not add up beyond the limit', async () => {
  const { connect } = await startTestServer(answerOk, { packetBytes: 0x1_00_00_00 });
  const socket = await loggedIn(connect);
  const ended = untilClosed(socket);
  const part = packet(new Array<number>(0xff_ff_ff).fill(0x20));
  socket.write(part);
  part.writeUInt8(1, 3);
  socket.write(part);
  assert.match(readError(await ended), '1153 08S01');
});

test('bytes of another protocol in place of a login are refused', async () => {
  const { server } = await startTestServer();
  const answer = await sendBytes(server.port, Buffer.from('GET / HTTP/1.1\r\n\r\n'));
  assert.match(readError(answer), '1153 08S01');
});

test('a login that is never finished is ended', async () => {
  const { server } = await startTestServer(answerOk, { loginTimeoutMs: 20 });
  const socket = net.connect(server.port, '127.0.0.1');
  const ended = untilClosed(socket);
  socket.write(Buffer.from([9]));
  assert.match(readError(await ended), '1159 08S01');
});

test('commands that come while one runs are answered in order', async () => {
  const running: ServerConnection[] = [];
  const { commands, connect } = await startTestServer(
    (connection) => {
      running.push(connection);
    },
    { waitingCommands: 4 },
  );
  const socket = await loggedIn(connect);
  const names = Array.from({ length: 50 }, (_, index) => `SELECT ${index}`);
  for (const name of names) socket.write(packet([3, ...Buffer.from(name)]));
  for (const name of names) {
    while (running.length === 0) await new Promise(setImmediate);
    assert.is(running.length, 1, name);
    const connection = running.shift();
    if (connection) answerOk(connection);
  }
  assert.equal(
    commands.map((command) => (command.type === 'query' ? command.sql : '')),
    names,
  );
  socket.destroy();
});

test('a caller that reads nothing is ended and holds no more than its bound', async () => {
  const cell = 'x'.repeat(1_000_000);
  const columns = [
    { name: 'c', table: '', schema: '', type: 253, charset: 45, flags: 0, length: 1, decimals: 0 },
  ];
  const limits = { unsentBytes: 1_000_000, writeTimeoutMs: 30 };
  const { server, commands, closed, connect } = await startTestServer((connection) => {
    connection.sendRows(columns, [[cell], [cell], [cell], [cell], [cell], [cell], [cell], [cell]]);
  }, limits);
  const socket = await loggedIn(connect);
  socket.pause();
  for (let index = 0; index < 20; index += 1) socket.write(packet([3, 0x20]));
  while (closed.length === 0) await new Promise((resolve) => setTimeout(resolve, 5));
  assert.ok(commands.length < 20);
  assert.is(server.connectionCount(), 0);
  socket.destroy();
});

test('a caller that goes away is reported once', async () => {
  const { closed, connect } = await startTestServer(() => undefined);
  const connection = await connect();
  connection.query('SELECT 1').catch(() => undefined);
  connection.destroy();
  while (closed.length === 0) await new Promise(setImmediate);
  assert.is(closed.length, 1);
});

test('a command that crosses the end of its connection gets the error, and does not run', async () => {
  const seen: ServerConnection[] = [];
  const { commands, connect } = await startTestServer((connection) => {
    seen.push(connection);
    answerOk(connection);
  });
  const socket = await loggedIn(connect);
  socket.write(packet([0x0e]));
  while (seen.length === 0) await new Promise(setImmediate);
  const ended = untilClosed(socket);
  seen[0]?.closeWithError(1053, '08S01', 'draining');
  socket.write(packet([3, 0x20]));
  const bytes = await ended;
  assert.match(readError(bytes), '1053 08S01draining');
  assert.is(bytes.subarray(-readLast(bytes)).readUInt8(3), 1);
  assert.is(commands.length, 1);
});

test('a change of user is checked like a login', async () => {
  const { closed, connect } = await startTestServer();
  const connection = await connect();
  await connection.changeUser({ user: 'kerala', password: PASSWORD, database: 'content' });
  await connection.ping();
  assert.is(closed.length, 1);
  const refused = await connection.changeUser({ user: 'kerala', password: 'wrong' }).then(
    () => 'accepted',
    (err: unknown) => String(err),
  );
  assert.match(refused, 'Access denied');
});

test('connect attributes and character sets are read at login', async () => {
  const seen: ServerConnection[] = [];
  const { connect } = await startTestServer((connection) => {
    seen.push(connection);
    answerOk(connection);
  });
  const connection = await connect({
    connectAttributes: { program: 'desk' },
    charset: 'LATIN1_SWEDISH_CI',
  });
  await connection.query('SELECT 1');
  assert.is(seen[0]?.attributes.program, 'desk');
  connection.destroy();
  const refused = await connect({ charset: 'BIG5_CHINESE_CI' }).then(
    () => 'accepted',
    (err: unknown) => String(err),
  );
  assert.match(refused, 'Unknown character set');
});

test('parameters sent ahead in pieces are put together, within the limit', async () => {
  const { commands, connect } = await startTestServer(answerOk, { packetBytes: 2_000 });
  const socket = await loggedIn(connect);
  socket.write(packet([0x16, ...Buffer.from('SELECT ?')]));
  const ahead = (size: number) => packet([0x18, 1, 0, 0, 0, 0, 0, ...Buffer.alloc(size, 0x61)]);
  const execute = packet([0x17, 1, 0, 0, 0, 0, 1, 0, 0, 0, 0, 1, 252, 0]);
  for (const bytes of [ahead(3), ahead(4), execute]) socket.write(bytes);
  while (commands.length === 0) await new Promise(setImmediate);
  const base64 = Buffer.alloc(7, 0x61).toString('base64');
  assert.equal(commands[0], { type: 'query', sql: 'SELECT ?', params: [{ base64 }] });
  for (const bytes of [ahead(1_500), ahead(1_500), ahead(1_500), execute]) socket.write(bytes);
  const ended = untilClosed(socket);
  socket.end();
  assert.match(readError(await ended), '1153 08S01');
});

test.after.each(closeServers);

test.run();

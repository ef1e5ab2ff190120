import net from 'node:net';
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { ServerConnection } from '../src/index';
import type { TestServer } from './testServer';
import { PASSWORD, respondOk, closeServers, sendBytes, startTestServer } from './testServer';

const SEED = 20_261_203;
const ERR_HEADER = 0xff;

/** Error code and text of the last packet; 'no error' if it is not an ERR packet. */
function readError(bytes: Buffer): string {
  let offset = 0;
  let last: Buffer = Buffer.alloc(0);
  while (offset + 4 <= bytes.length) {
    const end = offset + 4 + bytes.readUIntLE(offset, 3);
    last = bytes.subarray(offset + 4, end);
    offset = end;
  }
  if (last[0] !== ERR_HEADER) return 'no error';
  return `${last.readUInt16LE(1)} ${last.subarray(4).toString()}`;
}

/** Length of the last packet in bytes, with its header. */
function readLastPacketLength(bytes: Buffer): number {
  let offset = 0;
  let length = 0;
  while (offset < bytes.length) {
    length = 4 + bytes.readUIntLE(offset, 3);
    offset += length;
  }
  return length;
}

async function assertServing(
  connect: () => Promise<{ ping: () => Promise<void>; destroy: () => void }>,
) {
  const connection = await connect();
  await connection.ping();
  connection.destroy();
}

test('random bytes instead of a handshake response do not affect other connections', async () => {
  const { server, connect } = await startTestServer();
  await fc.assert(
    fc.asyncProperty(fc.uint8Array({ maxLength: 400 }), async (bytes) => {
      await sendBytes(server.port, bytes);
    }),
    { seed: SEED, numRuns: 200 },
  );
  await assertServing(connect);
});

/** Logs in with mysql2 and returns its socket, to send raw bytes in the command phase. */
async function openLoggedInSocket(connect: TestServer['connect']): Promise<net.Socket> {
  const connection = (await connect()) as unknown as { connection: { stream: net.Socket } };
  const { stream } = connection.connection;
  stream.removeAllListeners('data');
  stream.removeAllListeners('close');
  stream.on('error', () => undefined);
  return stream;
}

function readUntilClosed(socket: net.Socket): Promise<Buffer> {
  const chunks: Buffer[] = [];
  socket.on('data', (chunk: Buffer) => chunks.push(chunk));
  return new Promise((resolve) => {
    socket.on('close', () => {
      resolve(Buffer.concat(chunks));
    });
  });
}

function buildPacket(payload: readonly number[], sequence = 0): Buffer {
  const header = Buffer.alloc(4);
  header.writeUIntLE(payload.length, 0, 3);
  header.writeUInt8(sequence, 3);
  return Buffer.concat([header, Buffer.from(payload)]);
}

test('random commands after a login do not affect other connections', async () => {
  const { connect } = await startTestServer();
  const command = fc.tuple(
    fc.constantFrom(0, 2, 3, 4, 5, 9, 0x0e, 0x11, 0x16, 0x17, 0x18, 0x19, 0x1a, 0x1b, 0x1f, 0xff),
    fc.uint8Array({ maxLength: 60 }),
  );
  await fc.assert(
    fc.asyncProperty(fc.array(command, { maxLength: 6 }), async (commands) => {
      const socket = await openLoggedInSocket(connect);
      const ended = readUntilClosed(socket);
      for (const [code, rest] of commands) socket.write(buildPacket([code, ...rest]));
      socket.end();
      await ended;
    }),
    { seed: SEED, numRuns: 200 },
  );
  await assertServing(connect);
});

test('a wrong sequence id closes the connection with an error', async () => {
  const { connect } = await startTestServer();
  const socket = await openLoggedInSocket(connect);
  const ended = readUntilClosed(socket);
  socket.write(buildPacket([0x0e], 7));
  assert.match(readError(await ended), '1156 08S01Got packets out of order');
});

test('a packet header with a length above the limit closes the connection at once', async () => {
  const { connect } = await startTestServer(respondOk, { packetBytes: 1_000 });
  const socket = await openLoggedInSocket(connect);
  const ended = readUntilClosed(socket);
  const header = buildPacket([3]);
  header.writeUIntLE(1_001, 0, 3);
  socket.write(header);
  assert.match(readError(await ended), '1153 08S01');
});

test('a payload split over packets of maximum length is limited too', async () => {
  const { connect } = await startTestServer(respondOk, { packetBytes: 0x1_00_00_00 });
  const socket = await openLoggedInSocket(connect);
  const ended = readUntilClosed(socket);
  const part = buildPacket(new Array<number>(0xff_ff_ff).fill(0x20));
  socket.write(part);
  part.writeUInt8(1, 3);
  socket.write(part);
  assert.match(readError(await ended), '1153 08S01');
});

test('bytes of another protocol instead of a handshake response are refused', async () => {
  const { server } = await startTestServer();
  const answer = await sendBytes(server.port, Buffer.from('GET / HTTP/1.1\r\n\r\n'));
  assert.match(readError(answer), '1153 08S01');
});

test('an unfinished login times out', async () => {
  const { server } = await startTestServer(respondOk, { loginTimeoutMs: 20 });
  const socket = net.connect(server.port, '127.0.0.1');
  const ended = readUntilClosed(socket);
  socket.write(Buffer.from([9]));
  assert.match(readError(await ended), '1159 08S01');
});

test('commands received while one runs are queued and run in order', async () => {
  const running: ServerConnection[] = [];
  const { commands, connect } = await startTestServer(
    (connection) => {
      running.push(connection);
    },
    { waitingCommands: 4 },
  );
  const socket = await openLoggedInSocket(connect);
  const names = Array.from({ length: 50 }, (_, index) => `SELECT ${index}`);
  for (const name of names) socket.write(buildPacket([3, ...Buffer.from(name)]));
  for (const name of names) {
    while (running.length === 0) await new Promise(setImmediate);
    assert.is(running.length, 1, name);
    const connection = running.shift();
    if (connection) respondOk(connection);
  }
  assert.equal(
    commands.map((command) => (command.type === 'query' ? command.sql : '')),
    names,
  );
  socket.destroy();
});

test('a client that does not read is disconnected, and its unsent bytes are limited', async () => {
  const cell = 'x'.repeat(1_000_000);
  const columns = [
    { name: 'c', table: '', schema: '', type: 253, charset: 45, flags: 0, length: 1, decimals: 0 },
  ];
  const limits = { unsentBytes: 1_000_000, writeTimeoutMs: 30 };
  const { server, commands, closed, connect } = await startTestServer((connection) => {
    connection.sendRows(columns, [[cell], [cell], [cell], [cell], [cell], [cell], [cell], [cell]]);
  }, limits);
  const socket = await openLoggedInSocket(connect);
  socket.pause();
  for (let index = 0; index < 20; index += 1) socket.write(buildPacket([3, 0x20]));
  while (closed.length === 0) await new Promise((resolve) => setTimeout(resolve, 5));
  assert.ok(commands.length < 20);
  assert.is(server.connectionCount(), 0);
  socket.destroy();
});

test('a disconnected client is reported once', async () => {
  const { closed, connect } = await startTestServer(() => undefined);
  const connection = await connect();
  connection.query('SELECT 1').catch(() => undefined);
  connection.destroy();
  while (closed.length === 0) await new Promise(setImmediate);
  assert.is(closed.length, 1);
});

test('a command sent during a server-side close gets the error and does not run', async () => {
  const seen: ServerConnection[] = [];
  const { commands, connect } = await startTestServer((connection) => {
    seen.push(connection);
    respondOk(connection);
  });
  const socket = await openLoggedInSocket(connect);
  socket.write(buildPacket([0x0e]));
  while (seen.length === 0) await new Promise(setImmediate);
  const ended = readUntilClosed(socket);
  seen[0]?.closeWithError(1053, '08S01', 'draining');
  socket.write(buildPacket([3, 0x20]));
  const bytes = await ended;
  assert.match(readError(bytes), '1053 08S01draining');
  assert.is(bytes.subarray(-readLastPacketLength(bytes)).readUInt8(3), 1);
  assert.is(commands.length, 1);
});

test('COM_CHANGE_USER is checked like a login', async () => {
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

test('connection attributes and character set are read from the handshake response', async () => {
  const seen: ServerConnection[] = [];
  const { connect } = await startTestServer((connection) => {
    seen.push(connection);
    respondOk(connection);
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

// Bytes that are not text in the connection's encoding were replaced, and another statement ran.
test('a statement that is no text in the encoding of its connection is refused and does not run', async () => {
  const { commands, connect } = await startTestServer();
  const socket = await openLoggedInSocket(connect);
  const sql = [...Buffer.from("INSERT INTO t VALUES ('"), 0xff, 0xfe, ...Buffer.from("')")];
  // A query, the choice of a database, and the preparing of a statement.
  for (const code of [0x03, 0x02, 0x16]) socket.write(buildPacket([code, ...sql]));
  const ended = readUntilClosed(socket);
  socket.write(buildPacket([0x01]));
  const bytes = await ended;
  assert.equal(commands, []);
  assert.is(bytes.toString('latin1').split('#HY000Invalid utf8 character string').length, 4);
});

test('long data of a parameter is concatenated, within the limit', async () => {
  const { commands, connect } = await startTestServer(respondOk, { packetBytes: 2_000 });
  const socket = await openLoggedInSocket(connect);
  socket.write(buildPacket([0x16, ...Buffer.from('SELECT ?')]));
  const longData = (size: number) =>
    buildPacket([0x18, 1, 0, 0, 0, 0, 0, ...Buffer.alloc(size, 0x61)]);
  const execute = buildPacket([0x17, 1, 0, 0, 0, 0, 1, 0, 0, 0, 0, 1, 252, 0]);
  for (const bytes of [longData(3), longData(4), execute]) socket.write(bytes);
  while (commands.length === 0) await new Promise(setImmediate);
  const base64 = Buffer.alloc(7, 0x61).toString('base64');
  assert.equal(commands[0], { type: 'query', sql: 'SELECT ?', params: [{ base64 }] });
  for (const bytes of [longData(1_500), longData(1_500), longData(1_500), execute])
    socket.write(bytes);
  const ended = readUntilClosed(socket);
  socket.end();
  assert.match(readError(await ended), '1153 08S01');
});

test.after.each(closeServers);

test.run();

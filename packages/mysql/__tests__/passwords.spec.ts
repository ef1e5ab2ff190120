import net from 'node:net';
import mysql from 'mysql2';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { verifyPassword } from '../src/passwords';
import { PASSWORD, closeServers, startTestServer } from './testServer';

type Mysql2Plugin = (
  options: object,
) => (context: { connection: unknown }) => (data: Buffer) => Buffer | null;

/** Computes a response with the client plugin of mysql2. */
function computeSha2Response(password: string, nonce: Buffer): Buffer {
  const plugins = mysql as unknown as { authPlugins: { caching_sha2_password: Mysql2Plugin } };
  const plugin = plugins.authPlugins.caching_sha2_password({});
  const respond = plugin({ connection: { config: { password } } });
  return respond(nonce) ?? Buffer.alloc(0);
}

const NONCE = Buffer.from('01234567890123456789');

test('a caching_sha2_password response is valid for its own password only', () => {
  const exchange = { plugin: 'caching_sha2_password' as const, nonce: NONCE };
  const authResponse = computeSha2Response('secret', NONCE);
  assert.ok(verifyPassword({ ...exchange, authResponse }, 'secret'));
  assert.not.ok(verifyPassword({ ...exchange, authResponse }, 'other'));
  assert.not.ok(verifyPassword({ ...exchange, authResponse }, undefined));
  assert.not.ok(verifyPassword({ ...exchange, authResponse: Buffer.alloc(0) }, 'secret'));
  assert.not.ok(
    verifyPassword({ ...exchange, plugin: 'mysql_native_password', authResponse }, 'secret'),
  );
  assert.ok(verifyPassword({ ...exchange, authResponse: Buffer.alloc(0) }, ''));
});

/** Returns a function that reads the next packet from the socket. */
function createPacketReader(socket: net.Socket): () => Promise<Buffer> {
  let buffered: Buffer = Buffer.alloc(0);
  socket.on('data', (chunk: Buffer) => {
    buffered = Buffer.concat([buffered, chunk]);
  });
  return async () => {
    while (buffered.length < 4 || buffered.length < 4 + buffered.readUIntLE(0, 3)) {
      await new Promise(setImmediate);
    }
    const end = 4 + buffered.readUIntLE(0, 3);
    const packet = buffered.subarray(4, end);
    buffered = buffered.subarray(end);
    return packet;
  };
}

const CAPABILITIES = 0x00000200 | 0x00008000 | 0x00080000;

function buildHandshakeResponse(authResponse: Buffer): Buffer {
  const head = Buffer.alloc(32);
  head.writeUInt32LE(CAPABILITIES, 0);
  head.writeUInt8(45, 8);
  const parts = [
    head,
    'kerala\0',
    Buffer.from([authResponse.length]),
    authResponse,
    'caching_sha2_password\0',
  ];
  const payload = Buffer.concat(parts.map((part) => Buffer.from(part)));
  return Buffer.concat([Buffer.from([payload.length, 0, 0, 1]), payload]);
}

test('a client that supports only caching_sha2_password logs in', async () => {
  const { server } = await startTestServer();
  const socket = net.connect(server.port, '127.0.0.1');
  const next = createPacketReader(socket);
  const handshake = await next();
  const start = handshake.indexOf(0, 1) + 5;
  const nonce = Buffer.concat([
    handshake.subarray(start, start + 8),
    handshake.subarray(start + 27, start + 39),
  ]);
  socket.write(buildHandshakeResponse(computeSha2Response(PASSWORD, nonce)));
  assert.equal([...(await next())], [1, 3]);
  assert.is((await next())[0], 0);
  socket.destroy();
});

test.after.each(closeServers);

test.run();

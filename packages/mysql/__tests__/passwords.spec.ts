import net from 'node:net';
import mysql from 'mysql2';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { verifyPassword } from '../src/passwords';
import { PASSWORD, closeServers, startTestServer } from './testServer';

type LibraryPlugin = (
  options: object,
) => (context: { connection: unknown }) => (data: Buffer) => Buffer | null;

/** The library's own proof of a password. */
function sha2Proof(password: string, nonce: Buffer): Buffer {
  const plugins = mysql as unknown as { authPlugins: { caching_sha2_password: LibraryPlugin } };
  const plugin = plugins.authPlugins.caching_sha2_password({});
  const answer = plugin({ connection: { config: { password } } });
  return answer(nonce) ?? Buffer.alloc(0);
}

const NONCE = Buffer.from('01234567890123456789');

test('a proof by caching_sha2_password is right for its password only', () => {
  const proof = { plugin: 'caching_sha2_password' as const, nonce: NONCE };
  const authResponse = sha2Proof('secret', NONCE);
  assert.ok(verifyPassword({ ...proof, authResponse }, 'secret'));
  assert.not.ok(verifyPassword({ ...proof, authResponse }, 'other'));
  assert.not.ok(verifyPassword({ ...proof, authResponse }, undefined));
  assert.not.ok(verifyPassword({ ...proof, authResponse: Buffer.alloc(0) }, 'secret'));
  assert.not.ok(
    verifyPassword({ ...proof, plugin: 'mysql_native_password', authResponse }, 'secret'),
  );
  assert.ok(verifyPassword({ ...proof, authResponse: Buffer.alloc(0) }, ''));
});

/** Reads the packets of a conversation one by one. */
function readPackets(socket: net.Socket): () => Promise<Buffer> {
  let held: Buffer = Buffer.alloc(0);
  socket.on('data', (chunk: Buffer) => {
    held = Buffer.concat([held, chunk]);
  });
  return async () => {
    while (held.length < 4 || held.length < 4 + held.readUIntLE(0, 3)) {
      await new Promise(setImmediate);
    }
    const end = 4 + held.readUIntLE(0, 3);
    const packet = held.subarray(4, end);
    held = held.subarray(end);
    return packet;
  };
}

const CAPABILITIES = 0x00000200 | 0x00008000 | 0x00080000;

function hello(authResponse: Buffer): Buffer {
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

test('a client that knows only caching_sha2_password logs in', async () => {
  const { server } = await startTestServer();
  const socket = net.connect(server.port, '127.0.0.1');
  const next = readPackets(socket);
  const greeting = await next();
  const start = greeting.indexOf(0, 1) + 5;
  const nonce = Buffer.concat([
    greeting.subarray(start, start + 8),
    greeting.subarray(start + 27, start + 39),
  ]);
  socket.write(hello(sha2Proof(PASSWORD, nonce)));
  assert.equal([...(await next())], [1, 3]);
  assert.is((await next())[0], 0);
  socket.destroy();
});

test.after.each(closeServers);

test.run();

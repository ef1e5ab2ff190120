import { readFileSync } from 'node:fs';
import path from 'node:path';
import tls from 'node:tls';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { ServerTls } from '../src/index';
import { answerOk, closeServers, startTestServer } from './testServer';

const folder = path.join(import.meta.dirname, 'certificates');
const read = (name: string): Buffer => readFileSync(path.join(folder, name));

const CONTEXT = tls.createSecureContext({ cert: read('entry-1.pem'), key: read('entry-1.key') });
const OPTIONAL: ServerTls = { context: CONTEXT, isRequired: false };
const REQUIRED: ServerTls = { context: CONTEXT, isRequired: true };
const TRUSTING = { ssl: { ca: read('authority.pem') } };

function errorOf(attempt: Promise<unknown>): Promise<string> {
  return attempt.then(
    () => 'accepted',
    (err: unknown) => String(err),
  );
}

test('a caller that asks for it gets an encrypted connection', async () => {
  const { commands, closed, connect } = await startTestServer(answerOk, {}, REQUIRED);
  const connection = await connect(TRUSTING);
  const { stream } = (connection as unknown as { connection: { stream: tls.TLSSocket } })
    .connection;
  assert.ok(stream.authorized);
  const note = 'x'.repeat(200_000);
  await Promise.all([connection.query('SELECT 1'), connection.execute('SELECT ?', [note])]);
  assert.equal(commands[1], { type: 'query', sql: 'SELECT ?', params: [note] });
  connection.destroy();
  while (closed.length === 0) await new Promise(setImmediate);
});

test('passwords are checked over encrypted connections too', async () => {
  const { connect } = await startTestServer(answerOk, {}, REQUIRED);
  assert.match(await errorOf(connect({ ...TRUSTING, password: 'wrong' })), 'Access denied');
});

test('where encryption is required, a login without it is refused', async () => {
  const { connect } = await startTestServer(answerOk, {}, REQUIRED);
  assert.match(await errorOf(connect()), 'insecure transport');
});

test('where encryption is optional, a login without it is accepted', async () => {
  const { connect } = await startTestServer(answerOk, {}, OPTIONAL);
  const plain = await connect();
  await plain.ping();
  plain.destroy();
});

test('a caller finds out that a server cannot encrypt, or is not the right one', async () => {
  const plain = await startTestServer();
  assert.match(await errorOf(plain.connect(TRUSTING)), 'secure connection');
  const secure = await startTestServer(answerOk, {}, OPTIONAL);
  const untrusting = { ssl: { ca: [] as unknown as string } };
  assert.match(await errorOf(secure.connect(untrusting)), /certificate|issuer/);
  const connection = await secure.connect(TRUSTING);
  await connection.ping();
  connection.destroy();
});

test.after.each(closeServers);

test.run();

import { readFileSync } from 'node:fs';
import path from 'node:path';
import tls from 'node:tls';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { ServerTls } from '../src/index';
import { respondOk, closeServers, startTestServer } from './testServer';

const directory = path.join(import.meta.dirname, 'certificates');
const read = (name: string): Buffer => readFileSync(path.join(directory, name));

const CONTEXT = tls.createSecureContext({ cert: read('entry-1.pem'), key: read('entry-1.key') });
const OPTIONAL: ServerTls = { context: CONTEXT, isRequired: false };
const REQUIRED: ServerTls = { context: CONTEXT, isRequired: true };
const TRUSTED_CA = { ssl: { ca: read('authority.pem') } };

function describeOutcome(connecting: Promise<unknown>): Promise<string> {
  return connecting.then(
    () => 'accepted',
    (err: unknown) => String(err),
  );
}

test('a client that requests TLS gets an encrypted connection', async () => {
  const { commands, closed, connect } = await startTestServer(respondOk, {}, REQUIRED);
  const connection = await connect(TRUSTED_CA);
  const { stream } = (connection as unknown as { connection: { stream: tls.TLSSocket } })
    .connection;
  assert.ok(stream.authorized);
  const longText = 'x'.repeat(200_000);
  await Promise.all([connection.query('SELECT 1'), connection.execute('SELECT ?', [longText])]);
  assert.equal(commands[1], { type: 'query', sql: 'SELECT ?', params: [longText] });
  connection.destroy();
  while (closed.length === 0) await new Promise(setImmediate);
});

test('passwords are also checked on TLS connections', async () => {
  const { connect } = await startTestServer(respondOk, {}, REQUIRED);
  assert.match(
    await describeOutcome(connect({ ...TRUSTED_CA, password: 'wrong' })),
    'Access denied',
  );
});

test('a login without TLS is refused where TLS is required', async () => {
  const { connect } = await startTestServer(respondOk, {}, REQUIRED);
  assert.match(await describeOutcome(connect()), 'insecure transport');
});

test('a login without TLS is accepted where TLS is optional', async () => {
  const { connect } = await startTestServer(respondOk, {}, OPTIONAL);
  const plain = await connect();
  await plain.ping();
  plain.destroy();
});

test('a client detects a server without TLS and an untrusted certificate', async () => {
  const plain = await startTestServer();
  assert.match(await describeOutcome(plain.connect(TRUSTED_CA)), 'secure connection');
  const secure = await startTestServer(respondOk, {}, OPTIONAL);
  const withoutCa = { ssl: { ca: [] as unknown as string } };
  assert.match(await describeOutcome(secure.connect(withoutCa)), /certificate|issuer/);
  const connection = await secure.connect(TRUSTED_CA);
  await connection.ping();
  connection.destroy();
});

test.after.each(closeServers);

test.run();

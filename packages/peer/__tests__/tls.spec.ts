import { readFileSync } from 'node:fs';
import path from 'node:path';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { PeerTls } from '../src/index';
import {
  OK,
  closeAll,
  createClient,
  describeOutcome,
  createRequest,
  startServer,
} from './testPeers';

const folder = path.join(import.meta.dirname, 'certificates');
const read = (name: string): string => readFileSync(path.join(folder, name), 'utf8');

function readPeerTls(name: string): PeerTls {
  return { cert: read(`${name}.pem`), key: read(`${name}.key`), ca: read('authority.pem') };
}

let runs = 0;

async function startSecureServer(): Promise<number> {
  runs = 0;
  const run = (): Promise<typeof OK> => {
    runs += 1;
    return Promise.resolve(OK);
  };
  const server = await startServer(run, undefined, undefined, readPeerTls('entry-2'));
  return server.port;
}

test('daemons with valid certificates exchange requests', async () => {
  const client = createClient(await startSecureServer(), { tls: readPeerTls('entry-1') });
  assert.is(await describeOutcome(client.run(createRequest('r1'))), 'ok');
  assert.is(runs, 1);
});

test('a server with another id than expected gets no request', async () => {
  const port = await startSecureServer();
  const client = createClient(port, { tls: readPeerTls('entry-1'), peer: 'entry-3' });
  assert.is(await describeOutcome(client.run(createRequest('r1'))), 'lost, sent=false');
  assert.is(runs, 0);
});

test('a client whose id differs from its certificate is refused', async () => {
  const port = await startSecureServer();
  const client = createClient(port, { tls: readPeerTls('entry-1'), self: 'entry-9' });
  assert.is(await describeOutcome(client.run(createRequest('r1'))), 'lost, sent=false');
  assert.is(runs, 0);
});

test('a certificate of another authority is refused by server and client', async () => {
  const port = await startSecureServer();
  const impostor = createClient(port, { tls: readPeerTls('false-entry-2'), self: 'entry-2' });
  assert.is(await describeOutcome(impostor.run(createRequest('r1'))), 'lost, sent=false');
  const server = await startServer(
    () => Promise.resolve(OK),
    undefined,
    undefined,
    readPeerTls('false-entry-2'),
  );
  const client = createClient(server.port, { tls: readPeerTls('entry-1') });
  assert.is(await describeOutcome(client.run(createRequest('r2'))), 'lost, sent=false');
  assert.is(runs, 0);
});

test('a client without a certificate is refused', async () => {
  const client = createClient(await startSecureServer());
  assert.is(await describeOutcome(client.run(createRequest('r1'))), 'lost, sent=false');
  assert.is(runs, 0);
});

test.after.each(closeAll);

test.run();

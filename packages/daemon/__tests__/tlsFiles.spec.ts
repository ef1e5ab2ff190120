import path from 'node:path';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { DaemonSettings } from '../src/settings';
import { loadCallerTls, loadPeerTls } from '../src/tlsFiles';

const folder = path.join(import.meta.dirname, '../../peer/__tests__/certificates');
const file = (name: string): string => path.join(folder, name);

function settings(cert: string): DaemonSettings {
  const files = { cert_file: file(cert), key_file: file('entry-1.key') };
  const address = { host: '127.0.0.1', port: 0 };
  return {
    caller: { ...address, tls: { ...files, required: true } },
    peer: { ...address, tls: { ...files, ca_file: file('authority.pem') } },
  } as DaemonSettings;
}

test('certificates are loaded from the files that the settings name', () => {
  assert.is(loadCallerTls(settings('entry-1.pem'))?.isRequired, true);
  assert.match(loadPeerTls(settings('entry-1.pem'))?.ca ?? '', 'BEGIN CERTIFICATE');
  const plain = { caller: {}, peer: {} } as DaemonSettings;
  assert.is(loadCallerTls(plain), undefined);
  assert.is(loadPeerTls(plain), undefined);
});

test('a missing file or a certificate that does not match its key is refused', () => {
  assert.throws(() => loadCallerTls(settings('missing.pem')), /caller\.tls: cannot read .*missing/);
  assert.throws(() => loadPeerTls(settings('missing.pem')), /peer\.tls: cannot read .*missing/);
  assert.throws(() => loadPeerTls(settings('entry-2.pem')));
});

test.run();

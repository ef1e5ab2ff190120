import { readFileSync } from 'node:fs';
import tls from 'node:tls';
import type { ServerTls } from '@rosedeck/mysql';
import type { PeerTls } from '@rosedeck/peer';
import type { DaemonSettings } from './settings';

/** Loads the certificate of the caller port; throws when a file is unusable. */
export function loadCallerTls({ caller }: DaemonSettings): ServerTls | undefined {
  if (!caller.tls) return undefined;
  const { cert_file, key_file, required } = caller.tls;
  const context = tls.createSecureContext({
    cert: readPemFile('caller', cert_file),
    key: readPemFile('caller', key_file),
  });
  return { context, isRequired: required };
}

/** Loads the certificate for mutual TLS with peers; throws when a file is unusable. */
export function loadPeerTls({ peer }: DaemonSettings): PeerTls | undefined {
  if (!peer.tls) return undefined;
  const { cert_file, key_file, ca_file } = peer.tls;
  const files = {
    cert: readPemFile('peer', cert_file),
    key: readPemFile('peer', key_file),
    ca: readPemFile('peer', ca_file),
  };
  tls.createSecureContext(files);
  return files;
}

function readPemFile(section: 'caller' | 'peer', file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (cause) {
    throw new Error(`${section}.tls: cannot read ${file}`, { cause });
  }
}

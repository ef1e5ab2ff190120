import { TLSSocket } from 'node:tls';
import type { SecureContext } from 'node:tls';
import type { Socket } from 'node:net';
import type { Packet } from './packetTypes';

/** TLS settings of a server. */
export interface ServerTls {
  readonly context: SecureContext;
  /** If true, clients that log in without TLS are refused. */
  readonly isRequired: boolean;
}

/** CLIENT_SSL: capability by which server and client agree on TLS. */
export const CAPABILITY_SSL = 0x0800;
/** Length of an SSL request with its header: a handshake response cut off before the user name. */
const SSL_REQUEST_BYTES = 36;

/** True for an SSL request, which a client sends before its handshake response. */
export function isSslRequest(packet: Packet): boolean {
  if (packet.length() !== SSL_REQUEST_BYTES) return false;
  const { offset } = packet;
  const capabilities = packet.readInt32();
  packet.offset = offset;
  return (capabilities & CAPABILITY_SSL) !== 0;
}

/** Pending TLS upgrade of a socket, whose received bytes are counted. */
export interface TlsUpgrade {
  /** Starts TLS on the socket, from the first byte after the SSL request. */
  upgrade: (context: SecureContext) => TLSSocket;
}

/** Starts to count a socket's bytes: one chunk may hold the SSL request and the first TLS bytes. */
export function prepareTlsUpgrade(stream: Socket): TlsUpgrade {
  let received = 0;
  let lastChunk: Buffer = Buffer.alloc(0);
  const recordChunk = (chunk: Buffer): void => {
    received += chunk.length;
    lastChunk = chunk;
  };
  stream.prependListener('data', recordChunk);
  return {
    upgrade: (context) => {
      stream.removeAllListeners('data');
      stream.pause();
      const surplusBytes = received - SSL_REQUEST_BYTES;
      if (surplusBytes > 0) stream.unshift(lastChunk.subarray(lastChunk.length - surplusBytes));
      return new TLSSocket(stream, { isServer: true, secureContext: context });
    },
  };
}

import { TLSSocket } from 'node:tls';
import type { SecureContext } from 'node:tls';
import type { Socket } from 'node:net';
import type { Packet } from './packetTypes';

/** Encryption of a server's connections. */
export interface ServerTls {
  readonly context: SecureContext;
  /** True refuses clients that log in without encryption. */
  readonly isRequired: boolean;
}

/** Capability by which server and client agree on encryption. */
export const CAPABILITY_SSL = 0x0800;
/** Bytes of a request for encryption, header and payload: a login cut off before the user's name. */
const SSL_REQUEST_BYTES = 36;

/** True for a request for encryption, which stands in place of the login. */
export function isSslRequest(packet: Packet): boolean {
  if (packet.length() !== SSL_REQUEST_BYTES) return false;
  const { offset } = packet;
  const capabilities = packet.readInt32();
  packet.offset = offset;
  return (capabilities & CAPABILITY_SSL) !== 0;
}

/** Counts the bytes of a socket until it is encrypted. */
export interface TlsUpgrade {
  /** Encrypts the socket from the byte behind the request on. */
  upgrade: (context: SecureContext) => TLSSocket;
}

/** Starts to watch a socket; the client may send its first encrypted bytes with the request. */
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

import { randomBytes } from 'node:crypto';
import type { InstanceId } from '@rosedeck/shared';

/** Certificate and key of a daemon, in PEM; the certificate's common name is the daemon's id. */
export interface PeerTls {
  readonly cert: string;
  readonly key: string;
  /** Certificate of the authority that signs the certificates of all daemons. */
  readonly ca: string;
}

/** Largest message between daemons, in bytes; has room for the longest row with escapes. */
export const PEER_MESSAGE_LIMIT = 64 * 1_024 * 1_024;
/** Greatest length of a request, in characters; even with escapes it is below the message limit. */
export const REQUEST_LENGTH_LIMIT = 8 * 1_024 * 1_024;

/** The daemon that opened a connection. */
export interface PeerIdentity {
  readonly id: InstanceId;
  /** Differs for each start of the daemon; empty when the URL has none. */
  readonly incarnation: string;
}

const ID_PARAMETER = 'self';
const INCARNATION_PARAMETER = 'run';

/** Distinguishes this process from earlier ones with the same instance id. */
const INCARNATION = randomBytes(8).toString('hex');

/** Returns the URL at which the daemon `self` connects to a peer. */
export function peerUrl(host: string, port: number, self: InstanceId, isSecure: boolean): string {
  const query = new URLSearchParams({ [ID_PARAMETER]: self, [INCARNATION_PARAMETER]: INCARNATION });
  return `${isSecure ? 'wss' : 'ws'}://${host}:${port}/?${query.toString()}`;
}

/** Reads the connecting daemon from the request URL; undefined when the URL has no id. */
export function readPeerIdentity(url: string): PeerIdentity | undefined {
  const { searchParams } = new URL(url, 'ws://localhost');
  const id = searchParams.get(ID_PARAMETER);
  if (id === null) return undefined;
  return { id, incarnation: searchParams.get(INCARNATION_PARAMETER) ?? '' };
}

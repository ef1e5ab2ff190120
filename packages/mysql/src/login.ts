import type { Millis } from '@rosedeck/shared';
import { encodingOfCollation } from './charsets';
import { CHARSET_UTF8MB4, SERVER_CAPABILITIES } from './packetTypes';
import type { Packet, ServerSideConnection } from './packetTypes';
import {
  ENCRYPTION_REQUIRED,
  LOGIN_TIMEOUT,
  MALFORMED_PACKET,
  PACKETS_OUT_OF_ORDER,
  UNKNOWN_CHARSET,
} from './serverErrors';
import type { ServerError } from './serverErrors';
import { verifyPassword, parseAuthPlugin } from './passwords';
import type { AuthExchange } from './passwords';
import { CAPABILITY_SSL, isSslRequest } from './tlsUpgrade';

/** How logins are checked. */
export interface LoginRules {
  /** Stored password for a user, or undefined when the user is unknown. */
  readonly findPassword: (user: string, database: string) => string | undefined;
  /** An error for a login whose password was right, or undefined. */
  readonly checkAccess?: (user: string, database: string) => ServerError | undefined;
}

/** A login that was accepted. */
export interface AcceptedLogin {
  readonly user: string;
  readonly database: string;
  /** Sequence number of the answer. */
  readonly sequenceId: number;
  /** True for a client that waits for word of its password before the OK. */
  readonly needsFastAuthSuccess: boolean;
  /** What the client's password was scrambled with; COM_CHANGE_USER uses it again. */
  readonly nonce: Buffer;
}

interface LibraryLogin {
  readonly user: string;
  readonly database?: string;
  readonly authPluginData1: Buffer;
  readonly authPluginData2: Buffer;
  readonly authToken: Buffer | string;
}

const SERVER_VERSION = '8.0.36-rosedeck';
const NONCE_BYTES = 20;
/** Sequence number of a client's answer to the greeting. */
const HANDSHAKE_RESPONSE_SEQUENCE_ID = 1;

/** How a login goes on over an encrypted connection. */
export interface LoginEncryption {
  readonly isRequired: boolean;
  /** Encrypts the connection; packets go on to come to it. */
  readonly start: () => void;
}

/** Greets a client and checks its credentials; calls one of the two callbacks, once. */
export function startLogin(
  raw: ServerSideConnection,
  id: number,
  rules: LoginRules,
  timeoutMs: Millis,
  encryption: LoginEncryption | undefined,
  onAccepted: (login: AcceptedLogin) => void,
  onRefused: (error: ServerError) => void,
): void {
  let settled = false;
  const settle = (act: () => void): void => {
    if (settled) return;
    settled = true;
    clearTimeout(timer);
    act();
  };
  const refuse = (error: ServerError): void => {
    settle(() => {
      onRefused(error);
    });
  };
  const timer = setTimeout(refuse, timeoutMs, LOGIN_TIMEOUT);
  raw.stream.once('close', () => {
    settle(() => undefined);
  });
  raw.on('error', () => {
    // The library found the client's answer unreadable.
    refuse(MALFORMED_PACKET);
  });
  interceptLoginPackets(raw, encryption, refuse);
  raw.serverHandshake({
    protocolVersion: 10,
    serverVersion: SERVER_VERSION,
    connectionId: id,
    statusFlags: 2,
    characterSet: CHARSET_UTF8MB4,
    capabilityFlags: SERVER_CAPABILITIES | (encryption ? CAPABILITY_SSL : 0),
    authCallback: (login: LibraryLogin) => {
      const nonce = readNonce(login);
      const database = login.database ?? '';
      if (encodingOfCollation(raw.clientHelloReply.charsetNumber) === undefined) {
        refuse(UNKNOWN_CHARSET);
        return;
      }
      const plugin = parseAuthPlugin(raw.clientHelloReply.authPluginName);
      const { user } = login;
      // A client without secure passwords sends text, which is never right.
      const authResponse = Buffer.isBuffer(login.authToken) ? login.authToken : Buffer.alloc(1);
      const error = checkLogin(rules, user, database, { plugin, authResponse, nonce });
      if (error) {
        refuse(error);
        return;
      }
      settle(() => {
        const needsFastAuthSuccess = plugin === 'caching_sha2_password' && authResponse.length > 0;
        onAccepted({
          user,
          database,
          nonce,
          needsFastAuthSuccess,
          sequenceId: raw.sequenceId,
        });
      });
    },
  });
}

/**
 * Looks at a login before the library does: the library logs a packet out of order and goes on,
 * and knows no encryption at this side.
 */
function interceptLoginPackets(
  raw: ServerSideConnection,
  encryption: LoginEncryption | undefined,
  refuse: (error: ServerError) => void,
): void {
  const handle = raw.handlePacket;
  let expectedSequenceId = HANDSHAKE_RESPONSE_SEQUENCE_ID;
  let isEncrypted = false;
  raw.handlePacket = (packet?: Packet) => {
    if (!packet) {
      handle.call(raw);
      return;
    }
    // The library counts only what it reads itself.
    const responseSequenceId = packet.sequenceId + 1;
    if (packet.sequenceId !== expectedSequenceId) {
      raw.sequenceId = responseSequenceId;
      refuse(PACKETS_OUT_OF_ORDER);
      return;
    }
    if (encryption && !isEncrypted && isSslRequest(packet)) {
      isEncrypted = true;
      expectedSequenceId += 1;
      encryption.start();
      return;
    }
    if (encryption?.isRequired && !isEncrypted) {
      raw.sequenceId = responseSequenceId;
      refuse(ENCRYPTION_REQUIRED);
      return;
    }
    raw.sequenceId = packet.sequenceId;
    handle.call(raw, packet);
  };
}

function readNonce(login: LibraryLogin): Buffer {
  return Buffer.concat([login.authPluginData1, login.authPluginData2]).subarray(0, NONCE_BYTES);
}

/** Checks a user's credentials and access; undefined when all is well. */
export function checkLogin(
  rules: LoginRules,
  user: string,
  database: string,
  exchange: AuthExchange,
): ServerError | undefined {
  if (!verifyPassword(exchange, rules.findPassword(user, database))) {
    const usingPassword = exchange.authResponse.length > 0 ? 'YES' : 'NO';
    const message = `Access denied for user '${user}' (using password: ${usingPassword})`;
    return { code: 1045, sqlState: '28000', message };
  }
  return rules.checkAccess?.(user, database);
}

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

/** Checks that a login has to pass. */
export interface LoginRules {
  /** Returns the stored password of a user, or undefined if the user is unknown. */
  readonly findPassword: (user: string, database: string) => string | undefined;
  /** Called after the password check; returns an error that refuses the login, or undefined. */
  readonly checkAccess?: (user: string, database: string) => ServerError | undefined;
}

/** An accepted login, for which the OK packet is not sent yet. */
export interface AcceptedLogin {
  readonly user: string;
  readonly database: string;
  /** Sequence id of the response. */
  readonly sequenceId: number;
  /** True if the client expects fast_auth_success of caching_sha2_password before the OK. */
  readonly needsFastAuthSuccess: boolean;
  /** Random bytes of the initial handshake; COM_CHANGE_USER uses them again. */
  readonly nonce: Buffer;
}

interface Mysql2Login {
  readonly user: string;
  readonly database?: string;
  readonly authPluginData1: Buffer;
  readonly authPluginData2: Buffer;
  readonly authToken: Buffer | string;
}

const SERVER_VERSION = '8.0.36-rosedeck';
const NONCE_BYTES = 20;
/** Sequence id of a handshake response without TLS upgrade. */
const HANDSHAKE_RESPONSE_SEQUENCE_ID = 1;

/** TLS upgrade during a login. */
export interface LoginEncryption {
  readonly isRequired: boolean;
  /** Starts TLS; later packets arrive at the same `handlePacket`. */
  readonly start: () => void;
}

/**
 * Sends the initial handshake and checks the client's response. Calls at most one of the two
 * callbacks, once; neither if the client closes the connection first.
 */
export function startLogin(
  raw: ServerSideConnection,
  id: number,
  rules: LoginRules,
  timeoutMs: Millis,
  encryption: LoginEncryption | undefined,
  onAccepted: (login: AcceptedLogin) => void,
  onRefused: (error: ServerError) => void,
): void {
  let isSettled = false;
  const settle = (act: () => void): void => {
    if (isSettled) return;
    isSettled = true;
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
    // mysql2 could not parse the handshake response.
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
    authCallback: (login: Mysql2Login) => {
      const nonce = readNonce(login);
      const database = login.database ?? '';
      if (encodingOfCollation(raw.clientHelloReply.charsetNumber) === undefined) {
        refuse(UNKNOWN_CHARSET);
        return;
      }
      const plugin = parseAuthPlugin(raw.clientHelloReply.authPluginName);
      const { user } = login;
      // A client without CLIENT_SECURE_CONNECTION sends text, which is never a valid response.
      const authResponse = Buffer.isBuffer(login.authToken) ? login.authToken : Buffer.alloc(1);
      const error = checkLogin(rules, user, database, { plugin, authResponse, nonce });
      if (error) {
        refuse(error);
        return;
      }
      settle(() => {
        const needsFastAuthSuccess = plugin === 'caching_sha2_password' && authResponse.length > 0;
        onAccepted({ user, database, nonce, needsFastAuthSuccess, sequenceId: raw.sequenceId });
      });
    },
  });
}

/**
 * Handles login packets before `mysql2` does, which only logs a packet with a wrong sequence id and
 * continues, and does not support TLS on the server side.
 */
function interceptLoginPackets(
  raw: ServerSideConnection,
  encryption: LoginEncryption | undefined,
  refuse: (error: ServerError) => void,
): void {
  const handlePacket = raw.handlePacket;
  let expectedSequenceId = HANDSHAKE_RESPONSE_SEQUENCE_ID;
  let isEncrypted = false;
  raw.handlePacket = (packet?: Packet) => {
    if (!packet) {
      handlePacket.call(raw);
      return;
    }
    // mysql2 updates its sequence id only for packets that it reads itself.
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
    handlePacket.call(raw, packet);
  };
}

function readNonce(login: Mysql2Login): Buffer {
  return Buffer.concat([login.authPluginData1, login.authPluginData2]).subarray(0, NONCE_BYTES);
}

/** Checks a user's password and access; returns the error of a refused login, or undefined. */
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

import net from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import mysql from 'mysql2';
import type { Millis } from '@rosedeck/shared';
import { writeError } from './answerWriter';
import { UNKNOWN_CLIENT, beginAnswer, createAnswerWriter, endAnswer } from './packetWriter';
import { startLogin } from './login';
import type { AcceptedLogin, LoginEncryption, LoginRules } from './login';
import {
  createParser,
  detachConnection,
  endSocket,
  listListeners,
  receivePackets,
} from './packetStream';
import type { PacketReceiver } from './packetStream';
import type { PacketConstructor, ServerSideConnection } from './packetTypes';
import { PACKET_TOO_LARGE } from './protocolFault';
import type { ProtocolFault } from './protocolFault';
import { watchForUpgrade } from './secureLogin';
import type { ServerTls } from './secureLogin';
import { abortClient, openClient, takePacket } from './serverConnection';
import type { ConnectionHandlers, ConnectionLimits, ServerParts } from './serverConnection';

/** Bounds of a server. */
export interface ServerLimits extends ConnectionLimits {
  /** Time in which a client must log in. */
  readonly loginTimeoutMs: Millis;
}

/** Bounds of a server that states none. */
export const DEFAULT_SERVER_LIMITS: ServerLimits = {
  packetBytes: 4 * 1_024 * 1_024,
  waitingCommands: 32,
  unsentBytes: 1_024 * 1_024,
  writeTimeoutMs: 30_000,
  loginTimeoutMs: 10_000,
};

/** What a server does with its connections. */
export interface ServerHandlers extends LoginRules, ConnectionHandlers {
  /** An error to greet with instead of a session, or undefined. */
  readonly refuse?: () => ProtocolFault | undefined;
  /** Absent: connections are not encrypted. */
  readonly tls?: ServerTls;
  /** Delay of each accepted login, in milliseconds. */
  readonly authenticateDelayMs?: Millis;
}

/** A listening MySQL server. */
export interface MysqlServer {
  /** Port in use. */
  readonly port: number;
  readonly connectionCount: () => number;
  /** Stops to accept; open connections stay. */
  stopListening: () => void;
  close: () => Promise<void>;
}

interface ServerState {
  readonly handlers: ServerHandlers;
  readonly limits: ServerLimits;
  readonly open: Set<Socket>;
  readonly startedAt: Millis;
  parts?: ServerParts;
  nextId: number;
}

/** Bytes of a login at most. */
const LOGIN_PACKET_BYTES = 64 * 1_024;
/** Sequence number of the answer to a login. */
const LOGIN_SEQUENCE = 2;
/** Silence after which the system asks whether a client is still there. */
const KEEP_ALIVE_MS = 60_000;

/** Starts a MySQL server. */
export async function startMysqlServer(
  host: string,
  port: number,
  handlers: ServerHandlers,
  limits: Partial<ServerLimits> = {},
): Promise<MysqlServer> {
  const state: ServerState = {
    handlers,
    limits: { ...DEFAULT_SERVER_LIMITS, ...limits },
    open: new Set(),
    startedAt: performance.now(),
    nextId: 1,
  };
  const server = net.createServer((socket) => {
    accept(state, socket);
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    connectionCount: () => state.open.size,
    stopListening: () => {
      server.close();
    },
    close: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        for (const socket of state.open) socket.destroy();
      }),
  };
}

interface LibraryConstructors {
  readonly Connection: new (options: { config: unknown }) => ServerSideConnection;
  readonly ConnectionConfig: new (options: Record<string, unknown>) => unknown;
}

/**
 * Creates the library's side of a connection. Its own server would give each connection room for
 * 16,000 prepared statements, half a megabyte, which only clients use.
 */
function createConnection(stream: Socket): ServerSideConnection {
  const { Connection, ConnectionConfig } = mysql as unknown as LibraryConstructors;
  const config = new ConnectionConfig({
    stream,
    isServer: true,
    maxPreparedStatements: 1,
    connectTimeout: 0,
  });
  return new Connection({ config });
}

function accept(state: ServerState, stream: Socket): void {
  prepareSocket(state, stream);
  const kept = listListeners(stream);
  const raw = createConnection(stream);
  const parts = (state.parts ??= createParts(state, raw));
  state.open.add(stream);
  const refusal = state.handlers.refuse?.();
  if (refusal) {
    raw.on('error', ignore);
    refuse(parts, raw, refusal, 0);
    return;
  }
  const receiver = {
    limitBytes: LOGIN_PACKET_BYTES,
    onOversized: () => {
      refuse(parts, raw, PACKET_TOO_LARGE, LOGIN_SEQUENCE);
    },
  };
  receivePackets(stream, raw.packetParser, receiver);
  const id = takeId(state);
  startLogin(
    raw,
    id,
    state.handlers,
    state.limits.loginTimeoutMs,
    state.handlers.tls && offerEncryption(raw, state.handlers.tls, receiver),
    (login) => {
      raw.handlePacket = ignore;
      const { authenticateDelayMs } = state.handlers;
      const begin = (): void => {
        beginCommands(parts, raw, stream, kept, id, login);
      };
      if (authenticateDelayMs) setTimeout(begin, authenticateDelayMs);
      else begin();
    },
    (fault) => {
      refuse(parts, raw, fault, raw.sequenceId);
    },
  );
}

/** The library encrypts at the client's side only; here its connection gets an encrypted stream. */
function offerEncryption(
  raw: ServerSideConnection,
  tls: ServerTls,
  receiver: Pick<PacketReceiver, 'limitBytes' | 'onOversized'>,
): LoginEncryption {
  const { stream } = raw;
  const watch = watchForUpgrade(stream);
  const start = (): void => {
    const handle = raw.handlePacket;
    // What the old parser still holds is encrypted.
    raw.handlePacket = ignore;
    const secure = watch.upgrade(tls.context);
    secure.on('error', destroySocket);
    raw.stream = secure;
    setImmediate(() => {
      raw.handlePacket = handle;
      const parser = createParser(raw, (packet) => {
        raw.handlePacket(packet);
      });
      receivePackets(secure, parser, receiver);
    });
  };
  return { isRequired: tls.isRequired, start };
}

function ignore(): void {
  // Nothing is expected from a connection at this stage.
}

function createParts(state: ServerState, raw: ServerSideConnection): ServerParts {
  const Constructor = raw.packetParser._reusablePacket.constructor as PacketConstructor;
  return {
    writer: createAnswerWriter(Constructor),
    limits: state.limits,
    rules: state.handlers,
    handlers: state.handlers,
    nextId: () => takeId(state),
    statistics: () => describeStatistics(state),
  };
}

function refuse(
  { writer }: ServerParts,
  raw: ServerSideConnection,
  fault: ProtocolFault,
  sequence: number,
): void {
  const { stream } = raw;
  raw.handlePacket = ignore;
  if (stream.destroyed) return;
  beginAnswer(writer, sequence, UNKNOWN_CLIENT, (bytes) => stream.write(bytes));
  writeError(writer, fault.code, fault.sqlState, fault.message);
  endAnswer(writer);
  endSocket(stream);
}

function beginCommands(
  parts: ServerParts,
  raw: ServerSideConnection,
  socket: Socket,
  kept: ReturnType<typeof listListeners>,
  id: number,
  login: AcceptedLogin,
): void {
  const { stream } = raw;
  if (stream.destroyed) return;
  const hello = raw.clientHelloReply;
  detachConnection(raw, socket, kept, {
    limitBytes: parts.limits.packetBytes,
    onPacket: (packet) => {
      takePacket(client, packet);
    },
    onOversized: () => {
      abortClient(client, PACKET_TOO_LARGE);
    },
  });
  const client = openClient(parts, stream, id, login, hello);
}

function takeId(state: ServerState): number {
  const id = state.nextId;
  state.nextId += 1;
  return id;
}

function prepareSocket(state: ServerState, socket: Socket): void {
  socket.setNoDelay(true);
  socket.setKeepAlive(true, KEEP_ALIVE_MS);
  socket.on('error', destroySocket);
  socket.once('close', () => state.open.delete(socket));
}

function destroySocket(this: Socket): void {
  this.destroy();
}

function describeStatistics(state: ServerState): string {
  const uptime = Math.floor((performance.now() - state.startedAt) / 1_000);
  return `Uptime: ${uptime}  Threads: ${state.open.size}`;
}

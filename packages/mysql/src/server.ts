import net from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import mysql from 'mysql2';
import type { Millis } from '@rosedeck/shared';
import { writeError } from './responsePackets';
import {
  DEFAULT_CLIENT_TRAITS,
  beginResponse,
  createPacketWriter,
  flushPackets,
} from './packetWriter';
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
import { PACKET_TOO_LARGE } from './serverErrors';
import type { ServerError } from './serverErrors';
import { prepareTlsUpgrade } from './tlsUpgrade';
import type { ServerTls } from './tlsUpgrade';
import { abortClient, openClient, receivePacket } from './serverConnection';
import type { ConnectionHandlers, ConnectionLimits, ServerContext } from './serverConnection';

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
  readonly checkConnection?: () => ServerError | undefined;
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
  readonly sockets: Set<Socket>;
  readonly startedAt: Millis;
  context?: ServerContext;
  nextId: number;
}

/** Bytes of a login at most. */
const MAX_LOGIN_PACKET_BYTES = 64 * 1_024;
/** Sequence number of the answer to a login. */
const AUTH_RESULT_SEQUENCE_ID = 2;
/** Silence after which the system asks whether a client is still there. */
const KEEP_ALIVE_DELAY_MS = 60_000;

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
    sockets: new Set(),
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
    connectionCount: () => state.sockets.size,
    stopListening: () => {
      server.close();
    },
    close: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        for (const socket of state.sockets) socket.destroy();
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
  configureSocket(state, stream);
  const keptListeners = listListeners(stream);
  const raw = createConnection(stream);
  const context = (state.context ??= createContext(state, raw));
  state.sockets.add(stream);
  const refusalError = state.handlers.checkConnection?.();
  if (refusalError) {
    raw.on('error', ignore);
    refuseConnection(context, raw, refusalError, 0);
    return;
  }
  const receiver = {
    limitBytes: MAX_LOGIN_PACKET_BYTES,
    onOversized: () => {
      refuseConnection(context, raw, PACKET_TOO_LARGE, AUTH_RESULT_SEQUENCE_ID);
    },
  };
  receivePackets(stream, raw.packetParser, receiver);
  const id = allocateId(state);
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
        startCommandPhase(context, raw, stream, keptListeners, id, login);
      };
      if (authenticateDelayMs) setTimeout(begin, authenticateDelayMs);
      else begin();
    },
    (error) => {
      refuseConnection(context, raw, error, raw.sequenceId);
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
  const watch = prepareTlsUpgrade(stream);
  const start = (): void => {
    const handle = raw.handlePacket;
    // What the old parser still holds is encrypted.
    raw.handlePacket = ignore;
    const tlsSocket = watch.upgrade(tls.context);
    tlsSocket.on('error', destroySocket);
    raw.stream = tlsSocket;
    setImmediate(() => {
      raw.handlePacket = handle;
      const parser = createParser(raw, (packet) => {
        raw.handlePacket(packet);
      });
      receivePackets(tlsSocket, parser, receiver);
    });
  };
  return { isRequired: tls.isRequired, start };
}

function ignore(): void {
  // Nothing is expected from a connection at this stage.
}

function createContext(state: ServerState, raw: ServerSideConnection): ServerContext {
  const Constructor = raw.packetParser._reusablePacket.constructor as PacketConstructor;
  return {
    writer: createPacketWriter(Constructor),
    limits: state.limits,
    rules: state.handlers,
    handlers: state.handlers,
    nextId: () => allocateId(state),
    statistics: () => describeStatistics(state),
  };
}

function refuseConnection(
  { writer }: ServerContext,
  raw: ServerSideConnection,
  error: ServerError,
  sequenceId: number,
): void {
  const { stream } = raw;
  raw.handlePacket = ignore;
  if (stream.destroyed) return;
  beginResponse(writer, sequenceId, DEFAULT_CLIENT_TRAITS, (bytes) => stream.write(bytes));
  writeError(writer, error.code, error.sqlState, error.message);
  flushPackets(writer);
  endSocket(stream);
}

function startCommandPhase(
  context: ServerContext,
  raw: ServerSideConnection,
  socket: Socket,
  keptListeners: ReturnType<typeof listListeners>,
  id: number,
  login: AcceptedLogin,
): void {
  const { stream } = raw;
  if (stream.destroyed) return;
  const handshakeResponse = raw.clientHelloReply;
  detachConnection(raw, socket, keptListeners, {
    limitBytes: context.limits.packetBytes,
    onPacket: (packet) => {
      receivePacket(client, packet);
    },
    onOversized: () => {
      abortClient(client, PACKET_TOO_LARGE);
    },
  });
  const client = openClient(context, stream, id, login, handshakeResponse);
}

function allocateId(state: ServerState): number {
  const id = state.nextId;
  state.nextId += 1;
  return id;
}

function configureSocket(state: ServerState, socket: Socket): void {
  socket.setNoDelay(true);
  socket.setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
  socket.on('error', destroySocket);
  socket.once('close', () => state.sockets.delete(socket));
}

function destroySocket(this: Socket): void {
  this.destroy();
}

function describeStatistics(state: ServerState): string {
  const uptime = Math.floor((performance.now() - state.startedAt) / 1_000);
  return `Uptime: ${uptime}  Threads: ${state.sockets.size}`;
}

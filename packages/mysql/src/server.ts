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

/** Limits of a server, per connection. */
export interface ServerLimits extends ConnectionLimits {
  /** Time within which a client must log in. */
  readonly loginTimeoutMs: Millis;
}

/** Limits that `startMysqlServer` applies by default. */
export const DEFAULT_SERVER_LIMITS: ServerLimits = {
  packetBytes: 4 * 1_024 * 1_024,
  waitingCommands: 32,
  unsentBytes: 1_024 * 1_024,
  writeTimeoutMs: 30_000,
  loginTimeoutMs: 10_000,
};

/** Callbacks and connection settings of a server. */
export interface ServerHandlers extends LoginRules, ConnectionHandlers {
  /** Called for each new connection; returns an error that refuses it, or undefined. */
  readonly checkConnection?: () => ServerError | undefined;
  /** If absent, TLS is not offered. */
  readonly tls?: ServerTls;
  /** Delay before the OK packet of each accepted login. */
  readonly authenticateDelayMs?: Millis;
}

/** A listening MySQL server. */
export interface MysqlServer {
  /** Port that the server listens on. */
  readonly port: number;
  readonly connectionCount: () => number;
  /** Stops accepting connections; open ones stay. */
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

/** Largest packet during the login. */
const MAX_LOGIN_PACKET_BYTES = 64 * 1_024;
/** Sequence id of the login result, when no TLS upgrade precedes it. */
const AUTH_RESULT_SEQUENCE_ID = 2;
/** Idle time before the first TCP keep-alive probe. */
const KEEP_ALIVE_DELAY_MS = 60_000;

/** Starts a MySQL server; port 0 selects a free port. Rejects if it cannot listen. */
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

interface Mysql2Constructors {
  readonly Connection: new (options: { config: unknown }) => ServerSideConnection;
  readonly ConnectionConfig: new (options: Record<string, unknown>) => unknown;
}

/**
 * Creates the `mysql2` connection for a socket. The server of `mysql2` would allocate a cache for
 * 16,000 prepared statements (half a megabyte) per connection; only clients use this cache.
 */
function createConnection(stream: Socket): ServerSideConnection {
  const { Connection, ConnectionConfig } = mysql as unknown as Mysql2Constructors;
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
  const error = state.handlers.checkConnection?.();
  if (error) {
    raw.on('error', ignore);
    refuseConnection(context, raw, error, 0);
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

/** Prepares TLS, which `mysql2` supports on the client side only: the upgrade replaces its stream. */
function offerEncryption(
  raw: ServerSideConnection,
  tls: ServerTls,
  receiver: Pick<PacketReceiver, 'limitBytes' | 'onOversized'>,
): LoginEncryption {
  const { stream } = raw;
  const tlsUpgrade = prepareTlsUpgrade(stream);
  const start = (): void => {
    const handlePacket = raw.handlePacket;
    // The old parser may still hold encrypted bytes.
    raw.handlePacket = ignore;
    const tlsSocket = tlsUpgrade.upgrade(tls.context);
    tlsSocket.on('error', destroySocket);
    raw.stream = tlsSocket;
    setImmediate(() => {
      raw.handlePacket = handlePacket;
      const parser = createParser(raw, (packet) => {
        raw.handlePacket(packet);
      });
      receivePackets(tlsSocket, parser, receiver);
    });
  };
  return { isRequired: tls.isRequired, start };
}

function ignore(): void {
  // Packets and errors of the mysql2 connection are ignored at this stage.
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

import type { Socket } from 'node:net';
import type { Column, Cell } from '@rosedeck/core';
import type { Millis } from '@rosedeck/shared';
import {
  writeError,
  writeOk,
  writeFastAuthSuccess,
  writePlainText,
  writePrepareOk,
  writeResultSet,
} from './responsePackets';
import { beginResponse, flushPackets } from './packetWriter';
import type { OkContent } from './responsePackets';
import type { PacketWriter, ClientTraits } from './packetWriter';
import { encodingOfCollation } from './charsets';
import type { TextEncoding } from './charsets';
import { readCommand } from './commandReader';
import type { ParsedCommand, ServerCommand } from './commandReader';
import { checkLogin } from './login';
import type { AcceptedLogin, LoginRules } from './login';
import { endSocket } from './packetStream';
import { CAPABILITY_FOUND_ROWS, CAPABILITY_SESSION_TRACK } from './packetTypes';
import type { HandshakeResponse, Packet } from './packetTypes';
import type { StatementTable } from './preparedStatements';
import { PACKETS_OUT_OF_ORDER } from './serverErrors';
import type { ServerError } from './serverErrors';

/** A client connection, as the handlers of a server use it. */
export interface ServerConnection {
  readonly id: number;
  readonly user: string;
  readonly database: string;
  /** Connection attributes from the handshake response. */
  readonly attributes: Readonly<Record<string, string>>;
  /** True if the client expects counts of matched rows, false for changed rows. */
  readonly countsFoundRows: boolean;
  sendOk: (content: OkContent) => void;
  sendRows: (
    columns: readonly Column[],
    rows: readonly (readonly Cell[])[],
    inTransaction?: boolean,
  ) => void;
  sendError: (code: number, sqlState: string, message: string) => void;
  /** Changes the encoding of text in both directions. */
  setEncoding: (encoding: TextEncoding) => void;
  /**
   * Closes an idle connection with an error. A command that the client sends at the same time gets
   * the error as its response and does not run.
   */
  closeWithError: (code: number, sqlState: string, message: string) => void;
  close: () => void;
}

/** Callbacks of a server. `onCommand` is called for one command of a connection at a time. */
export interface ConnectionHandlers {
  readonly onOpen: (connection: ServerConnection) => void;
  readonly onCommand: (connection: ServerConnection, command: ServerCommand) => void;
  readonly onClose: (connection: ServerConnection) => void;
}

/** Resource limits for one client. */
export interface ConnectionLimits {
  /** Largest packet of a client, in bytes. */
  readonly packetBytes: number;
  /** Number of commands queued behind the running one at which reading from the socket pauses. */
  readonly waitingCommands: number;
  /** High-water mark of the socket's write buffer; beyond it no further command starts. */
  readonly unsentBytes: number;
  /** Time within which a client must read at least a part of its response. */
  readonly writeTimeoutMs: Millis;
}

/** State that the connections of one server share. */
export interface ServerContext {
  readonly writer: PacketWriter;
  readonly limits: ConnectionLimits;
  readonly rules: LoginRules;
  readonly handlers: ConnectionHandlers;
  /** Allocates the id of a connection, also after a change of user. */
  readonly nextId: () => number;
  readonly statistics: () => string;
}

/** A client that has logged in. Most are idle, so optional state is created on first use. */
export interface Client extends ClientTraits {
  readonly context: ServerContext;
  readonly stream: Socket;
  readonly nonce: Buffer;
  readonly attributes: Readonly<Record<string, string>>;
  readonly countsFoundRows: boolean;
  readonly statements: StatementTable;
  connection: ServerConnection;
  encoding: TextEncoding;
  /** Sequence id of the next response. */
  sequenceId: number;
  /** True while a command runs. */
  isBusy: boolean;
  /** True if the running command executes a prepared statement. */
  isBinary: boolean;
  /** True while unsent bytes exceed the limit (back-pressure). */
  awaitsDrain: boolean;
  /** True once the connection is being closed; further packets are ignored. */
  isEnding: boolean;
  queuedPackets?: Packet[];
}

/** Sequence id of the response to a command of one packet. */
const FIRST_RESPONSE_SEQUENCE_ID = 1;
const NO_ATTRIBUTES = {};

/** Creates the client after its login, calls `onOpen` and sends the OK packet of the login. */
export function openClient(
  context: ServerContext,
  stream: Socket,
  id: number,
  login: AcceptedLogin,
  handshakeResponse: HandshakeResponse,
): Client {
  const client: Client = {
    context,
    stream,
    nonce: login.nonce,
    attributes: handshakeResponse.connectAttributes ?? NO_ATTRIBUTES,
    countsFoundRows: (handshakeResponse.clientFlags & CAPABILITY_FOUND_ROWS) !== 0,
    tracksSession: (handshakeResponse.clientFlags & CAPABILITY_SESSION_TRACK) !== 0,
    statements: { nextId: 1 },
    connection: undefined as unknown as ServerConnection,
    encoding: encodingOfCollation(handshakeResponse.charsetNumber) ?? 'utf8',
    sequenceId: login.sequenceId,
    isBusy: true,
    isBinary: false,
    awaitsDrain: false,
    isEnding: false,
  };
  client.connection = createConnection(client, id, login.user, login.database);
  stream.once('close', () => {
    context.handlers.onClose(client.connection);
  });
  context.handlers.onOpen(client.connection);
  respond(client, () => {
    if (login.needsFastAuthSuccess) writeFastAuthSuccess(context.writer);
    writeOk(context.writer, { affectedRows: 0, insertId: 0, inTransaction: false });
  });
  return client;
}

/** Runs a command packet, or queues it behind the running one. */
export function receivePacket(client: Client, packet: Packet): void {
  if (client.isEnding) return;
  const isIdle = !client.isBusy && !client.awaitsDrain && client.queuedPackets === undefined;
  if (isIdle) {
    runPacket(client, packet);
    return;
  }
  client.queuedPackets ??= [];
  client.queuedPackets.push(packet.clone());
  if (client.queuedPackets.length >= client.context.limits.waitingCommands) client.stream.pause();
}

/** Sends an error and closes the connection. */
export function abortClient(client: Client, error: ServerError): void {
  client.isEnding = true;
  client.isBusy = true;
  respondWithError(client, error);
  endSocket(client.stream);
}

function createConnection(
  client: Client,
  id: number,
  user: string,
  database: string,
): ServerConnection {
  const { writer } = client.context;
  return {
    id,
    user,
    database,
    attributes: client.attributes,
    countsFoundRows: client.countsFoundRows,
    sendOk: (content) => {
      respond(client, () => {
        writeOk(writer, content);
      });
    },
    sendRows: (columns, rows, inTransaction = false) => {
      respond(client, () => {
        writeResultSet(writer, { columns, rows, inTransaction, isBinary: client.isBinary });
      });
    },
    sendError: (code, sqlState, message) => {
      respondWithError(client, { code, sqlState, message });
    },
    setEncoding: (encoding) => {
      client.encoding = encoding;
    },
    closeWithError: (code, sqlState, message) => {
      if (!client.isBusy) client.sequenceId = FIRST_RESPONSE_SEQUENCE_ID;
      abortClient(client, { code, sqlState, message });
    },
    close: () => {
      endSocket(client.stream);
    },
  };
}

/** Sends the response to the running command; does nothing when none runs, so each gets only one. */
function respond(client: Client, write: () => void): void {
  if (!client.isBusy) return;
  const { stream, context } = client;
  if (!stream.destroyed) {
    beginResponse(context.writer, client.sequenceId, client, (bytes) => stream.write(bytes));
    write();
    flushPackets(context.writer);
  }
  client.isBusy = false;
  if (stream.writableLength > context.limits.unsentBytes) awaitDrain(client);
  else if (client.queuedPackets) setImmediate(runNext, client);
}

function respondWithError(client: Client, error: ServerError): void {
  respond(client, () => {
    writeError(client.context.writer, error.code, error.sqlState, error.message);
  });
}

function respondWithOk(client: Client): void {
  client.connection.sendOk({ affectedRows: 0, insertId: 0, inTransaction: false });
}

/** Waits until the write buffer drains; destroys a connection without progress. */
function awaitDrain(client: Client): void {
  const { stream } = client;
  let unsent = stream.writableLength;
  client.awaitsDrain = true;
  const timer = setInterval(() => {
    if (stream.writableLength >= unsent) stream.destroy();
    unsent = stream.writableLength;
  }, client.context.limits.writeTimeoutMs);
  const end = (): void => {
    clearInterval(timer);
    client.awaitsDrain = false;
    stream.off('drain', end);
    stream.off('close', end);
    runNext(client);
  };
  stream.on('drain', end);
  stream.on('close', end);
}

function runNext(client: Client): void {
  const { stream, queuedPackets } = client;
  if (client.isBusy || client.awaitsDrain || client.isEnding || stream.destroyed) return;
  const packet = queuedPackets?.shift();
  if (queuedPackets?.length === 0) {
    client.queuedPackets = undefined;
    if (stream.isPaused()) stream.resume();
  }
  if (packet) runPacket(client, packet);
}

function runPacket(client: Client, packet: Packet): void {
  if (packet.sequenceId !== 0) {
    abortClient(client, PACKETS_OUT_OF_ORDER);
    return;
  }
  client.sequenceId = packet.numPackets % 256;
  client.isBusy = true;
  const { encoding, statements, context } = client;
  const state = { encoding, statements, packetLimitBytes: context.limits.packetBytes };
  readCommand(packet, state).match(
    (parsed) => {
      runCommand(client, parsed);
    },
    (error) => {
      respondWithError(client, error);
    },
  );
}

function runCommand(client: Client, parsed: ParsedCommand): void {
  const { writer, handlers, statistics } = client.context;
  switch (parsed.kind) {
    case 'command':
      client.isBinary = parsed.isBinary;
      handlers.onCommand(client.connection, parsed.command);
      return;
    case 'prepared':
      respond(client, () => {
        writePrepareOk(writer, parsed.id, parsed.paramCount);
      });
      return;
    case 'change_user':
      changeUser(client, parsed);
      return;
    case 'statistics':
      respond(client, () => {
        writePlainText(writer, statistics());
      });
      return;
    case 'ok':
      respondWithOk(client);
      return;
    case 'no_response':
      respond(client, () => undefined);
      return;
    case 'quit':
      endSocket(client.stream);
  }
}

function changeUser(
  client: Client,
  { user, database, authResponse, plugin }: Extract<ParsedCommand, { kind: 'change_user' }>,
): void {
  const { rules, handlers, nextId } = client.context;
  const error = checkLogin(rules, user, database, { plugin, authResponse, nonce: client.nonce });
  if (error) {
    abortClient(client, error);
    return;
  }
  client.statements.byId = undefined;
  handlers.onClose(client.connection);
  client.connection = createConnection(client, nextId(), user, database);
  handlers.onOpen(client.connection);
  respondWithOk(client);
}

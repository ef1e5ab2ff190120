import type { Socket } from 'node:net';
import type { Column, Cell } from '@rosedeck/core';
import type { Millis } from '@rosedeck/shared';
import {
  writeError,
  writeOk,
  writePasswordAccepted,
  writePlainText,
  writePrepared,
  writeRows,
} from './answerWriter';
import { beginAnswer, endAnswer } from './packetWriter';
import type { OkContent } from './answerWriter';
import type { AnswerWriter, ClientTraits } from './packetWriter';
import { encodingOfNumber } from './charsets';
import type { TextEncoding } from './charsets';
import { readCommand } from './commandReader';
import type { ReadCommand, ServerCommand } from './commandReader';
import { checkLogin } from './login';
import type { AcceptedLogin, LoginRules } from './login';
import { endSocket } from './packetStream';
import { CAPABILITY_FOUND_ROWS, CAPABILITY_SESSION_TRACK } from './packetTypes';
import type { ClientHello, Packet } from './packetTypes';
import type { StatementTable } from './preparedStatements';
import { PACKETS_OUT_OF_ORDER } from './protocolFault';
import type { ProtocolFault } from './protocolFault';

/** One connection of a client to a MySQL server of this project. */
export interface ServerConnection {
  readonly id: number;
  readonly user: string;
  readonly database: string;
  /** What the client said of itself at login. */
  readonly attributes: Readonly<Record<string, string>>;
  /** True for a client that counts the rows a statement found, false for those it changed. */
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
   * Ends an idle connection with an error, which a command that crosses it takes for its answer;
   * the command does not run.
   */
  dismiss: (code: number, sqlState: string, message: string) => void;
  close: () => void;
}

/** What a server does with its connections. Commands of one connection come one at a time. */
export interface ConnectionHandlers {
  readonly onOpen: (connection: ServerConnection) => void;
  readonly onCommand: (connection: ServerConnection, command: ServerCommand) => void;
  readonly onClose: (connection: ServerConnection) => void;
}

/** Bounds on what one client may occupy. */
export interface ConnectionLimits {
  /** Largest packet of a client, in bytes. */
  readonly packetBytes: number;
  /** Commands that may wait behind the running one before reading stops. */
  readonly waitingCommands: number;
  /** Bytes of answers that may wait in the socket before the next command is taken. */
  readonly unsentBytes: number;
  /** Time in which a client must take in at least a part of its answer. */
  readonly writeTimeoutMs: Millis;
}

/** What the connections of one server share. */
export interface ServerParts {
  readonly writer: AnswerWriter;
  readonly limits: ConnectionLimits;
  readonly rules: LoginRules;
  readonly handlers: ConnectionHandlers;
  /** Number of the next connection or user change. */
  readonly nextId: () => number;
  readonly statistics: () => string;
}

/** A client that has logged in. Many are idle, so what only some need is made when needed. */
export interface Client extends ClientTraits {
  readonly parts: ServerParts;
  readonly stream: Socket;
  readonly seed: Buffer;
  readonly attributes: Readonly<Record<string, string>>;
  readonly countsFoundRows: boolean;
  readonly statements: StatementTable;
  connection: ServerConnection;
  encoding: TextEncoding;
  /** Sequence number of the next answer. */
  sequence: number;
  /** A command is running. */
  isBusy: boolean;
  /** The running command is the execution of a prepared statement. */
  isBinary: boolean;
  /** The last answer still waits in the socket. */
  isStalled: boolean;
  /** Nothing more is taken from the client. */
  isEnding: boolean;
  waiting?: Packet[];
}

/** Sequence number of the answer to a command of one packet. */
const FIRST_ANSWER_SEQUENCE = 1;
const NO_ATTRIBUTES = {};

/** Starts to serve a client that has logged in. */
export function openClient(
  parts: ServerParts,
  stream: Socket,
  id: number,
  login: AcceptedLogin,
  hello: ClientHello,
): Client {
  const client: Client = {
    parts,
    stream,
    seed: login.seed,
    attributes: hello.connectAttributes ?? NO_ATTRIBUTES,
    countsFoundRows: (hello.clientFlags & CAPABILITY_FOUND_ROWS) !== 0,
    tracksSession: (hello.clientFlags & CAPABILITY_SESSION_TRACK) !== 0,
    statements: { nextId: 1 },
    connection: undefined as unknown as ServerConnection,
    encoding: encodingOfNumber(hello.charsetNumber) ?? 'utf8',
    sequence: login.sequence,
    isBusy: true,
    isBinary: false,
    isStalled: false,
    isEnding: false,
  };
  client.connection = createConnection(client, id, login.user, login.database);
  stream.once('close', () => {
    parts.handlers.onClose(client.connection);
  });
  parts.handlers.onOpen(client.connection);
  finish(client, () => {
    if (login.needsNotice) writePasswordAccepted(parts.writer);
    writeOk(parts.writer, { affectedRows: 0, insertId: 0, inTransaction: false });
  });
  return client;
}

/** Takes in a packet: runs it, or lets it wait behind the running one. */
export function takePacket(client: Client, packet: Packet): void {
  if (client.isEnding) return;
  const isFree = !client.isBusy && !client.isStalled && client.waiting === undefined;
  if (isFree) {
    runPacket(client, packet);
    return;
  }
  client.waiting ??= [];
  client.waiting.push(packet.clone());
  if (client.waiting.length >= client.parts.limits.waitingCommands) client.stream.pause();
}

/** Ends a connection with an error. */
export function abortClient(client: Client, fault: ProtocolFault): void {
  client.isEnding = true;
  client.isBusy = true;
  fail(client, fault);
  endSocket(client.stream);
}

function createConnection(
  client: Client,
  id: number,
  user: string,
  database: string,
): ServerConnection {
  const { writer } = client.parts;
  return {
    id,
    user,
    database,
    attributes: client.attributes,
    countsFoundRows: client.countsFoundRows,
    sendOk: (content) => {
      finish(client, () => {
        writeOk(writer, content);
      });
    },
    sendRows: (columns, rows, inTransaction = false) => {
      finish(client, () => {
        writeRows(writer, { columns, rows, inTransaction, binary: client.isBinary });
      });
    },
    sendError: (code, sqlState, message) => {
      fail(client, { code, sqlState, message });
    },
    setEncoding: (encoding) => {
      client.encoding = encoding;
    },
    dismiss: (code, sqlState, message) => {
      if (!client.isBusy) client.sequence = FIRST_ANSWER_SEQUENCE;
      abortClient(client, { code, sqlState, message });
    },
    close: () => {
      endSocket(client.stream);
    },
  };
}

/** Answers the running command; one answer for each, whatever the owner of the connection does. */
function finish(client: Client, write: () => void): void {
  if (!client.isBusy) return;
  const { stream, parts } = client;
  if (!stream.destroyed) {
    beginAnswer(parts.writer, client.sequence, client, (bytes) => stream.write(bytes));
    write();
    endAnswer(parts.writer);
  }
  client.isBusy = false;
  if (stream.writableLength > parts.limits.unsentBytes) awaitDrain(client);
  else if (client.waiting) setImmediate(takeNext, client);
}

function fail(client: Client, fault: ProtocolFault): void {
  finish(client, () => {
    writeError(client.parts.writer, fault.code, fault.sqlState, fault.message);
  });
}

function sendDone(client: Client): void {
  client.connection.sendOk({ affectedRows: 0, insertId: 0, inTransaction: false });
}

/** Waits until the client has taken its answer in; one that takes nothing for a while is cut off. */
function awaitDrain(client: Client): void {
  const { stream } = client;
  let unsent = stream.writableLength;
  client.isStalled = true;
  const timer = setInterval(() => {
    if (stream.writableLength >= unsent) stream.destroy();
    unsent = stream.writableLength;
  }, client.parts.limits.writeTimeoutMs);
  const end = (): void => {
    clearInterval(timer);
    client.isStalled = false;
    stream.off('drain', end);
    stream.off('close', end);
    takeNext(client);
  };
  stream.on('drain', end);
  stream.on('close', end);
}

function takeNext(client: Client): void {
  const { stream, waiting } = client;
  if (client.isBusy || client.isStalled || client.isEnding || stream.destroyed) return;
  const packet = waiting?.shift();
  if (waiting?.length === 0) {
    client.waiting = undefined;
    if (stream.isPaused()) stream.resume();
  }
  if (packet) runPacket(client, packet);
}

function runPacket(client: Client, packet: Packet): void {
  if (packet.sequenceId !== 0) {
    abortClient(client, PACKETS_OUT_OF_ORDER);
    return;
  }
  client.sequence = packet.numPackets % 256;
  client.isBusy = true;
  const { encoding, statements, parts } = client;
  const state = { encoding, statements, packetLimitBytes: parts.limits.packetBytes };
  readCommand(packet, state).match(
    (read) => {
      runCommand(client, read);
    },
    (fault) => {
      fail(client, fault);
    },
  );
}

function runCommand(client: Client, read: ReadCommand): void {
  const { writer, handlers, statistics } = client.parts;
  switch (read.kind) {
    case 'command':
      client.isBinary = read.binary;
      handlers.onCommand(client.connection, read.command);
      return;
    case 'prepared':
      finish(client, () => {
        writePrepared(writer, read.id, read.paramCount);
      });
      return;
    case 'change_user':
      changeUser(client, read);
      return;
    case 'statistics':
      finish(client, () => {
        writePlainText(writer, statistics());
      });
      return;
    case 'done':
      sendDone(client);
      return;
    case 'silent':
      finish(client, () => undefined);
      return;
    case 'quit':
      endSocket(client.stream);
  }
}

function changeUser(
  client: Client,
  { user, database, token, plugin }: Extract<ReadCommand, { kind: 'change_user' }>,
): void {
  const { rules, handlers, nextId } = client.parts;
  const fault = checkLogin(rules, user, database, { plugin, token, seed: client.seed });
  if (fault) {
    abortClient(client, fault);
    return;
  }
  client.statements.byId = undefined;
  handlers.onClose(client.connection);
  client.connection = createConnection(client, nextId(), user, database);
  handlers.onOpen(client.connection);
  sendDone(client);
}

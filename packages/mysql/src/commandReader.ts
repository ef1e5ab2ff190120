import { isAscii, isUtf8 } from 'node:buffer';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Param } from '@rosedeck/core';
import type { TextEncoding } from './charsets';
import { COMMAND } from './packetTypes';
import { parseAuthPlugin } from './passwords';
import type { AuthPlugin } from './passwords';
import type { Packet } from './packetTypes';
import { appendLongData, prepareStatement, readParams, resetStatement } from './preparedStatements';
import type { StatementTable } from './preparedStatements';
import { createTextError, MALFORMED_PACKET, PACKET_TOO_LARGE } from './serverErrors';
import type { ServerError } from './serverErrors';

/** A command that is passed to the connection handlers, which send the response. */
export type ServerCommand =
  | {
      readonly type: 'query';
      readonly sql: string;
      /** Set for the execution of a prepared statement. */
      readonly params?: readonly Param[];
    }
  | { readonly type: 'ping' }
  | { readonly type: 'use'; readonly database: string }
  | { readonly type: 'reset' }
  | { readonly type: 'unsupported'; readonly code: number };

/**
 * A parsed command packet. `command` is passed to the handlers; the others are handled by the
 * connection: `ok` gets an OK packet, `no_response` gets none.
 */
export type ParsedCommand =
  | { readonly kind: 'command'; readonly command: ServerCommand; readonly isBinary: boolean }
  | { readonly kind: 'prepared'; readonly id: number; readonly paramCount: number }
  | {
      readonly kind: 'change_user';
      readonly user: string;
      readonly database: string;
      readonly authResponse: Buffer;
      readonly plugin: AuthPlugin;
    }
  | { readonly kind: 'statistics' }
  | { readonly kind: 'ok' }
  | { readonly kind: 'no_response' }
  | { readonly kind: 'quit' };

/** State of a connection that parsing its packets depends on. */
export interface ReaderState {
  readonly encoding: TextEncoding;
  readonly statements: StatementTable;
  readonly packetLimitBytes: number;
}

const UNKNOWN_STATEMENT: ServerError = {
  code: 1243,
  sqlState: 'HY000',
  message: 'Unknown prepared statement handler',
};

/** Parses a command packet; the read methods of `mysql2` may throw or read past its end. */
export function readCommand(
  packet: Packet,
  state: ReaderState,
): Result<ParsedCommand, ServerError> {
  try {
    const read = readByCode(packet, state);
    if (packet.offset > packet.end) return err(MALFORMED_PACKET);
    return read;
  } catch {
    return err(MALFORMED_PACKET);
  }
}

function readByCode(packet: Packet, state: ReaderState): Result<ParsedCommand, ServerError> {
  if (packet.offset >= packet.end) return err(MALFORMED_PACKET);
  const code = packet.readInt8();
  switch (code) {
    case COMMAND.query:
      return readText(packet, state).andThen((sql) => createCommand({ type: 'query', sql }));
    case COMMAND.ping:
      return createCommand({ type: 'ping' });
    case COMMAND.initDb:
      return readText(packet, state).andThen((database) =>
        createCommand({ type: 'use', database }),
      );
    case COMMAND.resetConnection:
      state.statements.byId = undefined;
      return createCommand({ type: 'reset' });
    case COMMAND.quit:
      return ok({ kind: 'quit' });
    case COMMAND.statistics:
      return ok({ kind: 'statistics' });
    case COMMAND.changeUser:
      return readChangeUser(packet, state);
    case COMMAND.stmtPrepare:
      return readText(packet, state)
        .andThen((sql) => prepareStatement(state.statements, sql))
        .map(({ id, paramCount }) => ({ kind: 'prepared', id, paramCount }));
    default:
      return readStatementCommand(packet, state, code);
  }
}

function readStatementCommand(
  packet: Packet,
  state: ReaderState,
  code: number,
): Result<ParsedCommand, ServerError> {
  switch (code) {
    case COMMAND.stmtExecute:
      return readExecute(packet, state);
    case COMMAND.stmtSendLongData:
      return readLongData(packet, state);
    case COMMAND.stmtClose:
      state.statements.byId?.delete(packet.readInt32());
      return ok({ kind: 'no_response' });
    case COMMAND.stmtReset: {
      const statement = state.statements.byId?.get(packet.readInt32());
      if (!statement) return err(UNKNOWN_STATEMENT);
      resetStatement(statement);
      return ok({ kind: 'ok' });
    }
    default:
      return createCommand({ type: 'unsupported', code });
  }
}

function createCommand(
  serverCommand: ServerCommand,
  isBinary = false,
): Result<ParsedCommand, ServerError> {
  return ok({ kind: 'command', command: serverCommand, isBinary });
}

/** Reads the rest of a packet; bytes that are no text in the encoding would become other text. */
function readText(packet: Packet, { encoding }: ReaderState): Result<string, ServerError> {
  const { offset, end } = packet;
  const bytes = packet.buffer.subarray(offset, end);
  if (!isText(bytes, encoding)) return err(createTextError(encoding));
  return ok(packet.readString(end - offset, encoding));
}

function isText(bytes: Buffer, encoding: TextEncoding): boolean {
  if (encoding === 'latin1') return true;
  return encoding === 'utf8' ? isUtf8(bytes) : isAscii(bytes);
}

/** Length of the cursor flags and the iteration count. */
const EXECUTE_OPTIONS_BYTES = 5;

function readExecute(packet: Packet, state: ReaderState): Result<ParsedCommand, ServerError> {
  const statement = state.statements.byId?.get(packet.readInt32());
  if (!statement) return err(UNKNOWN_STATEMENT);
  packet.skip(EXECUTE_OPTIONS_BYTES);
  if (statement.longDataBytes > state.packetLimitBytes) {
    resetStatement(statement);
    return err(PACKET_TOO_LARGE);
  }
  return readParams(packet, statement, state.encoding).map((params) => ({
    kind: 'command',
    command: { type: 'query', sql: statement.sql, params },
    isBinary: true,
  }));
}

/** COM_STMT_SEND_LONG_DATA has no response; data for an unknown statement is ignored. */
function readLongData(packet: Packet, state: ReaderState): Result<ParsedCommand, ServerError> {
  const statement = state.statements.byId?.get(packet.readInt32());
  const index = packet.readInt16();
  const data = packet.readBuffer(packet.end - packet.offset);
  const hasRoom = statement && statement.longDataBytes <= state.packetLimitBytes;
  if (hasRoom) appendLongData(statement, index, data);
  return ok({ kind: 'no_response' });
}

const CHARSET_BYTES = 2;

function readChangeUser(packet: Packet, state: ReaderState): Result<ParsedCommand, ServerError> {
  const user = packet.readNullTerminatedString(state.encoding);
  const authResponse = Buffer.from(packet.readBuffer(packet.readInt8()));
  const database = packet.readNullTerminatedString(state.encoding);
  if (packet.offset < packet.end) packet.skip(CHARSET_BYTES);
  const hasPlugin = packet.offset < packet.end;
  const plugin = parseAuthPlugin(hasPlugin ? packet.readNullTerminatedString('latin1') : undefined);
  return ok({ kind: 'change_user', user, database, authResponse, plugin });
}

import type { Cell, Column } from '@rosedeck/core';
import { formatPosition } from '@rosedeck/shared';
import type { Position } from '@rosedeck/shared';
import { writeBinaryRow } from './binaryRow';
import { isBinaryColumn } from './columns';
import {
  CHARSET_BINARY,
  CHARSET_UTF8MB4,
  COLUMN_TYPE,
  SESSION_TRACK_GTIDS,
  STATUS_AUTOCOMMIT,
  STATUS_IN_TRANSACTION,
  STATUS_SESSION_STATE_CHANGED,
} from './packetTypes';
import {
  MAX_LENGTH_PREFIX_BYTES,
  reserve,
  openPacket,
  closePacket,
  writeText,
  writeBase64,
} from './packetWriter';
import type { PacketWriter } from './packetWriter';

/** Content of an OK packet. */
export interface OkContent {
  readonly affectedRows: number;
  readonly insertId: number;
  readonly inTransaction: boolean;
  readonly info?: string;
  readonly warnings?: number;
  /** Sent as session-tracked GTID, which standard clients can read. */
  readonly position?: Position;
}

/** A result set to send to a client. */
export interface ResultSet {
  readonly columns: readonly Column[];
  readonly rows: readonly (readonly Cell[])[];
  readonly inTransaction: boolean;
  /** True for the binary protocol, which prepared statements use. */
  readonly isBinary: boolean;
}

/** Upper bound for the length of an OK packet without info and session state. */
const MAX_OK_FIXED_BYTES = 32;

/** Writes an OK packet; the packet builder of `mysql2` does not support session state. */
export function writeOk(writer: PacketWriter, content: OkContent): void {
  const { tracksSession } = writer.client;
  const { position, info = '' } = content;
  const state = tracksSession && position ? encodeGtid(formatPosition(position)) : undefined;
  const text = Buffer.from(info, 'utf8');
  openPacket(writer);
  reserve(writer, MAX_OK_FIXED_BYTES + text.length + (state?.length ?? 0));
  const { packet } = writer;
  packet.writeInt8(0);
  packet.writeLengthCodedNumber(content.affectedRows);
  packet.writeLengthCodedNumber(content.insertId);
  const stateFlag = state ? STATUS_SESSION_STATE_CHANGED : 0;
  packet.writeInt16(statusOf(content.inTransaction) | stateFlag);
  packet.writeInt16(content.warnings ?? 0);
  if (!tracksSession) packet.writeBuffer(text);
  else if (state || text.length > 0) packet.writeLengthCodedBuffer(text);
  if (state) packet.writeLengthCodedBuffer(state);
  closePacket(writer);
}

/** Writes fast_auth_success of caching_sha2_password, after which an OK packet follows. */
export function writeFastAuthSuccess(writer: PacketWriter): void {
  openPacket(writer);
  reserve(writer, 2);
  writer.packet.writeInt8(1);
  writer.packet.writeInt8(3);
  closePacket(writer);
}

/** Writes an error packet. */
export function writeError(
  writer: PacketWriter,
  code: number,
  sqlState: string,
  message: string,
): void {
  const text = Buffer.from(message, 'utf8');
  openPacket(writer);
  reserve(writer, 16 + text.length);
  const { packet } = writer;
  packet.writeInt8(0xff);
  packet.writeInt16(code);
  packet.writeBuffer(Buffer.from(`#${sqlState}`, 'latin1'));
  packet.writeBuffer(text);
  closePacket(writer);
}

/** Writes a packet of plain text, the response to COM_STATISTICS. */
export function writePlainText(writer: PacketWriter, text: string): void {
  const bytes = Buffer.from(text, 'latin1');
  openPacket(writer);
  reserve(writer, bytes.length);
  writer.packet.writeBuffer(bytes);
  closePacket(writer);
}

/** Writes a result set; a row that is too long for one packet ends it with an error. */
export function writeResultSet(writer: PacketWriter, content: ResultSet): void {
  openPacket(writer);
  reserve(writer, MAX_LENGTH_PREFIX_BYTES);
  writer.packet.writeLengthCodedNumber(content.columns.length);
  closePacket(writer);
  for (const column of content.columns) writeColumnDefinition(writer, column);
  writeEof(writer, content.inTransaction);
  const writeRow = content.isBinary ? writeBinaryRow : writeTextRow;
  const binaryColumns = content.columns.map(isBinaryColumn);
  for (const row of content.rows) {
    openPacket(writer);
    writeRow(writer, content.columns, binaryColumns, row);
    if (closePacket(writer)) continue;
    writeError(writer, 1153, '08S01', 'too_large: a row is larger than one packet (ran)');
    return;
  }
  writeEof(writer, content.inTransaction);
}

/** Writes the response to COM_STMT_PREPARE, which describes parameters but no columns. */
export function writePrepareOk(writer: PacketWriter, id: number, paramCount: number): void {
  openPacket(writer);
  reserve(writer, 16);
  const { packet } = writer;
  packet.writeInt8(0);
  packet.writeInt32(id);
  packet.writeInt16(0);
  packet.writeInt16(paramCount);
  packet.writeInt8(0);
  packet.writeInt16(0);
  closePacket(writer);
  if (paramCount === 0) return;
  for (let index = 0; index < paramCount; index += 1)
    writeColumnDefinition(writer, PARAMETER_COLUMN);
  writeEof(writer, false);
}

const PARAMETER_COLUMN: Column = {
  name: '?',
  table: '',
  schema: '',
  type: COLUMN_TYPE.varString,
  charset: CHARSET_BINARY,
  flags: 0,
  length: 0,
  decimals: 0,
};

function writeTextRow(
  writer: PacketWriter,
  _columns: readonly Column[],
  binaryColumns: readonly boolean[],
  row: readonly Cell[],
): void {
  for (let index = 0; index < row.length; index += 1) {
    const cell = row[index] ?? null;
    if (cell === null) {
      reserve(writer, 1);
      writer.packet.writeNull();
    } else if (binaryColumns[index]) writeBase64(writer, cell);
    else writeText(writer, cell);
  }
}

function writeColumnDefinition(writer: PacketWriter, column: Column): void {
  openPacket(writer);
  writeText(writer, 'def');
  writeText(writer, column.schema);
  writeText(writer, column.table);
  writeText(writer, column.table);
  writeText(writer, column.name);
  writeText(writer, column.name);
  reserve(writer, 16);
  const { packet } = writer;
  packet.writeInt8(0x0c);
  packet.writeInt16(charsetFor(writer, column));
  packet.writeInt32(column.length);
  packet.writeInt8(column.type);
  packet.writeInt16(column.flags);
  packet.writeInt8(column.decimals);
  packet.writeInt16(0);
  closePacket(writer);
}

const CHARSET_LATIN1 = 8;

/** Collation id to announce: text is sent in the client's encoding, not in that of the column. */
function charsetFor(writer: PacketWriter, column: Column): number {
  if (column.charset === CHARSET_BINARY) return CHARSET_BINARY;
  if (writer.client.encoding === 'latin1') return CHARSET_LATIN1;
  return CHARSET_UTF8MB4;
}

function writeEof(writer: PacketWriter, inTransaction: boolean): void {
  openPacket(writer);
  reserve(writer, 5);
  writer.packet.writeInt8(0xfe);
  writer.packet.writeInt16(0);
  writer.packet.writeInt16(statusOf(inTransaction));
  closePacket(writer);
}

function statusOf(inTransaction: boolean): number {
  return STATUS_AUTOCOMMIT | (inTransaction ? STATUS_IN_TRANSACTION : 0);
}

function encodeGtid(gtid: string): Buffer {
  const text = Buffer.from(gtid, 'latin1');
  const inner = Buffer.concat([Buffer.from([0, text.length]), text]);
  return Buffer.concat([Buffer.from([SESSION_TRACK_GTIDS, inner.length]), inner]);
}

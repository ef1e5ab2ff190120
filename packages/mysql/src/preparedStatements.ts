import { isUtf8 } from 'node:buffer';
import mysql from 'mysql2';
import type { SqlValue } from 'mysql2';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Param } from '@rosedeck/core';
import type { TextEncoding } from './charsets';
import type { ServerError } from './serverErrors';
import { COLUMN_TYPE } from './packetTypes';
import type { Packet } from './packetTypes';

/** A prepared statement of a client. */
export interface PreparedStatement {
  readonly id: number;
  readonly sql: string;
  readonly paramCount: number;
  /** Parameter types of the last execution; a client may omit them in the next one. */
  types?: readonly ParamType[];
  /** Chunks received by COM_STMT_SEND_LONG_DATA, by parameter index. */
  readonly longData: Map<number, Buffer[]>;
  longDataBytes: number;
}

interface ParamType {
  readonly type: number;
  readonly isUnsigned: boolean;
}

/** Prepared statements of one connection. */
export interface StatementTable {
  /** Created with the first statement, since most connections have none. */
  byId?: Map<number, PreparedStatement>;
  nextId: number;
}

const MAX_STATEMENTS = 1_000;
/** MySQL's limit of placeholders in one statement. */
const MAX_PARAMS = 65_535;
const UNSIGNED_FLAG = 0x80;

/** Adds a statement to the table; errors are too many statements and invalid placeholders. */
export function prepareStatement(
  table: StatementTable,
  sql: string,
): Result<PreparedStatement, ServerError> {
  const byId = (table.byId ??= new Map<number, PreparedStatement>());
  if (byId.size >= MAX_STATEMENTS) {
    return err({ code: 1461, sqlState: '42000', message: 'too many prepared statements' });
  }
  return countParams(sql).map((paramCount) => {
    const id = table.nextId;
    table.nextId += 1;
    const statement = { id, sql, paramCount, longData: new Map(), longDataBytes: 0 };
    byId.set(id, statement);
    return statement;
  });
}

/** Counts the placeholders of a statement by formatting it with `mysql2`. */
export function countParams(sql: string): Result<number, ServerError> {
  if (!sql.includes('?')) return ok(0);
  let count = 0;
  let identifierCount = 0;
  const counter = {
    toSqlString: () => {
      count += 1;
      return '?';
    },
    toString: () => {
      identifierCount += 1;
      return '?';
    },
  };
  const maxCount = sql.split('?').length - 1;
  mysql.format(sql, new Array<SqlValue>(maxCount).fill(counter));
  if (identifierCount > 0) {
    return err({ code: 1064, sqlState: '42000', message: 'the placeholder ?? is not SQL' });
  }
  if (count > MAX_PARAMS) {
    return err({ code: 1390, sqlState: 'HY000', message: 'too many placeholders' });
  }
  return ok(count);
}

/** Appends a chunk to a long parameter; an excessive length fails the next execution. */
export function appendLongData(statement: PreparedStatement, index: number, data: Buffer): void {
  const chunks = statement.longData.get(index) ?? [];
  chunks.push(Buffer.from(data));
  statement.longData.set(index, chunks);
  statement.longDataBytes += data.length;
}

/** Discards the long data of a statement. */
export function resetStatement(statement: PreparedStatement): void {
  statement.longData.clear();
  statement.longDataBytes = 0;
}

/** Reads the parameters of COM_STMT_EXECUTE, starting after the iteration count. */
export function readParams(
  packet: Packet,
  statement: PreparedStatement,
  encoding: TextEncoding,
): Result<Param[], ServerError> {
  const { paramCount } = statement;
  if (paramCount === 0) return ok([]);
  const bitmap = packet.readBuffer((paramCount + 7) >> 3);
  if (packet.readInt8() === 1) statement.types = readTypes(packet, paramCount);
  const { types } = statement;
  if (!types) return err(createArgumentsError('the parameters have no types'));
  const params: Param[] = [];
  for (const [index, type] of types.entries()) {
    const longValue = statement.longData.get(index);
    const isNull = ((bitmap[index >> 3] ?? 0) & (1 << (index & 7))) !== 0;
    if (longValue) params.push(decodeBytes(Buffer.concat(longValue), type.type, encoding));
    else if (isNull) params.push(null);
    else params.push(readParam(packet, type, encoding));
  }
  resetStatement(statement);
  if (packet.offset > packet.end) return err(createArgumentsError('the packet is too short'));
  if (params.some((param) => typeof param === 'number' && !Number.isFinite(param))) {
    return err(createArgumentsError('a number is not finite'));
  }
  return ok(params);
}

function createArgumentsError(detail: string): ServerError {
  return { code: 1210, sqlState: 'HY000', message: `Incorrect arguments to EXECUTE: ${detail}` };
}

function readTypes(packet: Packet, count: number): ParamType[] {
  return Array.from({ length: count }, () => {
    const type = packet.readInt8();
    const flags = packet.readInt8();
    return { type, isUnsigned: (flags & UNSIGNED_FLAG) !== 0 };
  });
}

function readParam(packet: Packet, { type, isUnsigned }: ParamType, encoding: TextEncoding): Param {
  switch (type) {
    case COLUMN_TYPE.null:
      return null;
    case COLUMN_TYPE.tiny:
      return isUnsigned ? packet.readInt8() : packet.readSInt8();
    case COLUMN_TYPE.short:
    case COLUMN_TYPE.year:
      return isUnsigned ? packet.readInt16() : packet.readSInt16();
    case COLUMN_TYPE.long:
    case COLUMN_TYPE.int24:
      return isUnsigned ? packet.readInt32() : packet.readSInt32();
    case COLUMN_TYPE.longlong:
      return isUnsigned ? packet.readInt64() : packet.readSInt64();
    case COLUMN_TYPE.float:
      return packet.readFloat();
    case COLUMN_TYPE.double:
      return packet.readDouble();
    case COLUMN_TYPE.date:
    case COLUMN_TYPE.datetime:
    case COLUMN_TYPE.timestamp:
      return packet.readDateTimeString(6, ' ', type);
    case COLUMN_TYPE.time:
      return packet.readTimeString();
    default: {
      const bytes = packet.readLengthCodedBuffer();
      return bytes === null ? null : decodeBytes(bytes, type, encoding);
    }
  }
}

const BLOB_TYPES: ReadonlySet<number> = new Set([
  COLUMN_TYPE.tinyBlob,
  COLUMN_TYPE.mediumBlob,
  COLUMN_TYPE.longBlob,
  COLUMN_TYPE.blob,
  COLUMN_TYPE.bit,
  COLUMN_TYPE.geometry,
]);

/** Returns text if the type is a text type and the bytes are valid in the encoding, else base64. */
function decodeBytes(bytes: Buffer, type: number, encoding: TextEncoding): Param {
  if (BLOB_TYPES.has(type)) return { base64: bytes.toString('base64') };
  if (encoding === 'latin1') return bytes.toString('latin1');
  if (isUtf8(bytes)) return bytes.toString('utf8');
  return { base64: bytes.toString('base64') };
}

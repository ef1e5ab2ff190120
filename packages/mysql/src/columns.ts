import type { Column } from '@rosedeck/core';
import { CHARSET_BINARY, COLUMN_TYPE } from './packetTypes';

const BYTE_TYPES: ReadonlySet<number> = new Set([
  COLUMN_TYPE.varchar,
  COLUMN_TYPE.bit,
  COLUMN_TYPE.tinyBlob,
  COLUMN_TYPE.mediumBlob,
  COLUMN_TYPE.longBlob,
  COLUMN_TYPE.blob,
  COLUMN_TYPE.varString,
  COLUMN_TYPE.string,
  COLUMN_TYPE.geometry,
]);

/** True for a column of bytes rather than text; its cells are transferred as base64. */
export function isBinaryColumn(column: Pick<Column, 'charset' | 'type'>): boolean {
  return column.charset === CHARSET_BINARY && BYTE_TYPES.has(column.type);
}

import type { EventEmitter } from 'node:events';
import type { FieldPacket, QueryError } from 'mysql2';
import type { Cell, Column, Execution } from '@rosedeck/core';
import { parsePosition } from '@rosedeck/shared';
import { isBinaryColumn } from './columns';

/** A running `mysql2` query; emits `fields`, `result`, `error` and `end`. */
export type RunningQuery = EventEmitter;

/** Largest accepted result of a target, counted in characters of its cells. */
export const MAX_RESULT_CHARS = 32 * 1_024 * 1_024;

/** Longest accepted row of a target, counted in characters of its cells. */
export const MAX_ROW_CHARS = 8 * 1_024 * 1_024;

const RESULT_TOO_LARGE: Execution = {
  kind: 'sql_error',
  code: 1301,
  sqlState: 'HY000',
  message: `result_too_large: more than ${MAX_RESULT_CHARS} characters, or ${MAX_ROW_CHARS} in a row (ran)`,
};

interface OkResult {
  readonly affectedRows: number;
  readonly insertId: number | string;
  readonly info?: string;
  readonly warningStatus?: number;
  readonly stateChanges?: { readonly gtids?: readonly string[] };
}

/** Collects the result of a query. Rows of a result above the limit are read and discarded. */
export function collectResult(query: RunningQuery, resolve: (execution: Execution) => void): void {
  let columns: Column[] = [];
  let binaryIndexes: number[] = [];
  let rows: Cell[][] = [];
  let size = 0;
  let execution: Execution | undefined;
  query.on('fields', (fields: FieldPacket[] | undefined) => {
    columns = (fields ?? []).map(toColumn);
    binaryIndexes = columns.flatMap((column, index) => (isBinaryColumn(column) ? [index] : []));
  });
  query.on('result', (result: Cell[] | OkResult) => {
    if (!Array.isArray(result)) {
      execution = toOkExecution(result);
      return;
    }
    const length = countChars(result);
    size += length > MAX_ROW_CHARS ? Infinity : length;
    if (size > MAX_RESULT_CHARS) rows = [];
    else rows.push(encodeBytes(result, binaryIndexes));
  });
  query.on('error', (err: QueryError) => {
    execution = toErrorExecution(err);
    resolve(execution);
  });
  query.on('end', () => {
    resolve(
      execution ?? (size > MAX_RESULT_CHARS ? RESULT_TOO_LARGE : { kind: 'rows', columns, rows }),
    );
  });
}

function countChars(row: readonly Cell[]): number {
  return row.reduce((sum, cell) => sum + (cell?.length ?? 1), 0);
}

/** Converts binary cells to base64. */
function encodeBytes(row: Cell[], binaryIndexes: readonly number[]): Cell[] {
  for (const index of binaryIndexes) {
    const cell = row[index] ?? null;
    if (cell !== null) row[index] = Buffer.from(cell, 'latin1').toString('base64');
  }
  return row;
}

function toErrorExecution(err: QueryError): Execution {
  const code = err.errno;
  if (code !== undefined && code > 0 && err.sqlState !== undefined) {
    return { kind: 'sql_error', code, sqlState: err.sqlState, message: err.message };
  }
  if (err.fatal) return { kind: 'lost', sent: true, message: err.message };
  return { kind: 'sql_error', code: 1210, sqlState: 'HY000', message: err.message };
}

function toOkExecution(ok: OkResult): Execution {
  const gtid = ok.stateChanges?.gtids?.[0];
  const { info, warningStatus: warnings } = ok;
  return {
    kind: 'ok',
    ...(info && { info }),
    ...(warnings && { warnings }),
    affectedRows: ok.affectedRows,
    insertId: Number(ok.insertId),
    position: gtid === undefined ? undefined : parsePosition(gtid),
  };
}

interface RawField {
  readonly name: string;
  readonly table: string;
  readonly schema: string;
  readonly columnType: number;
  readonly characterSet: number;
  readonly flags: number;
  readonly columnLength: number;
  readonly decimals: number;
}

function toColumn(field: FieldPacket): Column {
  const raw = field as unknown as RawField;
  return {
    name: raw.name,
    table: raw.table,
    schema: raw.schema,
    type: raw.columnType,
    charset: raw.characterSet,
    flags: raw.flags,
    length: raw.columnLength,
    decimals: raw.decimals,
  };
}

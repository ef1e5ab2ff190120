import type { Answer, Column, OkAnswer } from '@rosedeck/core';
import { ERROR_ANSWERS, formatFailure } from '@rosedeck/shared';
import type { Failure } from '@rosedeck/shared';
import type { ServerConnection } from '@rosedeck/mysql';

const TYPE_VAR_STRING = 253;
const TYPE_LONGLONG = 8;
const UTF8MB4 = 45;
const CHARSET_BINARY = 63;
/** Column flag of unsigned numbers. */
const UNSIGNED = 32;

/** Sends the answer of a statement: rows, OK or an error. */
export function sendAnswer(
  connection: ServerConnection,
  answer: Answer,
  inTransaction: boolean,
): void {
  if (answer.kind === 'rows') connection.sendRows(answer.columns, answer.rows, inTransaction);
  else if (answer.kind === 'ok') {
    const affectedRows = countAffectedRows(connection, answer);
    connection.sendOk({ ...answer, affectedRows, inTransaction });
  } else sendFailure(connection, answer.failure);
}

const CHANGED_ROWS = /Changed: (\d+)/;

/** Targets report the rows found; callers without the flag FOUND_ROWS get the rows changed. */
function countAffectedRows(connection: ServerConnection, { affectedRows, info }: OkAnswer): number {
  if (connection.countsFoundRows || info === undefined) return affectedRows;
  const changed = CHANGED_ROWS.exec(info)?.[1];
  return changed === undefined ? affectedRows : Number(changed);
}

/** Sends an OK that reports no affected rows. */
export function sendOk(connection: ServerConnection, inTransaction: boolean): void {
  connection.sendOk({ affectedRows: 0, insertId: 0, inTransaction });
}

/** Sends a failure as the error that `ERROR_ANSWERS` assigns to its kind. */
export function sendFailure(connection: ServerConnection, failure: Failure): void {
  const { code, sqlState } = errorCodesOf(failure);
  connection.sendError(code, sqlState, formatFailure(failure));
}

/** Sends a failure on an idle connection and closes it. */
export function closeWithFailure(connection: ServerConnection, failure: Failure): void {
  const { code, sqlState } = errorCodesOf(failure);
  connection.closeWithError(code, sqlState, formatFailure(failure));
}

function errorCodesOf(failure: Failure): { code: number; sqlState: string } {
  const answer = ERROR_ANSWERS[failure.kind];
  return { code: failure.code ?? answer.code, sqlState: failure.sqlState ?? answer.sqlState };
}

/** Sends a result of one row with one column. */
export function sendValue(
  connection: ServerConnection,
  name: string,
  value: string | number | null,
  inTransaction: boolean,
): void {
  const kind = typeof value === 'number' ? NUMBER : TEXT;
  const column: Column = { name, table: '', schema: '', decimals: 0, ...kind };
  connection.sendRows([column], [[value === null ? null : String(value)]], inTransaction);
}

const TEXT = { type: TYPE_VAR_STRING, charset: UTF8MB4, flags: 0, length: 256 };
const NUMBER = { type: TYPE_LONGLONG, charset: CHARSET_BINARY, flags: UNSIGNED, length: 20 };

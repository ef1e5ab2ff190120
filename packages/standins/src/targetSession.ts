import type { Column, Param } from '@rosedeck/core';
import type { ServerCommand, ServerConnection } from '@rosedeck/mysql';
import type { Millis, Position } from '@rosedeck/shared';
import { createOverlay, rowId } from './rowStore';
import type { Overlay, Value } from './rowStore';
import { isWriteNode, parseSql, runSql } from './sqlEngine';
import type { ResultColumn } from './sqlEngine';
import { SqlError, readOnlyError } from './sqlError';
import type { Target } from './target';

/** Row locks: connection id by row id, held until the transaction ends. */
export type RowLocks = Map<string, number>;

/** State and settings that the sessions of one stand-in share. */
export interface SessionContext {
  readonly target: Target;
  readonly locks: RowLocks;
  /** Run time of each statement. */
  readonly statementMs: Millis;
  /** Round-trip time to the caller. */
  readonly networkMs: Millis;
  /** Called for each read or write that runs. */
  readonly countStatement: (kind: 'primaryReads' | 'replicaReads' | 'writes') => void;
  /** Runs `job` as soon as one of the server's slots is free. */
  readonly acquireSlot: (job: () => void) => void;
  readonly releaseSlot: () => void;
  readonly onCommit: () => void;
}

/** MySQL session at a stand-in target. */
export interface TargetSession {
  handle: (command: ServerCommand) => void;
  close: () => void;
}

const LOCK_WAIT_TIMEOUT_CODE = 1205;
const TYPE_VAR_STRING = 253;
const TYPE_LONGLONG = 8;
const TYPE_BLOB = 252;
const CHARSET_BINARY = 63;
const CHARSET_UTF8MB4 = 45;

/** Creates the session of one connection, with its transaction and row locks. */
export function createTargetSession(
  connection: ServerConnection,
  ctx: SessionContext,
): TargetSession {
  let overlay: Overlay | undefined;
  let autocommitOverlay = createOverlay();
  let pendingQueries = 0;
  let isClosed = false;
  const heldLocks = new Set<string>();

  const lock = (table: string, key: string): void => {
    const id = rowId(table, key);
    const owner = ctx.locks.get(id);
    if (owner !== undefined && owner !== connection.id) {
      throw new SqlError(
        LOCK_WAIT_TIMEOUT_CODE,
        'HY000',
        'Lock wait timeout exceeded; try restarting transaction',
      );
    }
    ctx.locks.set(id, connection.id);
    heldLocks.add(id);
  };

  const unlock = (): void => {
    for (const id of heldLocks) ctx.locks.delete(id);
    heldLocks.clear();
  };

  const sendOk = (affectedRows: number, position?: Position): void => {
    connection.sendOk({
      affectedRows,
      insertId: 0,
      inTransaction: overlay !== undefined,
      position,
    });
  };

  const rollback = (): void => {
    overlay = undefined;
    unlock();
  };

  const commit = (pending: Overlay): Position | undefined => {
    try {
      if (pending.changes.size === 0) return undefined;
      return ctx.target.commit([...pending.changes.values()]);
    } finally {
      overlay = undefined;
      unlock();
      ctx.onCommit();
    }
  };

  const runStatement = (sql: string, params: readonly Param[]): void => {
    const node = parseSql(sql);
    const isWrite = isWriteNode(node);
    if (isWrite && !ctx.target.isPrimary()) throw readOnlyError();
    const readKind = ctx.target.isPrimary() ? 'primaryReads' : 'replicaReads';
    ctx.countStatement(isWrite ? 'writes' : readKind);
    ctx.target.applyDue();
    autocommitOverlay = createOverlay();
    const result = runSql(node, {
      store: ctx.target.store,
      overlay: overlay ?? autocommitOverlay,
      lock,
      params: params.map(toValue),
      variables: (name) => (name === 'version' ? '8.0.36' : null),
    });
    if (result.kind === 'rows') {
      connection.sendRows(
        result.columns.map(toColumn),
        result.rows.map((row) => formatRow(row, result.columns)),
      );
      return;
    }
    if (result.kind === 'create') {
      const position = ctx.target.commit([], result.schema);
      ctx.onCommit();
      sendOk(0, position);
      return;
    }
    sendOk(result.affectedRows, overlay ? undefined : commit(autocommitOverlay));
  };

  const runCommand = (sql: string, params: readonly Param[]): void => {
    const word = getFirstWord(sql);
    if (word === 'BEGIN' || word === 'START') {
      overlay = createOverlay();
      sendOk(0);
    } else if (word === 'COMMIT') {
      const position = overlay ? commit(overlay) : undefined;
      sendOk(0, position);
    } else if (word === 'ROLLBACK') {
      rollback();
      sendOk(0);
    } else if (word === 'SET' || word === 'USE') {
      sendOk(0);
    } else {
      runStatement(sql, params);
    }
  };

  const runOrSendError = (sql: string, params: readonly Param[]): void => {
    try {
      runCommand(sql, params);
    } catch (err) {
      if (!overlay) unlock();
      if (err instanceof SqlError) connection.sendError(err.code, err.sqlState, err.message);
      else connection.sendError(1105, 'HY000', String(err));
    }
  };

  const enqueueQuery = (sql: string, params: readonly Param[]): void => {
    pendingQueries += 1;
    if (ctx.networkMs > 0) setTimeout(runInSlot, ctx.networkMs, sql, params);
    else runInSlot(sql, params);
  };

  const runInSlot = (sql: string, params: readonly Param[]): void => {
    ctx.acquireSlot(() => {
      setTimeout(() => {
        runOrSendError(sql, params);
        pendingQueries -= 1;
        if (isClosed && pendingQueries === 0) rollback();
        ctx.releaseSlot();
      }, ctx.statementMs);
    });
  };

  return {
    handle: (command) => {
      if (command.type === 'query') {
        enqueueQuery(command.sql, command.params ?? []);
        return;
      }
      if (command.type === 'reset') rollback();
      const isSupported =
        command.type === 'reset' || command.type === 'ping' || command.type === 'use';
      if (isSupported) sendOk(0);
      else connection.sendError(1235, '42000', `the stand-in does not support ${command.type}`);
    },
    close: () => {
      // Statements that were received still run, in the transaction that they were sent in.
      isClosed = true;
      if (pendingQueries === 0) rollback();
    },
  };
}

function getFirstWord(sql: string): string {
  const text = sql.replace(/^(\s*\/\*[\s\S]*?\*\/)*\s*/, '');
  return (/^[a-z]+/i.exec(text)?.[0] ?? '').toUpperCase();
}

/** Converts a parameter; bytes become one character each. */
function toValue(param: Param): Value {
  if (typeof param === 'boolean') return param ? 1 : 0;
  if (param === null || typeof param !== 'object') return param;
  return Buffer.from(param.base64, 'base64').toString('latin1');
}

function formatRow(row: readonly Value[], columns: readonly ResultColumn[]): (string | null)[] {
  return row.map((value, index) => {
    if (value === null) return null;
    const text = String(value);
    return columns[index]?.binary ? Buffer.from(text, 'latin1').toString('base64') : text;
  });
}

function toColumn(column: ResultColumn): Column {
  return {
    name: column.name,
    table: column.table,
    schema: 'app',
    type: column.binary ? TYPE_BLOB : column.numeric ? TYPE_LONGLONG : TYPE_VAR_STRING,
    charset: column.binary || column.numeric ? CHARSET_BINARY : CHARSET_UTF8MB4,
    flags: 0,
    length: 1_024,
    decimals: 0,
  };
}

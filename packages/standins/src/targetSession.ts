import type { Column, Param } from '@rosedeck/core';
import type { ServerCommand, ServerConnection } from '@rosedeck/mysql';
import type { Millis, Position } from '@rosedeck/shared';
import { createOverlay, rowId } from './rowStore';
import type { Overlay, Value } from './rowStore';
import { isWriteNode, parseSql, runSql } from './sqlEngine';
import type { ResultColumn } from './sqlEngine';
import { SqlError, readOnlyError } from './sqlError';
import type { Target } from './target';

/** Locks of rows, held by sessions until their transactions end. */
export type RowLocks = Map<string, number>;

/** What the sessions of one stand-in share. */
export interface SessionSurroundings {
  readonly target: Target;
  readonly locks: RowLocks;
  /** Time that one statement takes. */
  readonly statementMs: Millis;
  /** One way to the caller and back. */
  readonly networkMs: Millis;
  /** A read or write has run. */
  readonly count: (kind: 'primaryReads' | 'replicaReads' | 'writes') => void;
  /** Runs `job` once one of the server's slots is free. */
  readonly takeSlot: (job: () => void) => void;
  readonly freeSlot: () => void;
  readonly onCommit: () => void;
}

/** One MySQL session at a stand-in target. */
export interface TargetSession {
  handle: (command: ServerCommand) => void;
  close: () => void;
}

const LOCK_WAIT_CODE = 1205;
const TYPE_VAR_STRING = 253;
const TYPE_LONGLONG = 8;
const TYPE_BLOB = 252;
const CHARSET_BINARY = 63;
const UTF8MB4 = 45;

/** Serves one connection. */
export function createTargetSession(
  connection: ServerConnection,
  around: SessionSurroundings,
): TargetSession {
  let overlay: Overlay | undefined;
  let autoOverlay = createOverlay();
  let running = 0;
  let isClosed = false;
  const held = new Set<string>();

  const lock = (table: string, key: string): void => {
    const id = rowId(table, key);
    const owner = around.locks.get(id);
    if (owner !== undefined && owner !== connection.id) {
      throw new SqlError(
        LOCK_WAIT_CODE,
        'HY000',
        'Lock wait timeout exceeded; try restarting transaction',
      );
    }
    around.locks.set(id, connection.id);
    held.add(id);
  };

  const unlock = (): void => {
    for (const id of held) around.locks.delete(id);
    held.clear();
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

  const commit = (changes: Overlay): Position | undefined => {
    try {
      if (changes.changes.size === 0) return undefined;
      return around.target.commit([...changes.changes.values()]);
    } finally {
      overlay = undefined;
      unlock();
      around.onCommit();
    }
  };

  const runStatement = (sql: string, params: readonly Param[]): void => {
    const node = parseSql(sql);
    const writes = isWriteNode(node);
    if (writes && !around.target.isPrimary()) throw readOnlyError();
    const readKind = around.target.isPrimary() ? 'primaryReads' : 'replicaReads';
    around.count(writes ? 'writes' : readKind);
    around.target.applyDue();
    autoOverlay = createOverlay();
    const result = runSql(node, {
      store: around.target.store,
      overlay: overlay ?? autoOverlay,
      lock,
      params: params.map(valueOfParam),
      variables: (name) => (name === 'version' ? '8.0.36' : null),
    });
    if (result.kind === 'rows') {
      connection.sendRows(
        result.columns.map(describeColumn),
        result.rows.map((row) => formatRow(row, result.columns)),
      );
      return;
    }
    if (result.kind === 'create') {
      const position = around.target.commit([], result.schema);
      around.onCommit();
      sendOk(0, position);
      return;
    }
    sendOk(result.affectedRows, overlay ? undefined : commit(autoOverlay));
  };

  const runText = (sql: string, params: readonly Param[]): void => {
    const word = firstWord(sql);
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

  const runGuarded = (sql: string, params: readonly Param[]): void => {
    try {
      runText(sql, params);
    } catch (err) {
      if (!overlay) unlock();
      if (err instanceof SqlError) connection.sendError(err.code, err.sqlState, err.message);
      else connection.sendError(1105, 'HY000', String(err));
    }
  };

  const query = (sql: string, params: readonly Param[]): void => {
    running += 1;
    if (around.networkMs > 0) setTimeout(runInSlot, around.networkMs, sql, params);
    else runInSlot(sql, params);
  };

  const runInSlot = (sql: string, params: readonly Param[]): void => {
    around.takeSlot(() => {
      setTimeout(() => {
        runGuarded(sql, params);
        running -= 1;
        if (isClosed && running === 0) rollback();
        around.freeSlot();
      }, around.statementMs);
    });
  };

  return {
    handle: (command) => {
      if (command.type === 'query') {
        query(command.sql, command.params ?? []);
        return;
      }
      if (command.type === 'reset') rollback();
      const known = command.type === 'reset' || command.type === 'ping' || command.type === 'use';
      if (known) sendOk(0);
      else connection.sendError(1235, '42000', `the stand-in does not support ${command.type}`);
    },
    close: () => {
      // A statement that was received still runs, in the transaction that it was sent in.
      isClosed = true;
      if (running === 0) rollback();
    },
  };
}

function firstWord(sql: string): string {
  const text = sql.replace(/^(\s*\/\*[\s\S]*?\*\/)*\s*/, '');
  return (/^[a-z]+/i.exec(text)?.[0] ?? '').toUpperCase();
}

/** Bytes become one character each. */
function valueOfParam(param: Param): Value {
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

function describeColumn(column: ResultColumn): Column {
  return {
    name: column.name,
    table: column.table,
    schema: 'app',
    type: column.binary ? TYPE_BLOB : column.numeric ? TYPE_LONGLONG : TYPE_VAR_STRING,
    charset: column.binary || column.numeric ? CHARSET_BINARY : UTF8MB4,
    flags: 0,
    length: 1_024,
    decimals: 0,
  };
}

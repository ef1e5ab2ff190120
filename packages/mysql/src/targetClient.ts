import type { Socket } from 'node:net';
import mysql from 'mysql2';
import type { Connection, QueryError } from 'mysql2';
import type { Execution, Param, SessionVariable } from '@rosedeck/core';
import type { Millis } from '@rosedeck/shared';
import { collectResult } from './targetResult';
import type { RunningQuery } from './targetResult';
import { castBinaryCell, castTextCell } from './targetCells';
import { buildSetStatement } from './targetVariables';

/** Address, credentials and database of a target. */
export interface TargetAddress {
  readonly host: string;
  readonly port: number;
  readonly user: string;
  readonly password: string;
  readonly database: string;
}

/** A statement to run on a target. */
export interface TargetStatement {
  readonly sql: string;
  readonly params?: readonly Param[];
  readonly variables?: readonly SessionVariable[];
}

/** A connection to a target. */
export interface TargetConnection {
  /** Sets the session variables and runs the statement; never rejects, errors are results too. */
  execute: (statement: TargetStatement) => Promise<Execution>;
  /** Resets the session state (COM_RESET_CONNECTION); false if it failed. */
  reset: () => Promise<boolean>;
  close: () => void;
}

/** Prepared statements that one connection caches. */
const MAX_PREPARED_STATEMENTS = 100;

/** Opens a connection; rejects with an `OpenError`. `onClosed` is called only for an opened one. */
export function openTargetConnection(
  address: TargetAddress,
  connectTimeoutMs: Millis,
  onClosed: () => void,
): Promise<TargetConnection> {
  const raw = mysql.createConnection({
    ...address,
    connectTimeout: connectTimeoutMs,
    rowsAsArray: true,
    supportBigNumbers: true,
    bigNumberStrings: true,
    dateStrings: true,
    jsonStrings: true,
    maxPreparedStatements: MAX_PREPARED_STATEMENTS,
  });
  const lossSignal = createLossSignal();
  return new Promise((resolve, reject) => {
    let isOpened = false;
    raw.on('error', (err: Error) => {
      lossSignal.raise(err.message);
    });
    (raw as unknown as { stream: Socket }).stream.once('close', () => {
      lossSignal.raise('the connection to the target is closed');
      if (isOpened) onClosed();
    });
    raw.connect((err) => {
      if (err) {
        raw.destroy();
        reject(createOpenError(err));
        return;
      }
      isOpened = true;
      resolve(createConnection(raw, lossSignal));
    });
  });
}

/** A connection that could not be opened. */
export interface OpenError extends Error {
  /** True if the target refused the connection because of its connection limit. */
  refused: boolean;
}

const TOO_MANY_CONNECTIONS = 1040;

function createOpenError(err: QueryError): OpenError {
  return Object.assign(new Error(err.message), { refused: err.errno === TOO_MANY_CONNECTIONS });
}

/** Ends the running statement when the connection is lost: `mysql2` emits this on the connection only. */
interface LossSignal {
  raise: (message: string) => void;
  watch: (onLost: (execution: Execution) => void) => void;
}

function createLossSignal(): LossSignal {
  let watcher: ((execution: Execution) => void) | undefined;
  return {
    raise: (message) => {
      watcher?.({ kind: 'lost', sent: true, message });
    },
    watch: (onLost) => {
      watcher = onLost;
    },
  };
}

function createConnection(raw: Connection, lossSignal: LossSignal): TargetConnection {
  let applied: readonly SessionVariable[] = [];
  const run = (sql: string, params?: readonly Param[]): Promise<Execution> =>
    new Promise((resolve) => {
      lossSignal.watch(resolve);
      collectResult(startQuery(raw, sql, params), resolve);
    });
  return {
    execute: async ({ sql, params, variables = [] }) => {
      const change = buildSetStatement(applied, variables);
      if (change !== undefined) {
        const changed = await run(change);
        if (changed.kind !== 'ok') return changed;
        applied = variables;
      }
      return run(sql, params);
    },
    reset: () =>
      new Promise((resolve) => {
        const resettable = raw as unknown as { reset: (done: (err: unknown) => void) => void };
        resettable.reset((err) => {
          applied = [];
          resolve(!err);
        });
      }),
    close: () => {
      raw.destroy();
    },
  };
}

/** The target binds the parameters, so its SQL mode cannot change their meaning. */
function startQuery(
  raw: Connection,
  sql: string,
  params: readonly Param[] | undefined,
): RunningQuery {
  const query = params
    ? raw.execute({ sql, values: params.map(decodeParam), typeCast: castBinaryCell })
    : raw.query({ sql, typeCast: castTextCell });
  return query;
}

function decodeParam(param: Param): string | number | boolean | null | Buffer {
  if (param !== null && typeof param === 'object') return Buffer.from(param.base64, 'base64');
  return param;
}

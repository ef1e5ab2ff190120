import mysql from 'mysql2';
import type { Connection, QueryError } from 'mysql2';
import type { Millis } from '@rosedeck/shared';

/** Outcome of a statement as the caller sees it; `failed` is an error of the target. */
export type CallResult =
  | { readonly kind: 'rows'; readonly rows: readonly Readonly<Record<string, unknown>>[] }
  | { readonly kind: 'ok' }
  | { readonly kind: 'refused'; readonly message: string }
  | { readonly kind: 'unknown'; readonly message: string }
  | { readonly kind: 'failed'; readonly message: string };

/** Port, credentials and database of a connection. */
export interface CallerAddress {
  readonly port: number;
  readonly user: string;
  readonly password: string;
  readonly database: string;
}

/** One session of a MySQL client, which reconnects to the next address after it loses its connection. */
export interface Caller {
  run: (sql: string, done: (result: CallResult) => void) => void;
  /** Runs a statement on the connection of the last statement; refused when that one is lost. */
  runOnSame: (sql: string, done: (result: CallResult) => void) => void;
  close: () => void;
}

const CONNECT_TIMEOUT_MS = 5_000;

/** Creates a session: `addresses` are used in turn, `setup` runs first on each connection, `oneWayMs` delays requests and answers. */
export function createCaller(
  addresses: readonly CallerAddress[],
  setup: readonly string[],
  oneWayMs: Millis,
): Caller {
  let connection: Connection | undefined;
  let lastUsed: Connection | undefined;
  let nextAddress = 0;

  const connect = (): Connection => {
    const address = addresses[nextAddress % addresses.length];
    nextAddress += 1;
    const created = mysql.createConnection({
      ...address,
      host: '127.0.0.1',
      connectTimeout: CONNECT_TIMEOUT_MS,
      maxPreparedStatements: 1,
    });
    const drop = (): void => {
      if (connection === created) connection = undefined;
      created.destroy();
    };
    created.on('error', drop);
    (created as unknown as { stream: NodeJS.EventEmitter }).stream.once('close', drop);
    for (const sql of setup) created.query(sql, () => undefined);
    return created;
  };

  const send = (sql: string, done: (result: CallResult) => void): void => {
    connection ??= connect();
    const used = connection;
    lastUsed = used;
    used.query(sql, (err, result) => {
      if (err?.fatal && connection === used) connection = undefined;
      done(err ? classifyError(err) : toCallResult(result));
    });
  };

  const sendOnSame = (sql: string, done: (result: CallResult) => void): void => {
    if (connection !== undefined && connection === lastUsed) send(sql, done);
    else done({ kind: 'refused', message: 'the connection of the transaction is gone' });
  };

  const withDelay =
    (run: typeof send): typeof send =>
    (sql, done) => {
      runAfter(oneWayMs, () => {
        run(sql, (result) => {
          runAfter(oneWayMs, () => {
            done(result);
          });
        });
      });
    };

  return {
    run: withDelay(send),
    runOnSame: withDelay(sendOnSame),
    close: () => {
      connection?.destroy();
    },
  };
}

function runAfter(ms: Millis, job: () => void): void {
  if (ms > 0) setTimeout(job, ms);
  else job();
}

function toCallResult(result: unknown): CallResult {
  if (!Array.isArray(result)) return { kind: 'ok' };
  return { kind: 'rows', rows: result as Record<string, unknown>[] };
}

function classifyError(err: QueryError): CallResult {
  const { message } = err;
  if (message.includes('(not run')) return { kind: 'refused', message };
  if (message.includes('(outcome unknown')) return { kind: 'unknown', message };
  if (err.code === 'ECONNREFUSED') return { kind: 'refused', message };
  if (err.fatal || err.errno === undefined || err.errno < 0) return { kind: 'unknown', message };
  return { kind: 'failed', message };
}

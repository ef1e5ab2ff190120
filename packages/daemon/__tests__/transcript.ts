import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import type { Connection, QueryError } from 'mysql2';
import * as assert from 'uvu/assert';

/** One step of a transcript: a protocol command and its input. */
export type Step =
  | { readonly command: 'query'; readonly sql: string }
  | { readonly command: 'execute'; readonly sql: string; readonly params: unknown[] }
  | { readonly command: 'ping' | 'reset' };

/** Runs the steps and returns a line for each command and one for its answer. */
export async function recordTranscript(
  connection: Connection,
  steps: readonly Step[],
): Promise<string[]> {
  const lines: string[] = [];
  for (const step of steps) {
    lines.push(`> ${describeStep(step)}`, `< ${await runStep(connection, step)}`);
  }
  return lines;
}

function describeStep(step: Step): string {
  switch (step.command) {
    case 'query':
      return `QUERY ${step.sql}`;
    case 'execute':
      return `PREPARE+EXECUTE ${step.sql} with ${JSON.stringify(step.params)}`;
    default:
      return step.command.toUpperCase();
  }
}

function runStep(connection: Connection, step: Step): Promise<string> {
  return new Promise((resolve) => {
    const done = (err: QueryError | null, result?: unknown, fields?: readonly RawField[]): void => {
      resolve(err ? describeError(err) : describeResult(result, fields));
    };
    const raw = connection as unknown as RawConnection;
    if (step.command === 'query') raw.query(step.sql, done);
    else if (step.command === 'execute') raw.execute(step.sql, step.params, done);
    else raw[step.command](done);
  });
}

interface RawField {
  readonly name: string;
  readonly columnType: number;
  readonly characterSet: number;
  readonly flags: number;
}

type Done = (err: QueryError | null, result?: unknown, fields?: readonly RawField[]) => void;

interface RawConnection {
  query: (sql: string, done: Done) => void;
  execute: (sql: string, params: unknown[], done: Done) => void;
  ping: (done: Done) => void;
  reset: (done: Done) => void;
}

interface RawOk {
  readonly affectedRows: number;
  readonly insertId: number;
  readonly serverStatus: number;
  readonly stateChanges?: { readonly gtids: readonly string[] };
}

/** Formats an error with its code and SQL state. */
export function describeError(err: QueryError): string {
  return `ERROR ${err.errno ?? 0} ${err.sqlState ?? ''} ${err.message}`;
}

function describeResult(result: unknown, fields: readonly RawField[] | undefined): string {
  if (Array.isArray(result) && fields) {
    const head = fields.map(
      (field) =>
        `${field.name} type=${field.columnType} charset=${field.characterSet} flags=${field.flags}`,
    );
    return [`ROWS ${head.join(', ')}`, ...result.map((row) => `  ${JSON.stringify(row)}`)].join(
      '\n',
    );
  }
  if (result === undefined || typeof result !== 'object') return 'OK';
  const ok = result as RawOk;
  const status = (ok.serverStatus & 1) === 1 ? 'in transaction' : 'autocommit';
  const gtid = ok.stateChanges?.gtids[0];
  const position = gtid === undefined ? '' : ` gtid=${gtid}`;
  return `OK affected=${ok.affectedRows} insert_id=${ok.insertId} ${status}${position}`;
}

/** Compares a transcript with its golden file; UPDATE_GOLDEN=1 writes the file first. */
export function assertGolden(name: string, lines: readonly string[]): void {
  const file = path.join(import.meta.dirname, 'golden', `${name}.txt`);
  const text = `${lines.join('\n')}\n`;
  if (process.env.UPDATE_GOLDEN === '1') writeFileSync(file, text);
  assert.ok(existsSync(file), `no golden file ${name}`);
  assert.fixture(text, readFileSync(file, 'utf8'));
}

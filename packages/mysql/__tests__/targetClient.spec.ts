import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Column, Execution } from '@rosedeck/core';
import { openTargetConnection } from '../src/index';
import type { ServerCommand, ServerConnection, TargetConnection } from '../src/index';
import { MAX_RESULT_CHARS, MAX_ROW_CHARS } from '../src/targetResult';
import { formatFloat } from '../src/targetCells';
import { PASSWORD, respondOk, closeServers, startTestServer } from './testServer';
import type { TestServer } from './testServer';

function openTarget({ server }: TestServer): Promise<TargetConnection> {
  const address = { host: '127.0.0.1', port: server.port, user: 'kerala', password: PASSWORD };
  return openTargetConnection({ ...address, database: '' }, 1_000, () => undefined);
}

const createColumn = (type: number, charset: number): Column => ({
  name: 'c',
  table: 't',
  schema: 's',
  type,
  charset,
  flags: 0,
  length: 10,
  decimals: 0,
});

const COLUMNS = [
  createColumn(8, 63),
  createColumn(252, 63),
  createColumn(253, 45),
  createColumn(12, 63),
  createColumn(245, 63),
];
const ROW = ['9007199254740993', 'AP+A', 'വ', '2026-12-03 20:44:00', '{"a":[1,2]}'];

function listSql(commands: readonly ServerCommand[]): string[] {
  return commands.map((command) => (command.type === 'query' ? command.sql : command.type));
}

test('text and prepared statements return equal rows', async () => {
  const server = await startTestServer((connection) => {
    connection.sendRows(COLUMNS, [ROW, ROW.map(() => null)]);
  });
  const target = await openTarget(server);
  const asText = await target.execute({ sql: 'SELECT 1' });
  const asBinary = await target.execute({ sql: 'SELECT 1', params: [] });
  assert.equal(asText, { kind: 'rows', columns: COLUMNS, rows: [ROW, ROW.map(() => null)] });
  assert.equal(asBinary, asText);
  target.close();
});

test('errors of a target keep code, SQL state and message, also at PREPARE', async () => {
  const server = await startTestServer((connection) => {
    connection.sendError(1146, '42S02', "Table 'x' doesn't exist");
  });
  const target = await openTarget(server);
  const expected = { kind: 'sql_error', code: 1146, sqlState: '42S02' };
  const message = "Table 'x' doesn't exist";
  assert.equal(await target.execute({ sql: 'SELECT 1' }), { ...expected, message });
  assert.equal(await target.execute({ sql: 'SELECT ?', params: [1] }), { ...expected, message });
  const mismatch = await target.execute({ sql: 'SELECT ?, ?', params: [1] });
  assert.is(mismatch.kind, 'sql_error');
  const bad = await target.execute({ sql: 'SELECT ??', params: [1] });
  assert.is(bad.kind === 'sql_error' && bad.code, 1064);
  target.close();
});

test('a connection closed during a statement ends it as lost', async () => {
  const running: ServerConnection[] = [];
  const server = await startTestServer((connection) => running.push(connection));
  const target = await openTarget(server);
  const execution = target.execute({ sql: 'UPDATE x SET n = 1' });
  while (running.length === 0) await new Promise(setImmediate);
  running[0]?.close();
  assert.is((await execution).kind, 'lost');
  assert.is((await target.execute({ sql: 'SELECT 1' })).kind, 'lost');
});

test('a result above the limit is an error, and the connection stays usable', async () => {
  const cell = 'x'.repeat(1_000_000);
  const rows = Array.from({ length: Math.ceil(MAX_RESULT_CHARS / cell.length) + 1 }, () => [cell]);
  const server = await startTestServer((connection, command) => {
    const isLarge = command.type === 'query' && command.sql.includes('large');
    if (isLarge) connection.sendRows([createColumn(253, 45)], rows);
    else respondOk(connection);
  });
  const target = await openTarget(server);
  const large = await target.execute({ sql: 'SELECT large' });
  assert.is(large.kind === 'sql_error' && large.code, 1301);
  assert.is((await target.execute({ sql: 'SELECT 1' })).kind, 'ok');
  target.close();
});

test('a row above the row limit is an error even in a small result', async () => {
  const half = 'x'.repeat(MAX_ROW_CHARS / 2 + 1);
  const server = await startTestServer((connection) => {
    connection.sendRows([createColumn(253, 45), createColumn(253, 45)], [[half, half]]);
  });
  const target = await openTarget(server);
  const large = await target.execute({ sql: 'SELECT large' });
  assert.is(large.kind === 'sql_error' && large.code, 1301);
  target.close();
});

test('session variables are set when they differ and reset when no longer set', async () => {
  const refused = "SET SESSION sql_mode = DEFAULT, SESSION time_zone = 'bad'";
  const server = await startTestServer((connection, command) => {
    const isRefused = command.type === 'query' && command.sql === refused;
    if (isRefused) connection.sendError(1298, 'HY000', 'Unknown time zone');
    else respondOk(connection);
  });
  const target = await openTarget(server);
  const zone = { name: 'time_zone', value: "'+05:30'" };
  const mode = { name: 'sql_mode', value: 'ANSI' };
  const run = (sql: string, variables: (typeof zone)[] = []): Promise<Execution> =>
    target.execute({ sql, variables });
  await run('A', [zone]);
  await run('B', [zone]);
  await run('C', [mode]);
  const bad = await run('D', [{ ...zone, value: "'bad'" }]);
  assert.is(bad.kind, 'sql_error');
  await run('E', [mode]);
  await target.reset();
  await run('F');
  await run('G', [mode]);
  await run('H');
  assert.equal(listSql(server.commands), [
    "SET SESSION time_zone = '+05:30'",
    'A',
    'B',
    'SET SESSION time_zone = DEFAULT, SESSION sql_mode = ANSI',
    'C',
    refused,
    'E',
    'reset',
    'F',
    'SET SESSION sql_mode = ANSI',
    'G',
    'SET SESSION sql_mode = DEFAULT',
    'H',
  ]);
  target.close();
});

test('single-precision numbers are formatted as their shortest text', () => {
  for (const text of ['0.1', '16777216', '3.4028235e+38', '-1.5']) {
    assert.is(formatFloat(Math.fround(Number(text))), text);
  }
});

test.after.each(closeServers);

test.run();

import { isDeepStrictEqual } from 'node:util';
import fc from 'fast-check';
import mysql from 'mysql2';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Cell, Column } from '@rosedeck/core';
import { countParams } from '../src/preparedStatements';
import { closeServers, startTestServer } from './testServer';

const SEED = 20_261_203;

test('placeholders inside strings, quoted names and comments are not counted', () => {
  const sql = 'SELECT \'?\', "?", `?`, ? /* ? */ FROM t -- ?\n WHERE a = ? # ?\n';
  assert.is(countParams(sql)._unsafeUnwrap(), 2);
  assert.is(countParams('SELECT 1')._unsafeUnwrap(), 0);
  assert.is(countParams('SELECT ??')._unsafeUnwrapErr().code, 1064);
});

test('parameters keep their values and types', async () => {
  const { commands, connect } = await startTestServer();
  const connection = await connect();
  const sql = 'INSERT INTO t VALUES (?, ?, ?, ?, ?, ?, ?, ?)';
  const bytes = Buffer.from([0, 1, 0x80, 0xff]);
  const at = new Date(2026, 11, 3, 20, 44, 5, 250);
  const big = mysql.TypedParameter.LONGLONG('9007199254740993');
  await connection.execute(sql, [1.5, 'hé?\u{1f600}', null, true, bytes, at, '', big]);
  const [command] = commands;
  assert.equal(command, {
    type: 'query',
    sql,
    params: [
      1.5,
      'hé?\u{1f600}',
      null,
      1,
      { base64: bytes.toString('base64') },
      '2026-12-03 20:44:05.250000',
      '',
      '9007199254740993',
    ],
  });
  connection.destroy();
});

test('a prepared statement runs repeatedly and is unknown after a connection reset', async () => {
  const { commands, connect } = await startTestServer();
  const connection = await connect();
  const statement = await connection.prepare('SELECT ?');
  await statement.execute([1]);
  await statement.execute(['two']);
  assert.is(commands.length, 2);
  await connection.reset();
  const refused = await statement.execute([3]).then(
    () => 'ran',
    (err: unknown) => String(err),
  );
  assert.match(refused, 'Unknown prepared statement handler');
  connection.destroy();
});

function createColumn(type: number, overrides: Partial<Column> = {}): Column {
  const base = { name: 'c', table: 't', schema: 's', charset: 45, flags: 0, length: 40 };
  return { ...base, type, decimals: 0, ...overrides };
}

const UNSIGNED = 32;
const integer = (min: bigint, max: bigint) => fc.bigInt({ min, max }).map(String);
const double = fc.double({ noNaN: true, noDefaultInfinity: true }).map(String);
const date = fc
  .date({ min: new Date('1000-01-01'), max: new Date('9999-12-31'), noInvalidDate: true })
  .map((value) => value.toISOString().slice(0, 19).replace('T', ' '));
const bytes = fc.uint8Array({ maxLength: 300 }).map((b) => Buffer.from(b).toString('base64'));

/** Columns of each type family, with generators of cells in the form used between daemons. */
const FAMILIES: readonly (readonly [Column, fc.Arbitrary<string>])[] = [
  [createColumn(1), integer(-128n, 127n)],
  [createColumn(1, { flags: UNSIGNED }), integer(0n, 255n)],
  [createColumn(2), integer(-32_768n, 32_767n)],
  [createColumn(3), integer(-(2n ** 31n), 2n ** 31n - 1n)],
  [createColumn(3, { flags: UNSIGNED }), integer(0n, 2n ** 32n - 1n)],
  [createColumn(8), integer(-(2n ** 63n), 2n ** 63n - 1n)],
  [createColumn(8, { flags: UNSIGNED }), integer(0n, 2n ** 64n - 1n)],
  [createColumn(13, { flags: UNSIGNED }), integer(1901n, 2155n)],
  [createColumn(5, { decimals: 31 }), double],
  [createColumn(10), date.map((value) => value.slice(0, 10))],
  [createColumn(12), date],
  [createColumn(7, { decimals: 6 }), date.map((value) => `${value}.012345`)],
  [createColumn(11), fc.constantFrom('00:00:00', '23:59:59', '-838:59:59', '100:00:01')],
  [createColumn(246), fc.constantFrom('0.00', '-12345678901234567890.123456789')],
  [createColumn(253), fc.string({ unit: 'binary', maxLength: 300 })],
  [createColumn(252, { charset: 63 }), bytes],
  [createColumn(254, { charset: 63 }), bytes],
];

test('the binary protocol transfers the same rows as the text protocol', async () => {
  let columns: Column[] = [];
  let rows: Cell[][] = [];
  const { connect } = await startTestServer((connection) => {
    connection.sendRows(columns, rows);
  });
  const options = { supportBigNumbers: true, bigNumberStrings: true, dateStrings: true };
  const connection = await connect({ ...options, rowsAsArray: true });
  const family = fc.constantFrom(...FAMILIES);
  const table = fc.array(family, { minLength: 1, maxLength: 20 }).chain((families) => {
    const row = fc.tuple(...families.map(([, cell]) => fc.option(cell, { freq: 4 })));
    return fc.record({
      columns: fc.constant(families.map(([one], index): Column => ({ ...one, name: `c${index}` }))),
      rows: fc.array(row, { maxLength: 5 }),
    });
  });
  await fc.assert(
    fc.asyncProperty(table, async (sample) => {
      ({ columns, rows } = sample);
      const [asText] = await connection.query('SELECT 1');
      const [asBinary] = await connection.execute('SELECT 1');
      assert.equal(asBinary, asText);
    }),
    { seed: SEED, numRuns: 100 },
  );
  connection.destroy();
});

test('cells whose lengths need a longer prefix are read as they were sent, in both protocols', async () => {
  const lengths = [250, 251, 252, 65_535, 65_536, 1_000_000];
  const columns = [createColumn(253), createColumn(252, { charset: 63 })];
  const cells = lengths.map((length) => [
    '\0'.repeat(length - 2) + 'é',
    Buffer.alloc(length, 0xfe),
  ]);
  const { connect } = await startTestServer((connection) => {
    const rows = cells.map(([text, bytes]) => [String(text), (bytes as Buffer).toString('base64')]);
    connection.sendRows(columns, rows);
  });
  const connection = await connect({ rowsAsArray: true });
  const [asText] = await connection.query('SELECT 1');
  const [asBinary] = await connection.execute('SELECT 1');
  assert.ok(isDeepStrictEqual(asText, cells));
  assert.ok(isDeepStrictEqual(asBinary, cells));
  connection.destroy();
});

test.after.each(closeServers);

test.run();

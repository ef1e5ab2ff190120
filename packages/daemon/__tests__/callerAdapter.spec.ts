import type { Connection } from 'mysql2';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Answer, Column, OwnerRequest } from '@rosedeck/core';
import { createFailure } from '@rosedeck/shared';
import type { ErrorKind } from '@rosedeck/shared';
import { CONNECTION_LIMIT, closeHarnesses, login, startHarness } from './callerHarness';
import type { CallerHarness, OwnerStub } from './callerHarness';
import type { Tree } from '../src/tree';
import { assertGolden, recordTranscript, describeError } from './transcript';
import type { Step } from './transcript';

const COLUMN: Column = {
  name: 'n',
  table: 'bookings',
  schema: 'schedule',
  type: 8,
  charset: 63,
  flags: 129,
  length: 20,
  decimals: 0,
};
const BLOB: Column = { ...COLUMN, name: 'data', type: 252, flags: 144 };
const TEXT: Column = { ...COLUMN, name: 'note', type: 253, charset: 45, flags: 0 };

const ROWS: Answer = {
  kind: 'rows',
  columns: [COLUMN, BLOB, TEXT],
  rows: [['7', Buffer.from([0, 255]).toString('base64'), 'വാർഡ് 5']],
};

/** Answers every request with success. */
const successfulOwner: OwnerStub = (req: OwnerRequest) =>
  req.op === 'read' || req.sql.includes('SELECT')
    ? ROWS
    : { kind: 'ok', affectedRows: 1, insertId: 42, position: { term: 3, index: 9 } };

const query = (sql: string): Step => ({ command: 'query', sql });

async function connect(harness: CallerHarness): Promise<Connection> {
  const connection = await login(harness);
  assert.ok('query' in connection);
  return connection;
}

test('golden: refused logins', async () => {
  const harness = await startHarness(successfulOwner);
  const lines: string[] = [];
  const tries = [
    { password: 'wrong' },
    { password: '' },
    { user: 'nobody' },
    { database: 'nowhere' },
    { database: 'orders' },
  ];
  for (const options of tries) {
    const result = await login(harness, options);
    lines.push(`> LOGIN ${JSON.stringify(options)}`);
    lines.push(`< ${'query' in result ? 'OK' : describeError(result)}`);
  }
  assertGolden('login-refused', lines);
});

test('golden: prepared statements', async () => {
  const harness = await startHarness(successfulOwner);
  const connection = await connect(harness);
  const params = ['desk-1', null, 2];
  const lines = await recordTranscript(connection, [
    { command: 'execute', sql: 'SELECT n, data, note FROM bookings WHERE id = ?', params: [7] },
    { command: 'execute', sql: 'INSERT INTO bookings VALUES (?, ?, ?)', params },
    { command: 'execute', sql: 'SELECT LAST_INSERT_ID()', params: [] },
    { command: 'reset' },
    { command: 'execute', sql: 'SELECT LAST_INSERT_ID()', params: [] },
    { command: 'execute', sql: 'SELECT ?? FROM bookings', params: [] },
  ]);
  assertGolden('prepared-statement', lines);
  assert.equal(
    harness.requests.map((req) => [req.op, req.params]),
    [
      ['read', [7]],
      ['write', ['desk-1', null, 2]],
    ],
  );
});

test('golden: marks and session variables', async () => {
  const harness = await startHarness(successfulOwner);
  const connection = await connect(harness);
  const lines = await recordTranscript(connection, [
    query('/* rosedeck max_age_ms=500, deadline_ms=900, class=playlist, request_id=r1 */ SELECT 1'),
    query('SET rosedeck_max_age_ms = 250'),
    query("SET SESSION rosedeck_class = 'playlist'"),
    query('SELECT @@rosedeck_max_age_ms'),
    query('SELECT 1'),
    query('SET rosedeck_max_age_ms = DEFAULT'),
    query('SELECT @@rosedeck_token'),
    query('/* rosedeck idempotent=1 */ UPDATE bookings SET n = 1'),
    query('SELECT @@rosedeck_token'),
    query("SET rosedeck_token = 'schedule=3:8'"),
    query("SET rosedeck_token = 'schedule=4:1'"),
    query('SELECT @@rosedeck_token'),
    query("SET rosedeck_token = 'content=4:1'"),
    query('/* rosedeck colour=red */ SELECT 1'),
    query('/* rosedeck deadline_ms=0 */ SELECT 1'),
    query('/* rosedeck idempotent=maybe */ SELECT 1'),
    query('/* rosedeck class=heartbeat */ SELECT 1'),
    query('SELECT 1 /* rosedeck max_age_ms=1 */'),
    query('SET rosedeck_request_id = r2'),
  ]);
  assertGolden('marks', lines);
  const [first, second, third] = harness.requests;
  assert.is(first?.id, 'desk/schedule/r1');
  assert.equal([first?.maxAgeMs, first?.cls], [500, 'playlist']);
  assert.equal([second?.maxAgeMs, second?.cls], [250, 'playlist']);
  assert.equal([third?.maxAgeMs, third?.idempotent], [undefined, true]);
});

test('golden: transactions and implicit commits', async () => {
  const harness = await startHarness(successfulOwner);
  const connection = await connect(harness);
  const lines = await recordTranscript(connection, [
    query('BEGIN'),
    query('UPDATE bookings SET n = 1'),
    query('SAVEPOINT a'),
    query('ROLLBACK TO a'),
    query('START TRANSACTION READ ONLY'),
    query('SELECT n FROM bookings FOR UPDATE'),
    query('USE content'),
    query('CREATE TABLE x (n INT)'),
    query('COMMIT'),
    query('USE content'),
    query('ROLLBACK'),
    { command: 'ping' },
  ]);
  assertGolden('transactions', lines);
  assert.equal(
    harness.requests.map((req) => `${req.op} ${req.sql}`),
    [
      'begin BEGIN',
      'statement UPDATE bookings SET n = 1',
      'statement SAVEPOINT a',
      'statement ROLLBACK TO a',
      'commit COMMIT',
      'begin START TRANSACTION READ ONLY',
      'statement SELECT n FROM bookings FOR UPDATE',
      'commit COMMIT',
      'write CREATE TABLE x (n INT)',
    ],
  );
});

test('golden: statements that need a connection of their own', async () => {
  const harness = await startHarness(successfulOwner);
  const connection = await connect(harness);
  const refused = [
    'SET autocommit = 0',
    "SET GLOBAL time_zone = '+05:30'",
    "SET sql_mode = CONCAT(@@sql_mode, ',ANSI')",
    "SET time_zone = '+05:30', sql_mode = ''",
    'SET collation_server = utf8mb4_bin',
    'SET NAMES latin1 COLLATE latin1_bin',
    'SET @a = 1',
    'SET NAMES big5',
    'SELECT @a := 1',
    'SELECT n INTO @a FROM bookings',
    "SELECT GET_LOCK('a', 1)",
    'INSERT INTO x VALUES (LAST_INSERT_ID())',
    'SELECT FOUND_ROWS()',
    'LOCK TABLES bookings WRITE',
    "PREPARE s FROM 'SELECT 1'",
    'CREATE TEMPORARY TABLE x (n INT)',
    'COMMIT AND CHAIN',
    'XA START 1',
    'SHOW WARNINGS',
    "/*!40101 SET time_zone = '+05:30' */",
    "-- note\nSET GLOBAL time_zone = '+05:30'",
    'USE nowhere',
  ];
  const lines = await recordTranscript(connection, refused.map(query));
  const harmless = ['SET NAMES utf8mb4', 'SET autocommit = 1', 'SET SESSION wait_timeout = 60'];
  lines.push(...(await recordTranscript(connection, harmless.map(query))));
  assertGolden('refused-statements', lines);
  assert.is(harness.requests.length, 0);
});

test('golden: session variables are sent with each statement of their session', async () => {
  const harness = await startHarness((req) => {
    const refused = req.variables?.some(({ value }) => value === "'nowhere'");
    if (!refused) return successfulOwner(req);
    const failure = { kind: 'target_error' as const, code: 1298, sqlState: 'HY000' };
    return { kind: 'failure', failure: { ...failure, detail: "Unknown time zone: 'nowhere'" } };
  });
  const connection = await connect(harness);
  const sql = [
    "SET time_zone = '+05:30'",
    'SET SESSION sql_mode = ANSI',
    'UPDATE x SET n = 1',
    "SET @@session.time_zone = 'nowhere'",
    'SET time_zone = DEFAULT',
    "SET NAMES utf8mb4 COLLATE 'utf8mb4_bin'",
    'SET SESSION TRANSACTION ISOLATION LEVEL READ  COMMITTED',
    'UPDATE x SET n = 2',
  ];
  const lines = await recordTranscript(connection, sql.map(query));
  lines.push(
    ...(await recordTranscript(connection, [{ command: 'reset' }, query('UPDATE x SET n = 3')])),
  );
  assertGolden('session-variables', lines);
  const updates = harness.requests.filter((req) => req.op === 'write');
  assert.equal(
    updates.map((req) => req.variables?.map(({ name, value }) => `${name}=${value}`)),
    [
      ['sql_mode=ANSI', "time_zone='+05:30'"],
      [
        "collation_connection='utf8mb4_bin'",
        'sql_mode=ANSI',
        "transaction_isolation='READ-COMMITTED'",
      ],
      undefined,
    ],
  );
});

const KINDS: readonly ErrorKind[] = [
  'group_unavailable',
  'overloaded',
  'deadline_exceeded',
  'draining',
  'stale_configuration',
  'outcome_unknown',
  'write_unconfirmed',
  'transaction_lost',
  'too_large',
  'unknown_group',
  'unsupported',
];

test('golden: the text of each failure', async () => {
  const harness = await startHarness(({ sql }) => {
    const kind = KINDS.find((one) => sql.endsWith(one));
    if (kind) return { kind: 'failure', failure: createFailure(kind, 'because', 120) };
    const failure = { kind: 'target_error' as const, code: 1146, sqlState: '42S02' };
    return { kind: 'failure', failure: { ...failure, detail: "Table 'x' doesn't exist" } };
  });
  const connection = await connect(harness);
  const steps = [...KINDS, 'target_error'].map((kind) => query(`UPDATE x SET n = 1 -- ${kind}`));
  assertGolden('failures', await recordTranscript(connection, steps));
});

test('the caller chooses whether found or changed rows are counted, and warnings are kept', async () => {
  const info = 'Rows matched: 5  Changed: 3  Warnings: 1';
  const position = { term: 3, index: 9 };
  const harness = await startHarness(() => ({
    kind: 'ok',
    affectedRows: 5,
    insertId: 0,
    info,
    warnings: 1,
    position,
  }));
  const expected = { info, changedRows: 3, warningStatus: 1 };
  for (const [flags, affectedRows, gtids] of [
    [[], 5, ['3:9']],
    [['-FOUND_ROWS'], 3, ['3:9']],
  ] as const) {
    const connection = await login(harness, { flags: [...flags] });
    assert.ok('query' in connection);
    const result = await new Promise<Record<string, unknown>>((resolve) => {
      connection.query('UPDATE x SET n = 1', (_err, ok) => {
        resolve(ok as unknown as Record<string, unknown>);
      });
    });
    const { info: seen, changedRows, warningStatus } = result;
    assert.equal({ info: seen, changedRows, warningStatus }, expected);
    assert.is(result.affectedRows, affectedRows);
    assert.equal((result.stateChanges as { gtids: string[] }).gtids, gtids);
  }
});

test('statements of a caller without a database are refused until it selects one', async () => {
  const harness = await startHarness(successfulOwner);
  const connection = await login(harness, { database: undefined });
  assert.ok('query' in connection);
  const lines = await recordTranscript(connection, [
    query('SELECT 1'),
    query('USE `schedule`'),
    query('SELECT 1'),
  ]);
  assert.match(lines[1] ?? '', 'ERROR 1046 3D000 No database selected');
  assert.is(harness.requests[0]?.group, 'schedule');
});

test('session tokens of several groups are kept across USE', async () => {
  const harness = await startHarness(successfulOwner);
  const connection = await connect(harness);
  const sql = ['UPDATE x SET n = 1', 'USE content', 'SELECT 1', 'USE schedule', 'SELECT 1'];
  await recordTranscript(connection, sql.map(query));
  assert.equal(
    harness.requests.map((req) => [req.group, req.minPosition]),
    [
      ['schedule', undefined],
      ['content', undefined],
      ['schedule', { term: 3, index: 9 }],
    ],
  );
});

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(setImmediate);
}

test('a statement is abandoned at the owner when its caller disconnects', async () => {
  const harness = await startHarness(() => undefined);
  const connection = await connect(harness);
  connection.query('SELECT 1');
  await waitUntil(() => harness.requests.length === 1);
  connection.destroy();
  await waitUntil(() => harness.requests.length === 2);
  const [read, abandon] = harness.requests;
  assert.is(abandon?.op, 'abandon');
  assert.is(abandon?.subject, read?.id);
});

test('a transaction whose caller disconnects during BEGIN is abandoned', async () => {
  const harness = await startHarness(() => undefined);
  const connection = await connect(harness);
  connection.query('BEGIN');
  await waitUntil(() => harness.requests.length === 1);
  connection.destroy();
  await waitUntil(() => harness.sessionCount() === 0);
  const [begin] = harness.requests;
  assert.ok(begin);
  await waitUntil(() => harness.requests.length === 2);
  assert.equal(harness.requests[1]?.op, 'abandon');
  assert.is(harness.requests[1]?.transaction, begin.transaction);
});

test('golden: a draining daemon closes its callers outside of transactions', async () => {
  const harness = await startHarness(successfulOwner);
  const [idle, busy] = [await connect(harness), await connect(harness)];
  const lines = await recordTranscript(busy, [query('BEGIN'), query('UPDATE x SET n = 1')]);
  harness.drain();
  lines.push('drain');
  lines.push(...(await recordTranscript(busy, [query('UPDATE x SET n = 2'), query('COMMIT')])));
  lines.push('another caller, idle until now');
  lines.push(...(await recordTranscript(idle, [query('UPDATE x SET n = 3')])));
  assertGolden('drain', lines);
  await waitUntil(() => harness.sessionCount() === 0);
  const late = await login(harness);
  assert.ok(!('query' in late));
  assert.is(harness.requests.length, 4);
});

test('a configuration change applies to the next statement of open sessions', async () => {
  const harness = await startHarness(successfulOwner);
  const connection = await connect(harness);
  await recordTranscript(connection, [query('SELECT 1')]);
  harness.configure((tree) => {
    const authority = { ...tree.customers.authority, default_class: 'playlist', deadline_ms: 77 };
    return { ...tree, customers: { ...tree.customers, authority } } as Tree;
  });
  await recordTranscript(connection, [query('SELECT 1')]);
  assert.equal(
    harness.requests.map((req) => req.cls),
    ['booking', 'playlist'],
  );
  assert.ok((harness.requests[1]?.deadlineMs ?? 0) <= 77);
  harness.configure((tree) => {
    const groups = Object.entries(tree.groups).filter(([id]) => id !== 'schedule');
    return { ...tree, groups: Object.fromEntries(groups) };
  });
  const lines = await recordTranscript(connection, [
    query('SELECT 1'),
    query("SET time_zone = 'UTC'"),
  ]);
  assert.match(lines.join(), 'Unknown database');
  assert.is(harness.requests.length, 2);
});

test('a daemon without configuration refuses logins as stale, not as wrong passwords', async () => {
  const harness = await startHarness(successfulOwner);
  harness.configure(undefined);
  const refused = await login(harness);
  assert.match('query' in refused ? 'OK' : describeError(refused), 'stale_configuration');
});

const TOO_MANY = 'ERROR 1040 08004 Too many connections';

test('callers beyond the connection limit are refused', async () => {
  const harness = await startHarness(successfulOwner);
  for (let count = 0; count < CONNECTION_LIMIT; count += 1) await connect(harness);
  const refused = await login(harness);
  assert.is('query' in refused ? 'OK' : describeError(refused), TOO_MANY);
});

test.after.each(closeHarnesses);

test.run();

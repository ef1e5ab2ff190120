import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { ServerConnection } from '@rosedeck/mysql';
import { createSystemClock } from '@rosedeck/shared';
import { createTarget } from '../src/target';
import { createTargetSession } from '../src/targetSession';

const test = suite('sessions of a stand-in target');

const TABLE = 'CREATE TABLE records (id VARCHAR(16) PRIMARY KEY, n INT)';
const INSERT = "INSERT INTO records (id, n) VALUES ('a', 1)";

/** Opens a session whose statements each wait for a slot until `release` is called. */
function openSession() {
  const target = createTarget(createSystemClock(), 'primary');
  const waiting: (() => void)[] = [];
  let onDone: () => void = () => undefined;
  const noop = (): void => undefined;
  const connection: ServerConnection = {
    id: 1,
    user: '',
    database: '',
    attributes: {},
    countsFoundRows: false,
    sendOk: noop,
    sendRows: noop,
    sendError: noop,
    setEncoding: noop,
    closeWithError: noop,
    close: noop,
  };
  const session = createTargetSession(connection, {
    target,
    locks: new Map(),
    statementMs: 0,
    networkMs: 0,
    countStatement: noop,
    acquireSlot: (job) => {
      waiting.push(job);
    },
    releaseSlot: () => {
      onDone();
    },
    onCommit: noop,
  });
  const release = (): Promise<void> =>
    new Promise((resolve) => {
      onDone = resolve;
      waiting.shift()?.();
    });
  const send = (sql: string): void => {
    session.handle({ type: 'query', sql });
  };
  const run = (sql: string): Promise<void> => {
    send(sql);
    return release();
  };
  const rows = (): number => target.store.rows.get('records')?.size ?? 0;
  return { session, send, run, release, rows };
}

test('a statement that waits for a slot when its connection closes is rolled back with its transaction', async () => {
  const { session, send, run, release, rows } = openSession();
  await run(TABLE);
  await run('BEGIN');
  send(INSERT);
  session.close();
  await release();
  assert.is(rows(), 0);
});

test('a transaction without a running statement is rolled back when its connection closes', async () => {
  const { session, run, rows } = openSession();
  await run(TABLE);
  await run('BEGIN');
  await run(INSERT);
  session.close();
  await run('COMMIT');
  assert.is(rows(), 0);
});

test('a COMMIT that was received before the connection closed takes effect', async () => {
  const { session, send, run, release, rows } = openSession();
  await run(TABLE);
  await run('BEGIN');
  await run(INSERT);
  send('COMMIT');
  session.close();
  await release();
  assert.is(rows(), 1);
});

test.run();

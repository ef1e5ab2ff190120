import { createJsonClient } from '@rosedeck/clients';
import mysql from 'mysql2/promise';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { OPERATOR_TOKEN, startCluster } from '../src/cluster';
import type { Cluster, RunningDaemon } from '../src/cluster';
import { CALLER_PASSWORD, readProfile } from '../src/topology';

const HOST = '127.0.0.1';
const CALL_TIMEOUT_MS = 2_000;

/** Longest wait for a change of the list to be seen. */
const SEEN_LIMIT_MS = 10_000;

const LIST_LAG_MS = 50;

const authority = readProfile('authority');
const schedule = authority.groups.schedule ?? [];
const profile = { ...authority, daemons: 3, groups: { schedule } };

/** The part of a daemon's status that shows what it has read of the list. */
interface ListedStatus {
  readonly peers: readonly { readonly id: string }[];
  readonly groups: readonly { readonly leavingTargets: readonly string[] }[];
}

async function readStatus(daemon: RunningDaemon): Promise<ListedStatus> {
  const headers = { authorization: `Bearer ${OPERATOR_TOKEN}` };
  const client = createJsonClient(HOST, daemon.operatorPort, { headers });
  try {
    return (await client.send('GET', '/status', undefined, CALL_TIMEOUT_MS)).body as ListedStatus;
  } finally {
    client.close();
  }
}

async function putList(cluster: Cluster, change: object): Promise<void> {
  const client = createJsonClient(HOST, cluster.listPort);
  try {
    await client.send('POST', '/list', change, SEEN_LIMIT_MS);
  } finally {
    client.close();
  }
}

const describe = ({ id, failureDomain, peerPort }: RunningDaemon): object => {
  return { id, failureDomain, host: HOST, peerPort, leaving: false };
};

const isRunning = ({ process }: RunningDaemon): boolean =>
  process.exitCode === null && process.signalCode === null;

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Sends a statement to each daemon, which passes it to an owner of the group; it may fail. */
async function sendStatements({ daemons }: Cluster): Promise<void> {
  for (const daemon of daemons) {
    try {
      const connection = await mysql.createConnection({
        host: HOST,
        port: daemon.callerPort,
        user: profile.customer,
        password: CALLER_PASSWORD,
        database: 'schedule',
      });
      await connection.query('SELECT 1 FROM items WHERE id = 1').catch(() => undefined);
      connection.destroy();
    } catch {
      // A daemon that has ended is found by the checks.
    }
  }
}

/** Waits until all daemons show a change of the list; fails as soon as one has ended. */
async function expectFollowed(
  { daemons }: Cluster,
  isSeen: (status: ListedStatus) => boolean,
): Promise<void> {
  for (const daemon of daemons) {
    const endsAt = performance.now() + SEEN_LIMIT_MS;
    for (;;) {
      assert.ok(daemons.every(isRunning), 'all daemons run');
      // A daemon that is slow to reply is asked again; one that has ended fails the check above.
      const status = await readStatus(daemon).catch(() => undefined);
      if (status && isSeen(status)) break;
      const text = JSON.stringify(status?.peers);
      assert.ok(performance.now() < endsAt, `${daemon.id} has not seen the change: ${text}`);
      await sleep(50);
    }
  }
}

/** Instances with each change, enough of them to own each group if they counted. */
const ODD_COPIES = 5;

/** Adds entries of another writer to the list and checks that the others count and are followed. */
async function expectLeftOut(
  createOdd: (valid: object) => readonly unknown[],
  oddTargets: readonly unknown[] = [],
): Promise<void> {
  const cluster = await startCluster(profile, { listLagMs: LIST_LAG_MS });
  try {
    const instances = cluster.daemons.map(describe);
    const [valid] = instances;
    const targets = cluster.targets.map(({ id }) => ({ id, leaving: false }));
    const [firstTarget, ...otherTargets] = targets;
    assert.ok(valid);
    assert.ok(firstTarget);
    const added = { ...valid, id: 'added', peerPort: 1 };
    await putList(cluster, {
      instances: [...createOdd(valid), ...instances, added],
      targets: [...oddTargets, ...targets],
    });
    const ids = ['added', ...cluster.daemons.map(({ id }) => id)].sort().join();
    const hasIds = ({ peers }: ListedStatus): boolean =>
      peers
        .map(({ id }) => id)
        .sort()
        .join() === ids;
    // By then the list is in force.
    await sleep(500);
    await sendStatements(cluster);
    await expectFollowed(cluster, hasIds);
    await putList(cluster, {
      instances,
      targets: [...oddTargets, { ...firstTarget, leaving: true }, ...otherTargets],
    });
    await expectFollowed(cluster, ({ groups }) =>
      groups.some(({ leavingTargets }) => leavingTargets.includes(firstTarget.id)),
    );
  } finally {
    await cluster.stop();
  }
}

// A URL with such a port or host makes the attempt to connect throw, which ended the process.
test('instances with an address that cannot be connected to end no daemon', () =>
  expectLeftOut((valid) =>
    [
      { peerPort: 0 },
      { peerPort: 65_536 },
      { peerPort: 87_841 },
      { peerPort: 1.5 },
      { peerPort: '7' },
      { host: '' },
      { host: 'a b' },
      { host: 'a/b@c' },
    ].flatMap((change, at) =>
      Array.from({ length: ODD_COPIES }, (_, copy) => ({
        ...valid,
        id: `odd-${at}-${copy}`,
        ...change,
      })),
    ),
  ));

test('entries of the list that are no instances or targets do not hide the others', () =>
  expectLeftOut(
    (valid) => [
      null,
      5,
      [],
      { ...valid, id: undefined },
      { ...valid, id: { id: 'x' } },
      { ...valid, id: 'odd-1', failureDomain: null },
      { ...valid, id: 'odd-2', host: 5 },
      { ...valid, id: 'odd-3', leaving: 'no' },
    ],
    [null, 5, { id: 5, leaving: true }, { id: 'odd', leaving: 'no' }],
  ));

test.run();

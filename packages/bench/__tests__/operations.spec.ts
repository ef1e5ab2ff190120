import { spawn } from 'node:child_process';
import { writeFile, mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import mysql from 'mysql2/promise';
import { createJsonClient } from '@rosedeck/clients';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { OPERATOR_TOKEN, startCluster } from '../src/cluster';
import type { Cluster, RunningDaemon } from '../src/cluster';
import { prepareProgram } from '../src/programs';
import { CALLER_PASSWORD, readProfile } from '../src/topology';

const authority = readProfile('authority');
const schedule = authority.groups.schedule ?? [];
const profile = { ...authority, daemons: 3, groups: { schedule } };

interface Run {
  readonly code: number | null;
  readonly out: string;
  readonly err: string;
}

let cluster: Cluster;
let folder: string;
let program: string;

test.before(async () => {
  cluster = await startCluster(profile);
  program = await prepareProgram('daemon');
  folder = await mkdtemp(path.join(tmpdir(), 'rosedeck-ops-'));
});

test.after(async () => {
  await cluster.stop();
});

function getDaemon(index: number): RunningDaemon {
  const found = cluster.daemons[index];
  if (!found) throw new Error('no such daemon');
  return found;
}

/** Runs the command-line program against a daemon's operator port. */
function runCli(daemon: RunningDaemon, ...args: string[]): Promise<Run> {
  const env = {
    ...process.env,
    ROSEDECK_OPERATOR: `127.0.0.1:${daemon.operatorPort}`,
    ROSEDECK_TOKEN: OPERATOR_TOKEN,
  };
  const child = spawn(process.execPath, [program, ...args], { env });
  let out = '';
  let err = '';
  child.stdout.on('data', (chunk: Buffer) => (out += chunk.toString()));
  child.stderr.on('data', (chunk: Buffer) => (err += chunk.toString()));
  return new Promise((resolve) => {
    child.once('close', (code) => {
      resolve({ code, out, err });
    });
  });
}

async function writeConfig(name: string, content: string): Promise<string> {
  const filePath = path.join(folder, name);
  await writeFile(filePath, content);
  return filePath;
}

async function setStoreFault(fault: Record<string, unknown>): Promise<void> {
  const client = createJsonClient('127.0.0.1', cluster.storePort);
  await client.send('POST', '/fault', fault, 1_000);
  client.close();
}

async function readRevision(daemon: RunningDaemon): Promise<number> {
  const { out } = await runCli(daemon, 'status', '--json');
  return (JSON.parse(out) as { config: { revision: number } }).config.revision;
}

/** Waits until a daemon may confirm configuration changes; just after its start it may not. */
async function waitForVote(daemon: RunningDaemon): Promise<void> {
  for (;;) {
    const { out } = await runCli(daemon, 'status', '--json');
    if ((JSON.parse(out) as { config: { mayVote: boolean } }).config.mayVote) return;
  }
}

function connect(daemon: RunningDaemon): Promise<mysql.Connection> {
  return mysql.createConnection({
    host: '127.0.0.1',
    port: daemon.callerPort,
    user: profile.customer,
    password: CALLER_PASSWORD,
    database: 'schedule',
  });
}

test('an accepted change is in force at every daemon', async () => {
  const change = await writeConfig('change.toml', '[groups.schedule]\ndeadline_ms = 1234\n');
  const applied = await runCli(getDaemon(0), 'config', 'apply', '--patch', change, '--expect', '1');
  assert.is(applied.code, 0, applied.err);
  for (const one of cluster.daemons) assert.is(await readRevision(one), 2);
  const explained = await runCli(getDaemon(1), 'config', 'explain', '--group', 'schedule');
  assert.match(explained.out, 'deadline_ms = 1234  # group schedule');
  const late = await runCli(getDaemon(2), 'config', 'apply', '--patch', change, '--expect', '1');
  assert.is(late.code, 4);
});

test('an invalid change and a wrong token are refused and audited', async () => {
  const bad = await writeConfig('bad.toml', '[groups.schedule]\nslotz = 9\n');
  const refused = await runCli(getDaemon(0), 'config', 'apply', '--patch', bad);
  assert.is(refused.code, 2);
  assert.match(refused.err, 'groups.schedule.slotz: unknown key');
  const denied = await runCli(getDaemon(0), 'config', 'apply', '--patch', bad, '--token', 'wrong');
  assert.is(denied.code, 6);
  const audit = await runCli(getDaemon(1), 'audit', '--json');
  const records = JSON.parse(audit.out) as { who: string; result: string }[];
  const seen = records.map(({ who, result }) => `${who} ${result}`);
  for (const line of ['bench accepted', 'bench refused', 'unknown refused']) {
    assert.ok(seen.includes(line), `${line} in ${seen.join(', ')}`);
  }
});

test('a change is made once when the store loses its answer and when the operator sends it again', async () => {
  await setStoreFault({ loseAnswers: 1 });
  const change = await writeConfig('lost.toml', '[groups.schedule]\ndeadline_ms = 1300\n');
  const before = await readRevision(getDaemon(0));
  const args = ['config', 'apply', '--patch', change, '--id', 'once'];
  assert.is((await runCli(getDaemon(0), ...args)).code, 0);
  assert.is((await runCli(getDaemon(1), ...args)).code, 0);
  assert.is(await readRevision(getDaemon(1)), before + 1);
});

test('statements continue and changes are refused while the store is down', async () => {
  const caller = await connect(getDaemon(0));
  await caller.query('CREATE TABLE records (id VARCHAR(64) PRIMARY KEY, n INT, note VARCHAR(9))');
  for (const one of cluster.daemons) await waitForVote(one);
  await setStoreFault({ down: true });
  const change = await writeConfig('outage.toml', '[groups.schedule]\ndeadline_ms = 1400\n');
  const refused = await runCli(getDaemon(0), 'config', 'apply', '--patch', change);
  assert.is(refused.code, 5);
  for (let index = 0; index < 40; index += 1) {
    await caller.query(`INSERT INTO records (id, n, note) VALUES ('o${index}', 1, 'x')`);
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  await setStoreFault({ down: false });
  await caller.end();
});

test('metrics are served and contain the configuration revision', async () => {
  const res = await fetch(`http://127.0.0.1:${getDaemon(1).metricsPort}/metrics`);
  const text = await res.text();
  assert.match(text, `rosedeck_config_revision ${await readRevision(getDaemon(1))}`);
  assert.match(text, 'rosedeck_tick_seconds_count');
  assert.match(text, 'rosedeck_control_bytes_total');
});

test('a drain under load does not interrupt a transaction', async () => {
  const caller = await connect(getDaemon(2));
  await caller.beginTransaction();
  await caller.query("INSERT INTO records (id, n, note) VALUES ('drain', 1, 'x')");
  const others = await connect(getDaemon(0));
  const exited = new Promise<number | null>((resolve) =>
    getDaemon(2).process.once('exit', resolve),
  );
  assert.is((await runCli(getDaemon(2), 'drain')).code, 0);
  for (let index = 0; index < 100; index += 1) {
    await others.query(`INSERT INTO records (id, n, note) VALUES ('d${index}', 1, 'x')`);
  }
  await caller.query("UPDATE records SET n = 2 WHERE id = 'drain'");
  await caller.commit();
  caller.on('error', () => undefined);
  assert.is(await exited, 0);
  const [rows] = await others.query("SELECT n FROM records WHERE id = 'drain'");
  assert.equal(rows, [{ n: 2 }]);
  await others.end();
});

test.run();

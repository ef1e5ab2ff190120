import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { PassThrough } from 'node:stream';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createCli } from '../src/index';

const folder = mkdtempSync(path.join(tmpdir(), 'rosedeck-cli-'));

interface Run {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

async function run(...args: string[]): Promise<Run> {
  const [stdout, stderr] = [new PassThrough(), new PassThrough()];
  const code = await createCli().run(args, { stdin: process.stdin, stdout, stderr });
  const read = (stream: PassThrough): string => String(stream.read() ?? '');
  return { code, out: read(stdout), err: read(stderr) };
}

function file(name: string, content: string): string {
  const where = path.join(folder, name);
  writeFileSync(where, content);
  return where;
}

const DAEMON = `
[daemon]
id = "entry-1"
failure_domain = "kochi-a"
[caller]
host = "127.0.0.1"
port = 3306
[peer]
host = "127.0.0.1"
port = 7000
[store]
host = "127.0.0.1"
port = 7001
[list]
host = "127.0.0.1"
port = 7002
`;

test('every command has help with an example', async () => {
  const { out } = await run('--help');
  const paths = ['daemon', 'settings check', 'platform check', 'status', 'drain', 'audit'];
  for (const name of ['apply', 'get', 'explain', 'history']) paths.push(`config ${name}`);
  for (const name of paths) {
    assert.match(out, name);
    const help = await run(...name.split(' '), '--help');
    assert.is(help.code, 0);
    assert.match(help.out, 'Examples');
  }
});

test("the platform's settings file is checked, each fault with key, found and allowed", async () => {
  const good = {
    NodeName: 'front-1',
    Ip: '10.1.0.8',
    Zone: 'a',
    Listen: { Front: '10.1.0.8:8784', Ready: '10.1.0.8:8785' },
    PortRange: [7_440, 7_455],
    Limits: { MaxFds: 4_200 },
    Bounds: { GraceS: 6, DrainMs: 7_000 },
    platform: { Address: '10.200.1.7:8783' },
  };
  const passed = await run('platform', 'check', file('good.json', JSON.stringify(good)));
  assert.is(passed.code, 0);
  assert.match(passed.out, 'ok, callers at 10.1.0.8:8784');
  const broken = JSON.stringify({ ...good, PortRange: [9], Zone: 5 });
  const refused = await run('platform', 'check', file('broken.json', broken));
  assert.is(refused.code, 2);
  assert.match(refused.err, 'Zone: found 5, allowed a name');
  assert.match(refused.err, 'PortRange: found [9], allowed two ports');
  const missing = await run('platform', 'check', path.join(folder, 'none.json'));
  assert.is(missing.code, 2);
});

test('a good settings file passes the check', async () => {
  const { code, out } = await run('settings', 'check', file('good.toml', DAEMON));
  assert.is(code, 0);
  assert.match(out, 'ok');
});

test('a bad settings file is refused with all that is wrong, and a daemon does not start', async () => {
  const bad = DAEMON.replace('port = 3306', 'port = "x"').replace('[list]', '[lists]');
  const name = file('bad.toml', bad);
  const { code, err } = await run('settings', 'check', name);
  assert.is(code, 2);
  assert.match(err, `${name}: caller.port: found "x"; allowed: number`);
  assert.match(err, `${name}: lists: unknown key; allowed here: daemon, caller`);
  assert.match(err, `${name}: list: missing; allowed: object`);
  assert.is((await run('daemon', '--settings', name)).code, 2);
  const json = await run('settings', 'check', '--json', name);
  assert.is((JSON.parse(json.out) as { faults: unknown[] }).faults.length, 3);
});

test('a tree is checked by the same command, and before it is sent', async () => {
  const tree = file(
    'tree.toml',
    '[customers.a]\nuser = "u"\npassword = "p"\nlevel = "x"\n[groups]\n',
  );
  const checked = await run('settings', 'check', tree);
  assert.is(checked.code, 2);
  assert.match(checked.err, 'customers.a.level: found "x"');
  const applied = await run('config', 'apply', tree, '--at', '127.0.0.1:1', '--token', 'token');
  assert.is(applied.code, 2);
});

test('a daemon that does not answer is exit code 5, with the id to repeat with', async () => {
  const change = file('change.toml', '[levels.x]\nslots = 1\n');
  const args = ['config', 'apply', '--patch', change, '--at', '127.0.0.1:1', '--token', 'token'];
  const { code, err } = await run(...args, '--id', 'mine');
  assert.is(code, 5);
  assert.match(err, '--id mine');
  assert.is((await run('status', '--at', '127.0.0.1:1', '--token', 'token')).code, 5);
});

test.run();

import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { PassThrough } from 'node:stream';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createCli } from '../src/index';

const folder = mkdtempSync(path.join(tmpdir(), 'rosedeck-cli-'));

interface CommandResult {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

async function run(...args: string[]): Promise<CommandResult> {
  const [stdout, stderr] = [new PassThrough(), new PassThrough()];
  const code = await createCli().run(args, { stdin: process.stdin, stdout, stderr });
  const read = (stream: PassThrough): string => String(stream.read() ?? '');
  return { code, out: read(stdout), err: read(stderr) };
}

function writeFile(name: string, content: string): string {
  const filePath = path.join(folder, name);
  writeFileSync(filePath, content);
  return filePath;
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

test('platform check accepts a valid file and prints key, found and allowed for each fault', async () => {
  const valid = {
    NodeName: 'front-1',
    Ip: '10.1.0.8',
    Zone: 'a',
    Listen: { Front: '10.1.0.8:8784', Ready: '10.1.0.8:8785' },
    PortRange: [7_440, 7_455],
    Limits: { MaxFds: 4_200 },
    Bounds: { GraceS: 6, DrainMs: 7_000, FencingRequired: true },
    platform: { Address: '10.200.1.7:8783' },
  };
  const passed = await run('platform', 'check', writeFile('good.json', JSON.stringify(valid)));
  assert.is(passed.code, 0);
  assert.match(passed.out, 'ok, callers at 10.1.0.8:8784');
  const broken = JSON.stringify({ ...valid, PortRange: [9], Zone: 5 });
  const refused = await run('platform', 'check', writeFile('broken.json', broken));
  assert.is(refused.code, 2);
  assert.match(refused.err, 'Zone: found 5, allowed a name');
  assert.match(refused.err, 'PortRange: found [9], allowed two ports');
  const missing = await run('platform', 'check', path.join(folder, 'none.json'));
  assert.is(missing.code, 2);
});

test('a valid settings file passes the check', async () => {
  const { code, out } = await run('settings', 'check', writeFile('good.toml', DAEMON));
  assert.is(code, 0);
  assert.match(out, 'ok');
});

test('an invalid settings file is refused with all its faults, and the daemon does not start', async () => {
  const bad = DAEMON.replace('port = 3306', 'port = "x"').replace('[list]', '[lists]');
  const name = writeFile('bad.toml', bad);
  const { code, err } = await run('settings', 'check', name);
  assert.is(code, 2);
  assert.match(err, `${name}: caller.port: found "x"; allowed: number`);
  assert.match(err, `${name}: lists: unknown key; allowed here: daemon, caller`);
  assert.match(err, `${name}: list: missing; allowed: object`);
  assert.is((await run('daemon', '--settings', name)).code, 2);
  const json = await run('settings', 'check', '--json', name);
  assert.is((JSON.parse(json.out) as { faults: unknown[] }).faults.length, 3);
});

test('settings check also checks a tree, and config apply checks it before sending', async () => {
  const tree = writeFile(
    'tree.toml',
    '[customers.a]\nuser = "u"\npassword = "p"\nlevel = "x"\n[groups]\n',
  );
  const checked = await run('settings', 'check', tree);
  assert.is(checked.code, 2);
  assert.match(checked.err, 'customers.a.level: found "x"');
  const applied = await run('config', 'apply', tree, '--at', '127.0.0.1:1', '--token', 'token');
  assert.is(applied.code, 2);
});

test('a daemon that does not answer gives exit code 5 and a message with the id for a repetition', async () => {
  const change = writeFile('change.toml', '[levels.x]\nslots = 1\n');
  const args = ['config', 'apply', '--patch', change, '--at', '127.0.0.1:1', '--token', 'token'];
  const { code, err } = await run(...args, '--id', 'mine');
  assert.is(code, 5);
  assert.match(err, '--id mine');
  assert.is((await run('status', '--at', '127.0.0.1:1', '--token', 'token')).code, 5);
});

test('config apply without an address or a token sends nothing and says what is missing', async () => {
  const file = writeFile('patch.toml', 'limits = {}\n');
  const { code, err } = await run('config', 'apply', '--patch', file);
  assert.is(code, 1);
  assert.is(err, 'error: --at HOST:PORT and --token TOKEN are required\n');
});

test.run();

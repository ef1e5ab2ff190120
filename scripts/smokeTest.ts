import { execFileSync } from 'node:child_process';

const BINARY = 'dist/rosedeck';

/** Runs the binary and returns what it printed. */
function run(...args: string[]): string {
  return execFileSync(BINARY, args, { encoding: 'utf8' });
}

const version = run('--version').trim();
if (!/^\d+\.\d+\.\d+$/.test(version)) throw new Error(`unexpected version: ${version}`);
const help = run('--help');
for (const command of ['daemon', 'settings check', 'config apply', 'status', 'drain', 'audit']) {
  if (!help.includes(command)) throw new Error(`help does not list ${command}`);
}
process.stdout.write(`binary answers, version ${version}\n`);

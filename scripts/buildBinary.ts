import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { inject } from 'postject';
import { bundleProgram } from './bundle';

const BUNDLE = 'dist/rosedeck.cjs';
const BLOB = 'dist/rosedeck.blob';
const CONFIG = 'dist/sea.json';
const BINARY = 'dist/rosedeck';
/** Marker by which Node.js detects an embedded program. */
const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

mkdirSync('dist', { recursive: true });
await bundleProgram('packages/cli/src/main.ts', BUNDLE, 'cjs');
writeFileSync(
  CONFIG,
  JSON.stringify({ main: BUNDLE, output: BLOB, disableExperimentalSEAWarning: true }),
);
execFileSync(process.execPath, ['--experimental-sea-config', CONFIG], { stdio: 'inherit' });
copyFileSync(process.execPath, BINARY);
chmodSync(BINARY, 0o755);
await inject(BINARY, 'NODE_SEA_BLOB', readFileSync(BLOB), { sentinelFuse: FUSE });
process.stdout.write(`built ${BINARY}\n`);

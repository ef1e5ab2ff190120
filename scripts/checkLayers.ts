import { readFileSync } from 'node:fs';
import path from 'node:path';
import { findImportCycles } from './importCycles';
import { ADAPTER, listSources, listWorkspaces } from './sourceFiles';

/** Packages that each workspace may import; imports go in one direction only. */
const ALLOWED: Readonly<Record<string, readonly string[]>> = {
  'packages/shared': [],
  'packages/core': ['shared'],
  'packages/direct': ['shared'],
  'packages/pool': ['shared'],
  'packages/clients': ['core', 'shared'],
  'packages/peer': ['core', 'shared'],
  'packages/mysql': ['core', 'shared'],
  'packages/daemon': ['mysql', 'peer', 'clients', 'core', 'shared'],
  'packages/cli': ['daemon', 'clients', 'core', 'shared', 'platform-adapter'],
  'packages/standins': ['mysql', 'clients', 'core', 'shared'],
  'packages/bench': ['cli', 'standins', 'daemon', 'mysql', 'peer', 'clients', 'core', 'shared'],
  [ADAPTER]: ['direct', 'pool', 'clients', 'shared'],
};

const IMPORT = /from '@rosedeck\/([^']+)'/g;

/** Names in the interfaces of the users' platform; only its adapter may use them. */
const PLATFORM_NAMES =
  /kv-(?:key|range|watch|txn|lease|keep)|X-(?:Fencing-Token|Duty-Holder|Expect-Instance)|op\/config|RouteType|SYNCAFTER|ColdRemainingMs|DbRole|TxIdleMs|STARTUP|DATAROW|RETRYLATER|INDOUBT|CONNLIMIT/;

function findViolations(workspace: string): string[] {
  const allowed = ALLOWED[workspace] ?? [];
  return listSources(path.join(workspace, 'src')).flatMap((file) => {
    const text = readFileSync(file, 'utf8');
    const violations = [...text.matchAll(IMPORT)]
      .map((match) => match[1] ?? '')
      .filter((target) => !allowed.includes(target))
      .map((target) => `${file}: ${workspace} must not import @rosedeck/${target}`);
    const name = workspace === ADAPTER ? undefined : PLATFORM_NAMES.exec(text)?.[0];
    if (name !== undefined) violations.push(`${file}: "${name}" may be used in ${ADAPTER}/ only`);
    return violations;
  });
}

function findCycles(workspace: string): string[] {
  return findImportCycles(listSources(path.join(workspace, 'src'))).map(
    (cycle) => `files import each other in a cycle: ${cycle.join(', ')}`,
  );
}

const violations = listWorkspaces().flatMap((workspace) => [
  ...findViolations(workspace),
  ...findCycles(workspace),
]);
for (const violation of violations) process.stderr.write(`${violation}\n`);
process.exitCode = violations.length === 0 ? 0 : 1;

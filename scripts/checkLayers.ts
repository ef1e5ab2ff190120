import { readFileSync } from 'node:fs';
import path from 'node:path';
import { findImportCircles } from './importCircles';
import { ADAPTER, listSources, listWorkspaces } from './sourceFiles';

/** Packages that each workspace may import; the direction is one way. */
const ALLOWED: Readonly<Record<string, readonly string[]>> = {
  'packages/shared': [],
  'packages/core': ['shared'],
  'packages/direct': ['shared'],
  'packages/clients': ['core', 'shared'],
  'packages/peer': ['core', 'shared'],
  'packages/mysql': ['core', 'shared'],
  'packages/daemon': ['mysql', 'peer', 'clients', 'core', 'shared'],
  'packages/cli': ['daemon', 'clients', 'core', 'shared', 'platform-adapter'],
  'packages/standins': ['mysql', 'clients', 'core', 'shared'],
  'packages/bench': ['cli', 'standins', 'daemon', 'mysql', 'peer', 'clients', 'core', 'shared'],
  [ADAPTER]: ['direct', 'clients', 'shared'],
};

const IMPORT = /from '@rosedeck\/([^']+)'/g;

/** Names of the users' platform; they are translated in its adapter and known nowhere else. */
const PLATFORM_NAMES =
  /kv-(?:key|range|watch|txn|lease|keep)|X-(?:Fencing-Token|Duty-Holder|Expect-Instance)|op\/config|RouteType|SYNCAFTER|ColdRemainingMs|DbRole|TxIdleMs|STARTUP|DATAROW|RETRYLATER|INDOUBT|CONNLIMIT/;

function findFaults(workspace: string): string[] {
  const allowed = ALLOWED[workspace] ?? [];
  return listSources(path.join(workspace, 'src')).flatMap((file) => {
    const text = readFileSync(file, 'utf8');
    const faults = [...text.matchAll(IMPORT)]
      .map((match) => match[1] ?? '')
      .filter((target) => !allowed.includes(target))
      .map((target) => `${file}: ${workspace} must not import @rosedeck/${target}`);
    const name = workspace === ADAPTER ? undefined : PLATFORM_NAMES.exec(text)?.[0];
    if (name !== undefined) faults.push(`${file}: "${name}" belongs into ${ADAPTER}/ alone`);
    return faults;
  });
}

function findCircles(workspace: string): string[] {
  return findImportCircles(listSources(path.join(workspace, 'src'))).map(
    (circle) => `files import each other in a circle: ${circle.join(', ')}`,
  );
}

const faults = listWorkspaces().flatMap((workspace) => [
  ...findFaults(workspace),
  ...findCircles(workspace),
]);
for (const fault of faults) process.stderr.write(`${fault}\n`);
process.exitCode = faults.length === 0 ? 0 : 1;

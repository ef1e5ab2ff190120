import { readdirSync } from 'node:fs';
import path from 'node:path';

/** Folder of the adapter to the users' platform, beside the packages. */
export const ADAPTER = 'platform';

/** Folders of all workspaces, relative to the root: the packages and the adapter. */
export function listWorkspaces(): string[] {
  return [...readdirSync('packages').map((name) => path.join('packages', name)), ADAPTER];
}

/** Paths of all TypeScript files below a folder. */
export function listSources(folder: string): string[] {
  const entries = readdirSync(folder, { recursive: true, encoding: 'utf8' });
  return entries.filter((name) => name.endsWith('.ts')).map((name) => path.join(folder, name));
}

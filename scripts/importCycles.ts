import { readFileSync } from 'node:fs';
import path from 'node:path';

const RELATIVE_IMPORT = /(?:from|import) '(\.[^']*)'/g;

/** Finds groups of files that import each other in a cycle; type imports count. */
export function findImportCycles(files: readonly string[]): string[][] {
  const knownFiles = new Set(files);
  const edges = new Map(files.map((file) => [file, listImports(file, knownFiles)]));
  return findComponents(files, edges).filter((component) => component.length > 1);
}

function listImports(file: string, knownFiles: ReadonlySet<string>): string[] {
  return [...readFileSync(file, 'utf8').matchAll(RELATIVE_IMPORT)]
    .map((match) => path.join(path.dirname(file), match[1] ?? ''))
    .flatMap((base) => [`${base}.ts`, path.join(base, 'index.ts')])
    .filter((name) => knownFiles.has(name));
}

/** Finds strongly connected components by Tarjan's algorithm. */
function findComponents(
  files: readonly string[],
  edges: ReadonlyMap<string, readonly string[]>,
): string[][] {
  const index = new Map<string, number>();
  const lowLink = new Map<string, number>();
  const stack: string[] = [];
  const components: string[][] = [];
  const visit = (file: string): number => {
    const own = index.size;
    index.set(file, own);
    lowLink.set(file, own);
    stack.push(file);
    for (const next of edges.get(file) ?? []) {
      const reached = index.has(next)
        ? stack.includes(next)
          ? (index.get(next) ?? own)
          : own
        : visit(next);
      lowLink.set(file, Math.min(lowLink.get(file) ?? own, reached));
    }
    if (lowLink.get(file) === own) components.push(stack.splice(stack.indexOf(file)));
    return lowLink.get(file) ?? own;
  };
  for (const file of files) if (!index.has(file)) visit(file);
  return components;
}

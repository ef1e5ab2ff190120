import { readFileSync } from 'node:fs';
import path from 'node:path';

const RELATIVE_IMPORT = /(?:from|import) '(\.[^']*)'/g;

/** Groups of files that import each other in a circle, type imports included. */
export function findImportCircles(files: readonly string[]): string[][] {
  const known = new Set(files);
  const edges = new Map(files.map((file) => [file, importsOf(file, known)]));
  return findComponents(files, edges).filter((component) => component.length > 1);
}

function importsOf(file: string, known: ReadonlySet<string>): string[] {
  return [...readFileSync(file, 'utf8').matchAll(RELATIVE_IMPORT)]
    .map((match) => path.join(path.dirname(file), match[1] ?? ''))
    .flatMap((base) => [`${base}.ts`, path.join(base, 'index.ts')])
    .filter((name) => known.has(name));
}

/** Tarjan's strongly connected components. */
function findComponents(
  files: readonly string[],
  edges: ReadonlyMap<string, readonly string[]>,
): string[][] {
  const index = new Map<string, number>();
  const low = new Map<string, number>();
  const stack: string[] = [];
  const components: string[][] = [];
  const visit = (file: string): number => {
    const own = index.size;
    index.set(file, own);
    low.set(file, own);
    stack.push(file);
    for (const next of edges.get(file) ?? []) {
      const reached = index.has(next)
        ? stack.includes(next)
          ? (index.get(next) ?? own)
          : own
        : visit(next);
      low.set(file, Math.min(low.get(file) ?? own, reached));
    }
    if (low.get(file) === own) components.push(stack.splice(stack.indexOf(file)));
    return low.get(file) ?? own;
  };
  for (const file of files) if (!index.has(file)) visit(file);
  return components;
}

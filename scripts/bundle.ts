import { build } from 'esbuild';

/** Module form of a bundle: `esm` for programs run by Node.js, `cjs` for the single binary. */
export type BundleFormat = 'esm' | 'cjs';

/** Code inserted at the start of a bundle. */
const BANNERS: Readonly<Record<BundleFormat, string>> = {
  // Gives ES modules the `require` that bundled CommonJS packages expect.
  esm: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  // Packages try to load optional add-ons; a single binary cannot load them, and Node.js warns at
  // each attempt.
  cjs: "require = ((load) => (id) => { if (!load('module').isBuiltin(id)) throw new Error('not bundled: ' + id); return load(id); })(require);",
};

/** Bundles one program for Node.js 20 into a single file. */
export async function bundleProgram(
  entry: string,
  outfile: string,
  format: BundleFormat = 'esm',
): Promise<void> {
  await build({
    entryPoints: [entry],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format,
    banner: { js: BANNERS[format] },
    logLevel: 'warning',
  });
}

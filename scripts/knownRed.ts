import { existsSync, readFileSync } from 'node:fs';

/** A test that is known to fail for a real fault. */
export interface KnownRed {
  /** Title of the test. */
  readonly test: string;
  /** The whole entry, as written. */
  readonly text: string;
}

const FILE = 'KNOWN-RED.txt';

/** Reads KNOWN-RED.txt: entries separated by blank lines, each with a line `test: NAME`. */
export function readKnownRed(): KnownRed[] {
  if (!existsSync(FILE)) return [];
  const entries = readFileSync(FILE, 'utf8').split(/\n\s*\n/);
  return entries.flatMap((text) => {
    const name = /^test: (.+)$/m.exec(text)?.[1];
    return name === undefined ? [] : [{ test: name.trim(), text: text.trim() }];
  });
}

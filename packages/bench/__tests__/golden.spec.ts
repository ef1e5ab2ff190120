import { readFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { SESSIONS, transcribe } from './sessions';

const FOLDER = path.join(path.dirname(fileURLToPath(import.meta.url)), 'golden');

/** UPDATE_GOLDEN=1 overwrites the golden files before the comparison. */
const shouldUpdate = process.env.UPDATE_GOLDEN === '1';

for (const [name, session] of Object.entries(SESSIONS)) {
  test(`the transcript of the session "${name}" matches its golden file`, () => {
    const file = path.join(FOLDER, `${name}.txt`);
    const transcript = transcribe(session);
    if (shouldUpdate) writeFileSync(file, transcript);
    assert.fixture(transcript, readFileSync(file, 'utf8'));
  });
}

test.run();

import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Store, StoredValue } from '@rosedeck/clients';
import { createAuditLog } from '../src/auditLog';
import type { AuditRecord } from '../src/auditLog';
import { createLogger } from '../src/logs';

/** In-memory store; the next `loseAnswers` writes take effect, but their answer is lost. */
function createFakeStore(): Store & { loseAnswers: number } {
  const values = new Map<string, StoredValue>();
  const fake = {
    loseAnswers: 0,
    get: (key: string) => Promise.resolve(values.get(key)),
    swap: (key: string, value: string, version: number) => {
      const current = values.get(key);
      if ((current?.version ?? 0) !== version) {
        return Promise.resolve({ kind: 'conflict', current } as const);
      }
      values.set(key, { value, version: version + 1 });
      if (fake.loseAnswers === 0) {
        return Promise.resolve({ kind: 'done', version: version + 1 } as const);
      }
      fake.loseAnswers -= 1;
      return Promise.resolve({ kind: 'unknown' } as const);
    },
    watch: () => Promise.resolve(undefined),
    close: () => undefined,
  };
  return fake;
}

const createRecord = (who: string): AuditRecord => ({
  at: '2026-01-01T00:00:00.000Z',
  who,
  id: who,
  result: 'refused',
  revision: 1,
  reason: 'a reason',
});

async function runMicrotasks(): Promise<void> {
  for (let count = 0; count < 50; count += 1) await Promise.resolve();
}

test('records of several daemons are stored in one log, each once', async () => {
  const store = createFakeStore();
  store.loseAnswers = 1;
  const logs = [0, 1].map(() => createAuditLog(store, () => undefined));
  for (let round = 0; round < 3; round += 1) {
    logs.forEach((log, index) => {
      log.record(createRecord(`op-${index}-${round}`));
    });
    await runMicrotasks();
  }
  const fresh = createAuditLog(store, () => undefined);
  const records = await fresh.read(100);
  assert.equal(records.map((record) => record.who).sort(), [
    'op-0-0',
    'op-0-1',
    'op-0-2',
    'op-1-0',
    'op-1-1',
    'op-1-2',
  ]);
  assert.is((await fresh.read(2)).length, 2);
});

test('an event is one line of JSON with its name, and the level filters lines', () => {
  const lines: string[] = [];
  const log = createLogger('entry-1', 'info', (line) => lines.push(line));
  log({ type: 'config_applied', revision: 3 });
  log({ type: 'request_refused', group: 'g', request: 'r', kind: 'overloaded' });
  log({ type: 'read_served', group: 'g', role: 'replica' });
  log({ type: 'config_stale', revision: 3 });
  assert.is(lines.length, 2);
  const [first, second] = lines.map((line) => JSON.parse(line) as Record<string, unknown>);
  assert.is(first?.event, 'config_applied');
  assert.is(first?.revision, 3);
  assert.is(first?.daemon, 'entry-1');
  assert.is(second?.level, 'warn');
  assert.ok(lines.every((line) => line.endsWith('\n')));
});

test.run();

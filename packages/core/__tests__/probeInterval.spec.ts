import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DEFAULT_CORE_SETTINGS } from '../src/index';
import { GROUP, createHarness, reportAt } from './harness';
import type { Harness } from './harness';

const { activeRoundMs, alertAfterMs, alertRoundMs, suspectAfterMs } = DEFAULT_CORE_SETTINGS;

/** Counts the probe rounds that start within `ms`. */
function countRounds(h: Harness, ms: number): number {
  const read = (): number => h.core.world.groups.get(GROUP)?.nextRoundId ?? 0;
  const before = read();
  h.run(ms);
  return read() - before;
}

function createHealthyHarness(): Harness {
  const h = createHarness({ activeRoundMs });
  h.run(activeRoundMs);
  return h;
}

test('a group with a healthy primary is probed at the regular interval', () => {
  const h = createHealthyHarness();
  assert.is(countRounds(h, 10 * activeRoundMs), 10);
});

test('a replica without contact to its primary shortens the probe interval before a suspicion', () => {
  const h = createHealthyHarness();
  h.reports.set('t2', { ...reportAt(1, 'replica'), primaryContactAgeMs: alertAfterMs });
  h.run(activeRoundMs);
  assert.is(countRounds(h, 10 * alertRoundMs), 10);
  assert.is(h.sent('claim_term').length, 0);
});

test('a primary that fails a probe shortens the probe interval', () => {
  const h = createHealthyHarness();
  h.dead.add('t1');
  h.run(activeRoundMs);
  assert.is(countRounds(h, 10 * alertRoundMs), 10);
});

test('a replica that stays isolated does not keep the probe interval short', () => {
  const h = createHealthyHarness();
  const age = 10 * suspectAfterMs;
  h.reports.set('t2', { ...reportAt(1, 'replica'), primaryContactAgeMs: age });
  h.run(2 * activeRoundMs);
  assert.is(countRounds(h, 10 * activeRoundMs), 10);
});

test.run();

import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DEFAULT_CORE_SETTINGS } from '../src/index';
import { GROUP, createHarness, reportAt } from './harness';
import type { Harness } from './harness';

const { activeRoundMs, alertAfterMs, alertRoundMs, suspectAfterMs } = DEFAULT_CORE_SETTINGS;

/** Rounds started within a time. */
function countRounds(h: Harness, ms: number): number {
  const read = (): number => h.core.world.groups.get(GROUP)?.nextRoundId ?? 0;
  const before = read();
  h.run(ms);
  return read() - before;
}

function createQuiet(): Harness {
  const h = createHarness({ activeRoundMs });
  h.run(activeRoundMs);
  return h;
}

test('a group with a healthy primary is asked seldom', () => {
  const h = createQuiet();
  assert.is(countRounds(h, 10 * activeRoundMs), 10);
});

test('a replica that misses its primary quickens the rounds before anything is suspected', () => {
  const h = createQuiet();
  h.reports.set('t2', { ...reportAt(1, 'replica'), primaryContactAgeMs: alertAfterMs });
  h.run(activeRoundMs);
  assert.is(countRounds(h, 10 * alertRoundMs), 10);
  assert.is(h.sent('claim_term').length, 0);
});

test('a primary that fails a probe quickens the rounds', () => {
  const h = createQuiet();
  h.dead.add('t1');
  h.run(activeRoundMs);
  assert.is(countRounds(h, 10 * alertRoundMs), 10);
});

test('a replica that stays cut off does not keep the rounds quick', () => {
  const h = createQuiet();
  const age = 10 * suspectAfterMs;
  h.reports.set('t2', { ...reportAt(1, 'replica'), primaryContactAgeMs: age });
  h.run(2 * activeRoundMs);
  assert.is(countRounds(h, 10 * activeRoundMs), 10);
});

test.run();

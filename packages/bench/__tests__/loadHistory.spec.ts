import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createAckTimes, createHistory } from '../src/load/history';
import type { CallResult } from '../src/load/caller';

const test = suite('history of the load');

const acknowledged: CallResult = { kind: 'ok' };
const refused: CallResult = { kind: 'refused', message: '' };
const unknown: CallResult = { kind: 'unknown', message: '' };

function verify(results: readonly CallResult[], stored: number) {
  const history = createHistory();
  for (const result of results) history.recordWrite('g', 'k', false, result);
  history.verify('g', new Map([['k', stored]]));
  return history.violations;
}

test('detects an acknowledged write that is missing', () => {
  assert.is(verify([acknowledged, acknowledged], 1).lost, 1);
  assert.is(verify([acknowledged, unknown], 1).lost, 0);
});

test('detects a write that ran twice', () => {
  assert.is(verify([acknowledged], 2).doubled, 1);
  assert.is(verify([acknowledged, unknown], 2).doubled, 0);
});

test('detects a write that ran although it was refused as not run', () => {
  assert.is(verify([refused], 1).falselyRefused, 1);
  assert.is(verify([refused], 0).falselyRefused, 0);
});

test('detects a transaction that took effect in part', () => {
  const history = createHistory();
  history.recordWrite('g', 'a', false, unknown, 'b');
  history.recordWrite('g', 'b', false, unknown, 'a');
  history.verify('g', new Map([['a', 1]]));
  assert.is(history.violations.mixed, 2);
});

test('counts acknowledgements before a time and the longest gap', () => {
  const times = createAckTimes();
  for (const at of [10, 20, 70, 75]) times.record(at);
  assert.is(times.countBefore(70), 2);
  assert.is(times.longestGap(), 50);
});

test.run();

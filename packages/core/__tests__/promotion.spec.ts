import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { chooseLatestLog } from '../src/index';
import type { TargetReport } from '../src/index';

function report(term: number, index: number): TargetReport {
  const position = { term, index };
  return {
    term: 9,
    role: 'replica',
    received: position,
    applied: position,
    primaryContactAgeMs: 0,
  };
}

test('the candidate is the target with the latest term, then the latest index', () => {
  const grants = new Map([
    ['a', report(1, 90)],
    ['b', report(2, 10)],
    ['c', report(2, 11)],
  ]);
  assert.is(
    chooseLatestLog(grants, () => false),
    'c',
  );
});

test('at equal logs a target that stays is chosen over a leaving one', () => {
  const grants = new Map([
    ['a', report(2, 10)],
    ['b', report(2, 10)],
  ]);
  assert.is(
    chooseLatestLog(grants, (target) => target === 'a'),
    'b',
  );
});

test.run();

import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createOutcomes } from '../src/index';
import type { Answer } from '../src/index';

const OK: Answer = { kind: 'ok', affectedRows: 1, insertId: 0 };

const STATEMENT = { sql: 'INSERT' };

test('an outcome expires by the time of its last answer', () => {
  const outcomes = createOutcomes();
  outcomes.keep('a', STATEMENT, OK, 10);
  outcomes.keep('b', STATEMENT, OK, 20);
  outcomes.keep('a', STATEMENT, OK, 30);
  outcomes.expire(25);
  assert.ok(outcomes.find('a'));
  assert.not.ok(outcomes.find('b'));
  outcomes.expire(31);
  assert.not.ok(outcomes.find('a'));
});

test('beyond the limit the oldest outcomes are dropped first', () => {
  const outcomes = createOutcomes();
  for (let index = 0; index < 50_002; index += 1) outcomes.keep(`r${index}`, STATEMENT, OK, index);
  assert.not.ok(outcomes.find('r1'));
  assert.ok(outcomes.find('r2'));
  assert.ok(outcomes.find('r50001'));
});

test.run();

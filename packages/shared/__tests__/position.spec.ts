import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { covers, formatPosition, laterPosition, parsePosition, positionOrd } from '../src/index';

test('positions with equal indexes in different terms are different entries', () => {
  assert.is(covers({ term: 2, index: 5 }, { term: 3, index: 5 }), false);
  assert.is(covers({ term: 3, index: 5 }, { term: 2, index: 9 }), true);
  assert.is(positionOrd.compare({ term: 2, index: 5 }, { term: 3, index: 1 }), -1);
});

test('laterPosition returns the position of the later term', () => {
  assert.equal(laterPosition({ term: 1, index: 9 }, { term: 2, index: 1 }), { term: 2, index: 1 });
});

test('a formatted position parses back, and other texts are rejected', () => {
  const position = { term: 7, index: 42 };
  assert.equal(parsePosition(formatPosition(position)), position);
  assert.is(parsePosition('7:'), undefined);
  assert.is(parsePosition('x:1'), undefined);
});

test.run();

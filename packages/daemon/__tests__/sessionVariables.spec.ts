import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { parseSet, parseVariableRead } from '../src/callers/sessionVariables';

function parse(sql: string): unknown {
  return parseSet(sql).unwrapOr({ type: 'none' });
}

test('assignments are parsed in the forms that clients write', () => {
  const zone = { type: 'set_variable', name: 'time_zone', value: "'+05:30'" };
  assert.equal(parse("SET time_zone = '+05:30';"), zone);
  assert.equal(parse("set session TIME_ZONE='+05:30'"), zone);
  assert.equal(parse("SET @@session.time_zone := '+05:30'"), zone);
  assert.equal(parse("SET NAMES 'latin1'"), { type: 'set_encoding', encoding: 'latin1' });
  assert.equal(parse('SET rosedeck_max_age_ms = DEFAULT'), {
    type: 'clear_default',
    mark: 'maxAgeMs',
  });
});

test('anything but a single assignment of a literal is refused', () => {
  const refused = [
    "SET time_zone = 'a', sql_mode = ''",
    "SET time_zone = '\\'; DROP TABLE t; --'",
    "SET time_zone = 'a' 'b'",
    'SET time_zone = (SELECT 1)',
    'SET GLOBAL time_zone = 1',
    'SET PERSIST sql_mode = ANSI',
    'SET rosedeck_class = a b',
  ];
  for (const sql of refused) assert.ok(parseSet(sql).isErr(), sql);
});

test('parsing time is linear in the length of the text', () => {
  const spaces = ' '.repeat(1_000_000);
  for (const start of ['SET autocommit = 1', 'SET NAMES utf8', "SET time_zone = 'a'", 'SET']) {
    assert.ok(parseSet(`${start}${spaces}x`).isErr());
  }
  assert.is(parseVariableRead(`SELECT @@rosedeck_token${spaces}x`), undefined);
  assert.is(parseVariableRead(`SELECT LAST_INSERT_ID()${spaces}x`), undefined);
  assert.is(parseVariableRead(`${spaces}SELECT${spaces}x`), undefined);
});

test.run();

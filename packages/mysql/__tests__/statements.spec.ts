import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { classifyStatement, parseMarks, stripComments } from '../src/index';
import { countParams } from '../src/preparedStatements';

const SEED = 20_261_203;

function kindOf(sql: string, inTransaction = false): string {
  const { kind, commitsImplicitly, refusal } = classifyStatement(sql, inTransaction);
  if (refusal !== undefined) return 'refused';
  return commitsImplicitly ? `${kind}, implicit commit` : kind;
}

test('statements are classified by keyword and by the effects that they may have', () => {
  const cases: readonly (readonly [string, string])[] = [
    ['SELECT 1', 'read'],
    ['  -- note\n# note\n/* note */ select 1', 'read'],
    ['--\nSELECT 1', 'read'],
    ['SELECT * FROM t FOR UPDATE', 'write'],
    ['SELECT * FROM t LOCK IN SHARE MODE', 'write'],
    ["SELECT * FROM t INTO OUTFILE '/x'", 'write'],
    ['EXPLAIN SELECT 1', 'read'],
    ['(SELECT 1)', 'write'],
    ['WITH c AS (SELECT 1) DELETE FROM t', 'write'],
    ['--SELECT 1', 'write'],
    ['', 'write'],
    ['BEGIN', 'begin, implicit commit'],
    ['START TRANSACTION READ ONLY', 'begin, implicit commit'],
    ['START REPLICA', 'write'],
    ['COMMIT ;', 'commit'],
    ['ROLLBACK WORK', 'rollback'],
    ['ROLLBACK TO SAVEPOINT a', 'write'],
    ['ROLLBACK AND CHAIN', 'refused'],
    ['TRUNCATE t', 'write, implicit commit'],
    ['/*!50000 DELETE FROM t */', 'refused'],
    ['SELECT LAST_INSERT_ID( )', 'refused'],
  ];
  for (const [sql, expected] of cases) assert.is(kindOf(sql), expected, sql);
  assert.is(kindOf('SELECT LAST_INSERT_ID()', true), 'write');
});

test('marks are read from the first leading comment that contains them', () => {
  const read = (sql: string): unknown => parseMarks(sql)._unsafeUnwrap();
  assert.equal(read('/* rosedeck max_age_ms=5, idempotent=1 */ SELECT 1'), {
    maxAgeMs: 5,
    idempotent: true,
  });
  assert.equal(read('/* trace */ -- x\n/*rosedeck class=a*/ SELECT 1'), { cls: 'a' });
  assert.equal(read("SELECT '/* rosedeck max_age_ms=5 */ x'"), {});
  assert.ok(parseMarks('SELECT 1 /* rosedeck max_age_ms=5 */ ;').isErr());
  assert.ok(parseMarks('/* rosedeck max_age_ms */ SELECT 1').isErr());
});

test('leading comments do not change how a statement is classified', () => {
  const comment = fc
    .string({ unit: fc.constantFrom('a', '*', ' ', '\n', ';', 'é'), maxLength: 8 })
    .filter((text) => !text.includes('*/'))
    .map((text) => `/* ${text} */`);
  fc.assert(
    fc.property(fc.array(comment), fc.string({ maxLength: 30 }), (comments, sql) => {
      const statement = `SELECT ${sql}`;
      const commented = `${comments.join(' ')}${statement}`;
      assert.is(stripComments(commented), statement);
      assert.equal(classifyStatement(commented), classifyStatement(statement));
    }),
    { seed: SEED },
  );
});

test('hostile statements are parsed in linear time', () => {
  const spaces = ' '.repeat(1_000_000);
  const hostile = [
    `${'/*a*/'.repeat(300_000)}SELECT 1`,
    '/* rosedeck '.repeat(100_000),
    `COMMIT${spaces}x`,
    `BEGIN${spaces}x`,
    `SELECT${spaces}1${spaces}x`,
    `SELECT 1 /* rosedeck a=1 */${spaces}x`,
    `/*${spaces}`,
    '-- \n'.repeat(300_000),
    '@a'.repeat(500_000),
    'INTO '.repeat(200_000),
    `SELECT ${'?'.repeat(60_001)}`,
    "'".repeat(1_000_001),
  ];
  for (const sql of hostile) {
    classifyStatement(sql);
    parseMarks(sql);
    countParams(sql);
  }
});

test.run();

import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { fingerprintOf, statementIdentity } from '../src/index';

test('statements that differ in parameters or variables are not the same request', () => {
  const sql = 'INSERT INTO bookings VALUES (?)';
  const variables = [{ name: 'time_zone', value: "'+05:30'" }];
  const statements = [
    { sql },
    { sql, params: [1] },
    { sql, params: ['1'] },
    { sql, params: [{ base64: 'MQ==' }] },
    { sql, params: [1], variables },
    { sql, variables },
  ];
  assert.is(new Set(statements.map(statementIdentity)).size, statements.length);
  assert.is(new Set(statements.map(fingerprintOf)).size, statements.length);
  assert.is(statementIdentity({ sql, params: [1] }), statementIdentity({ params: [1], sql }));
});

test.run();

import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createPreparedNames } from '../src/preparedNames';
import type { PreparedStatement } from '../src/index';
import { createRig, openSession } from './rig';
import type { Rig } from './rig';

function prepare(rig: Rig, session: string, shape: string): void {
  rig.submit(session, { kind: 'prepare', name: 's1', access: 'write', shape });
}

/** Runs the session's prepared statement; returns the id of the request. */
function execute(rig: Rig, session: string): string {
  const request = rig.submit(session, { kind: 'execute', name: 's1', args: 'k d' });
  rig.run(200);
  return request;
}

test('the log names the connection and the prepared statement of a request', () => {
  const rig = createRig();
  rig.run(300);
  const logged = ['q1', 'q2', 'q1'].map((shape, at) => {
    const session = openSession(rig, `c${at}`, 'bookings');
    prepare(rig, session, shape);
    const request = execute(rig, session);
    const event = rig.events.find((one) => one.type === 'request_done' && one.request === request);
    return event?.type === 'request_done' ? event : undefined;
  });
  assert.ok(logged.every((event) => event?.outcome === 'ok' && event.connection !== undefined));
  assert.is.not(logged[0]?.prepared, undefined);
  assert.is.not(logged[0]?.prepared, logged[1]?.prepared);
  assert.is(logged[0]?.prepared, logged[2]?.prepared);
});

test('sessions keep a bounded amount of values and prepared statements, and give it back', () => {
  const rig = createRig();
  const outcomeOf = (session: string, name: string, access: 'read' | 'write'): string => {
    const shape = 'x'.repeat(1 << 20);
    const request = rig.submit(session, { kind: 'prepare', name, access, shape });
    const answer = rig.answerOf(request)?.answer;
    return answer?.kind === 'failed' ? answer.failure.kind : 'done';
  };
  const sessions = Array.from({ length: 12 }, (_, at) => openSession(rig, `c${at}`, 'bookings'));
  for (const session of sessions.slice(0, 10))
    for (const name of ['a', 'b', 'c']) assert.is(outcomeOf(session, name, 'read'), 'done');
  assert.is(outcomeOf('c0', 'd', 'read'), 'too_large');
  assert.is(outcomeOf('c0', 'a', 'write'), 'done', 'in place of another');
  assert.is(outcomeOf('c10', 'a', 'read'), 'done');
  assert.is(outcomeOf('c11', 'a', 'read'), 'overloaded');
  rig.submit('c0', { kind: 'close', name: 'a' });
  assert.is(outcomeOf('c11', 'a', 'read'), 'done');
  assert.is(outcomeOf('c11', 'b', 'read'), 'overloaded');
  for (const session of sessions) rig.engine.closeSession(session);
  assert.is(rig.engine.world.keptLength, 0);
});

test('a statement that its target has forgotten is prepared again', () => {
  const rig = createRig();
  rig.run(300);
  const session = openSession(rig, 'c', 'bookings');
  prepare(rig, session, 'q2 WRITE df');
  execute(rig, session);
  const [primary] = rig.targets;
  if (primary) primary.forgetsPrepared = true;
  const request = execute(rig, session);
  assert.is(rig.answerOf(request)?.answer.kind, 'done');
  const run = primary?.executed.find(({ id }) => id === request);
  assert.is(run?.shape, 'q2 WRITE df');
});

test('names of one connection are distinct and short, and old ones are closed', () => {
  const shape = fc.oneof(
    fc.nat(90).map((number) => `q${number}`),
    fc.constantFrom('q1 READ q1', 'READ q1', '', ' ', 'x'.repeat(40_000), 'y'.repeat(1 << 20)),
  );
  const access = fc.constantFrom('read' as const, 'write' as const);
  const steps = fc.array(fc.record({ access, shape }), { maxLength: 300 });
  fc.assert(
    fc.property(steps, (statements) => {
      const names = createPreparedNames();
      const known = new Map<string, PreparedStatement>();
      for (const one of statements) {
        const statement = { ...one, hash: '' };
        const found = names.find(statement);
        if (found !== undefined) {
          const other = known.get(found);
          assert.ok(other?.access === one.access && other.shape === one.shape);
          continue;
        }
        const { name, closed } = names.assign(statement);
        for (const old of closed) assert.ok(known.delete(old));
        assert.is(name.length, 1);
        assert.not.ok(known.has(name));
        known.set(name, statement);
      }
    }),
    { seed: 45, numRuns: 100 },
  );
});

test.run();

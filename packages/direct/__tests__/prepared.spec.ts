import { test } from 'uvu';
import * as assert from 'uvu/assert';
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

test.run();

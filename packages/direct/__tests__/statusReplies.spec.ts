import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createRig, openSession } from './rig';

test('each status of a target whose log is empty ended its connection', () => {
  const rig = createRig();
  rig.run(300);
  openSession(rig, 's', 'bookings');
  for (const [at, target] of rig.targets.entries()) {
    target.hidesReceived = true;
    if (at === 0) target.silent = true;
  }
  for (let at = 0; at < 5; at += 1) {
    rig.submit(`s`, { kind: 'write', text: `WRITE k ${at}` });
    rig.run(1_200);
  }
  assert.equal(
    rig.events.filter(({ type }) => type === 'replies_mismatched'),
    [],
  );
});

test.run();

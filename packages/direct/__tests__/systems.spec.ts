import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createRig, openSession } from './rig';
import type { Rig } from './rig';

/** Lists a further target, first, to which no connection can be opened: the attempt throws. */
function listBrokenTarget(rig: Rig): void {
  const { io } = rig.engine.world;
  const openConnection = io.openConnection.bind(io);
  Object.assign(io, {
    openConnection: (...[id, target, tenant]: Parameters<typeof openConnection>) => {
      if (target.id === 'broken') throw new RangeError('no such port');
      openConnection(id, target, tenant);
    },
  });
  const listed = [...rig.engine.world.targets.values()].map((row) => row.listed);
  const [first] = listed;
  if (!first) throw new Error('the rig lists no target');
  const broken = { ...first, id: 'broken', role: 'replica', revision: 9 } as const;
  rig.engine.applyTargets([broken, ...listed], 'test');
}

const failedSystems = (rig: Rig): Set<string> =>
  new Set(rig.events.flatMap((event) => (event.type === 'system_failed' ? [event.system] : [])));

// At SIGTERM no session was closed, since the tick ended with an error before it came to them.
test('sessions are closed in a drain although a target cannot be connected to', () => {
  const rig = createRig();
  rig.run(300);
  listBrokenTarget(rig);
  openSession(rig, 's', 'loops');
  rig.run(100);
  rig.engine.drain();
  rig.run(4_000);
  assert.equal(rig.closedSessions, ['s']);
  assert.ok(rig.engine.isDrained());
  assert.ok(failedSystems(rig).has('targets'));
});

test('a lost primary is replaced although a target cannot be connected to', () => {
  const rig = createRig();
  rig.run(300);
  listBrokenTarget(rig);
  const [primary] = rig.targets;
  if (!primary) throw new Error('the rig has no target');
  openSession(rig, 's', 'bookings');
  primary.silent = true;
  primary.refusing = true;
  rig.reset(primary);
  for (let at = 0; at < 20; at += 1) {
    rig.submit('s', { kind: 'write', text: `WRITE k${at} v` });
    rig.run(300);
  }
  assert.ok(rig.promotions.length > 0);
});

test('a statement is answered by its deadline although its target cannot be connected to', () => {
  const rig = createRig();
  rig.run(300);
  listBrokenTarget(rig);
  for (const target of rig.targets) target.refusing = true;
  for (const target of rig.targets) rig.reset(target);
  openSession(rig, 's', 'loops');
  const read = rig.submit('s', { kind: 'read', text: 'READ 1' });
  rig.run(1_200);
  assert.ok(rig.answerOf(read));
});

test.run();

import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createReport, createRig } from './rig';

test('a newer version that another daemon reports is logged once, and until it is in force', () => {
  const rig = createRig();
  const { engine } = rig;
  const { config } = engine.world;
  assert.ok(config);
  const { version } = config;
  engine.applyPeer(createReport('d2', { config: version + 2 }));
  rig.run(400);
  engine.applyPeer(createReport('d3', { config: version + 2 }));
  assert.is(rig.events.filter(({ type }) => type === 'config_heard').length, 1);
  engine.applyConfig({ ...config, version: version + 1 }, 'd2');
  assert.is(engine.world.fleet.newerConfig?.version, version + 2);
  engine.applyConfig({ ...config, version: version + 2 }, 'store');
  assert.is(engine.world.fleet.newerConfig, undefined);
  const applied = rig.events.filter((event) => event.type === 'config_applied');
  assert.is(applied.at(-1)?.heardMs, 400);
});

test.run();

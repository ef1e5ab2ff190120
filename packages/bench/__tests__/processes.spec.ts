import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { injectFault } from '../src/cluster';
import type { Cluster, RunningDaemon } from '../src/cluster';
import { runExperiment } from '../src/experiment';
import { failTarget, findPrimary, healTarget } from '../src/faults';
import type { Violations } from '../src/load/plan';
import type { Traffic } from '../src/topology';
import { createProfile } from './profiles';

const test = suite('guarantees while processes fail');

const SEED = 1;
const DURATION_MS = 6_000;
const STEP_MS = 1_200;
const NO_VIOLATIONS: Violations = { lost: 0, doubled: 0, stale: 0, falselyRefused: 0, mixed: 0 };

const stream = (kind: Traffic['kind'], maxAgeMs?: number): Traffic => ({
  class: 'first',
  group: 'group',
  kind,
  rate_per_s: 25,
  sessions: 8,
  max_age_ms: maxAgeMs,
});

const profile = createProfile('processes', 3, [
  stream('insert'),
  stream('transaction'),
  stream('session'),
  stream('heartbeat'),
  stream('aged_read', 1_000),
]);

async function checkWithFaults(injectFaults: (cluster: Cluster) => Promise<void>): Promise<void> {
  const { load } = await runExperiment({
    profile,
    seed: SEED,
    durationMs: DURATION_MS,
    traffic: profile.traffic,
    injectFaults,
  });
  assert.equal(load.violations, NO_VIOLATIONS, `seed ${SEED}`);
  assert.is(load.foundWrites, load.acknowledgedWrites);
  assert.ok(load.acknowledgedWrites > 0);
}

async function requirePrimary(cluster: Cluster) {
  const primary = await findPrimary(cluster, 'group');
  if (!primary) throw new Error('the group has no primary');
  return primary;
}

function getDaemon(cluster: Cluster, index: number): RunningDaemon {
  const daemon = cluster.daemons[index];
  if (!daemon) throw new Error(`no daemon ${index}`);
  return daemon;
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

test('a primary and a daemon are killed, and the primary restarts with an empty log', () =>
  checkWithFaults(async (cluster) => {
    await sleep(STEP_MS);
    const primary = await requirePrimary(cluster);
    await failTarget(cluster, primary, 'kill');
    await sleep(STEP_MS);
    getDaemon(cluster, 0).process.kill('SIGKILL');
    await cluster.restartTarget(primary);
    await sleep(STEP_MS);
    await cluster.restartDaemon(getDaemon(cluster, 0));
  }));

test('a primary and each daemon are suspended and resumed', () =>
  checkWithFaults(async (cluster) => {
    await sleep(STEP_MS);
    const primary = await requirePrimary(cluster);
    await failTarget(cluster, primary, 'freeze');
    await sleep(STEP_MS);
    await healTarget(primary, 'freeze');
    for (const daemon of cluster.daemons) {
      daemon.process.kill('SIGSTOP');
      await sleep(STEP_MS / 2);
      daemon.process.kill('SIGCONT');
    }
  }));

test('a primary is cut off from its group, and the next one from the daemons, while replicas lag', () =>
  checkWithFaults(async (cluster) => {
    for (const target of cluster.targets) await injectFault(target, { randomLagMs: 100 });
    await sleep(STEP_MS);
    const first = await requirePrimary(cluster);
    await failTarget(cluster, first, 'cut');
    await sleep(STEP_MS);
    await healTarget(first, 'cut');
    const second = await requirePrimary(cluster);
    await injectFault(second, { cutOff: true });
    await sleep(STEP_MS);
    await injectFault(second, { cutOff: false });
  }));

test.run();

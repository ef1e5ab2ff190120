import { connectTo, createTables } from '../experiment';
import { putRevision } from '../cluster';
import type { createTree } from '../topology';
import {
  getFirstPid,
  planListedInstances,
  nameGroups,
  nameGroupsByOwner,
  sleep,
  withDeployment,
} from './deployment';
import { createSlope } from './report';
import type { Row, Slope } from './report';
import { measureUsage, computeRate, readUsage } from './usage';
import type { UsageRate } from './usage';

const MEASURE_MS = 6_000;
/** Listed instances, of which only one runs. */
const FLEET_SIZE = 420;
/** Time for the JIT compiler to compile the code of probe rounds before the measurement. */
const ACTIVE_WARM_UP_MS = 10_000;

function createUsageRow(variable: Row, usage: UsageRate): Row {
  return {
    ...variable,
    'cpu ms/s': usage.cpuMsPerS,
    'resident MB': usage.residentMb,
    'bytes/s': usage.ioBytesPerS,
  };
}

/** Measures background work against the number of owned groups without traffic. */
export async function measureOwnedIdle(): Promise<Slope> {
  const rows: Row[] = [];
  for (const groups of [1, 5, 10, 20]) {
    const usage = await withDeployment({ groups: nameGroups(groups) }, async (cluster) =>
      measureUsage(getFirstPid(cluster), MEASURE_MS),
    );
    rows.push(createUsageRow({ 'owned idle groups': groups }, usage));
  }
  return createSlope('owned idle groups', '3 targets each, one daemon', rows);
}

/** Measures background work against the number of owned groups with one read per second each. */
export async function measureOwnedActive(): Promise<Slope> {
  const rows: Row[] = [];
  for (const groups of [1, 2, 4, 8]) {
    const names = nameGroups(groups);
    const usage = await withDeployment({ groups: names }, async (cluster) => {
      await createTables(cluster);
      const sessions = await Promise.all(names.map((name) => connectTo(cluster, 0, name)));
      for (const session of sessions) await session.query('SET rosedeck_max_age_ms = 1000');
      const timer = setInterval(() => {
        for (const session of sessions) void session.query('SELECT 1');
      }, 1_000);
      await sleep(ACTIVE_WARM_UP_MS);
      const measured = await measureUsage(getFirstPid(cluster), MEASURE_MS);
      clearInterval(timer);
      for (const session of sessions) session.destroy();
      return measured;
    });
    rows.push(createUsageRow({ 'owned active groups': groups }, usage));
  }
  return createSlope('owned active groups', '3 targets each, one read a second each', rows);
}

/** Measures background work against the number of groups that other instances own. */
export async function measureConfigured(): Promise<Slope> {
  const rows: Row[] = [];
  const others = planListedInstances(FLEET_SIZE - 1);
  const names = nameGroupsByOwner(FLEET_SIZE, FLEET_SIZE - 1, false);
  for (const groups of [1, 100, 200, 400]) {
    const usage = await withDeployment(
      { groups: [], options: { otherInstances: others, editTree: addGroups(names, groups) } },
      async (cluster) => measureUsage(getFirstPid(cluster), MEASURE_MS),
    );
    rows.push(createUsageRow({ 'groups of others': groups }, usage));
  }
  return createSlope('groups of others', `${FLEET_SIZE} instances listed, one runs`, rows);
}

/** Measures background work against the number of listed instances, with one idle group owned by the daemon. */
export async function measurePeers(): Promise<Slope> {
  const rows: Row[] = [];
  const names = nameGroupsByOwner(1, FLEET_SIZE - 1, true);
  for (const peers of [0, 105, 210, 419]) {
    const usage = await withDeployment(
      { groups: names, options: { otherInstances: planListedInstances(peers) } },
      async (cluster) => measureUsage(getFirstPid(cluster), MEASURE_MS),
    );
    rows.push(createUsageRow({ 'listed peers': peers }, usage));
  }
  return createSlope('listed peers', 'one owned idle group; peers are listed but do not run', rows);
}

/** Measures CPU time and I/O per configuration change against the number of groups in the tree. */
export async function measureChanges(): Promise<Slope> {
  const rows: Row[] = [];
  const changes = 20;
  const names = nameGroupsByOwner(FLEET_SIZE, FLEET_SIZE - 1, false);
  for (const groups of [50, 200, 400]) {
    const editTree = addGroups(names, groups);
    const row = await withDeployment(
      { groups: [], options: { otherInstances: planListedInstances(FLEET_SIZE - 1), editTree } },
      async (cluster) => {
        const pid = getFirstPid(cluster);
        const idle = await measureUsage(pid, MEASURE_MS);
        const before = await readUsage(pid);
        for (let change = 1; change <= changes; change += 1) {
          const patch = { customers: { slopes: { deadline_ms: 1_000 + change } } };
          await putRevision(cluster.storePort, 1 + change, patch);
          await sleep(100);
        }
        const after = await readUsage(pid);
        const seconds = (after.at - before.at) / 1_000;
        const usage = computeRate(before, after);
        return {
          'groups in the tree': groups,
          'cpu ms/change': ((usage.cpuMsPerS - idle.cpuMsPerS) * seconds) / changes,
          'bytes/change': ((usage.ioBytesPerS - idle.ioBytesPerS) * seconds) / changes,
        };
      },
    );
    rows.push(row);
  }
  return createSlope('configuration changes', `${changes} changes, 10 a second`, rows);
}

type Tree = ReturnType<typeof createTree>;

/** Adds groups that other instances own; the daemon under test never connects to their targets. */
function addGroups(names: readonly string[], count: number): (tree: Tree) => Tree {
  return (tree) => {
    const groups = { ...tree.groups };
    for (const name of names.slice(0, count)) {
      groups[name] = {
        customer: Object.keys(tree.customers)[0] ?? '',
        slots: 3,
        connection_limit: 20,
        connection_reserve: 2,
        targets: ['a', 'b', 'c'].map((failureDomain) => ({
          id: `${name}-${failureDomain}`,
          host: '127.0.0.1',
          port: 9,
          control_port: 9,
          failure_domain: failureDomain,
        })),
      };
    }
    return { ...tree, groups };
  };
}

/** Measures background work per daemon against the number of running daemons, all without groups: the mean, and the highest I/O of one daemon. */
export async function measureFleet(): Promise<Slope> {
  const rows: Row[] = [];
  for (const daemons of [4, 8, 16, 24]) {
    const usages = await withDeployment({ groups: [], daemons }, (cluster) =>
      Promise.all(
        cluster.daemons.map((daemon) => measureUsage(daemon.process.pid ?? 0, MEASURE_MS)),
      ),
    );
    const mean = (field: keyof UsageRate): number =>
      usages.reduce((sum, usage) => sum + usage[field], 0) / usages.length;
    rows.push({
      daemons,
      'cpu ms/s': mean('cpuMsPerS'),
      'resident MB': mean('residentMb'),
      'bytes/s': mean('ioBytesPerS'),
      'most bytes/s': Math.max(...usages.map((usage) => usage.ioBytesPerS)),
    });
  }
  return createSlope('idle fleet', 'no groups; per daemon', rows);
}

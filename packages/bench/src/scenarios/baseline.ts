import { fork } from 'node:child_process';
import type { CoreSettings } from '@rosedeck/core';
import { startCluster } from '../cluster';
import type { Cluster } from '../cluster';
import { connectTo, createTables } from '../experiment';
import type { SaturatePlan, SaturateResult } from '../load/saturate';
import { findFreePorts } from '../processes';
import { prepareProgram } from '../programs';
import type { RelayOptions } from '../relay';
import { formatTable } from '../report';
import { CALLER_PASSWORD, TARGET_PASSWORD } from '../topology';
import type { Profile } from '../topology';
import type { Scenario } from './scenario';

const ROUNDS = 3;
const DURATION_MS = 3_000;
const WARM_UP_MS = 1_500;
const SESSIONS = 48;
const SLOTS = 24;
const DAEMONS = 4;

/** How statements reach the targets: `relay` is a bare relay, `path` entry and owner, `direct` a pool in every daemon. */
type Way = 'relay' | 'path' | 'direct';
type Kind = 'read' | 'write';

/** Compares the throughput of a bare relay, of the path through entry and owner, and of pools in every daemon, in alternating runs. */
export const baseline: Scenario = async ({ profile, tuning, print }) => {
  const measurements: { way: Way; kind: Kind; result: SaturateResult }[] = [];
  for (let round = 1; round <= ROUNDS; round += 1) {
    for (const way of ['relay', 'path', 'direct'] as const) {
      for (const [kind, result] of await measureWay(profile, way, tuning)) {
        measurements.push({ way, kind, result });
        print(`round ${round}, ${way}, ${kind}: ${result.perS.toFixed(0)}/s`);
      }
    }
  }
  const rows = (['read', 'write'] as const).flatMap((kind) => summariseKind(kind, measurements));
  const header = ['kind', 'way', 'median per s', 'of relay', 'p50 ms', 'p99 ms', 'failed'];
  return { text: formatTable([header, ...rows]), figures: measurements, hasPassed: true };
};

function summariseKind(
  kind: Kind,
  measurements: readonly { way: Way; kind: Kind; result: SaturateResult }[],
): (string | number)[][] {
  const selectResults = (way: Way): SaturateResult[] =>
    measurements.filter((one) => one.way === way && one.kind === kind).map((one) => one.result);
  const relay = median(selectResults('relay').map((one) => one.perS));
  return (['relay', 'path', 'direct'] as const).map((way) => {
    const results = selectResults(way);
    const perS = median(results.map((one) => one.perS));
    return [
      kind,
      way,
      Math.round(perS),
      (perS / relay).toFixed(2),
      median(results.map((one) => one.p50)),
      median(results.map((one) => one.p99)),
      results.reduce((sum, one) => sum + one.failed, 0),
    ];
  });
}

async function measureWay(
  baseProfile: Profile,
  way: Way,
  tuning: Partial<CoreSettings>,
): Promise<[Kind, SaturateResult][]> {
  const profile = createFastProfile(baseProfile);
  const owners = way === 'direct' ? { ownersPerGroup: DAEMONS } : {};
  const cluster = await startCluster(profile, { tuning: { ...tuning, ...owners } });
  try {
    await createTables(cluster);
    const session = await connectTo(cluster, 0, 'group');
    await session.query("INSERT INTO records (id, n, note) VALUES ('row', 1, 'x')");
    session.destroy();
    const ports = way === 'relay' ? [await startRelay(cluster)] : listDaemonPorts(cluster);
    const results: [Kind, SaturateResult][] = [];
    for (const kind of ['read', 'write'] as const) {
      results.push([kind, await runSaturation(cluster, ports, kind)]);
    }
    return results;
  } finally {
    await cluster.stop();
  }
}

function createFastProfile(baseProfile: Profile): Profile {
  return {
    ...baseProfile,
    daemons: DAEMONS,
    latency: { between_failure_domains_ms: 0, to_callers_ms: 0 },
    targets: { ...baseProfile.targets, slots: SLOTS, connection_limit: 100, statement_ms: 0 },
    groups: { group: [...baseProfile.failure_domains] },
  };
}

function listDaemonPorts(cluster: Cluster): number[] {
  return cluster.daemons.map((daemon) => daemon.callerPort);
}

async function startRelay(cluster: Cluster): Promise<number> {
  const [port = 0] = await findFreePorts(1);
  const addresses = cluster.targets.map((target) => ({
    host: '127.0.0.1',
    port: target.port,
    user: 'proxy',
    password: TARGET_PASSWORD,
    database: target.group,
  }));
  const [writes, ...reads] = addresses;
  if (!writes) throw new Error('the deployment has no targets');
  const options: RelayOptions = {
    port,
    password: CALLER_PASSWORD,
    reads,
    writes,
    connectionsPerTarget: SLOTS,
  };
  await cluster.processes.start([await prepareProgram('relay'), JSON.stringify(options)]);
  return port;
}

async function runSaturation(
  cluster: Cluster,
  ports: readonly number[],
  kind: Kind,
): Promise<SaturateResult> {
  const plan: SaturatePlan = {
    seed: 1,
    durationMs: DURATION_MS,
    warmUpMs: WARM_UP_MS,
    ports,
    user: cluster.profile.customer,
    password: CALLER_PASSWORD,
    callerMs: 0,
    traffic: [],
    groups: ['group'],
    sessions: SESSIONS,
    kind,
  };
  const child = fork(await prepareProgram('saturate'), [JSON.stringify(plan)]);
  return new Promise((resolve, reject) => {
    child.once('message', (message: { readonly result: SaturateResult }) => {
      resolve(message.result);
    });
    child.once('error', reject);
  });
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

import { fork } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { requestStandin, startCluster } from '../cluster';
import type { Cluster } from '../cluster';
import { createTables } from '../experiment';
import type { RoamPlan, RoamResult } from '../load/roam';
import { prepareProgram } from '../programs';
import { formatTable } from '../report';
import { measureUsage } from '../slopes/usage';
import { CALLER_PASSWORD } from '../topology';
import type { Scenario } from './scenario';

const SESSIONS = 10_000;
const PROCESSES = 2;

interface StoreCalls {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
}

/** 10,000 sessions reconnect at once to other daemons without a session token and read their own writes. */
export const arrivals: Scenario = async ({ profile, seed, tuning }) => {
  const program = await prepareProgram('roam');
  const cluster = await startCluster(profile, { tuning });
  try {
    await createTables(cluster);
    const children = Array.from({ length: PROCESSES }, (_, index) =>
      fork(program, [JSON.stringify(createRoamPlan(cluster, seed, index))]),
    );
    await Promise.all(children.map(waitForMessage));
    const before = (await requestStandin(cluster.storePort, '/calls')) as StoreCalls;
    const results = await Promise.all(
      children.map(async (child) => {
        const answer = waitForMessage(child);
        child.send('go');
        return (await answer) as { readonly result: RoamResult };
      }),
    );
    const after = (await requestStandin(cluster.storePort, '/calls')) as StoreCalls;
    const resident = await measureResidentMb(cluster);
    const total = mergeResults(results.map((one) => one.result));
    const storeCalls = after.reads + after.writes - before.reads - before.writes;
    return {
      text: formatTable([
        ['sessions', 'arrived', 'refused', 'failed', 'stale', 'p50 ms', 'p99 ms', 'last ms'],
        [
          SESSIONS,
          total.arrived,
          total.refused,
          total.failed,
          total.stale,
          total.p50,
          total.p99,
          total.last,
        ],
      ]),
      figures: { ...total, storeCalls, residentMb: resident },
      hasPassed: total.stale === 0 && total.arrived === SESSIONS,
    };
  } finally {
    await cluster.stop();
  }
};

function createRoamPlan(cluster: Cluster, seed: number, index: number): RoamPlan {
  const { profile, daemons } = cluster;
  return {
    seed,
    durationMs: 0,
    ports: daemons.map((daemon) => daemon.callerPort),
    user: profile.customer,
    password: CALLER_PASSWORD,
    callerMs: profile.latency.to_callers_ms,
    traffic: [],
    groups: Object.keys(profile.groups),
    sessions: SESSIONS / PROCESSES,
    name: `roamer${index}`,
  };
}

function waitForMessage(child: ChildProcess): Promise<unknown> {
  return new Promise((resolve, reject) => {
    child.once('message', resolve);
    child.once('exit', (code) => {
      reject(new Error(`a roaming process exited with ${code ?? 'a signal'}`));
    });
  });
}

async function measureResidentMb(cluster: Cluster): Promise<number> {
  const usages = await Promise.all(
    cluster.daemons.map((daemon) => measureUsage(daemon.process.pid ?? 0, 0)),
  );
  return Math.max(...usages.map((usage) => usage.residentMb));
}

function mergeResults(results: readonly RoamResult[]): RoamResult {
  const sum = (field: keyof RoamResult): number =>
    results.reduce((total, one) => total + one[field], 0);
  const highest = (field: keyof RoamResult): number =>
    Math.max(...results.map((one) => one[field]));
  return {
    arrived: sum('arrived'),
    refused: sum('refused'),
    failed: sum('failed'),
    stale: sum('stale'),
    p50: highest('p50'),
    p99: highest('p99'),
    last: highest('last'),
  };
}

import type { Connection } from 'mysql2/promise';
import type { Cluster } from '../cluster';
import { connectTo, createTables } from '../experiment';
import { startLoad } from '../load/process';
import { CALLER_PASSWORD } from '../topology';
import type { Traffic } from '../topology';
import {
  getFirstPid,
  planListedInstances,
  nameGroupsByOwner,
  sleep,
  withDeployment,
} from './deployment';
import { createSlope } from './report';
import type { Row, Slope } from './report';
import { measureUsage, computeRate, readUsage } from './usage';

const MEASURE_MS = 5_000;
const OPEN_BATCH = 50;
const LOAD_MS = 8_000;
const FLEET_SIZE = 420;

/** Measures memory and background work by the number of idle caller connections. */
export async function measureIdleSessions(): Promise<Slope> {
  const [group = ''] = nameGroupsByOwner(1, 0, true);
  const rows = await withDeployment({ groups: [group] }, async (cluster) => {
    const measured: Row[] = [];
    const open: Connection[] = [];
    for (const count of [0, 500, 1_000, 2_000, 4_000]) {
      await openSessions(cluster, group, count, open);
      await sleep(3_000);
      const usage = await measureUsage(getFirstPid(cluster), MEASURE_MS);
      measured.push({
        'idle sessions': count,
        'cpu ms/s': usage.cpuMsPerS,
        'resident MB': usage.residentMb,
        'bytes/s': usage.ioBytesPerS,
      });
    }
    for (const session of open) session.destroy();
    return measured;
  });
  return createSlope('idle sessions', 'one daemon, one idle group', rows);
}

async function openSessions(
  cluster: Cluster,
  group: string,
  count: number,
  open: Connection[],
): Promise<void> {
  while (open.length < count) {
    const batch = Array.from({ length: OPEN_BATCH }, () => connectTo(cluster, 0, group));
    open.push(...(await Promise.all(batch)));
  }
}

/** Measures CPU time by statement rate at the entry and at the owner, which are two daemons. */
export async function measureStatements(kind: Traffic['kind']): Promise<Slope> {
  const rows: Row[] = [];
  const [group = ''] = nameGroupsByOwner(1, 0, true);
  for (const rate of [100, 200, 400, 800]) {
    rows.push(await measureRate(group, kind, rate, 0));
  }
  return createSlope(`statements: ${kind}`, 'entry and owner are two daemons', rows);
}

/** Measures CPU time of reads by the number of instances in the list. */
export async function measureStatementsByPeers(): Promise<Slope> {
  const rows: Row[] = [];
  const rate = 200;
  for (const peers of [0, 105, 210, 418]) {
    const [group = ''] = nameGroupsByOwner(1, FLEET_SIZE, true);
    const row = await measureRate(group, 'aged_read', rate, peers);
    rows.push({ 'listed peers': peers, ...row });
  }
  return createSlope('statements by peers', `${rate} reads a second`, rows);
}

async function measureRate(
  group: string,
  kind: Traffic['kind'],
  rate: number,
  peers: number,
): Promise<Row> {
  // The first daemon owns the group; callers connect to the second.
  return withDeployment(
    { groups: [group], daemons: 2, options: { otherInstances: planListedInstances(peers) } },
    async (cluster) => {
      await createTables(cluster);
      const pids = cluster.daemons.map((daemon) => daemon.process.pid ?? 0);
      const running = startLoad(
        {
          seed: 1,
          durationMs: LOAD_MS,
          ports: [cluster.daemons[1]?.callerPort ?? 0],
          user: cluster.profile.customer,
          password: CALLER_PASSWORD,
          callerMs: 0,
          traffic: [
            { class: 'default', group, kind, rate_per_s: rate, sessions: 40, max_age_ms: 1_000 },
          ],
          groups: [],
        },
        () => undefined,
      );
      await sleep(2_500);
      const before = await Promise.all(pids.map(readUsage));
      await sleep(MEASURE_MS);
      const after = await Promise.all(pids.map(readUsage));
      await running;
      const [owner, entry] = pids.map((_, index) => {
        const [from, to] = [before[index], after[index]];
        return from && to ? computeRate(from, to) : undefined;
      });
      return {
        'statements/s': rate,
        'entry cpu ms/s': entry?.cpuMsPerS ?? 0,
        'owner cpu ms/s': owner?.cpuMsPerS ?? 0,
        'entry bytes/s': entry?.ioBytesPerS ?? 0,
        'owner bytes/s': owner?.ioBytesPerS ?? 0,
      };
    },
  );
}

/** Measures CPU time and I/O of sessions that connect without a session token and read once. */
export async function measureArrivals(): Promise<Slope> {
  const rows: Row[] = [];
  const [group = ''] = nameGroupsByOwner(1, 0, true);
  for (const rate of [25, 50, 100, 200]) {
    const row = await withDeployment({ groups: [group] }, async (cluster) => {
      await createTables(cluster);
      let arrived = 0;
      let failed = 0;
      const timer = setInterval(() => {
        connectAndRead(cluster, group).then(
          () => {
            arrived += 1;
          },
          () => {
            failed += 1;
          },
        );
      }, 1_000 / rate);
      await sleep(1_000);
      const startCount = arrived;
      const usage = await measureUsage(getFirstPid(cluster), MEASURE_MS);
      clearInterval(timer);
      const perS = (arrived - startCount) / (MEASURE_MS / 1_000);
      return {
        'arrivals/s': perS,
        'cpu ms/s': usage.cpuMsPerS,
        'bytes/s': usage.ioBytesPerS,
        failed,
      };
    });
    rows.push(row);
  }
  return createSlope('arrivals', 'connect, log in, read once, leave; one daemon', rows);
}

async function connectAndRead(cluster: Cluster, group: string): Promise<void> {
  const session = await connectTo(cluster, 0, group);
  await session.query('SELECT id FROM records');
  session.destroy();
}

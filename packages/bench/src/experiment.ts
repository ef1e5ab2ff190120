import mysql from 'mysql2/promise';
import type { TargetStats } from '@rosedeck/standins';
import type { Millis } from '@rosedeck/shared';
import { requestStandin, startCluster } from './cluster';
import type { Cluster, ClusterOptions, RunningTarget } from './cluster';
import type { LoadPlan, LoadProgress, LoadResult, Violations } from './load/plan';
import { startLoad } from './load/process';
import { CALLER_PASSWORD } from './topology';
import type { Profile, Traffic } from './topology';

/** One run: a deployment, its load, and the faults injected meanwhile. */
export interface Experiment {
  readonly profile: Profile;
  readonly seed: number;
  readonly durationMs: Millis;
  readonly traffic: readonly Traffic[];
  readonly cluster?: ClusterOptions;
  /** Injects faults; starts with the load and runs beside it. */
  readonly injectFaults?: (cluster: Cluster) => Promise<void>;
  readonly onProgress?: (progress: LoadProgress) => void;
}

/** Result of a run; `--json` writes it out. */
export interface ExperimentResult {
  readonly load: LoadResult;
  /** Reads that targets served, by their role at the time. */
  readonly reads: { readonly primary: number; readonly replica: number };
}

const STATS_INTERVAL_MS = 250;
const CREATE_TABLE =
  'CREATE TABLE IF NOT EXISTS records (id VARCHAR(64) PRIMARY KEY, n INT, note VARCHAR(100))';
const CREATE_TABLE_TRIES = 50;

/** Starts the deployment, runs the load and stops everything. */
export async function runExperiment(experiment: Experiment): Promise<ExperimentResult> {
  const cluster = await startCluster(experiment.profile, experiment.cluster);
  try {
    return await runOnCluster(cluster, experiment);
  } finally {
    await cluster.stop();
  }
}

/** Runs the load of an experiment on a running deployment. */
export async function runOnCluster(
  cluster: Cluster,
  experiment: Experiment,
): Promise<ExperimentResult> {
  await createTables(cluster);
  const stats = pollStats(cluster.targets);
  const faultsDone = experiment.injectFaults?.(cluster);
  const load = await startLoad(
    createLoadPlan(cluster, experiment),
    experiment.onProgress ?? ((): void => undefined),
  );
  await faultsDone;
  return { load, reads: stats.stop() };
}

/** True when all counts of violations are 0. */
export function hasNoViolations(violations: Violations): boolean {
  return Object.values(violations).every((count) => count === 0);
}

/** Creates the `records` table in each group; retries until the deployment serves writes, and throws after the last try. */
export async function createTables(cluster: Cluster): Promise<void> {
  for (const group of Object.keys(cluster.profile.groups)) await createTable(cluster, group);
}

/** Opens a MySQL connection to the daemon with this index. */
export function connectTo(
  cluster: Cluster,
  daemonIndex: number,
  group: string,
): Promise<mysql.Connection> {
  return mysql.createConnection({
    host: '127.0.0.1',
    port: cluster.daemons[daemonIndex]?.callerPort ?? 0,
    user: cluster.profile.customer,
    password: CALLER_PASSWORD,
    database: group,
    maxPreparedStatements: 1,
  });
}

function createLoadPlan(cluster: Cluster, experiment: Experiment): LoadPlan {
  const { profile } = cluster;
  return {
    seed: experiment.seed,
    durationMs: experiment.durationMs,
    ports: cluster.daemons.map((daemon) => daemon.callerPort),
    user: profile.customer,
    password: CALLER_PASSWORD,
    callerMs: profile.latency.to_callers_ms,
    traffic: experiment.traffic,
    groups: Object.keys(profile.groups),
  };
}

async function createTable(cluster: Cluster, group: string): Promise<void> {
  for (let tries = 1; ; tries += 1) {
    try {
      const connection = await connectTo(cluster, 0, group);
      await connection.query(CREATE_TABLE);
      connection.destroy();
      return;
    } catch (err) {
      if (tries === CREATE_TABLE_TRIES) throw err;
      await new Promise((resolve) => setTimeout(resolve, STATS_INTERVAL_MS));
    }
  }
}

interface StatsPoller {
  stop: () => { primary: number; replica: number };
}

/** Polls the targets' counters, since a killed target no longer answers at the end of the run. */
function pollStats(targets: readonly RunningTarget[]): StatsPoller {
  const latest = new Map<string, TargetStats>();
  const poll = (): void => {
    for (const target of targets) {
      requestStandin(target.controlPort, '/stats').then(
        (stats) => latest.set(target.id, stats as TargetStats),
        () => undefined,
      );
    }
  };
  const timer = setInterval(poll, STATS_INTERVAL_MS);
  return {
    stop: () => {
      clearInterval(timer);
      const sum = (field: 'primaryReads' | 'replicaReads'): number =>
        [...latest.values()].reduce((total, stats) => total + stats[field], 0);
      return { primary: sum('primaryReads'), replica: sum('replicaReads') };
    },
  };
}

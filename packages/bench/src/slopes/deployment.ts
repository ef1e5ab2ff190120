import { rankOwners } from '@rosedeck/core';
import type { Millis } from '@rosedeck/shared';
import { startCluster } from '../cluster';
import type { Cluster, ClusterOptions } from '../cluster';
import type { DaemonPlan, Profile } from '../topology';

/** Wait before each measurement, until start-up work has ended and groups count as idle. */
const SETTLE_MS = 8_000;
const TARGETS_PER_PROCESS = 30;
const HEARTBEAT_MS = 100;
const FAILURE_DOMAINS = ['a', 'b', 'c', 'd', 'e', 'f'];

/** Size and options of a deployment for one measurement. */
export interface DeploymentSpec {
  readonly groups: readonly string[];
  readonly daemons?: number;
  readonly options?: ClusterOptions;
}

/** Starts a deployment whose targets share processes, waits until it is idle, measures, and stops it. */
export async function withDeployment<T>(
  spec: DeploymentSpec,
  measure: (cluster: Cluster) => Promise<T>,
): Promise<T> {
  const cluster = await startCluster(createProfile(spec), {
    targetsPerProcess: TARGETS_PER_PROCESS,
    heartbeatMs: HEARTBEAT_MS,
    listLagMs: 0,
    ...spec.options,
  });
  try {
    await sleep(SETTLE_MS);
    return await measure(cluster);
  } finally {
    await cluster.stop();
  }
}

/** Returns the process id of the first daemon, the one that is measured. */
export function getFirstPid(cluster: Cluster): number {
  return cluster.daemons[0]?.process.pid ?? 0;
}

/** Creates names for `count` groups. */
export function nameGroups(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `group-${index + 1}`);
}

/** Plans instances that are in the platform's list but do not run. */
export function planListedInstances(count: number): DaemonPlan[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `listed-${index + 1}`,
    failureDomain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.length] ?? '',
    callerPort: 0,
    peerPort: 9,
    operatorPort: 0,
    metricsPort: 0,
  }));
}

/** Creates names of groups that the first daemon owns (`isOwned`), or that one of `listedCount` other instances owns. */
export function nameGroupsByOwner(count: number, listedCount: number, isOwned: boolean): string[] {
  const first = { id: 'entry-1', failureDomain: FAILURE_DOMAINS[0] ?? '' };
  const candidates = [first, ...planListedInstances(listedCount)];
  const names: string[] = [];
  for (let index = 1; names.length < count; index += 1) {
    const name = `group-${index}`;
    const [owner] = rankOwners(name, candidates);
    if ((owner === first.id) === isOwned) names.push(name);
  }
  return names;
}

/** Resolves after `ms`. */
export function sleep(ms: Millis): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function createProfile(spec: DeploymentSpec): Profile {
  return {
    name: 'slopes',
    customer: 'slopes',
    daemons: spec.daemons ?? 1,
    failure_domains: FAILURE_DOMAINS,
    classes: ['default'],
    latency: { between_failure_domains_ms: 0, to_callers_ms: 0 },
    targets: { slots: 3, connection_limit: 20, connect_ms: 10, statement_ms: 0 },
    groups: Object.fromEntries(spec.groups.map((name) => [name, ['a', 'b', 'c']])),
    traffic: [],
  };
}

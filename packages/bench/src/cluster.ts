import type { ChildProcess } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import path from 'node:path';
import type { CoreSettings } from '@rosedeck/core';
import { entryKey } from '@rosedeck/daemon';
import type { Tree } from '@rosedeck/daemon';
import { createJsonClient } from '@rosedeck/clients';
import type { Millis } from '@rosedeck/shared';
import type { TargetFault, TargetOptions } from '@rosedeck/standins';
import { stringify } from 'smol-toml';
import { createProcessGroup, findFreePorts, killChild } from './processes';
import type { ProcessGroup } from './processes';
import { prepareProgram, getRunFolder } from './programs';
import { TARGET_PASSWORD, createTree, roundTripMs, planDaemons, planTargets } from './topology';
import type { DaemonPlan, Profile, TargetPlan } from './topology';

/** A running daemon process. */
export interface RunningDaemon extends DaemonPlan {
  process: ChildProcess;
}

/** A running stand-in target process. */
export interface RunningTarget extends TargetPlan {
  process: ChildProcess;
}

/** A deployment as real processes on the loopback interface. */
export interface Cluster {
  readonly profile: Profile;
  readonly daemons: readonly RunningDaemon[];
  readonly targets: readonly RunningTarget[];
  readonly storePort: number;
  readonly listPort: number;
  readonly processes: ProcessGroup;
  /** Kills a target if it still runs, and starts it with an empty log. */
  restartTarget: (target: RunningTarget) => Promise<void>;
  /** Kills a daemon if it still runs, and starts it with the same settings. */
  restartDaemon: (daemon: RunningDaemon) => Promise<void>;
  stop: () => Promise<void>;
}

/** Options of a deployment beside its profile. */
export interface ClusterOptions {
  /** Delay before a change to the platform's list becomes visible. */
  readonly listLagMs?: Millis;
  readonly tuning?: Partial<CoreSettings>;
  /** Changes the configuration tree before the start. */
  readonly editTree?: (tree: Tree) => Tree;
  /** Instances in the platform's list that do not run. */
  readonly otherInstances?: readonly DaemonPlan[];
  /** Targets per stand-in process, 1 by default; more allow for many targets with little load. */
  readonly targetsPerProcess?: number;
  readonly heartbeatMs?: Millis;
  /** Finds ports for the deployment; free ones of the loopback interface by default. */
  readonly findPorts?: (count: number) => Promise<number[]>;
}

/** Token with which the operator `bench` is authenticated at each daemon. */
export const OPERATOR_TOKEN = 'bench-operator';

const LIST_LAG_MS = 500;
const STORE_TIMEOUT_MS = 2_000;

/** Starts of a deployment, each on other ports: a port that was free may be taken meanwhile. */
const MAX_STARTS = 3;

/**
 * Starts a deployment and waits until all its processes are ready. Rejects after the last start that
 * fails; no process is left then.
 */
export async function startCluster(
  profile: Profile,
  options: ClusterOptions = {},
): Promise<Cluster> {
  const programs = {
    daemon: await prepareProgram('daemon'),
    standin: await prepareProgram('standin'),
  };
  for (let starts = 1; ; starts += 1) {
    const processes = createProcessGroup();
    const folder = await mkdtemp(path.join(getRunFolder(), 'cluster-'));
    const stop = async (): Promise<void> => {
      await processes.stop();
      await rm(folder, { recursive: true, force: true });
    };
    try {
      const plans = await planPorts(profile, options.findPorts ?? findFreePorts);
      const cluster = await startProcesses(profile, options, programs, plans, processes, folder);
      return { ...cluster, stop };
    } catch (err) {
      await stop();
      if (starts === MAX_STARTS) throw err;
    }
  }
}

async function startProcesses(
  profile: Profile,
  options: ClusterOptions,
  programs: Readonly<Record<'daemon' | 'standin', string>>,
  plans: PortPlan,
  processes: ProcessGroup,
  folder: string,
): Promise<Omit<Cluster, 'stop'>> {
  const { storePort, listPort } = plans;
  const startStandin = (role: object): Promise<ChildProcess> =>
    processes.start([programs.standin, JSON.stringify(role)]);
  const startTargets = (
    batch: readonly TargetPlan[],
    startsEmpty: boolean,
  ): Promise<ChildProcess> => {
    const common = { profile, all: plans.targets, startsEmpty, heartbeatMs: options.heartbeatMs };
    return startStandin({
      role: 'targets',
      targets: batch.map((plan) => createTargetOptions(plan, common)),
    });
  };
  const startDaemon = (plan: DaemonPlan): Promise<ChildProcess> =>
    processes.start([
      programs.daemon,
      'daemon',
      '--settings',
      path.join(folder, `${plan.id}.toml`),
    ]);

  await startStandin({ role: 'store', port: storePort });
  await startStandin({
    role: 'list',
    port: listPort,
    lagMs: options.listLagMs ?? LIST_LAG_MS,
    instances: [...plans.daemons, ...(options.otherInstances ?? [])].map(describeInstance),
    targets: plans.targets.map(({ id }) => ({ id, leaving: false })),
  });
  const chunks = chunk(plans.targets, options.targetsPerProcess ?? 1);
  const started = await Promise.all(
    chunks.map(async (batch) => {
      const process = await startTargets(batch, false);
      return batch.map((plan): RunningTarget => ({ ...plan, process }));
    }),
  );
  const targets = started.flat();
  const tree = createTree(profile, plans.targets);
  await putRevision(storePort, 1, options.editTree?.(tree) ?? tree);
  for (const plan of plans.daemons) {
    const settings = createDaemonSettings(plan, storePort, listPort, options.tuning ?? {});
    await writeFile(path.join(folder, `${plan.id}.toml`), stringify(settings));
  }
  const daemons = await Promise.all(
    plans.daemons.map(async (plan) => ({ ...plan, process: await startDaemon(plan) })),
  );
  return {
    profile,
    daemons,
    targets,
    storePort,
    listPort,
    processes,
    restartTarget: async (target) => {
      await killChild(target.process);
      target.process = await startTargets([target], true);
    },
    restartDaemon: async (daemon) => {
      await killChild(daemon.process);
      daemon.process = await startDaemon(daemon);
    },
  };
}

/** Writes a configuration revision to the store, in the format of the daemons. */
export async function putRevision(
  storePort: number,
  revision: number,
  patch: object,
): Promise<void> {
  const entry = {
    revision,
    id: `change-${revision}`,
    who: 'bench',
    at: new Date().toISOString(),
    patch,
  };
  const client = createJsonClient('127.0.0.1', storePort);
  const body = { value: JSON.stringify(entry), version: 0 };
  const key = encodeURIComponent(entryKey(revision));
  await client.send('PUT', `/kv/${key}`, body, STORE_TIMEOUT_MS);
  client.close();
}

/** Sends a request to a stand-in's HTTP port (POST with a body, otherwise GET) and returns the reply's body. */
export async function requestStandin(
  port: number,
  route: string,
  body?: unknown,
): Promise<unknown> {
  const client = createJsonClient('127.0.0.1', port);
  const method = body === undefined ? 'GET' : 'POST';
  const reply = await client.send(method, route, body, STORE_TIMEOUT_MS);
  client.close();
  return reply.body;
}

/** Injects a fault into a target through its control port. */
export async function injectFault(target: TargetPlan, fault: TargetFault): Promise<void> {
  await requestStandin(target.controlPort, '/fault', fault);
}

interface PortPlan {
  readonly storePort: number;
  readonly listPort: number;
  readonly targets: readonly TargetPlan[];
  readonly daemons: readonly DaemonPlan[];
}

async function planPorts(
  profile: Profile,
  findPorts: (count: number) => Promise<number[]>,
): Promise<PortPlan> {
  const targetCount = Object.values(profile.groups).flat().length;
  const ports = await findPorts(2 + 2 * targetCount + 4 * profile.daemons);
  const takePort = (): number => ports.pop() ?? 0;
  return {
    storePort: takePort(),
    listPort: takePort(),
    targets: planTargets(profile, takePort),
    daemons: planDaemons(profile, takePort),
  };
}

function chunk<T>(items: readonly T[], size: number): T[][] {
  const chunks: T[][] = [];
  for (let at = 0; at < items.length; at += size) chunks.push(items.slice(at, at + size));
  return chunks;
}

function describeInstance(plan: DaemonPlan): object {
  const { id, failureDomain, peerPort } = plan;
  return { id, failureDomain, host: '127.0.0.1', peerPort, leaving: false };
}

interface CommonTargetOptions {
  readonly profile: Profile;
  readonly all: readonly TargetPlan[];
  readonly startsEmpty: boolean;
  readonly heartbeatMs: Millis | undefined;
}

function createTargetOptions(plan: TargetPlan, common: CommonTargetOptions): TargetOptions {
  const { profile, all, startsEmpty, heartbeatMs } = common;
  const initialRole = plan.startsAsPrimary ? 'primary' : 'replica';
  return {
    id: plan.id,
    port: plan.port,
    controlPort: plan.controlPort,
    replicas: all.filter((one) => one.group === plan.group && one.id !== plan.id),
    start: startsEmpty ? 'empty' : initialRole,
    slots: profile.targets.slots,
    connectionLimit: profile.targets.connection_limit,
    connectMs: profile.targets.connect_ms,
    statementMs: profile.targets.statement_ms,
    networkMs: roundTripMs(profile),
    heartbeatMs,
    password: TARGET_PASSWORD,
  };
}

function createDaemonSettings(
  plan: DaemonPlan,
  storePort: number,
  listPort: number,
  tuning: Partial<CoreSettings>,
): object {
  const loopback = (port: number): object => ({ host: '127.0.0.1', port });
  return {
    daemon: { id: plan.id, failure_domain: plan.failureDomain },
    caller: loopback(plan.callerPort),
    peer: loopback(plan.peerPort),
    store: loopback(storePort),
    list: loopback(listPort),
    operator: { ...loopback(plan.operatorPort), tokens: { bench: OPERATOR_TOKEN } },
    metrics: loopback(plan.metricsPort),
    tuning,
  };
}

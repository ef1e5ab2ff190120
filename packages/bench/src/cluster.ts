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
import { createProcessGroup, findFreePorts, stopChild } from './processes';
import type { ProcessGroup } from './processes';
import { prepareProgram, runFolder } from './programs';
import { TARGET_PASSWORD, createTree, networkMs, planDaemons, planTargets } from './topology';
import type { DaemonPlan, Profile, TargetPlan } from './topology';

/** A running daemon process. */
export interface DaemonMember extends DaemonPlan {
  process: ChildProcess;
}

/** A running stand-in target process. */
export interface TargetMember extends TargetPlan {
  process: ChildProcess;
}

/** A deployment as real processes on the loopback interface. */
export interface Cluster {
  readonly profile: Profile;
  readonly daemons: readonly DaemonMember[];
  readonly targets: readonly TargetMember[];
  readonly storePort: number;
  readonly listPort: number;
  readonly processes: ProcessGroup;
  /** Starts a target again that was killed; its log is lost. */
  restartTarget: (target: TargetMember) => Promise<void>;
  restartDaemon: (daemon: DaemonMember) => Promise<void>;
  stop: () => Promise<void>;
}

/** What differs from the profile. */
export interface ClusterOptions {
  readonly listLagMs?: Millis;
  readonly tuning?: Partial<CoreSettings>;
  /** Changes the operators' tree before the start. */
  readonly editTree?: (tree: Tree) => Tree;
  /** Instances that the list names beside the running ones. */
  readonly otherInstances?: readonly DaemonPlan[];
  /** Targets that share one process; 1 unless many light ones are needed. */
  readonly targetsPerProcess?: number;
  readonly heartbeatMs?: Millis;
}

/** Token of the operator `bench` at each daemon. */
export const OPERATOR_TOKEN = 'bench-operator';

const LIST_LAG_MS = 500;
const STORE_TIMEOUT_MS = 2_000;

/** Starts a deployment and waits until it can serve. */
export async function startCluster(
  profile: Profile,
  options: ClusterOptions = {},
): Promise<Cluster> {
  const daemonProgram = await prepareProgram('daemon');
  const standinProgram = await prepareProgram('standin');
  const folder = await mkdtemp(path.join(runFolder(), 'cluster-'));
  const processes = createProcessGroup();
  const plans = await planPorts(profile);
  const { storePort, listPort } = plans;
  const standin = (role: object): Promise<ChildProcess> =>
    processes.start([standinProgram, JSON.stringify(role)]);
  const runTargets = (group: readonly TargetPlan[], empty: boolean): Promise<ChildProcess> => {
    const common = { profile, all: plans.targets, empty, heartbeatMs: options.heartbeatMs };
    return standin({ role: 'targets', targets: group.map((plan) => targetOptions(plan, common)) });
  };
  const runDaemon = (plan: DaemonPlan): Promise<ChildProcess> =>
    processes.start([daemonProgram, 'daemon', '--settings', path.join(folder, `${plan.id}.toml`)]);

  await standin({ role: 'store', port: storePort });
  await standin({
    role: 'list',
    port: listPort,
    lagMs: options.listLagMs ?? LIST_LAG_MS,
    instances: [...plans.daemons, ...(options.otherInstances ?? [])].map(listInstance),
    targets: plans.targets.map(({ id }) => ({ id, leaving: false })),
  });
  const chunks = chunk(plans.targets, options.targetsPerProcess ?? 1);
  const started = await Promise.all(
    chunks.map(async (plans_) => {
      const process = await runTargets(plans_, false);
      return plans_.map((plan): TargetMember => ({ ...plan, process }));
    }),
  );
  const targets = started.flat();
  const tree = createTree(profile, plans.targets);
  await putRevision(storePort, 1, options.editTree?.(tree) ?? tree);
  for (const plan of plans.daemons) {
    const settings = daemonSettings(plan, storePort, listPort, options.tuning ?? {});
    await writeFile(path.join(folder, `${plan.id}.toml`), stringify(settings));
  }
  const daemons = await Promise.all(
    plans.daemons.map(async (plan) => ({ ...plan, process: await runDaemon(plan) })),
  );
  return {
    profile,
    daemons,
    targets,
    storePort,
    listPort,
    processes,
    restartTarget: async (target) => {
      await stopChild(target.process);
      target.process = await runTargets([target], true);
    },
    restartDaemon: async (daemon) => {
      await stopChild(daemon.process);
      daemon.process = await runDaemon(daemon);
    },
    stop: async () => {
      await processes.stop();
      await rm(folder, { recursive: true, force: true });
    },
  };
}

/** Writes one revision of the operators' tree to the store, as a daemon would. */
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

/** Asks a stand-in for something over its JSON port. */
export async function askStandin(port: number, route: string, body?: unknown): Promise<unknown> {
  const client = createJsonClient('127.0.0.1', port);
  const method = body === undefined ? 'GET' : 'POST';
  const reply = await client.send(method, route, body, STORE_TIMEOUT_MS);
  client.close();
  return reply.body;
}

/** Plays a fault at a target. */
export async function playFault(target: TargetPlan, fault: TargetFault): Promise<void> {
  await askStandin(target.controlPort, '/fault', fault);
}

interface Plans {
  readonly storePort: number;
  readonly listPort: number;
  readonly targets: readonly TargetPlan[];
  readonly daemons: readonly DaemonPlan[];
}

async function planPorts(profile: Profile): Promise<Plans> {
  const targetCount = Object.values(profile.groups).flat().length;
  const ports = await findFreePorts(2 + 2 * targetCount + 4 * profile.daemons);
  const take = (): number => ports.pop() ?? 0;
  return {
    storePort: take(),
    listPort: take(),
    targets: planTargets(profile, take),
    daemons: planDaemons(profile, take),
  };
}

function chunk<T>(items: readonly T[], size: number): T[][] {
  const chunks: T[][] = [];
  for (let at = 0; at < items.length; at += size) chunks.push(items.slice(at, at + size));
  return chunks;
}

function listInstance(plan: DaemonPlan): object {
  const { id, failureDomain, peerPort } = plan;
  return { id, failureDomain, host: '127.0.0.1', peerPort, leaving: false };
}

interface TargetCommon {
  readonly profile: Profile;
  readonly all: readonly TargetPlan[];
  readonly empty: boolean;
  readonly heartbeatMs: Millis | undefined;
}

function targetOptions(plan: TargetPlan, common: TargetCommon): TargetOptions {
  const { profile, all, empty, heartbeatMs } = common;
  const firstStart = plan.startsAsPrimary ? 'primary' : 'replica';
  return {
    id: plan.id,
    port: plan.port,
    controlPort: plan.controlPort,
    replicas: all.filter((one) => one.group === plan.group && one.id !== plan.id),
    start: empty ? 'empty' : firstStart,
    slots: profile.targets.slots,
    connectionLimit: profile.targets.connection_limit,
    connectMs: profile.targets.connect_ms,
    statementMs: profile.targets.statement_ms,
    networkMs: networkMs(profile),
    heartbeatMs,
    password: TARGET_PASSWORD,
  };
}

function daemonSettings(
  plan: DaemonPlan,
  storePort: number,
  listPort: number,
  tuning: Partial<CoreSettings>,
): object {
  const local = (port: number): object => ({ host: '127.0.0.1', port });
  return {
    daemon: { id: plan.id, failure_domain: plan.failureDomain },
    caller: local(plan.callerPort),
    peer: local(plan.peerPort),
    store: local(storePort),
    list: local(listPort),
    operator: { ...local(plan.operatorPort), tokens: { bench: OPERATOR_TOKEN } },
    metrics: local(plan.metricsPort),
    tuning,
  };
}

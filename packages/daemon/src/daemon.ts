import { randomBytes } from 'node:crypto';
import { DEFAULT_CORE_SETTINGS, createCore, isConfigStale } from '@rosedeck/core';
import type { Command, Core, CoreSettings, CoreLogEvent, Policies } from '@rosedeck/core';
import { createStore } from '@rosedeck/clients';
import { createSystemClock } from '@rosedeck/shared';
import type { Clock, InstanceId } from '@rosedeck/shared';
import { createAuditLog } from './auditLog';
import { startCallerAdapter } from './callerAdapter';
import type { CallerAdapter } from './callerAdapter';
import { createConfigAdapter } from './configAdapter';
import type { ConfigAdapter } from './configAdapter';
import { createConfigStore } from './configStore';
import { createCoreLoop } from './coreLoop';
import type { CoreLoop } from './coreLoop';
import { drainDaemon } from './drain';
import type { DrainOptions, DrainResult } from './drain';
import { createLogger } from './logs';
import type { Logger } from './logs';
import { createMetrics } from './metrics';
import type { Metrics } from './metrics';
import { startMetricsServer } from './metricsServer';
import { startOperatorAdapter } from './operatorAdapter';
import { startPeerAdapter } from './peerAdapter';
import type { PeerAdapter } from './peerAdapter';
import { startPlatformAdapter } from './platformAdapter';
import type { PlatformAdapter } from './platformAdapter';
import type { DaemonSettings } from './settings';
import { describeDaemon } from './status';
import { createTargetAdapter } from './targetAdapter';
import type { TargetAdapter } from './targetAdapter';
import { loadCallerTls, loadPeerTls } from './tlsFiles';
import { resolveTargetLogin, createGroupSpecs } from './tree';
import { EMPTY_TREE } from './treeSchema';
import type { Tree } from './treeSchema';

/** Overrides of defaults for tests and experiments. */
export interface DaemonOverrides {
  readonly core?: Partial<CoreSettings>;
  readonly policies?: Policies;
  readonly observe?: (event: CoreLogEvent) => void;
  /** Receives the log lines; without it they are dropped. */
  readonly writeLog?: (line: string) => void;
}

/** A running daemon with the ports that it listens on. */
export interface Daemon {
  readonly callerPort: number;
  readonly peerPort: number;
  readonly operatorPort?: number;
  readonly metricsPort?: number;
  /** Resolves when an operator requests a drain. */
  readonly drainRequested: Promise<void>;
  /** Gives up the owner roles and waits for open work, up to `drain_ms` of the settings. */
  drain: () => Promise<DrainResult>;
  close: () => Promise<void>;
}

const RANDOM_SCALE = 0x1_0000_0000;

/** Adapters of a daemon; set one after another at the start, after the loop is created. */
interface Adapters {
  callers: CallerAdapter;
  config: ConfigAdapter;
  peers: PeerAdapter;
  platform: PlatformAdapter;
  targets: TargetAdapter;
}

/** Starts a daemon; resolves with a confirmed configuration, or without one after START_WAIT_MS. */
export async function startDaemon(
  cfg: DaemonSettings,
  overrides: DaemonOverrides = {},
): Promise<Daemon> {
  const clock = createSystemClock();
  const settings: CoreSettings = {
    ...DEFAULT_CORE_SETTINGS,
    ...cfg.tuning,
    ...overrides.core,
  };
  const self = cfg.daemon.id;
  const core = createDaemonCore(cfg, clock, settings, overrides);
  let tree: Tree = EMPTY_TREE;
  const adapters = {} as Adapters;
  const log = createLogger(self, cfg.log.level, overrides.writeLog ?? (() => undefined));
  const metrics = createMetrics(
    () => core.world,
    () => adapters.callers.callerCount(),
  );
  const loop = startLoop(core, clock, adapters, log, metrics, overrides);
  const store = createStore(cfg.store.host, cfg.store.port, metrics.countControlBytes);
  const configStore = createConfigStore(store);
  const audit = createAuditLog(store, (count) => {
    log({ type: 'audit_dropped', count });
  });

  adapters.targets = createTargetAdapter(self, settings, loop.post);
  adapters.config = createConfigAdapter({
    self,
    clock,
    core,
    store: configStore,
    peers: () => adapters.peers,
    configLimitMs: settings.configLimitMs,
    post: loop.post,
    countBytes: metrics.countControlBytes,
    applyTree: (next) => {
      tree = next;
      const groups = createGroupSpecs(next);
      adapters.targets.applyGroups(groups, (group) => resolveTargetLogin(next, group.id));
      loop.post({ type: 'groups', groups });
    },
  });
  adapters.peers = await startPeerAdapter({
    self,
    host: cfg.peer.host,
    port: cfg.peer.port,
    tls: loadPeerTls(cfg),
    silenceMs: cfg.limits.peer_silence_ms,
    answerPoll: adapters.config.answerPoll,
    applyPush: adapters.config.applyPush,
    findPeer: (id) => core.world.peers.get(id),
    hasTransactionAt: (id) => hasTransactionAt(core, id),
    entriesWithTransactions: () =>
      new Set([...core.world.transactions.values()].map((one) => one.entry)),
    post: loop.post,
  });
  adapters.callers = await startCallerAdapter({
    self,
    host: cfg.caller.host,
    port: cfg.caller.port,
    tls: loadCallerTls(cfg),
    connectionLimit: cfg.limits.caller_connections,
    core,
    tree: () => (tree === EMPTY_TREE ? undefined : tree),
    post: loop.post,
  });
  let requestDrain = (): void => undefined;
  const drainRequested = new Promise<void>((resolve) => {
    requestDrain = resolve;
  });
  const operator =
    cfg.operator &&
    (await startOperatorAdapter({
      ...cfg.operator,
      core,
      config: adapters.config,
      store: configStore,
      audit,
      tree: () => tree,
      status: () => describeDaemon(core.world, adapters.callers.callerCount()),
      drain: () => {
        requestDrain();
      },
      onChange: (record) => {
        log({ type: `change_${record.result}`, record });
      },
    }));
  const metricsServer =
    cfg.metrics && (await startMetricsServer(cfg.metrics.host, cfg.metrics.port, metrics.registry));
  adapters.platform = startPlatformAdapter({
    self,
    store,
    list: cfg.list,
    claimWaitMs: settings.claimWaitMs,
    countBytes: metrics.countControlBytes,
    post: loop.post,
    onUnreadable: (version, entries) => {
      log({ type: 'list_unreadable', version, entries });
    },
  });
  loop.post({ type: 'config_started' });
  await waitUntilFresh(core, clock);

  const ports = {
    callerPort: adapters.callers.port,
    peerPort: adapters.peers.port,
    operatorPort: operator?.port,
    metricsPort: metricsServer?.port,
  };
  log({ type: 'daemon_ready', ...ports });
  return {
    ...ports,
    drainRequested,
    drain: async () => {
      const result = await drainDaemon(createDrainOptions(cfg, clock, core, loop, adapters));
      log({ type: 'drain_ended', ...result });
      return result;
    },
    close: async () => {
      loop.stop();
      operator?.close();
      metricsServer?.close();
      adapters.platform.close();
      store.close();
      adapters.targets.close();
      adapters.peers.close();
      await adapters.callers.close();
      log({ type: 'daemon_stopped' });
    },
  };
}

function createDaemonCore(
  cfg: DaemonSettings,
  clock: Clock,
  settings: CoreSettings,
  overrides: DaemonOverrides,
): Core {
  return createCore({
    self: cfg.daemon.id,
    failureDomain: cfg.daemon.failure_domain,
    clock,
    random: () => randomBytes(4).readUInt32BE() / RANDOM_SCALE,
    settings,
    policies: overrides.policies,
  });
}

function startLoop(
  core: Core,
  clock: Clock,
  adapters: Adapters,
  log: Logger,
  metrics: Metrics,
  overrides: DaemonOverrides,
): CoreLoop {
  const observe = (event: CoreLogEvent): void => {
    metrics.observe(event);
    log(event);
    overrides.observe?.(event);
  };
  const perform = (command: Command): void => {
    switch (command.type) {
      case 'send_peer':
      case 'answer_peer':
        adapters.peers.perform(command);
        return;
      case 'answer_caller':
        adapters.callers.perform(command);
        return;
      case 'claim_term':
        adapters.platform.perform(command);
        return;
      case 'config_load':
      case 'config_watch':
      case 'config_ask':
      case 'config_apply':
        adapters.config.perform(command);
        return;
      default:
        adapters.targets.perform(command);
    }
  };
  return createCoreLoop(core, clock, perform, observe, metrics.observeTick);
}

function createDrainOptions(
  cfg: DaemonSettings,
  clock: Clock,
  core: Core,
  loop: CoreLoop,
  adapters: Adapters,
): DrainOptions {
  return {
    clock,
    sleep,
    drainCallers: adapters.callers.drain,
    closeIdleCallers: adapters.callers.closeIdle,
    announce: () => {
      loop.post({ type: 'drain' });
    },
    openWork: () => countOpenWork(core, adapters),
    lastRequestAt: adapters.peers.lastRequestAt,
    limitMs: cfg.limits.drain_ms,
  };
}

/** Waits for the first confirmed configuration; without one the daemon refuses requests. */
async function waitUntilFresh(core: Core, clock: Clock): Promise<void> {
  const deadlineAt = clock.now() + START_WAIT_MS;
  while (isConfigStale(core.world, clock.now()) && clock.now() < deadlineAt)
    await sleep(START_POLL_MS);
}

const START_WAIT_MS = 3_000;
const START_POLL_MS = 10;

function hasTransactionAt(core: Core, owner: InstanceId): boolean {
  for (const session of core.world.sessions.values()) {
    if (session.transaction?.owner === owner) return true;
  }
  return false;
}

function countOpenWork(core: Core, adapters: Adapters): number {
  const { requests, transactions, entryRequests } = core.world;
  return (
    adapters.callers.callerCount() +
    requests.size +
    transactions.size +
    entryRequests.size +
    adapters.peers.pendingRequests()
  );
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

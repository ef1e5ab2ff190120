import { startMysqlServer } from '@rosedeck/mysql';
import type { ServerConnection } from '@rosedeck/mysql';
import { createSystemClock } from '@rosedeck/shared';
import type { Millis } from '@rosedeck/shared';
import { startJsonServer } from './httpServer';
import type { JsonAnswer, JsonRequest } from './httpServer';
import { createRandomLag } from './randomLag';
import type { RandomLag } from './randomLag';
import { createReplicator } from './replicator';
import type { ReplicaAddress, Replicator } from './replicator';
import { createTarget } from './target';
import type { AppendMessage, Target, TargetStart } from './target';
import { createTargetSession } from './targetSession';
import type { TargetSession } from './targetSession';

/** Settings of a stand-in target. */
export interface TargetOptions {
  readonly id: string;
  readonly port: number;
  readonly controlPort: number;
  readonly replicas: readonly ReplicaAddress[];
  readonly start: TargetStart;
  readonly slots: number;
  readonly connectionLimit: number;
  readonly connectMs: Millis;
  readonly statementMs: Millis;
  /** Time on the network of each request and its answer together. */
  readonly networkMs: Millis;
  /** Time between messages of a primary without new entries. */
  readonly heartbeatMs?: Millis;
  readonly password: string;
}

const HEARTBEAT_MS = 25;

/** Statements that a target has run. */
export interface TargetStats {
  primaryReads: number;
  replicaReads: number;
  writes: number;
}

/** A running stand-in target. */
export interface TargetServer {
  readonly target: Target;
  close: () => Promise<void>;
}

/** Starts a stand-in target. */
export async function startTarget(options: TargetOptions): Promise<TargetServer> {
  const clock = createSystemClock();
  const target = createTarget(clock, options.start);
  const replicator = createReplicator(
    target,
    options.replicas,
    clock,
    options.heartbeatMs ?? HEARTBEAT_MS,
  );
  const parts: Parts = {
    options,
    target,
    replicator,
    stats: { primaryReads: 0, replicaReads: 0, writes: 0 },
    connections: new Set(),
    lag: createRandomLag(target, options.id),
    cutOff: false,
  };
  const control = await startJsonServer(options.controlPort, (req) => handleControl(parts, req));
  const server = await startCallerSide(parts);
  return {
    target,
    close: async () => {
      parts.lag.set(0);
      replicator.close();
      control.close();
      await server.close();
    },
  };
}

interface Parts {
  readonly options: TargetOptions;
  readonly target: Target;
  readonly replicator: Replicator;
  readonly stats: TargetStats;
  readonly connections: Set<ServerConnection>;
  readonly lag: RandomLag;
  /** True while nobody but the group reaches this target. */
  cutOff: boolean;
}

function startCallerSide(parts: Parts): ReturnType<typeof startMysqlServer> {
  const { options, target, replicator, connections } = parts;
  const sessions = new Map<number, TargetSession>();
  const waiting: (() => void)[] = [];
  let free = options.slots;
  const around = {
    target,
    locks: new Map<string, number>(),
    statementMs: options.statementMs,
    networkMs: options.networkMs,
    count: (kind: keyof TargetStats): void => {
      parts.stats[kind] += 1;
    },
    takeSlot: (job: () => void): void => {
      if (free === 0) {
        waiting.push(job);
        return;
      }
      free -= 1;
      job();
    },
    freeSlot: (): void => {
      const next = waiting.shift();
      if (next) next();
      else free += 1;
    },
    onCommit: (): void => {
      replicator.notify();
    },
  };
  return startMysqlServer('127.0.0.1', options.port, {
    findPassword: () => options.password,
    checkConnection: () => {
      if (connections.size < options.connectionLimit) return undefined;
      return { code: 1040, sqlState: '08004', message: 'Too many connections' };
    },
    onOpen: (connection: ServerConnection) => {
      connections.add(connection);
      if (parts.cutOff) connection.close();
      sessions.set(connection.id, createTargetSession(connection, around));
    },
    onCommand: (connection, command) => sessions.get(connection.id)?.handle(command),
    onClose: (connection) => {
      connections.delete(connection);
      sessions.get(connection.id)?.close();
      sessions.delete(connection.id);
    },
    authenticateDelayMs: options.connectMs,
  });
}

/** Faults that a target plays until told otherwise. */
export interface TargetFault {
  /** Targets of the group that this one no longer reaches. */
  readonly cut?: readonly string[];
  /** Cuts this target off from all daemons: their connections close, new ones and control calls fail. */
  readonly cutOff?: boolean;
  readonly applyLagMs?: Millis;
  /** Upper bound of an apply lag that changes all the time. */
  readonly randomLagMs?: Millis;
  readonly sendLagMs?: Readonly<Record<string, Millis>>;
}

async function handleControl(parts: Parts, req: JsonRequest): Promise<JsonAnswer> {
  const { target, replicator } = parts;
  if (req.path === '/append')
    return { status: 200, body: target.append(req.body as AppendMessage) };
  if (req.path === '/stats') return { status: 200, body: { ...parts.stats, ...target.report() } };
  if (req.path === '/fault') {
    applyFault(parts, req.body as TargetFault);
    return { status: 200, body: {} };
  }
  if (parts.cutOff) return { drop: true };
  await sleep(parts.options.networkMs);
  if (!target.hasJoined()) return { status: 503 };
  const body = (req.body ?? {}) as { term: number; promoter: string };
  switch (req.path) {
    case '/report':
      return { status: 200, body: target.report() };
    case '/adopt':
      return { status: 200, body: target.adopt(body.term, body.promoter) };
    case '/promote': {
      const report = target.promote(body.term, body.promoter);
      replicator.notify();
      return { status: 200, body: report };
    }
    default:
      return { status: 404 };
  }
}

function applyFault(parts: Parts, fault: TargetFault): void {
  const { target, replicator, lag } = parts;
  if (fault.cut) replicator.cut(fault.cut);
  if (fault.cutOff !== undefined) parts.cutOff = fault.cutOff;
  if (fault.cutOff) for (const connection of parts.connections) connection.close();
  if (fault.applyLagMs !== undefined) target.setApplyLag(fault.applyLagMs);
  if (fault.randomLagMs !== undefined) lag.set(fault.randomLagMs);
  for (const [id, lagMs] of Object.entries(fault.sendLagMs ?? {})) replicator.setSendLag(id, lagMs);
}

function sleep(ms: Millis): Promise<void> | undefined {
  if (ms === 0) return undefined;
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

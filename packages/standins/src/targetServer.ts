import { startMysqlServer } from '@rosedeck/mysql';
import type { ServerConnection } from '@rosedeck/mysql';
import { createSystemClock } from '@rosedeck/shared';
import type { Millis } from '@rosedeck/shared';
import { startJsonServer } from './httpServer';
import type { JsonResponse, JsonRequest } from './httpServer';
import { createRandomLag } from './randomLag';
import type { RandomLag } from './randomLag';
import { createReplicator } from './replicator';
import type { ReplicaAddress, Replicator } from './replicator';
import { createTarget } from './target';
import type { AppendMessage, Target, InitialRole } from './target';
import { createTargetSession } from './targetSession';
import type { TargetSession } from './targetSession';

/** Options of a stand-in target; `slots` bounds the statements that run at once. */
export interface TargetOptions {
  readonly id: string;
  readonly port: number;
  readonly controlPort: number;
  readonly replicas: readonly ReplicaAddress[];
  readonly start: InitialRole;
  readonly slots: number;
  readonly connectionLimit: number;
  readonly connectMs: Millis;
  readonly statementMs: Millis;
  /** Round-trip time of each request. */
  readonly networkMs: Millis;
  /** Interval between a primary's messages while there are no new entries. */
  readonly heartbeatMs?: Millis;
  readonly password: string;
}

const HEARTBEAT_MS = 25;

/** Number of statements that a target has run, by kind. */
export interface TargetStats {
  primaryReads: number;
  replicaReads: number;
  writes: number;
}

/** A running stand-in target: MySQL server, control port and replication. */
export interface TargetServer {
  readonly target: Target;
  close: () => Promise<void>;
}

/** Starts a stand-in target; resolves once its control port and MySQL port listen. */
export async function startTarget(options: TargetOptions): Promise<TargetServer> {
  const clock = createSystemClock();
  const target = createTarget(clock, options.start);
  const replicator = createReplicator(
    target,
    options.replicas,
    clock,
    options.heartbeatMs ?? HEARTBEAT_MS,
  );
  const ctx: TargetContext = {
    options,
    target,
    replicator,
    stats: { primaryReads: 0, replicaReads: 0, writes: 0 },
    connections: new Set(),
    lag: createRandomLag(target, options.id),
    isCutOff: false,
  };
  const control = await startJsonServer(options.controlPort, (req) => handleControl(ctx, req));
  const server = await startSessionServer(ctx);
  return {
    target,
    close: async () => {
      ctx.lag.set(0);
      replicator.close();
      control.close();
      await server.close();
    },
  };
}

interface TargetContext {
  readonly options: TargetOptions;
  readonly target: Target;
  readonly replicator: Replicator;
  readonly stats: TargetStats;
  readonly connections: Set<ServerConnection>;
  readonly lag: RandomLag;
  /** True while this target is reachable only for the other targets of its group. */
  isCutOff: boolean;
}

function startSessionServer(ctx: TargetContext): ReturnType<typeof startMysqlServer> {
  const { options, target, replicator, connections } = ctx;
  const sessions = new Map<number, TargetSession>();
  const slotWaiters: (() => void)[] = [];
  let freeSlots = options.slots;
  const sessionContext = {
    target,
    locks: new Map<string, number>(),
    statementMs: options.statementMs,
    networkMs: options.networkMs,
    countStatement: (kind: keyof TargetStats): void => {
      ctx.stats[kind] += 1;
    },
    acquireSlot: (job: () => void): void => {
      if (freeSlots === 0) {
        slotWaiters.push(job);
        return;
      }
      freeSlots -= 1;
      job();
    },
    releaseSlot: (): void => {
      const next = slotWaiters.shift();
      if (next) next();
      else freeSlots += 1;
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
      if (ctx.isCutOff) connection.close();
      sessions.set(connection.id, createTargetSession(connection, sessionContext));
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

/** Faults to inject; each lasts until a later request changes it. */
export interface TargetFault {
  /** Ids of the targets to which this one stops replication. */
  readonly cut?: readonly string[];
  /** Isolates this target from all daemons: connections close, new ones and control requests fail. */
  readonly cutOff?: boolean;
  readonly applyLagMs?: Millis;
  /** Upper bound of an apply lag that is redrawn at short intervals. */
  readonly randomLagMs?: Millis;
  readonly sendLagMs?: Readonly<Record<string, Millis>>;
}

async function handleControl(ctx: TargetContext, req: JsonRequest): Promise<JsonResponse> {
  const { target, replicator } = ctx;
  if (req.path === '/append')
    return { status: 200, body: target.append(req.body as AppendMessage) };
  if (req.path === '/stats') return { status: 200, body: { ...ctx.stats, ...target.report() } };
  if (req.path === '/fault') {
    applyFault(ctx, req.body as TargetFault);
    return { status: 200, body: {} };
  }
  if (ctx.isCutOff) return { drop: true };
  await sleep(ctx.options.networkMs);
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

function applyFault(ctx: TargetContext, fault: TargetFault): void {
  const { target, replicator, lag } = ctx;
  if (fault.cut) replicator.cut(fault.cut);
  if (fault.cutOff !== undefined) ctx.isCutOff = fault.cutOff;
  if (fault.cutOff) for (const connection of ctx.connections) connection.close();
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

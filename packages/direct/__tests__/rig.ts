import { covers, createManualClock } from '@rosedeck/shared';
import type { Position } from '@rosedeck/shared';
import { createDirectEngine, DEFAULT_DIRECT_SETTINGS } from '../src/index';
import type {
  CallerAnswer,
  CallerStatement,
  ConnectionId,
  DirectEngine,
  DirectEvent,
  DirectSettings,
  ListedTarget,
  Route,
  SessionState,
  TargetOp,
  TargetReply,
} from '../src/index';

/** Network time in one direction. */
const NETWORK_MS = 1;
const OPEN_MS = 12;

/** A stand-in for one target, at the level of operations. */
export interface FakeTarget {
  readonly id: string;
  role: 'primary' | 'replica';
  term: number;
  received: Position;
  applied: Position;
  /** Takes what is sent and answers nothing. */
  silent: boolean;
  /** Refuses new connections. */
  refusing: boolean;
  /** Runs statements and loses their answers. */
  losesAnswers: boolean;
  runMs: number;
  slots: number;
  busy: number;
  readonly waiting: (() => void)[];
  connectionLimit: number;
  /** Statements that ran, in order. */
  readonly ran: { readonly id: string; readonly text: string; readonly at: number }[];
}

interface FakeConnection {
  readonly target: FakeTarget;
  inTransaction: boolean;
  plain: boolean;
  wrote: boolean;
  readonly values: Map<string, string>;
  readonly prepared: Set<string>;
  /** Operations are worked on one after the other. */
  chain: (() => void)[];
  working: boolean;
}

/** One answer that a caller got. */
export interface Got {
  readonly session: string;
  readonly request: string;
  readonly answer: CallerAnswer;
  readonly state: SessionState;
  readonly at: number;
}

/** An engine before a group of three stand-in targets, on a clock that the test moves. */
export interface Rig {
  readonly engine: DirectEngine;
  readonly targets: FakeTarget[];
  readonly got: Got[];
  readonly events: DirectEvent[];
  readonly promotions: { readonly group: string; readonly target: string }[];
  readonly closedSessions: string[];
  /** Questions for samples to other daemons. */
  readonly asked: {
    readonly peer: string;
    readonly groups: readonly string[];
    readonly askedAt: number;
  }[];
  now: () => number;
  /** Moves time on, with ticks and all that falls due. */
  run: (ms: number) => void;
  list: (change?: (entry: ListedTarget) => ListedTarget | undefined) => void;
  ask: (session: string, statement: CallerStatement) => string;
  /** The answer of a request; undefined while there is none. */
  answerOf: (request: string) => Got | undefined;
  /** Connections open at a target. */
  connectionsAt: (target: string) => number;
  /** Makes a target lead the next term with what it has received. */
  promote: (target: FakeTarget) => void;
  /** Breaks every connection to a target. */
  reset: (target: FakeTarget) => void;
}

/** Routes of the rig: one database for each policy. */
export const ROUTES: readonly Route[] = [
  { name: 'bookings', database: 'bookings', policy: 'primary', priority: 1, aimMs: 200 },
  {
    name: 'loops',
    database: 'loops',
    policy: 'bounded_staleness',
    priority: 2,
    aimMs: 600,
    maxStalenessMs: 1_500,
  },
  {
    name: 'beats',
    database: 'beats',
    policy: 'read_your_writes',
    priority: 2,
    aimMs: 400,
    maxStalenessMs: 2_500,
  },
].map((route) => ({ ...route, group: 'g', timeoutMs: 1_000 }) as Route);

/** Creates a rig whose daemon has been told of configuration and targets. */
export function createRig(settings: Partial<DirectSettings> = {}, connectionLimit = 20): Rig {
  const clock = createManualClock(1_000);
  const due: { at: number; seq: number; act: () => void }[] = [];
  let seq = 0;
  const later = (ms: number, act: () => void): void => {
    seq += 1;
    due.push({ at: clock.now() + ms, seq, act });
  };
  const targets = ['t1', 't2', 't3'].map((id, at) => createTarget(id, at === 0, connectionLimit));
  const links = new Map<ConnectionId, FakeConnection>();
  const got: Got[] = [];
  const events: DirectEvent[] = [];
  const promotions: { group: string; target: string }[] = [];
  const closedSessions: string[] = [];
  const asked: { peer: string; groups: readonly string[]; askedAt: number }[] = [];

  const work = (id: ConnectionId, link: FakeConnection): void => {
    if (link.working) return;
    const next = link.chain.shift();
    if (!next) return;
    link.working = true;
    next();
  };
  const handle = (id: ConnectionId, link: FakeConnection, op: TargetOp): void => {
    const { target } = link;
    if (target.silent) return;
    const reply = (result: TargetReply): void => {
      link.working = false;
      if (target.silent) return;
      later(NETWORK_MS, () => {
        if (links.has(id)) engine.targetReplied(id, result);
      });
      work(id, link);
    };
    runOp(target, link, op, reply, later, clock.now, () => {
      replicate(target);
    });
  };
  const replicate = (from: FakeTarget): void => {
    for (const other of targets) {
      if (other === from || other.role === 'primary') continue;
      const position = from.received;
      other.received = position;
      later(60, () => {
        if (covers(position, other.applied)) other.applied = position;
      });
    }
  };

  const engine: DirectEngine = createDirectEngine({
    clock,
    settings: { ...DEFAULT_DIRECT_SETTINGS, ...settings },
    random: createRandom(7),
    name: 'd1',
    failureDomain: 'a',
    sides: {
      openConnection: (id, entry) => {
        const target = targets.find((one) => one.id === entry.id);
        if (!target) return;
        const count = [...links.values()].filter((one) => one.target === target).length;
        if (target.refusing || count >= target.connectionLimit) {
          const reason = target.refusing ? 'refused' : 'limit';
          later(NETWORK_MS, () => {
            engine.connectionLost(id, reason);
          });
          return;
        }
        links.set(id, {
          target,
          inTransaction: false,
          plain: false,
          wrote: false,
          values: new Map(),
          prepared: new Set(),
          chain: [],
          working: false,
        });
        later(OPEN_MS, () => {
          if (links.has(id) && !target.silent) engine.connectionOpened(id);
        });
      },
      closeConnection: (id) => {
        links.delete(id);
      },
      send: (id, ops) => {
        const link = links.get(id);
        if (!link) return;
        later(NETWORK_MS, () => {
          for (const op of ops)
            link.chain.push(() => {
              handle(id, link, op);
            });
          work(id, link);
        });
      },
      answer: (session, request, answer, state) => {
        got.push({ session, request, answer, state, at: clock.now() });
      },
      closeSession: (session) => closedSessions.push(session),
      promote: (group, target) => promotions.push({ group, target }),
      askSamples: (peer, groups, askedAt) => asked.push({ peer, groups, askedAt }),
      wakeAfter: (ms) => {
        later(ms, () => {
          engine.wake();
        });
      },
      log: (event) => events.push(event),
    },
  });
  let nextRequest = 1;
  const rig: Rig = {
    engine,
    targets,
    got,
    events,
    promotions,
    closedSessions,
    asked,
    now: clock.now,
    run: (ms) => {
      const end = clock.now() + ms;
      while (clock.now() < end) {
        clock.advance(1);
        for (;;) {
          due.sort((a, b) => a.at - b.at || a.seq - b.seq);
          if ((due[0]?.at ?? Infinity) > clock.now()) break;
          due.shift()?.act();
        }
        if (clock.now() % DEFAULT_DIRECT_SETTINGS.tickMs === 0) engine.tick();
      }
    },
    list: (change = (entry) => entry) => {
      const entries = targets.map(describe).map(change);
      engine.applyTargets(
        entries.filter((entry) => entry !== undefined),
        'test',
      );
    },
    ask: (session, statement) => {
      const id = `q${nextRequest}`;
      nextRequest += 1;
      engine.statement(session, id, statement);
      return id;
    },
    answerOf: (request) => got.find((one) => one.request === request),
    connectionsAt: (target) => [...links.values()].filter((one) => one.target.id === target).length,
    promote: (target) => {
      const term = Math.max(...targets.map((one) => one.term)) + 1;
      for (const one of targets) {
        one.role = one === target ? 'primary' : 'replica';
        one.term = term;
      }
      target.received = { term, index: target.received.index };
      target.applied = target.received;
      replicate(target);
    },
    reset: (target) => {
      for (const [id, link] of [...links]) {
        if (link.target !== target) continue;
        links.delete(id);
        engine.connectionLost(id, 'closed');
      }
    },
  };
  engine.applyConfig(
    {
      version: 1,
      routes: new Map(ROUTES.map((route) => [route.database, route])),
      groups: new Map([['g', { connectionLimit }]]),
      transactionIdleMs: 3_000,
    },
    'test',
  );
  rig.list();
  return rig;
}

/** Opens a session and returns its id. */
export function openSession(rig: Rig, id: string, database: string): string {
  if (!rig.engine.openSession(id, database)) throw new Error(`no route to ${database}`);
  return id;
}

/** Uniform numbers that repeat from run to run. */
export function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

function createTarget(id: string, isPrimary: boolean, connectionLimit: number): FakeTarget {
  return {
    id,
    role: isPrimary ? 'primary' : 'replica',
    term: 1,
    received: { term: 1, index: 100 },
    applied: { term: 1, index: 100 },
    silent: false,
    refusing: false,
    losesAnswers: false,
    runMs: 20,
    slots: 3,
    busy: 0,
    waiting: [],
    connectionLimit,
    ran: [],
  };
}

function describe(target: FakeTarget): ListedTarget {
  return {
    id: target.id,
    group: 'g',
    address: `10.0.0.${target.id.slice(1)}:1`,
    failureDomain: 'a',
    slots: target.slots,
    leaving: false,
    role: target.role,
    life: 1,
    revision: 1,
  };
}

type Later = (ms: number, act: () => void) => void;
type Reply = (result: TargetReply) => void;

function runOp(
  target: FakeTarget,
  link: FakeConnection,
  op: TargetOp,
  reply: Reply,
  later: Later,
  now: () => number,
  replicate: () => void,
): void {
  const lacks = 'after' in op && op.after !== undefined && !covers(target.applied, op.after);
  if (op.op === 'run') {
    runStatement(target, link, op, lacks, reply, later, now, replicate);
    return;
  }
  if (op.op === 'begin') {
    if (!op.readOnly && target.role !== 'primary') {
      reply(failed(target, link, 'read_only'));
      return;
    }
    if (lacks) {
      reply(failed(target, link, 'behind'));
      return;
    }
    link.inTransaction = true;
    link.plain = !op.readOnly;
    link.wrote = false;
  }
  if (op.op === 'rollback') link.inTransaction = false;
  if (op.op === 'discard') {
    link.values.clear();
    link.prepared.clear();
  }
  if (op.op === 'set') link.values.set(op.name, op.value);
  if (op.op === 'prepare') link.prepared.add(op.name);
  const status = { role: target.role, term: target.term, received: target.received };
  const answer = done(target, link);
  reply(op.op === 'status' ? { ...answer, status } : answer);
}

function done(
  target: FakeTarget,
  link: FakeConnection,
  rows: string[] = [],
  digest = '-',
): Extract<TargetReply, { kind: 'done' }> {
  return {
    kind: 'done',
    rows,
    digest,
    inTransaction: link.inTransaction,
    position: target.applied,
  };
}

function failed(
  target: FakeTarget,
  link: FakeConnection,
  code: 'read_only' | 'behind',
): TargetReply {
  const { inTransaction } = link;
  return { kind: 'failed', code, detail: '', inTransaction, position: target.applied };
}

function runStatement(
  target: FakeTarget,
  link: FakeConnection,
  op: Extract<TargetOp, { op: 'run' }>,
  lacks: boolean,
  reply: Reply,
  later: Later,
  now: () => number,
  replicate: () => void,
): void {
  const isCommit = op.text === 'COMMIT';
  const isWrite = op.text.startsWith('WRITE') || op.text.startsWith('EXECUTE write');
  const needsLead = link.inTransaction ? link.plain : isWrite;
  if (lacks || (needsLead && target.role !== 'primary')) {
    reply(failed(target, link, lacks ? 'behind' : 'read_only'));
    return;
  }
  const finish = (): void => {
    target.busy -= 1;
    target.waiting.shift()?.();
    target.ran.push({ id: op.id, text: op.text, at: now() });
    if (link.inTransaction && isWrite) link.wrote = true;
    if ((isWrite && !link.inTransaction) || (isCommit && link.wrote)) {
      target.received = { term: target.term, index: target.received.index + 1 };
      target.applied = target.received;
      replicate();
    }
    if (isCommit) link.inTransaction = false;
    if (target.losesAnswers) return;
    const values = [...link.values].map(([name, value]) => `${name}=${value}`).join(',');
    reply(done(target, link, [`${target.id}/${values}`], `${target.id}.${op.id}`));
  };
  const start = (): void => {
    target.busy += 1;
    later(target.runMs, finish);
  };
  if (target.busy < target.slots) start();
  else target.waiting.push(start);
}

import { covers, createManualClock } from '@rosedeck/shared';
import { DEFAULT_DIRECT_SETTINGS, createDirectEngine } from '../src/index';
import type {
  CallerAnswer,
  CallerStatement,
  ClaimBasis,
  ConnectionId,
  DirectEngine,
  DirectLogEvent,
  DirectSettings,
  ListedTarget,
  PeerReport,
  PromotionOrder,
  QuotaMessage,
  Route,
  SampleRequest,
  SessionState,
  TargetOp,
  TargetReply,
} from '../src/index';
import { createFakePool } from './fakePool';
import type { FakePool } from './fakePool';
import { createTarget, toListed, runOp } from './fakeTarget';
import type { FakeConnection, FakeTarget } from './fakeTarget';

/** Network time in one direction. */
const NETWORK_MS = 1;

/** Time to open a connection. */
const OPEN_MS = 12;

/** An answer that a caller received. */
export interface ReceivedAnswer {
  readonly session: string;
  readonly request: string;
  readonly answer: CallerAnswer;
  readonly state: SessionState;
  readonly at: number;
}

/** An engine with a group of three fake targets, on a manual clock. */
export interface Rig {
  readonly engine: DirectEngine;
  /** Pool owners that the engine leases from. */
  readonly pool: FakePool;
  readonly targets: FakeTarget[];
  readonly answers: ReceivedAnswer[];
  readonly events: DirectLogEvent[];
  readonly promotions: { readonly group: string; readonly target: string }[];
  /** What the view of the store shows of the group's claims. */
  claimBasis: ClaimBasis;
  /** The same promotions as passed on to be ordered. */
  readonly orders: PromotionOrder[];
  /** Terms of the promotions, in the same order. */
  readonly promotionTerms: number[];
  readonly closedSessions: string[];
  /** Requests for samples to other daemons. */
  readonly sampleRequests: ({ readonly peer: string } & SampleRequest)[];
  /** Messages to other daemons about the caps of tenants. */
  readonly quotaMessages: { readonly to: string; readonly message: QuotaMessage }[];
  now: () => number;
  /** Advances the clock, with ticks and the timers that are due. */
  run: (ms: number) => void;
  /** Applies the list of targets; `change` alters a listed target or, with undefined, drops it. */
  applyList: (change?: (listed: ListedTarget) => ListedTarget | undefined) => void;
  /** Submits a statement and returns the id of its request. */
  submit: (session: string, statement: CallerStatement) => string;
  /** The answer to a request; undefined while there is none. */
  answerOf: (request: string) => ReceivedAnswer | undefined;
  /** Connections open at a target. */
  connectionsAt: (target: string) => number;
  /** Makes a target the primary of the next term, with all that it has received. */
  promote: (target: FakeTarget) => void;
  /** As `promote`, but the old primary continues to lead its own term; no entry is added. */
  promoteUnfenced: (target: FakeTarget) => void;
  /** Closes every connection to a target, as a reset. */
  reset: (target: FakeTarget) => void;
}

/** Routes of the rig: one database for each policy. */
export const ROUTES: readonly Route[] = [
  {
    name: 'bookings',
    database: 'bookings',
    policy: 'primary',
    priority: 1,
    latencyObjectiveMs: 200,
  },
  {
    name: 'loops',
    database: 'loops',
    policy: 'bounded_staleness',
    priority: 2,
    latencyObjectiveMs: 600,
    maxStalenessMs: 1_500,
  },
  {
    name: 'beats',
    database: 'beats',
    policy: 'read_your_writes',
    priority: 2,
    latencyObjectiveMs: 400,
    maxStalenessMs: 2_500,
  },
].map((route) => ({ ...route, group: 'g', timeoutMs: 1_000 }) as Route);

/** A report of another daemon that says nothing, apart from `change`. */
export function createReport(name: string, change: Partial<PeerReport> = {}): PeerReport {
  return {
    name,
    config: 1,
    view: 1,
    storeAgeMs: 0,
    opinions: [],
    loads: [],
    groupLoads: [],
    leaderships: [],
    confirms: 1,
    ...change,
  };
}

/** Creates a rig whose engine has a configuration and a target list. */
export function createRig(
  settings: Partial<DirectSettings> = {},
  connectionLimit = 20,
  name = 'd1',
): Rig {
  const clock = createManualClock(1_000);
  const timers: { at: number; seq: number; action: () => void }[] = [];
  let seq = 0;
  const schedule = (ms: number, action: () => void): void => {
    seq += 1;
    timers.push({ at: clock.now() + ms, seq, action });
  };
  const targets = ['t1', 't2', 't3'].map((id, at) => createTarget(id, at === 0, connectionLimit));
  const connections = new Map<ConnectionId, FakeConnection>();
  const answers: ReceivedAnswer[] = [];
  const events: DirectLogEvent[] = [];
  const promotions: { group: string; target: string }[] = [];
  const promotionTerms: number[] = [];
  const orders: PromotionOrder[] = [];
  const closedSessions: string[] = [];
  const quotaMessages: { to: string; message: QuotaMessage }[] = [];
  const sampleRequests: ({ readonly peer: string } & SampleRequest)[] = [];

  const runNext = (id: ConnectionId, connection: FakeConnection): void => {
    if (connection.working) return;
    const next = connection.pending.shift();
    if (!next) return;
    connection.working = true;
    next();
  };
  const handleOp = (id: ConnectionId, connection: FakeConnection, op: TargetOp): void => {
    const { target } = connection;
    if (target.silent) return;
    if (op.op === 'begin' && target.losesBegins) {
      connection.working = false;
      runNext(id, connection);
      return;
    }
    const reply = (result: TargetReply): void => {
      connection.working = false;
      if (target.silent) return;
      schedule(NETWORK_MS, () => {
        if (connections.has(id) && pool.carries(id)) engine.targetReplied(id, result);
      });
      runNext(id, connection);
    };
    runOp(target, connection, op, reply, schedule, clock.now, () => {
      replicate(target);
    });
  };
  const replicate = (from: FakeTarget): void => {
    for (const other of targets) {
      if (other === from || other.role === 'primary' || other.isDeaf || other.held > 0) continue;
      const position = from.received;
      other.received = position;
      schedule(60, () => {
        if (covers(position, other.applied)) other.applied = position;
      });
    }
  };

  const addConnection = (id: ConnectionId, target: FakeTarget): void => {
    connections.set(id, {
      target,
      id,
      begun: 0,
      inTransaction: false,
      readWrite: false,
      wrote: false,
      variables: new Map(),
      prepared: new Map(),
      pending: [],
      working: false,
    });
  };
  const pool = createFakePool({
    schedule,
    now: clock.now,
    engine: () => engine,
    open: (id, targetId) => {
      const target = targets.find((one) => one.id === targetId);
      if (target) addConnection(id, target);
    },
  });

  const engine: DirectEngine = createDirectEngine({
    clock,
    settings: { ...DEFAULT_DIRECT_SETTINGS, ...settings },
    random: createRandom(7),
    name,
    failureDomain: 'a',
    io: {
      openConnection: (id, listed) => {
        const target = targets.find((one) => one.id === listed.id);
        if (!target) return;
        const count = [...connections.values()].filter((one) => one.target === target).length;
        if (target.refusing || count >= target.connectionLimit) {
          const reason = target.refusing ? 'refused' : 'limit';
          schedule(NETWORK_MS, () => {
            engine.connectionLost(id, reason);
          });
          return;
        }
        addConnection(id, target);
        schedule(OPEN_MS, () => {
          if (connections.has(id) && !target.silent) engine.connectionOpened(id);
        });
      },
      leaseConnection: (id, target, owner, terms) => {
        pool.request(id, target, owner, terms);
      },
      closeConnection: (id) => {
        connections.delete(id);
        pool.close(id);
      },
      send: (id, ops) => {
        const connection = connections.get(id);
        if (!connection || !pool.carries(id)) return;
        schedule(NETWORK_MS, () => {
          for (const op of ops)
            connection.pending.push(() => {
              handleOp(id, connection, op);
            });
          runNext(id, connection);
        });
      },
      answer: (session, request, answer, state) => {
        answers.push({ session, request, answer, state, at: clock.now() });
      },
      closeSession: (session) => closedSessions.push(session),
      readClaimBasis: () => rig.claimBasis,
      viewAgeMs: () => rig.claimBasis.ageMs,
      promote: (group, order) => {
        const { target, term } = order;
        orders.push(order);
        promotions.push({ group, target });
        promotionTerms.push(term);
      },
      requestSamples: (peer, request) => sampleRequests.push({ peer, ...request }),
      sendQuotaMessage: (to, message) => quotaMessages.push({ to, message }),
      wakeAfter: (ms) => {
        schedule(ms, () => {
          engine.wake();
        });
      },
      log: (event) => events.push(event),
    },
  });
  let nextRequest = 1;
  let nextTickAt = clock.now();
  const rig: Rig = {
    engine,
    pool,
    targets,
    answers,
    events,
    promotions,
    claimBasis: { era: 0, revision: 0, ageMs: 0 },
    orders,
    promotionTerms,
    closedSessions,
    sampleRequests,
    quotaMessages,
    now: clock.now,
    run: (ms) => {
      const end = clock.now() + ms;
      while (clock.now() < end) {
        clock.advance(1);
        for (;;) {
          timers.sort((a, b) => a.at - b.at || a.seq - b.seq);
          if ((timers[0]?.at ?? Infinity) > clock.now()) break;
          timers.shift()?.action();
        }
        if (clock.now() < nextTickAt) continue;
        engine.tick();
        nextTickAt = clock.now() + engine.nextTickMs();
      }
    },
    applyList: (change = (listed) => listed) => {
      const list = targets.map(toListed).map(change);
      engine.applyTargets(
        list.filter((listed) => listed !== undefined),
        'test',
      );
    },
    submit: (session, statement) => {
      const id = `q${nextRequest}`;
      nextRequest += 1;
      engine.statement(session, id, statement);
      return id;
    },
    answerOf: (request) => answers.find((one) => one.request === request),
    connectionsAt: (target) =>
      [...connections.values()].filter((one) => one.target.id === target).length,
    promote: (target) => {
      const term = Math.max(...targets.map((one) => one.term)) + 1;
      for (const one of targets) {
        one.role = one === target ? 'primary' : 'replica';
        one.term = term;
        one.held = 0;
      }
      target.received = { term, index: target.received.index };
      target.applied = target.received;
      replicate(target);
    },
    promoteUnfenced: (target) => {
      target.term = Math.max(...targets.map((one) => one.term)) + 1;
      target.role = 'primary';
      target.applied = target.received;
    },
    reset: (target) => {
      for (const [id, connection] of [...connections]) {
        if (connection.target !== target) continue;
        connections.delete(id);
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
  rig.applyList();
  return rig;
}

/** Applies a directory, and the first set of confirmers with the same daemons. */
export function applyFleet({ engine }: Rig, names: readonly string[]): void {
  engine.applyDirectory(names.map((name) => ({ name, failureDomain: 'a' })));
  engine.confirmersSeen({ version: 1, members: names });
}

/** Opens a session and returns its id. */
export function openSession(rig: Rig, id: string, database: string, key?: string): string {
  const reason = rig.engine.openSession(id, database, key);
  if (reason !== undefined) throw new Error(`${database}: ${reason}`);
  return id;
}

/** Pseudo-random uniform numbers; the same in every run for a seed. */
export function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

/** Freezes positions of the replicas, as for targets that lag or receive nothing. */
export function freezeReplicas(rig: Rig, ...fields: readonly ('applied' | 'received')[]): void {
  for (const target of rig.targets.slice(1)) {
    const { applied } = target;
    for (const field of fields)
      Object.defineProperty(target, field, { get: () => applied, set: () => undefined });
  }
}

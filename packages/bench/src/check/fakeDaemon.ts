import { createCore, DEFAULT_CORE_SETTINGS } from '@rosedeck/core';
import type {
  Answer,
  Command,
  Core,
  CoreEvent,
  GroupSpec,
  CoreLogEvent,
  Policies,
} from '@rosedeck/core';
import type { Millis } from '@rosedeck/shared';
import type { FakeGroup, FakeSession } from './fakeGroup';
import type { FakeStore } from './fakeStore';
import type { History } from './history';
import type { Network } from './network';
import type { Sim } from './sim';

/** State and callbacks that the daemons of a run share. */
export interface DaemonContext {
  readonly sim: Sim;
  readonly network: Network;
  readonly group: FakeGroup;
  readonly store: FakeStore;
  readonly history: History;
  readonly spec: GroupSpec;
  readonly policies: Policies;
  readonly daemons: Map<string, FakeDaemon>;
  readonly onAnswer: (session: string, request: string, answer: Answer) => void;
  readonly onLogEvent: (daemon: string, event: CoreLogEvent) => void;
  readonly trace: (line: string) => void;
}

/** A daemon core whose commands run against fakes. */
export type FakeDaemon = ReturnType<typeof createFakeDaemon>;

type CommandOf<T extends Command['type']> = Extract<Command, { type: T }>;

const STATEMENT_MS = 1;
const CONNECT_MS = 10;
const PEER_CHECK_INTERVAL_MS = 300;
const SUSPICION_MS = 2_000;

/** Creates a daemon and starts its core. */
export function createFakeDaemon(ctx: DaemonContext, id: string, failureDomain: string) {
  const { sim, network, group, store, history, spec, trace } = ctx;
  const settings = DEFAULT_CORE_SETTINGS;
  const { connectTimeoutMs, promotionTimeoutMs, probeTimeoutMs } = settings;
  network.add(id);
  const process = network.find(id);
  let sessions = new Map<number, FakeSession>();
  let core = startCore();
  let tickAt = Infinity;

  function startCore(): Core {
    const { clock, random } = sim;
    const { policies } = ctx;
    const started = createCore({ self: id, failureDomain, clock, random, settings, policies });
    started.post({ type: 'groups', groups: [spec] });
    return started;
  }

  const post = (event: CoreEvent): void => {
    if (!process.isUp) return;
    core.post(event);
    scheduleTick(0);
  };

  const scheduleTick = (ms: Millis): void => {
    const at = sim.clock.now() + ms;
    if (at >= tickAt) return;
    tickAt = at;
    network.schedule(id, ms, () => {
      if (tickAt > at) return;
      tickAt = Infinity;
      tick();
    });
  };

  const tick = (): void => {
    const { commands, logEvents } = core.tick();
    for (const event of logEvents) ctx.onLogEvent(id, event);
    for (const command of commands) perform(command);
    const next = core.nextTickAt();
    if (next !== undefined) scheduleTick(Math.max(0.01, next - sim.clock.now()));
  };

  const execute = ({ connection, request, sql }: CommandOf<'execute'>): void => {
    const session = sessions.get(connection);
    if (!session) {
      const execution = { kind: 'lost', sent: false, message: 'the connection is gone' } as const;
      post({ type: 'executed', connection, request, execution });
      return;
    }
    const { target } = session;
    trace(`${id} > ${target}: ${sql}`);
    network.send(id, target, () => {
      network.schedule(target, STATEMENT_MS, () => {
        if (session.isClosed) return;
        const execution = group.execute(session, sql);
        network.send(target, id, () => {
          if (sessions.get(connection) !== session) return;
          trace(`${target} > ${id}: ${sql}: ${execution.kind}`);
          post({ type: 'executed', connection, request, execution });
        });
      });
    });
  };

  const openConnection = ({ connection, target }: CommandOf<'open_connection'>): void => {
    const session: FakeSession = { target, isClosed: false };
    network.schedule(id, CONNECT_MS, () => {
      network.call(
        id,
        target,
        connectTimeoutMs,
        () => true,
        (isOpen) => {
          if (isOpen) sessions.set(connection, session);
          if (isOpen) post({ type: 'connection_opened', connection });
          else post({ type: 'connection_closed', connection, refused: false });
        },
      );
    });
  };

  const closeConnection = (connection: number): void => {
    const session = sessions.get(connection);
    sessions.delete(connection);
    if (!session) return;
    network.send(id, session.target, () => {
      session.isClosed = true;
    });
  };

  const resetConnection = ({ connection }: CommandOf<'reset_connection'>): void => {
    const session = sessions.get(connection);
    if (!session) return;
    const clearTransaction = (): boolean => {
      session.transaction = undefined;
      return true;
    };
    network.call(id, session.target, connectTimeoutMs, clearTransaction, (isReset) => {
      if (!isReset) closeConnection(connection);
      if (isReset) post({ type: 'connection_reset', connection });
      else post({ type: 'connection_closed', connection, refused: false });
    });
  };

  const promote = (command: CommandOf<'promote'>): void => {
    const { target, term } = command;
    trace(`${id} > ${target}: promote in term ${term}`);
    const promoteTarget = () => {
      const before = group.getTarget(target).report().received;
      const report = group.getTarget(target).promote(term, `${id}.${process.incarnation}`);
      history.recordPromotion(target, before, report);
      return report;
    };
    network.call(id, target, promotionTimeoutMs, promoteTarget, (report) => {
      post({ ...command, type: 'promoted', report });
    });
  };

  const adoptTerm = (command: CommandOf<'adopt_term'>): void => {
    const { target, term } = command;
    trace(`${id} > ${target}: adopt term ${term}`);
    const adoptAtTarget = () => group.getTarget(target).adopt(term, `${id}.${process.incarnation}`);
    network.call(id, target, promotionTimeoutMs, adoptAtTarget, (reply) => {
      post({ ...command, type: 'adopted', reply });
    });
  };

  const probe = (command: CommandOf<'probe'>): void => {
    const readReport = () => group.getTarget(command.target).report();
    network.call(id, command.target, probeTimeoutMs, readReport, (report) => {
      post({ ...command, type: 'probed', report });
    });
  };

  const claim = ({ term }: CommandOf<'claim_term'>): void => {
    trace(`${id} > store: claim term ${term}`);
    store.claim(term, (answer) => {
      network.schedule(id, 0, () => {
        post({ type: 'claimed', group: spec.id, term, ...answer });
      });
    });
  };

  const postPeerLost = (to: string, request: string, sent: boolean): void => {
    post({ type: 'peer_lost', request, to, sent });
    post({ type: 'peer_suspected', peer: to, forMs: SUSPICION_MS });
  };

  const sendPeer = ({ to, request }: CommandOf<'send_peer'>): void => {
    if (to === id) {
      post({ type: 'request', request });
      return;
    }
    const peer = ctx.daemons.get(to);
    const { isUp, incarnation } = network.find(to);
    if (!peer || !isUp) {
      network.schedule(id, 1, () => {
        postPeerLost(to, request.id, false);
      });
      return;
    }
    network.send(id, to, () => {
      peer.post({ type: 'request', request });
    });
    const checkPeer = (): void => {
      if (!core.world.entryRequests.has(request.id)) return;
      const remote = network.find(to);
      const isSilent =
        !remote.isUp ||
        remote.incarnation !== incarnation ||
        remote.isFrozen ||
        network.isCut(id, to);
      if (isSilent) postPeerLost(to, request.id, true);
      else network.schedule(id, PEER_CHECK_INTERVAL_MS, checkPeer);
    };
    network.schedule(id, PEER_CHECK_INTERVAL_MS, checkPeer);
  };

  const answerPeer = ({ request, entry, answer }: CommandOf<'answer_peer'>): void => {
    const call = history.calls.get(request);
    if (call && answer.kind !== 'failure') call.decidedAt ??= sim.clock.now();
    const postAnswer = (): void =>
      ctx.daemons.get(entry)?.post({ type: 'peer_answer', request, answer });
    if (entry === id) postAnswer();
    else network.send(id, entry, postAnswer);
  };

  /** Commands of the configuration have no handler; these runs do not use them. */
  const handlers: { [T in Command['type']]?: (command: CommandOf<T>) => void } = {
    open_connection: openConnection,
    close_connection: ({ connection }) => {
      closeConnection(connection);
    },
    reset_connection: resetConnection,
    execute,
    probe,
    claim_term: claim,
    adopt_term: adoptTerm,
    promote,
    answer_peer: answerPeer,
    send_peer: sendPeer,
    answer_caller: ({ session, request, answer }) => {
      ctx.onAnswer(session, request, answer);
    },
  };
  const perform = (command: Command): void => {
    (handlers[command.type] as ((one: Command) => void) | undefined)?.(command);
  };

  return {
    id,
    /** Returns the core, which each restart replaces. */
    core: () => core,
    post,
    kill: (): void => {
      network.kill(id);
      for (const session of sessions.values()) {
        network.schedule(session.target, 1, () => {
          session.isClosed = true;
        });
      }
      sessions = new Map();
      for (const peer of ctx.daemons.values()) {
        network.schedule(peer.id, 1, () => {
          peer.post({ type: 'entry_lost', entry: id });
        });
      }
    },
    restart: (): void => {
      process.isUp = true;
      tickAt = Infinity;
      core = startCore();
      scheduleTick(0);
    },
    /** Breaks all connections to a target that was killed. */
    breakConnections: (target: string): void => {
      for (const [connection, session] of sessions) {
        if (session.target !== target) continue;
        session.isClosed = true;
        network.schedule(id, 1, () => {
          sessions.delete(connection);
          post({ type: 'connection_closed', connection, refused: false });
        });
      }
    },
  };
}

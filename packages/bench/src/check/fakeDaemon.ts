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

/** What the daemons of a run share. */
export interface DaemonSurroundings {
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

/** One daemon core with fakes at its ports. */
export type FakeDaemon = ReturnType<typeof createFakeDaemon>;

type CommandOf<T extends Command['type']> = Extract<Command, { type: T }>;

const STATEMENT_MS = 1;
const OPEN_MS = 10;
const HOP_SILENCE_MS = 300;
const SUSPICION_MS = 2_000;

/** Creates a daemon and starts it. */
export function createFakeDaemon(around: DaemonSurroundings, id: string, failureDomain: string) {
  const { sim, network, group, store, history, spec, trace } = around;
  const settings = DEFAULT_CORE_SETTINGS;
  const { connectTimeoutMs, promotionTimeoutMs, probeTimeoutMs } = settings;
  network.add(id);
  const process = network.find(id);
  let sessions = new Map<number, FakeSession>();
  let core = createLife();
  let wakeAt = Infinity;

  function createLife(): Core {
    const { clock, random } = sim;
    const { policies } = around;
    const made = createCore({ self: id, failureDomain, clock, random, settings, policies });
    made.post({ type: 'groups', groups: [spec] });
    return made;
  }

  const post = (event: CoreEvent): void => {
    if (!process.up) return;
    core.post(event);
    wakeIn(0);
  };

  const wakeIn = (ms: Millis): void => {
    const at = sim.clock.now() + ms;
    if (at >= wakeAt) return;
    wakeAt = at;
    network.later(id, ms, () => {
      if (wakeAt > at) return;
      wakeAt = Infinity;
      tick();
    });
  };

  const tick = (): void => {
    const { commands, logEvents } = core.tick();
    for (const event of logEvents) around.onLogEvent(id, event);
    for (const command of commands) perform(command);
    const next = core.nextTickAt();
    if (next !== undefined) wakeIn(Math.max(0.01, next - sim.clock.now()));
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
      network.later(target, STATEMENT_MS, () => {
        if (session.closed) return;
        const execution = group.execute(session, sql);
        network.send(target, id, () => {
          if (sessions.get(connection) !== session) return;
          trace(`${target} > ${id}: ${sql}: ${execution.kind}`);
          post({ type: 'executed', connection, request, execution });
        });
      });
    });
  };

  const open = ({ connection, target }: CommandOf<'open_connection'>): void => {
    const session: FakeSession = { target, closed: false };
    network.later(id, OPEN_MS, () => {
      network.call(
        id,
        target,
        connectTimeoutMs,
        () => true,
        (opened) => {
          if (opened) sessions.set(connection, session);
          if (opened) post({ type: 'connection_opened', connection });
          else post({ type: 'connection_closed', connection, refused: false });
        },
      );
    });
  };

  const close = (connection: number): void => {
    const session = sessions.get(connection);
    sessions.delete(connection);
    if (!session) return;
    network.send(id, session.target, () => {
      session.closed = true;
    });
  };

  const reset = ({ connection }: CommandOf<'reset_connection'>): void => {
    const session = sessions.get(connection);
    if (!session) return;
    const clear = (): boolean => {
      session.transaction = undefined;
      return true;
    };
    network.call(id, session.target, connectTimeoutMs, clear, (done) => {
      if (!done) close(connection);
      if (done) post({ type: 'connection_reset', connection });
      else post({ type: 'connection_closed', connection, refused: false });
    });
  };

  const promote = (command: CommandOf<'promote'>): void => {
    const { target, term } = command;
    trace(`${id} > ${target}: promote in term ${term}`);
    const lead = () => {
      const before = group.targetOf(target).report().received;
      const report = group.targetOf(target).promote(term, `${id}.${process.life}`);
      history.notePrimary(target, before, report);
      return report;
    };
    network.call(id, target, promotionTimeoutMs, lead, (report) => {
      post({ ...command, type: 'promoted', report });
    });
  };

  const adopt = (command: CommandOf<'adopt_term'>): void => {
    const { target, term } = command;
    trace(`${id} > ${target}: adopt term ${term}`);
    const move = () => group.targetOf(target).adopt(term, `${id}.${process.life}`);
    network.call(id, target, promotionTimeoutMs, move, (reply) => {
      post({ ...command, type: 'adopted', reply });
    });
  };

  const probe = (command: CommandOf<'probe'>): void => {
    const read = () => group.targetOf(command.target).report();
    network.call(id, command.target, probeTimeoutMs, read, (report) => {
      post({ ...command, type: 'probed', report });
    });
  };

  const claim = ({ term }: CommandOf<'claim_term'>): void => {
    trace(`${id} > store: claim term ${term}`);
    store.claim(term, (answer) => {
      network.later(id, 0, () => {
        post({ type: 'claimed', group: spec.id, term, ...answer });
      });
    });
  };

  const loseHop = (to: string, request: string, sent: boolean): void => {
    post({ type: 'peer_lost', request, to, sent });
    post({ type: 'peer_suspected', peer: to, forMs: SUSPICION_MS });
  };

  const sendPeer = ({ to, request }: CommandOf<'send_peer'>): void => {
    if (to === id) {
      post({ type: 'request', request });
      return;
    }
    const peer = around.daemons.get(to);
    const { up, life } = network.find(to);
    if (!peer || !up) {
      network.later(id, 1, () => {
        loseHop(to, request.id, false);
      });
      return;
    }
    network.send(id, to, () => {
      peer.post({ type: 'request', request });
    });
    const watch = (): void => {
      if (!core.world.entryRequests.has(request.id)) return;
      const remote = network.find(to);
      const silent = !remote.up || remote.life !== life || remote.frozen || network.isCut(id, to);
      if (silent) loseHop(to, request.id, true);
      else network.later(id, HOP_SILENCE_MS, watch);
    };
    network.later(id, HOP_SILENCE_MS, watch);
  };

  const answerPeer = ({ request, entry, answer }: CommandOf<'answer_peer'>): void => {
    const call = history.calls.get(request);
    if (call && answer.kind !== 'failure') call.decidedAt ??= sim.clock.now();
    const take = (): void =>
      around.daemons.get(entry)?.post({ type: 'peer_answer', request, answer });
    if (entry === id) take();
    else network.send(id, entry, take);
  };

  /** Commands of the configuration have no part in these runs. */
  const handlers: { [T in Command['type']]?: (command: CommandOf<T>) => void } = {
    open_connection: open,
    close_connection: ({ connection }) => {
      close(connection);
    },
    reset_connection: reset,
    execute,
    probe,
    claim_term: claim,
    adopt_term: adopt,
    promote,
    answer_peer: answerPeer,
    send_peer: sendPeer,
    answer_caller: ({ session, request, answer }) => {
      around.onAnswer(session, request, answer);
    },
  };
  const perform = (command: Command): void => {
    (handlers[command.type] as ((one: Command) => void) | undefined)?.(command);
  };

  return {
    id,
    /** The core of the current life. */
    core: () => core,
    post,
    kill: (): void => {
      network.kill(id);
      for (const session of sessions.values()) {
        network.later(session.target, 1, () => {
          session.closed = true;
        });
      }
      sessions = new Map();
      for (const peer of around.daemons.values()) {
        network.later(peer.id, 1, () => {
          peer.post({ type: 'entry_lost', entry: id });
        });
      }
    },
    restart: (): void => {
      process.up = true;
      wakeAt = Infinity;
      core = createLife();
      wakeIn(0);
    },
    /** A target died: connections to it break. */
    loseTarget: (target: string): void => {
      for (const [connection, session] of sessions) {
        if (session.target !== target) continue;
        session.closed = true;
        network.later(id, 1, () => {
          sessions.delete(connection);
          post({ type: 'connection_closed', connection, refused: false });
        });
      }
    },
  };
}

import { DEFAULT_DIRECT_SETTINGS, createDirectEngine, samplersOf } from '../src/index';
import type {
  CallerStatement,
  ConnectionId,
  DirectEngine,
  DirectLogEvent,
  ListedDaemon,
  SampleReply,
  TargetOp,
  TargetReply,
} from '../src/index';
import type { LoggedGroup, TargetSession } from './loggedTargets';
import { MODEL_ROUTES } from './modelRoutes';
import type { Timeline } from './modelRoutes';

/** What a daemon needs of its model. */
export interface ModelDaemonInputs {
  readonly timeline: Timeline;
  readonly group: LoggedGroup;
  readonly listed: readonly ListedDaemon[];
  /** The daemon samples the group where connections are scarce. */
  readonly isSampler: boolean;
  readonly connectionLimit: number;
  readonly runOp: (
    session: TargetSession,
    op: TargetOp,
    reply: (result: TargetReply) => void,
  ) => void;
  readonly answer: (session: string, request: string, isDone: boolean, isIdle: boolean) => void;
  /** Carries out a promotion, unless it would restore discarded commits. */
  readonly promote: (target: string) => boolean;
  readonly peer: () => ModelDaemon | undefined;
}

/** An engine with a clock and connections of its own. */
export interface ModelDaemon {
  readonly name: string;
  readonly events: DirectLogEvent[];
  engine: () => DirectEngine;
  /** Opens a session; none is open after a restart. */
  open: (session: string, database: string) => void;
  submit: (session: string, request: string, statement: CallerStatement) => void;
  applyList: () => void;
  /** Sends a report to the other daemon. */
  report: () => void;
  /** Runs `event` now, or when the daemon resumes. */
  deliver: (event: () => void) => void;
  setCut: (target: string, isCut: boolean) => void;
  /** Stops the daemon, and its clock if `countsTime` is false. */
  suspend: (countsTime: boolean) => void;
  resume: () => void;
  /** Sets the time of day, which looks like a suspension. */
  stepTimeOfDay: () => void;
  /** Starts a new process, with a new clock; replies to the old one are lost. */
  restart: () => void;
}

interface Link extends TargetSession {
  readonly id: ConnectionId;
  /** The connection ends with this incarnation of its target. */
  readonly incarnation: number;
  isClosed: boolean;
  /** No earlier message arrives later, in each direction. */
  readonly arrivesAt: { toTarget: number; toDaemon: number };
  /** Operations that wait for the one that runs. */
  readonly queue: TargetOp[];
  isRunning: boolean;
}

/** Creates a daemon whose engine has the configuration, the list and the directory. */
export function createModelDaemon(inputs: ModelDaemonInputs): ModelDaemon {
  const { timeline, group, listed } = inputs;
  const { random } = timeline;
  const sampler = samplersOf(listed, 'g').get('a');
  const name = inputs.isSampler
    ? (sampler ?? '')
    : (listed.find((one) => one.name !== sampler)?.name ?? '');
  const events: DirectLogEvent[] = [];
  const cuts = new Map<string, (() => void)[]>();
  let inbox: (() => void)[] = [];
  /** Set while the daemon is suspended. */
  let suspended: { readonly at: number; readonly countsTime: boolean } | undefined;
  let life = 0;
  let offset = 0;
  let engine: DirectEngine;
  let links = new Map<ConnectionId, Link>();

  const clockNow = (): number => {
    const stopped = suspended && !suspended.countsTime ? timeline.now() - suspended.at : 0;
    return timeline.now() - stopped + offset;
  };
  const deliver = (event: () => void): void => {
    const addressee = life;
    const guarded = (): void => {
      if (life === addressee) event();
    };
    if (suspended) inbox.push(guarded);
    else guarded();
  };
  const delayMs = (): number => (random() < 0.1 ? random() * 280 : 1 + random() * 8);
  /** Carries a message over a link in order; a cut holds it until its end. */
  const carry = (link: Link, way: 'toTarget' | 'toDaemon', arrive: () => void): void => {
    const at = Math.max(link.arrivesAt[way], timeline.now() + delayMs());
    link.arrivesAt[way] = at;
    timeline.after(at - timeline.now(), () => {
      const held = cuts.get(link.target.id);
      if (held) held.push(arrive);
      else arrive();
    });
  };
  const runNext = (link: Link): void => {
    if (link.isRunning) return;
    const op = link.queue.shift();
    if (!op) return;
    link.isRunning = true;
    const runMs = op.op === 'run' ? 1 + random() * 20 : 0;
    timeline.after(runMs, () => {
      if (link.incarnation !== link.target.incarnation) {
        carry(link, 'toDaemon', () => {
          deliver(() => {
            if (!link.isClosed) engine.connectionLost(link.id, 'closed');
          });
        });
        return;
      }
      inputs.runOp(link, op, (result) => {
        link.isRunning = false;
        runNext(link);
        carry(link, 'toDaemon', () => {
          deliver(() => {
            if (!link.isClosed) engine.targetReplied(link.id, result);
          });
        });
      });
    });
  };
  const scheduleTick = (ms: number, ofLife: number): void => {
    timeline.after(ms, () => {
      if (life !== ofLife) return;
      deliver(() => {
        engine.tick();
        scheduleTick(engine.nextTickMs(), ofLife);
      });
    });
  };
  const openConnection = (id: ConnectionId, targetId: string): void => {
    const target = group.targets.find((one) => one.id === targetId);
    if (!target) return;
    const at = timeline.now();
    const arrivesAt = { toTarget: at, toDaemon: at };
    const { incarnation } = target;
    const link: Link = {
      id,
      target,
      incarnation,
      isClosed: false,
      arrivesAt,
      queue: [],
      isRunning: false,
    };
    links.set(id, link);
    carry(link, 'toTarget', () => {
      carry(link, 'toDaemon', () => {
        deliver(() => {
          if (!link.isClosed) engine.connectionOpened(id);
        });
      });
    });
  };
  const askSampler = (askedAt: number, groups: Parameters<DirectEngine['replyToRequest']>[1]) => {
    const ofLife = life;
    const reply = (replied: SampleReply, from: string): void => {
      timeline.after(delayMs(), () => {
        if (life !== ofLife) return;
        deliver(() => {
          engine.samplesReceived(replied, askedAt, from);
        });
      });
    };
    timeline.after(delayMs(), () => {
      const peer = inputs.peer();
      peer?.deliver(() => {
        const replied = peer.engine().replyToRequest(name, groups);
        reply(replied, peer.name);
        if (random() < 0.1) reply(replied, peer.name);
      });
    });
  };
  const start = (): void => {
    offset = random() * 20_000 - timeline.now();
    const ofLife = life;
    links = new Map();
    engine = createDirectEngine({
      clock: { now: clockNow },
      settings: DEFAULT_DIRECT_SETTINGS,
      random,
      name,
      failureDomain: 'a',
      io: {
        openConnection: (id, target) => {
          openConnection(id, target.id);
        },
        leaseConnection: () => undefined,
        closeConnection: (id) => {
          const link = links.get(id);
          if (link) link.isClosed = true;
          links.delete(id);
        },
        send: (id, ops) => {
          const link = links.get(id);
          if (!link) return;
          carry(link, 'toTarget', () => {
            link.queue.push(...ops);
            runNext(link);
          });
        },
        answer: (session, request, answer, state) => {
          inputs.answer(session, request, answer.kind === 'done', state === 'idle');
        },
        closeSession: () => undefined,
        readClaimBasis: () => ({ era: 0, revision: 0, ageMs: 0 }),
        viewAgeMs: () => 0,
        promote: (groupId, { target }) => {
          timeline.after(50 + random() * 300, () => {
            const result = inputs.promote(target) ? 'ordered' : 'unavailable';
            if (life !== ofLife) return;
            deliver(() => {
              engine.promotionEnded(groupId, target, result);
            });
          });
        },
        requestSamples: (_peer, { askedAt, groups }) => {
          askSampler(askedAt, groups);
        },
        sendQuotaMessage: () => undefined,
        wakeAfter: (ms) => {
          timeline.after(ms, () => {
            if (life === ofLife)
              deliver(() => {
                engine.wake();
              });
          });
        },
        log: (event) => events.push(event),
      },
    });
    const routes = new Map(MODEL_ROUTES.map((route) => [route.database, route]));
    const groups = new Map([['g', { connectionLimit: inputs.connectionLimit }]]);
    engine.applyConfig({ version: 1, routes, groups, transactionIdleMs: 3_000 }, 'test');
    engine.applyDirectory(listed);
    engine.applyTargets(group.list(), 'test');
    scheduleTick(0, ofLife);
  };
  start();
  return {
    name,
    events,
    engine: () => engine,
    open: (session, database) => {
      engine.openSession(session, database);
    },
    submit: (session, request, statement) => {
      deliver(() => {
        engine.statement(session, request, statement);
      });
    },
    applyList: () => {
      const list = group.list();
      timeline.after(delayMs(), () => {
        deliver(() => {
          engine.applyTargets(list, 'test');
        });
      });
    },
    report: () => {
      deliver(() => {
        const report = engine.report(1, 0);
        timeline.after(delayMs(), () => {
          const peer = inputs.peer();
          peer?.deliver(() => {
            peer.engine().applyPeer(report);
          });
        });
      });
    },
    deliver,
    setCut: (target, isCut) => {
      const held = cuts.get(target);
      if (isCut && !held) cuts.set(target, []);
      if (isCut || !held) return;
      cuts.delete(target);
      for (const arrive of held) arrive();
    },
    suspend: (countsTime) => {
      suspended ??= { at: timeline.now(), countsTime };
    },
    resume: () => {
      if (!suspended) return;
      const { at, countsTime } = suspended;
      suspended = undefined;
      if (!countsTime) {
        offset -= timeline.now() - at;
        engine.timeJumped(timeline.now() - at);
      }
      const waiting = inbox;
      inbox = [];
      for (const event of waiting) event();
    },
    stepTimeOfDay: () => {
      deliver(() => {
        engine.timeJumped(-500);
      });
    },
    restart: () => {
      for (const link of links.values()) link.isClosed = true;
      life += 1;
      suspended = undefined;
      inbox = [];
      start();
    },
  };
}

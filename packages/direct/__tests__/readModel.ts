import type { ListedDaemon, TargetOp, TargetReply } from '../src/index';
import { createLoggedGroup } from './loggedTargets';
import type { Entry, LoggedGroup, LoggedTarget, TargetSession } from './loggedTargets';
import { OPERATION_KINDS, createModelCallers } from './modelCallers';
import type { ModelCallers, OperationKind } from './modelCallers';
import { createModelDaemon } from './modelDaemon';
import type { ModelDaemon } from './modelDaemon';
import type { Timeline } from './modelRoutes';
import { createRandom } from './rig';

/** What a model may choose. */
export interface ModelOptions {
  readonly seed: number;
  /** Targets have too few connections for each daemon; one samples for the other. */
  readonly isScarce: boolean;
  /** A commit is acknowledged once a replica has received it. */
  readonly isSync: boolean;
}

/** A read that lacked a commit that it had to see. */
export interface StaleRead {
  readonly request: string;
  readonly target: string;
  readonly policy: string;
  readonly lacked: Entry;
  readonly ranAt: number;
}

/** Two daemons and a group of three targets, whose reads are checked against the commits. */
export interface ReadModel {
  readonly group: LoggedGroup;
  readonly daemons: readonly ModelDaemon[];
  readonly callers: ModelCallers;
  readonly now: () => number;
  readonly run: (ms: number) => void;
  /** Makes a target the next primary, unless that would restore discarded commits. */
  promote: (at: number) => void;
  /** Cuts a daemon from a target, or ends the cut; what was sent meanwhile arrives then. */
  cut: (daemon: number, target: number, isCut: boolean) => void;
  /**
   * Cuts the primary and a daemon from the other targets, and makes one of those the next primary,
   * unless that would restore discarded commits.
   */
  split: (daemon: number, target: number) => void;
  /** Ends all cuts, lags and suspensions. */
  heal: () => void;
  /** Starts no more operations besides those of a test. */
  calm: () => void;
  /** Reads that ran and lacked a commit that counts. */
  staleReads: () => StaleRead[];
  /** Reads that ran. */
  readCount: () => number;
}

const REPLICATE_MS = 5;
const LIST_MS = 250;
const REPORT_MS = 350;

const READ_KINDS: readonly OperationKind[] = ['read', 'readTransaction'];

/** Interval of the operations that callers start besides those of a test. */
const LOAD_MS = 20;

/** Creates the model; its two daemons have clocks of their own. */
export function createReadModel({ seed, isScarce, isSync }: ModelOptions): ReadModel {
  const random = createRandom(seed);
  let time = 0;
  let seq = 0;
  const timers: { at: number; seq: number; action: () => void }[] = [];
  const timeline: Timeline = {
    now: () => time,
    after: (ms, action) => {
      const timer = { at: time + ms, seq: (seq += 1), action };
      let index = timers.length;
      while (index > 0 && (timers[index - 1]?.at ?? 0) > timer.at) index -= 1;
      timers.splice(index, 0, timer);
    },
    random,
  };
  const group = createLoggedGroup();
  const candidates: StaleRead[] = [];
  let reads = 0;
  let isQuiet = false;

  const checkRead = (id: string, target: LoggedTarget, seen: readonly Entry[]): void => {
    const read = callers.requests.get(id);
    if (!read) return;
    reads += 1;
    const { policy, maxStalenessMs } = read.route;
    const limitMs = policy === 'primary' ? 0 : (maxStalenessMs ?? Infinity);
    const has = new Set(seen);
    for (const entry of group.entries) {
      const commit = callers.requests.get(entry.request);
      if (commit?.acknowledgedAt === undefined || entry.discarded || has.has(entry)) continue;
      const isOwn = policy === 'read_your_writes' && commit.session === read.session;
      if (commit.acknowledgedAt >= read.startedAt - (isOwn ? 0 : limitMs)) continue;
      candidates.push({ request: id, target: target.id, policy, lacked: entry, ranAt: time });
    }
  };
  const runOp = (
    session: TargetSession,
    op: TargetOp,
    reply: (result: TargetReply) => void,
  ): void => {
    const outcome = group.run(session, op, time);
    if (op.op === 'run' && outcome.seen) checkRead(op.id, session.target, outcome.seen);
    const { entry } = outcome;
    const awaitReplica = (): void => {
      if (!entry || group.targets.some((one) => one !== session.target && one.log.includes(entry)))
        reply(outcome.reply);
      else if (entry.discarded)
        reply({ kind: 'failed', code: 'timeout', detail: '', inTransaction: false });
      else timeline.after(REPLICATE_MS, awaitReplica);
    };
    if (isSync) awaitReplica();
    else reply(outcome.reply);
  };
  const promote = (target: LoggedTarget | undefined): boolean => {
    if (!target || !group.mayPromote(target)) return false;
    group.promote(target);
    return true;
  };

  const listed: readonly ListedDaemon[] = Array.from({ length: isScarce ? 30 : 2 }, (_, at) => ({
    name: `d${at + 1}`,
    failureDomain: 'a',
  }));
  const daemons: ModelDaemon[] = [0, 1].map((at) =>
    createModelDaemon({
      timeline,
      group,
      listed,
      isSampler: at === 0,
      connectionLimit: 20,
      runOp,
      answer: (session, request, isDone, isIdle) => {
        callers.answered(session, request, isDone, isIdle);
      },
      promote: (id) => promote(group.targets.find((one) => one.id === id)),
      peer: () => daemons[1 - at],
    }),
  );
  const callers = createModelCallers(timeline, daemons);
  const every = (ms: number, action: () => void): void => {
    timeline.after(ms, () => {
      action();
      every(ms, action);
    });
  };
  every(REPLICATE_MS, () => {
    group.replicate(time);
  });
  every(LIST_MS, () => {
    for (const daemon of daemons) daemon.applyList();
  });
  every(LOAD_MS, () => {
    const idle = callers.idle();
    const session = idle[Math.floor(random() * idle.length)];
    // Where one daemon samples for the other, that one has few samples of its own.
    const kinds = isScarce && session?.startsWith('1/') ? READ_KINDS : OPERATION_KINDS;
    const kind = kinds[Math.floor(random() * kinds.length)];
    if (isQuiet) return;
    if (session !== undefined && kind !== undefined) callers.start(session, kind);
  });
  every(REPORT_MS, () => {
    for (const daemon of daemons) daemon.report();
  });

  return {
    group,
    daemons,
    callers,
    now: timeline.now,
    run: (ms) => {
      const end = time + ms;
      for (let next = timers[0]; next && next.at <= end; next = timers[0]) {
        timers.shift();
        time = next.at;
        next.action();
      }
      time = end;
    },
    promote: (at) => {
      promote(group.targets[at]);
    },
    cut: (daemon, target, isCut) => {
      const id = group.targets[target]?.id;
      if (id !== undefined) daemons[daemon]?.setCut(id, isCut);
    },
    split: (daemon, at) => {
      const next = group.targets[at];
      const old = group.targets.find(({ role }) => role === 'primary');
      if (!next || !old || next === old || !group.mayPromote(next)) return;
      old.isolated = true;
      for (const target of group.targets) {
        if (target === old) continue;
        target.isolated = false;
        daemons[daemon]?.setCut(target.id, true);
      }
      promote(next);
    },
    heal: () => {
      for (const target of group.targets) {
        target.lagMs = 20;
        target.isolated = false;
        for (const daemon of daemons) daemon.setCut(target.id, false);
      }
      for (const daemon of daemons) daemon.resume();
    },
    calm: () => {
      isQuiet = true;
    },
    staleReads: () => candidates.filter(({ lacked }) => !lacked.discarded),
    readCount: () => reads,
  };
}

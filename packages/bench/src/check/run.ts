import { DEFAULT_POLICIES } from '@rosedeck/core';
import type { CoreEvent, GroupSpec, ListedInstance, CoreLogEvent, Policies } from '@rosedeck/core';
import type { Millis } from '@rosedeck/shared';
import { createCallers, drawScript } from './callers';
import type { Script } from './callers';
import { createFakeDaemon } from './fakeDaemon';
import type { FakeDaemon } from './fakeDaemon';
import { createFakeGroup } from './fakeGroup';
import { createFakeStore } from './fakeStore';
import { drawFaults, HEALED_MS, scheduleFault } from './faults';
import type { Fault, FaultKind } from './faults';
import { createHistory } from './history';
import type { History, Violation } from './history';
import { checkHistory } from './checkHistory';
import { createNetwork } from './network';
import { createSim } from './sim';

/** Options of a run. */
export interface RunOptions {
  readonly seed: number;
  readonly policies?: Policies;
  /** Kinds of faults to use; their times are still drawn. */
  readonly kinds?: readonly FaultKind[];
  /** Replaces the drawn faults. */
  readonly faults?: readonly Fault[];
  /** Replaces the random callers, one script for each. */
  readonly scripts?: readonly Script[];
  /** Additional events, posted to daemons at fixed times. */
  readonly posts?: readonly { at: Millis; daemon: string; event: CoreEvent }[];
  readonly endMs?: Millis;
  readonly trace?: (at: Millis, line: string) => void;
}

/** Result of a run; the numbers of reads and calls count all callers. */
export interface RunResult {
  readonly seed: number;
  readonly faults: readonly Fault[];
  readonly violations: readonly Violation[];
  /** Longest time between two acknowledged writes, and from the last one to the end. */
  readonly worstWriteGapMs: Millis;
  readonly replicaReads: number;
  readonly reads: number;
  readonly calls: number;
}

const DAEMON_IDS = ['d1', 'd2', 'd3'] as const;
const TARGET_IDS = ['a', 'b', 'c'] as const;
const MAJORITY = 2;
const CALLER_COUNT = 5;
const START_MS = 100;
const END_MS = 7_500;
/** A write must be acknowledged in this last part of the run. */
const FINAL_WINDOW_MS = 1_500;
/** Time after the end for answers that are still due. */
const ANSWER_GRACE_MS = 2_500;
const CLAIM_TIMEOUT_MS = 100;
const LIST_LAG_MS = 600;
const MAX_PROMOTER_KILL_DELAY_MS = 8;

const SPEC: GroupSpec = {
  id: 'g',
  customer: 'c',
  targets: TARGET_IDS.map((id, rank) => ({
    id,
    host: 'fake',
    port: rank,
    controlPort: rank,
    failureDomain: `f${rank}`,
  })),
  slots: 3,
  connectionLimit: 20,
  connectionReserve: 2,
  classRanks: { normal: 0 },
};

/** Runs one seed to its end and checks its history. */
export function runSeed(options: RunOptions): RunResult {
  const sim = createSim(options.seed);
  const { seed, faults = drawFaults(sim, options.kinds), endMs = END_MS } = options;
  const { policies = DEFAULT_POLICIES } = options;
  const trace = (line: string): void => options.trace?.(sim.clock.now(), line);
  const history = createHistory(sim, MAJORITY);
  const network = createNetwork(sim);
  const group = createFakeGroup(sim, network, TARGET_IDS, history);
  const store = createFakeStore(sim, CLAIM_TIMEOUT_MS);
  const daemons = new Map<string, FakeDaemon>();
  const shared = { sim, network, group, store, history, daemons, trace };
  const callers = createCallers({ ...shared, groupId: SPEC.id });
  let promoterKillMs: Millis | undefined;

  const publishFilteredList = (
    lagMs: Millis,
    isListed: (id: string, to: string) => boolean,
  ): void => {
    for (const to of daemons.values()) {
      network.schedule(to.id, sim.random() * lagMs, () => {
        const up = DAEMON_IDS.filter((id) => network.find(id).isUp && isListed(id, to.id));
        const targets = TARGET_IDS.map((id) => ({ id, leaving: history.leavingSince.has(id) }));
        to.post({ type: 'list', instances: up.map(toListedInstance), targets });
      });
    }
  };
  const publishList = (): void => {
    publishFilteredList(LIST_LAG_MS, () => true);
  };

  const killPromoter = (id: string, restartMs: Millis): void => {
    promoterKillMs = undefined;
    sim.schedule(sim.drawBetween(0, MAX_PROMOTER_KILL_DELAY_MS), () => {
      if (!network.find(id).isUp) return;
      daemons.get(id)?.kill();
      publishList();
      sim.schedule(restartMs, () => {
        daemons.get(id)?.restart();
        publishList();
      });
    });
  };

  const onLogEvent = (id: string, event: CoreLogEvent): void => {
    if (event.type === 'read_served') {
      history.readCounts.all += 1;
      if (event.role === 'replica') history.readCounts.replica += 1;
    }
    const isPromotionStart = event.type === 'promotion_started';
    if (isPromotionStart && promoterKillMs !== undefined) killPromoter(id, promoterKillMs);
    const isUntraced = event.type === 'request_dispatched' || event.type === 'read_served';
    if (!isUntraced) trace(`${id} notes ${JSON.stringify(event, roundNumber)}`);
  };

  for (const id of DAEMON_IDS) {
    const onAnswer: Parameters<typeof createFakeDaemon>[0]['onAnswer'] = (...answer) => {
      network.schedule(id, 0.5, () => {
        callers.handleAnswer(...answer);
      });
    };
    const ctx = { ...shared, spec: SPEC, policies, onAnswer, onLogEvent };
    daemons.set(id, createFakeDaemon(ctx, id, `f${id}`));
  }
  publishFilteredList(0, () => true);
  const drawnScripts = Array.from({ length: CALLER_COUNT }, () => drawScript(sim, endMs));
  for (const [index, script] of (options.scripts ?? drawnScripts).entries()) {
    sim.schedule(START_MS, () => {
      callers.start(`caller${index + 1}`, script);
    });
  }
  for (const { at, daemon, event } of options.posts ?? []) {
    sim.schedule(at, () => daemons.get(daemon)?.post(event));
  }
  const publishSplitList = (): void => {
    publishFilteredList(0, (id, to) => id === to);
  };
  const armPromoterKill = (restartMs: Millis): void => {
    promoterKillMs = restartMs;
  };
  for (const fault of faults) {
    scheduleFault({ ...shared, publishList, publishSplitList, armPromoterKill }, fault);
  }
  sim.runUntil(endMs + ANSWER_GRACE_MS);

  const primary = group.findPrimary();
  if (primary === undefined) history.recordViolation('no_service', 'no primary at the end');
  checkHistory(history, group.getTarget(primary ?? TARGET_IDS[0]).report().received);
  const writtenAt = listWriteTimes(history);
  const isServing = (writtenAt.at(-1) ?? 0) > endMs - FINAL_WINDOW_MS;
  if (!isServing)
    history.recordViolation(
      'no_service',
      `no write near the end, although all faults ended by ${HEALED_MS} ms`,
    );
  return {
    seed,
    faults,
    violations: history.violations,
    worstWriteGapMs: findLongestGap([...writtenAt, endMs]),
    replicaReads: history.readCounts.replica,
    reads: history.readCounts.all,
    calls: history.calls.size,
  };
}

function roundNumber(_key: string, value: unknown): unknown {
  return typeof value === 'number' ? Math.round(value) : value;
}

function toListedInstance(id: string): ListedInstance {
  return { id, failureDomain: `f${id}`, host: 'fake', peerPort: 0, leaving: false };
}

function listWriteTimes(history: History): Millis[] {
  const times: Millis[] = [];
  for (const call of history.calls.values()) {
    const isWrite = call.op === 'commit' || (call.op === 'write' && !call.inTransaction);
    if (isWrite && call.answer?.kind === 'ok') times.push(call.answeredAt ?? 0);
  }
  return times.sort((a, b) => a - b);
}

function findLongestGap(times: readonly Millis[]): Millis {
  return times.reduce((worst, at, index) => Math.max(worst, at - (times[index - 1] ?? at)), 0);
}

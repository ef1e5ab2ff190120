import { DEFAULT_POLICIES } from '@rosedeck/core';
import type { CoreEvent, GroupSpec, ListedInstance, CoreLogEvent, Policies } from '@rosedeck/core';
import type { Millis } from '@rosedeck/shared';
import { createCallers, drawScript } from './callers';
import type { Script } from './callers';
import { createFakeDaemon } from './fakeDaemon';
import type { FakeDaemon } from './fakeDaemon';
import { createFakeGroup } from './fakeGroup';
import { createFakeStore } from './fakeStore';
import { drawFaults, HEALED_MS, planFault } from './faults';
import type { Fault, FaultKind } from './faults';
import { createHistory } from './history';
import type { History, Violation } from './history';
import { judge } from './judge';
import { createNetwork } from './network';
import { createSim } from './sim';

/** What one run is made from. */
export interface RunOptions {
  readonly seed: number;
  readonly policies?: Policies;
  /** Kinds of faults in place of the drawn ones; their times are still drawn. */
  readonly kinds?: readonly FaultKind[];
  /** Faults in place of the drawn ones. */
  readonly faults?: readonly Fault[];
  /** Callers in place of the drawn ones. */
  readonly scripts?: readonly Script[];
  /** Events posted to daemons, beside those of the run. */
  readonly posts?: readonly { at: Millis; daemon: string; event: CoreEvent }[];
  readonly endMs?: Millis;
  readonly trace?: (at: Millis, line: string) => void;
}

/** What one run showed. */
export interface RunResult {
  readonly seed: number;
  readonly faults: readonly Fault[];
  readonly violations: readonly Violation[];
  /** Longest time without an acknowledged write. */
  readonly worstGapMs: Millis;
  readonly replicaReads: number;
  readonly reads: number;
  readonly calls: number;
}

const DAEMON_IDS = ['d1', 'd2', 'd3'] as const;
const TARGET_IDS = ['a', 'b', 'c'] as const;
const MAJORITY = 2;
const CALLERS = 5;
const START_MS = 100;
const END_MS = 7_500;
const LAST_LOOK_MS = 1_500;
const LAST_ANSWER_MS = 2_500;
const CLAIM_TIMEOUT_MS = 100;
const LIST_LAG_MS = 600;
const PROMOTER_KILL_MS = 8;

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

/** Runs one seed to its end and judges it. */
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

  const showList = (lagMs: Millis, isShown: (id: string, to: string) => boolean): void => {
    for (const to of daemons.values()) {
      network.later(to.id, sim.random() * lagMs, () => {
        const up = DAEMON_IDS.filter((id) => network.find(id).up && isShown(id, to.id));
        const targets = TARGET_IDS.map((id) => ({ id, leaving: history.leavingSince.has(id) }));
        to.post({ type: 'list', instances: up.map(listInstance), targets });
      });
    }
  };
  const spreadList = (): void => {
    showList(LIST_LAG_MS, () => true);
  };

  const killPromoter = (id: string, restartMs: Millis): void => {
    promoterKillMs = undefined;
    sim.after(sim.between(0, PROMOTER_KILL_MS), () => {
      if (!network.find(id).up) return;
      daemons.get(id)?.kill();
      spreadList();
      sim.after(restartMs, () => {
        daemons.get(id)?.restart();
        spreadList();
      });
    });
  };

  const onLogEvent = (id: string, event: CoreLogEvent): void => {
    if (event.type === 'read_served') {
      history.readCounts.all += 1;
      if (event.role === 'replica') history.readCounts.replica += 1;
    }
    const starts = event.type === 'promotion_started';
    if (starts && promoterKillMs !== undefined) killPromoter(id, promoterKillMs);
    const isQuiet = event.type === 'request_dispatched' || event.type === 'read_served';
    if (!isQuiet) trace(`${id} notes ${JSON.stringify(event, roundNumber)}`);
  };

  for (const id of DAEMON_IDS) {
    const onAnswer: Parameters<typeof createFakeDaemon>[0]['onAnswer'] = (...answer) => {
      network.later(id, 0.5, () => {
        callers.takeAnswer(...answer);
      });
    };
    const around = { ...shared, spec: SPEC, policies, onAnswer, onLogEvent };
    daemons.set(id, createFakeDaemon(around, id, `f${id}`));
  }
  showList(0, () => true);
  const drawn = Array.from({ length: CALLERS }, () => drawScript(sim, endMs));
  for (const [index, script] of (options.scripts ?? drawn).entries()) {
    sim.after(START_MS, () => {
      callers.start(`caller${index + 1}`, script);
    });
  }
  for (const { at, daemon, event } of options.posts ?? []) {
    sim.after(at, () => daemons.get(daemon)?.post(event));
  }
  const splitList = (): void => {
    showList(0, (listed, to) => listed === to);
  };
  const armPromoterKill = (restartMs: Millis): void => {
    promoterKillMs = restartMs;
  };
  for (const fault of faults) {
    planFault({ ...shared, spreadList, splitList, armPromoterKill }, fault);
  }
  sim.runUntil(endMs + LAST_ANSWER_MS);

  const leader = group.leader();
  if (leader === undefined) history.violate('no_service', 'no primary at the end');
  judge(history, group.targetOf(leader ?? TARGET_IDS[0]).report().received);
  const writtenAt = acknowledgedAt(history);
  const isServing = (writtenAt.at(-1) ?? 0) > endMs - LAST_LOOK_MS;
  if (!isServing) history.violate('no_service', `no write long after ${HEALED_MS} ms`);
  return {
    seed,
    faults,
    violations: history.violations,
    worstGapMs: worstGap([...writtenAt, endMs]),
    replicaReads: history.readCounts.replica,
    reads: history.readCounts.all,
    calls: history.calls.size,
  };
}

function roundNumber(_key: string, value: unknown): unknown {
  return typeof value === 'number' ? Math.round(value) : value;
}

function listInstance(id: string): ListedInstance {
  return { id, failureDomain: `f${id}`, host: 'fake', peerPort: 0, leaving: false };
}

function acknowledgedAt(history: History): Millis[] {
  const times: Millis[] = [];
  for (const call of history.calls.values()) {
    const isWrite = call.op === 'commit' || (call.op === 'write' && !call.inTransaction);
    if (isWrite && call.answer?.kind === 'ok') times.push(call.answeredAt ?? 0);
  }
  return times.sort((a, b) => a - b);
}

function worstGap(times: readonly Millis[]): Millis {
  return times.reduce((worst, at, index) => Math.max(worst, at - (times[index - 1] ?? at)), 0);
}

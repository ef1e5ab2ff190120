import type { Answer } from '@rosedeck/core';
import { formatFailure } from '@rosedeck/shared';
import type { Millis, Position } from '@rosedeck/shared';
import type { FakeDaemon } from './fakeDaemon';
import type { Call, History } from './history';
import type { Network } from './network';
import type { Sim } from './sim';

/** Next action of a caller: a statement, or a new connection to another daemon. */
export interface Step {
  readonly op: Call['op'] | 'reconnect';
  readonly idempotent?: boolean;
  readonly maxAgeMs?: Millis;
  readonly deadlineMs?: Millis;
  /** Replaces the generated statement. */
  readonly sql?: string;
  /** For `reconnect`: the new session presents the token of the old one. */
  readonly withToken?: boolean;
  /** Delay before the step. */
  readonly afterMs?: Millis;
}

/** Returns the next step of a caller, or undefined to stop it. */
export type Script = (inTransaction: boolean) => Step | undefined;

/** State that the callers of a run share. */
export interface CallerContext {
  readonly sim: Sim;
  readonly network: Network;
  readonly history: History;
  readonly daemons: Map<string, FakeDaemon>;
  readonly groupId: string;
  readonly trace: (line: string) => void;
}

interface Caller {
  readonly name: string;
  readonly script: Script;
  daemon: string;
  session: string;
  sequence: number;
  token?: Position;
  /** Acknowledged writes, newest last. */
  readonly written: string[];
  /** Open transaction: id of its BEGIN, and ids of its writes so far. */
  transaction?: { readonly label: string; readonly writes: string[] };
}

const DEADLINE_MS = 1_500;
const ANSWER_TIMEOUT_MS = 2_000;
const RECONNECT_MS = 20;
/** Number of a caller's newest acknowledged writes that each of its reads must reflect. */
const MUST_SEE_WRITES = 2;

/** Creates a script of random steps that ends at `stopAt`. */
export function drawScript(sim: Sim, stopAt: Millis): Script {
  const drawStep = (inTransaction: boolean): Step => {
    const random = sim.random();
    if (inTransaction) {
      if (random < 0.65) return { op: random < 0.4 ? 'write' : 'read' };
      if (random < 0.7) return { op: 'reconnect', withToken: random < 0.68 };
      return { op: random < 0.78 ? 'rollback' : 'commit' };
    }
    if (random < 0.3) return { op: 'read' };
    if (random < 0.5) return { op: 'read', maxAgeMs: sim.pick([0, 100, 1_000]) };
    if (random < 0.82) return { op: 'write', idempotent: random < 0.62 };
    if (random < 0.95) return { op: 'begin' };
    return { op: 'reconnect', withToken: sim.random() < 0.5 };
  };
  return (inTransaction) => {
    if (sim.clock.now() >= stopAt) return undefined;
    return { ...drawStep(inTransaction), afterMs: sim.drawBetween(2, 25) };
  };
}

/** Creates the callers of a run; each has one statement in flight at a time. */
export function createCallers(ctx: CallerContext) {
  const { sim, network, history, daemons, groupId, trace } = ctx;
  const pending = new Map<string, Caller>();

  const runNextStep = (caller: Caller): void => {
    const step = caller.script(caller.transaction !== undefined);
    if (!step) return;
    sim.schedule(step.afterMs ?? 0, () => {
      if (step.op === 'reconnect') reconnect(caller, step.withToken ?? false);
      else sendStatement(caller, step.op, step);
    });
  };

  const connect = (caller: Caller, withToken: boolean): void => {
    const up = [...daemons.keys()].filter((id) => network.find(id).isUp);
    if (up.length === 0) {
      sim.schedule(RECONNECT_MS, () => {
        connect(caller, withToken);
      });
      return;
    }
    const otherDaemons = up.filter((id) => id !== caller.daemon);
    caller.daemon = sim.pick(otherDaemons.length > 0 ? otherDaemons : up);
    caller.sequence += 1;
    caller.session = `${caller.name}/${caller.sequence}`;
    caller.transaction = undefined;
    const { session, daemon: id, token } = caller;
    trace(`${caller.name} connects to ${id}${withToken && token ? ' with its token' : ''}`);
    network.schedule(id, 1, () => {
      const post = daemons.get(id)?.post;
      post?.({ type: 'session_opened', session, customer: 'c', group: groupId });
      if (token && withToken)
        post?.({ type: 'session_token', session, group: groupId, position: token });
    });
    sim.schedule(RECONNECT_MS, () => {
      runNextStep(caller);
    });
  };

  const reconnect = (caller: Caller, withToken: boolean): void => {
    const { session, daemon } = caller;
    network.schedule(daemon, 1, () =>
      daemons.get(daemon)?.post({ type: 'session_closed', session }),
    );
    connect(caller, withToken);
  };

  const formatSql = (op: Call['op'], id: string, label: string | undefined): string => {
    const verb = op.toUpperCase();
    if (op === 'commit' || op === 'rollback') return `${verb} ${label ?? 'none'}`;
    return label === undefined ? `${verb} ${id}` : `IN ${label} ${verb} ${id}`;
  };

  const sendStatement = (caller: Caller, op: Call['op'], step: Step): void => {
    caller.sequence += 1;
    const id = `${caller.name}.${caller.sequence}`;
    const { session, daemon, transaction } = caller;
    const endsTransaction = op === 'commit' || op === 'rollback';
    const { idempotent = false, maxAgeMs, deadlineMs = DEADLINE_MS } = step;
    const call: Call = {
      id,
      session,
      op,
      inTransaction: transaction !== undefined,
      at: sim.clock.now(),
      idempotent,
      maxAgeMs,
      mustSee: op === 'read' ? caller.written.slice(-MUST_SEE_WRITES) : [],
      commits: endsTransaction ? (transaction?.writes ?? []) : [],
    };
    const sql = step.sql ?? formatSql(op, id, transaction?.label);
    if (endsTransaction) caller.transaction = undefined;
    history.calls.set(id, call);
    pending.set(id, caller);
    trace(`${caller.name} > ${daemon}: ${sql}`);
    const statement = { id, session, cls: 'normal', op, sql, deadlineMs, maxAgeMs, idempotent };
    network.schedule(daemon, 0.5, () => {
      daemons.get(daemon)?.post({ type: 'caller_statement', statement });
    });
    watchDaemon(caller, call, network.find(daemon).incarnation);
  };

  /** Connects a caller to another daemon when its own was killed or has not answered in time. */
  const watchDaemon = (caller: Caller, call: Call, incarnation: number): void => {
    sim.schedule(RECONNECT_MS, () => {
      if (!pending.has(call.id)) return;
      const process = network.find(caller.daemon);
      const isGone = !process.isUp || process.incarnation !== incarnation;
      const waitedMs = sim.clock.now() - Math.max(call.at, process.resumedAt);
      if (!isGone && waitedMs < ANSWER_TIMEOUT_MS) {
        watchDaemon(caller, call, incarnation);
        return;
      }
      if (!isGone && !process.isFrozen)
        history.recordViolation('no_service', `${call.id} has no answer`);
      pending.delete(call.id);
      connect(caller, sim.random() < 0.5);
    });
  };

  const applyAnswer = (caller: Caller, call: Call, answer: Answer): void => {
    const { transaction } = caller;
    if (answer.kind === 'failure') {
      const isTransactionLost = answer.failure.kind !== 'target_error';
      if (transaction && isTransactionLost) transaction.writes.length = 0;
      return;
    }
    if (call.op === 'begin') caller.transaction = { label: call.id, writes: [] };
    if (call.op === 'write') (transaction?.writes ?? caller.written).push(call.id);
    if (call.op === 'commit') caller.written.push(...call.commits);
    const sessionRow = daemons.get(caller.daemon)?.core().world.sessions.get(caller.session);
    caller.token = sessionRow?.minPositions.get(groupId) ?? caller.token;
  };

  return {
    handleAnswer: (session: string, request: string, answer: Answer): void => {
      const call = history.calls.get(request);
      if (call?.session !== session || call.answer) {
        history.recordViolation('foreign_answer', `${request} answered to ${session}`);
        return;
      }
      const caller = pending.get(request);
      if (!caller) return;
      pending.delete(request);
      call.answer = answer;
      call.answeredAt = sim.clock.now();
      const text = answer.kind === 'failure' ? formatFailure(answer.failure) : answer.kind;
      trace(`${caller.name} < ${caller.daemon}: ${request}: ${text}`);
      applyAnswer(caller, call, answer);
      const retryMs = answer.kind === 'failure' ? (answer.failure.retryAfterMs ?? 0) : 0;
      sim.schedule(Math.min(RECONNECT_MS, retryMs), () => {
        runNextStep(caller);
      });
    },
    start: (name: string, script: Script): void => {
      connect({ name, script, daemon: '', session: '', sequence: 0, written: [] }, false);
    },
  };
}

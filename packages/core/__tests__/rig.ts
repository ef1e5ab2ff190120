import { createManualClock } from '@rosedeck/shared';
import type { Millis, Position } from '@rosedeck/shared';
import { createCore, DEFAULT_CORE_SETTINGS } from '../src/index';
import type { Answer, Command, Core, GroupSpec, OwnerRequest, Policies } from '../src/index';
import { DEFAULT_POLICIES } from '../src/index';
import { SPEC_ROUND_MS } from './harness';

/** State of a scripted target, as its replies report it. */
export interface ScriptedTarget {
  up: boolean;
  term: number;
  role: 'primary' | 'replica';
  received: Position;
  applied: Position;
  contactAgeMs: Millis;
  /** Time that a reply takes to arrive. */
  delayMs: Millis;
  /** False: it does not answer requests to adopt a term. */
  adopts: boolean;
  /** False: it does not answer promotions. */
  acceptsPromotion: boolean;
}

type CommandOf<T extends Command['type']> = Extract<Command, { type: T }>;

/** One core with three scripted targets and a clock moved by hand. */
export interface Rig {
  readonly core: Core;
  readonly targets: Readonly<Record<'a' | 'b' | 'c', ScriptedTarget>>;
  readonly commands: Command[];
  readonly answers: Map<string, Answer>;
  /** The store's answer to claims; undefined: no answer. */
  claim: { result: 'granted' | 'refused' | 'unavailable'; heldTerm?: number } | undefined;
  /** Advances the clock by one millisecond at a time, with a tick after each. */
  run: (ms: Millis) => void;
  /** Advances the clock without a tick, as when the process is suspended. */
  pause: (ms: Millis) => void;
  /** Posts a request to the owner. */
  send: (request: Partial<OwnerRequest> & Pick<OwnerRequest, 'id' | 'op'>) => void;
  /** Ends the execution of a request that has been sent to a target. */
  finish: (request: string, position?: Position) => void;
  list: <T extends Command['type']>(type: T) => CommandOf<T>[];
  executions: (request: string) => CommandOf<'execute'>[];
  /** Target that a request was last sent to. */
  targetOf: (request: string) => string | undefined;
  /** Posts the platform's list: the targets that are leaving, and peers besides this daemon. */
  postList: (leaving: readonly string[], peers?: readonly string[]) => void;
}

const SPEC: GroupSpec = {
  id: 'g',
  customer: 'c',
  targets: ['a', 'b', 'c'].map((id) => ({
    id,
    host: 'h',
    port: 1,
    controlPort: 2,
    failureDomain: id,
  })),
  slots: 3,
  connectionLimit: 20,
  connectionReserve: 2,
  classRanks: { normal: 0 },
};

export const at = (term: number, index: number): Position => ({ term, index });

/** Time after which the failure detector may suspect the primary. */
const SETTLE_MS: Millis = 300;

/** Creates a rig; target a is the primary of term 1 and all logs end at 1:10. */
export function createRig(policies: Partial<Policies> = {}): Rig {
  const clock = createManualClock(1_000);
  const scheduled: { at: Millis; run: () => void }[] = [];
  const makeTarget = (role: ScriptedTarget['role']): ScriptedTarget => ({
    up: true,
    term: 1,
    role,
    received: at(1, 10),
    applied: at(1, 10),
    contactAgeMs: 0,
    delayMs: 1,
    adopts: true,
    acceptsPromotion: true,
  });
  const targets = { a: makeTarget('primary'), b: makeTarget('replica'), c: makeTarget('replica') };
  const core = createCore({
    self: 'd1',
    failureDomain: 'f1',
    clock,
    random: () => 0.5,
    settings: { ...DEFAULT_CORE_SETTINGS, activeRoundMs: SPEC_ROUND_MS },
    policies: { ...DEFAULT_POLICIES, ...policies },
  });
  const commands: Command[] = [];
  const answers = new Map<string, Answer>();
  const { post } = core;

  const after = (ms: Millis, run: () => void): void => {
    scheduled.push({ at: clock.now() + ms, run });
  };
  const stateOf = (id: string): ScriptedTarget => targets[id as keyof typeof targets];
  const reportOf = (id: string) => {
    const { term, role, received, applied, contactAgeMs } = stateOf(id);
    return { term, role, received, applied, primaryContactAgeMs: contactAgeMs };
  };

  const adopt = (command: CommandOf<'adopt_term'>): void => {
    const target = stateOf(command.target);
    if (!target.up || !target.adopts) return;
    const granted = command.term > target.term;
    if (granted) Object.assign(target, { term: command.term, role: 'replica' });
    const reply = { granted, report: reportOf(command.target) };
    after(target.delayMs, () => {
      post({ ...command, type: 'adopted', reply });
    });
  };

  const promote = (command: CommandOf<'promote'>): void => {
    const target = stateOf(command.target);
    if (!target.up || !target.acceptsPromotion) return;
    const start = at(command.term, target.received.index + 1);
    Object.assign(target, { role: 'primary', received: start, applied: start });
    const report = reportOf(command.target);
    after(target.delayMs, () => {
      post({ ...command, type: 'promoted', report });
    });
  };

  const perform = (command: Command): void => {
    commands.push(command);
    if (command.type === 'probe') {
      const target = stateOf(command.target);
      const report = reportOf(command.target);
      if (target.up)
        after(target.delayMs, () => {
          post({ ...command, type: 'probed', report });
        });
    } else if (command.type === 'open_connection') {
      const { connection, target } = command;
      if (stateOf(target).up)
        after(1, () => {
          post({ type: 'connection_opened', connection });
        });
    } else if (command.type === 'reset_connection') {
      const { connection } = command;
      after(1, () => {
        post({ type: 'connection_reset', connection });
      });
    } else if (command.type === 'claim_term') {
      const { group, term } = command;
      const { claim } = rig;
      if (claim)
        after(1, () => {
          post({ type: 'claimed', group, term, ...claim });
        });
    } else if (command.type === 'adopt_term') adopt(command);
    else if (command.type === 'promote') promote(command);
    else if (command.type === 'answer_peer') answers.set(command.request, command.answer);
  };

  const step = (): void => {
    clock.advance(1);
    const due = scheduled.filter((one) => one.at <= clock.now());
    for (const one of due) {
      scheduled.splice(scheduled.indexOf(one), 1);
      one.run();
    }
    const { commands: issued } = core.tick();
    for (const command of issued) perform(command);
  };

  const list = <T extends Command['type']>(type: T): CommandOf<T>[] =>
    commands.filter((one): one is CommandOf<T> => one.type === type);
  const executions = (request: string): CommandOf<'execute'>[] =>
    list('execute').filter((one) => one.request === request);

  const rig: Rig = {
    core,
    targets,
    commands,
    answers,
    claim: { result: 'granted' },
    run: (ms) => {
      for (let n = 0; n < ms; n += 1) step();
    },
    pause: (ms) => {
      clock.advance(ms);
    },
    send: (request) => {
      post({
        type: 'request',
        request: {
          entry: 'd1',
          group: 'g',
          customer: 'c',
          cls: 'normal',
          sql: request.id,
          deadlineMs: 1_500,
          idempotent: false,
          tries: 0,
          forwards: 0,
          ...request,
        },
      });
    },
    finish: (request, position) => {
      const sent = executions(request).at(-1);
      if (!sent) throw new Error(`${request} was not sent`);
      const execution = { kind: 'ok', affectedRows: 1, insertId: 0, position } as const;
      post({ type: 'executed', connection: sent.connection, request, execution });
    },
    list,
    executions,
    targetOf: (request) => {
      const sent = executions(request).at(-1);
      return list('open_connection').find((one) => one.connection === sent?.connection)?.target;
    },
    postList: (leaving, peers = []) => {
      post({
        type: 'list',
        instances: ['d1', ...peers].map((id) => ({
          id,
          failureDomain: id,
          host: 'h',
          peerPort: 1,
          leaving: false,
        })),
        targets: Object.keys(targets).map((id) => ({ id, leaving: leaving.includes(id) })),
      });
    },
  };
  post({ type: 'groups', groups: [SPEC] });
  rig.postList([]);
  rig.run(SETTLE_MS);
  return rig;
}

/** Error kind of a failure, else the kind of answer. */
export function kindOf(answer: Answer | undefined): string | undefined {
  return answer?.kind === 'failure' ? answer.failure.kind : answer?.kind;
}

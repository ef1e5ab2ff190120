import { covers } from '@rosedeck/shared';
import type { Position } from '@rosedeck/shared';
import type { ListedTarget, TargetCode, TargetOp, TargetReply } from '../src/index';

/** One commit in the logs of a group. */
export interface Entry extends Position {
  readonly request: string;
  readonly writtenAt: number;
  /** A promotion has cut the entry from the group's log. */
  discarded: boolean;
}

/** A target with a log; entries up to `applied` show in its reads. */
export interface LoggedTarget {
  readonly id: string;
  role: 'primary' | 'replica';
  term: number;
  log: Entry[];
  applied: number;
  /** Time after which a replica applies an entry; it receives it in half of that time. */
  lagMs: number;
  /** Not reached by the other targets. */
  isolated: boolean;
  incarnation: number;
}

/** A connection as its target sees it. */
export interface TargetSession {
  readonly target: LoggedTarget;
  transaction?: { readonly readOnly: boolean; readonly term: number; wrote: boolean };
}

/** What a target does with an operation; `commitsAs` sets the request of the entry that it adds. */
export interface OpOutcome {
  readonly reply: TargetReply;
  /** Set for a statement that ran: the entries that it saw. */
  readonly seen?: readonly Entry[];
  /** Set for a commit that waits until a replica has received it. */
  readonly entry?: Entry;
}

/** Three targets of one group that replicate their logs. */
export interface LoggedGroup {
  readonly targets: readonly LoggedTarget[];
  /** Every entry that was ever written. */
  readonly entries: Entry[];
  list: () => ListedTarget[];
  /** Replicates; called every few milliseconds. */
  replicate: (now: number) => void;
  /** Whether a target may lead next without entries that an earlier promotion has discarded. */
  mayPromote: (target: LoggedTarget) => boolean;
  /** The target leads the next term with what it has received, and nothing more. */
  promote: (target: LoggedTarget) => void;
  /** A replica is replaced by one with its id and no log. */
  replaceReplica: (target: LoggedTarget) => void;
  run: (session: TargetSession, op: TargetOp, now: number) => OpOutcome;
}

const FIRST_POSITION: Position = { term: 1, index: 100 };

/** Creates a group whose first target leads term 1. */
export function createLoggedGroup(): LoggedGroup {
  const targets = ['t1', 't2', 't3'].map((id, at): LoggedTarget => {
    const role = at === 0 ? 'primary' : 'replica';
    return { id, role, term: 1, log: [], applied: 0, lagMs: 20, isolated: false, incarnation: 1 };
  });
  const entries: Entry[] = [];
  let revision = 1;

  const follow = (replica: LoggedTarget, leader: LoggedTarget, now: number): void => {
    let common = 0;
    while (common < replica.log.length && replica.log[common] === leader.log[common]) common += 1;
    replica.term = leader.term;
    replica.log.length = common;
    replica.applied = Math.min(replica.applied, common);
    for (const entry of leader.log.slice(common)) {
      if (now - entry.writtenAt < replica.lagMs / 2) break;
      replica.log.push(entry);
    }
    while (replica.applied < replica.log.length) {
      const next = replica.log[replica.applied];
      if (!next || now - next.writtenAt < replica.lagMs) break;
      replica.applied += 1;
    }
  };
  const append = (target: LoggedTarget, request: string, now: number): Entry => {
    const index = FIRST_POSITION.index + target.log.length + 1;
    const entry = { term: target.term, index, request, writtenAt: now, discarded: false };
    target.log.push(entry);
    target.applied = target.log.length;
    entries.push(entry);
    return entry;
  };

  return {
    targets,
    entries,
    list: () =>
      targets.map(({ id, role, incarnation }) => ({
        id,
        group: 'g',
        address: `10.0.0.${id.slice(1)}:1`,
        failureDomain: 'a',
        slots: 8,
        leaving: false,
        role,
        incarnation,
        revision,
      })),
    replicate: (now) => {
      const leader = targets.find(({ role }) => role === 'primary');
      if (!leader || leader.isolated) return;
      for (const target of targets)
        if (target !== leader && !target.isolated) follow(target, leader, now);
    },
    mayPromote: (target) =>
      target.role === 'replica' && !target.log.some(({ discarded }) => discarded),
    promote: (target) => {
      const term = Math.max(...targets.map((one) => one.term)) + 1;
      revision += 1;
      for (const one of targets) one.role = one === target ? 'primary' : 'replica';
      target.term = term;
      target.applied = target.log.length;
      const kept = new Set(target.log);
      for (const entry of entries) if (!kept.has(entry)) entry.discarded = true;
    },
    replaceReplica: (target) => {
      revision += 1;
      target.log = [];
      target.applied = 0;
      target.incarnation += 1;
    },
    run: (session, op, now) => runOperation(session, op, now, append),
  };
}

type Append = (target: LoggedTarget, request: string, now: number) => Entry;

function runOperation(
  session: TargetSession,
  op: TargetOp,
  now: number,
  append: Append,
): OpOutcome {
  const { target } = session;
  const digest = op.op === 'run' ? `${target.id}.${op.id}` : '-';
  const leads = (): boolean =>
    target.role === 'primary' && (session.transaction?.term ?? target.term) === target.term;
  const done = (seen?: readonly Entry[], entry?: Entry): OpOutcome => ({
    reply: { ...replyHead(session), kind: 'done', rows: [], digest },
    seen,
    entry,
  });
  const fail = (code: TargetCode): OpOutcome => ({
    reply: { ...replyHead(session), kind: 'failed', code, detail: '' },
  });
  const after = 'after' in op ? op.after : undefined;
  if (after && !covers(positionOf(target), after)) return fail('behind');
  switch (op.op) {
    case 'begin':
      if (!op.readOnly && !leads()) return fail('read_only');
      session.transaction = { readOnly: op.readOnly, term: target.term, wrote: false };
      return done();
    case 'rollback':
      session.transaction = undefined;
      return done();
    case 'status':
    case 'stepDown': {
      const outcome = done();
      const received = target.log.at(-1) ?? FIRST_POSITION;
      const status = { role: target.role, term: target.term, received: { ...received } };
      return { ...outcome, reply: { ...outcome.reply, status } as TargetReply };
    }
    case 'run':
      break;
    default:
      return done();
  }
  const { transaction } = session;
  const isWrite = op.text.startsWith('WRITE');
  const isCommit = op.text === 'COMMIT';
  const commitsNothing = isCommit && !transaction?.wrote;
  const needsLead = transaction ? !transaction.readOnly && !commitsNothing : isWrite;
  if (needsLead && !leads()) return fail('read_only');
  if (transaction?.readOnly && isWrite) return fail('read_only');
  if (isCommit) {
    session.transaction = undefined;
    return commitsNothing ? done() : done(undefined, append(target, op.id, now));
  }
  if (!isWrite) return done(target.log.slice(0, target.applied));
  if (!transaction) return done(undefined, append(target, op.id, now));
  transaction.wrote = true;
  return done();
}

function positionOf({ log, applied }: LoggedTarget): Position {
  return log[applied - 1] ?? FIRST_POSITION;
}

function replyHead(session: TargetSession): { inTransaction: boolean; position: Position } {
  const { term, index } = positionOf(session.target);
  return { inTransaction: session.transaction !== undefined, position: { term, index } };
}

import { covers } from '@rosedeck/shared';
import type { Position } from '@rosedeck/shared';
import type { ListedTarget, TargetOp, TargetReply } from '../src/index';

/** A stand-in for one target, at the level of operations. */
export interface FakeTarget {
  readonly id: string;
  role: 'primary' | 'replica';
  term: number;
  received: Position;
  applied: Position;
  /** Takes what is sent and answers nothing. */
  silent: boolean;
  /** Refuses new connections. */
  refusing: boolean;
  /** Runs statements and loses their answers. */
  losesAnswers: boolean;
  /** Refuses statements for want of room. */
  full: boolean;
  runMs: number;
  slots: number;
  busy: number;
  readonly waiting: (() => void)[];
  connectionLimit: number;
  /** Statements that ran, in order. */
  readonly ran: { readonly id: string; readonly text: string; readonly at: number }[];
}

/** A connection to a stand-in target. */
export interface FakeConnection {
  readonly target: FakeTarget;
  inTransaction: boolean;
  plain: boolean;
  wrote: boolean;
  readonly values: Map<string, string>;
  readonly prepared: Set<string>;
  /** Operations are worked on one after the other. */
  chain: (() => void)[];
  working: boolean;
}

/** Creates a target with an empty queue and a log of 100 entries. */
export function createTarget(id: string, isPrimary: boolean, connectionLimit: number): FakeTarget {
  return {
    id,
    role: isPrimary ? 'primary' : 'replica',
    term: 1,
    received: { term: 1, index: 100 },
    applied: { term: 1, index: 100 },
    silent: false,
    refusing: false,
    losesAnswers: false,
    full: false,
    runMs: 20,
    slots: 3,
    busy: 0,
    waiting: [],
    connectionLimit,
    ran: [],
  };
}

/** The target as the platform's list shows it. */
export function describe(target: FakeTarget): ListedTarget {
  return {
    id: target.id,
    group: 'g',
    address: `10.0.0.${target.id.slice(1)}:1`,
    failureDomain: 'a',
    slots: target.slots,
    leaving: false,
    role: target.role,
    incarnation: 1,
    revision: 1,
  };
}

type Later = (ms: number, act: () => void) => void;

type Reply = (result: TargetReply) => void;

/** Works on one operation and replies when it is done. */
export function runOp(
  target: FakeTarget,
  link: FakeConnection,
  op: TargetOp,
  reply: Reply,
  later: Later,
  now: () => number,
  replicate: () => void,
): void {
  const lacks = 'after' in op && op.after !== undefined && !covers(target.applied, op.after);
  if (op.op === 'run') {
    runStatement(target, link, op, lacks, reply, later, now, replicate);
    return;
  }
  if (op.op === 'begin') {
    if (!op.readOnly && target.role !== 'primary') {
      reply(failed(target, link, 'read_only'));
      return;
    }
    if (lacks) {
      reply(failed(target, link, 'behind'));
      return;
    }
    link.inTransaction = true;
    link.plain = !op.readOnly;
    link.wrote = false;
  }
  if (op.op === 'rollback') link.inTransaction = false;
  if (op.op === 'discard') {
    link.values.clear();
    link.prepared.clear();
  }
  if (op.op === 'set') link.values.set(op.name, op.value);
  if (op.op === 'prepare') link.prepared.add(op.name);
  const status = { role: target.role, term: target.term, received: target.received };
  const answer = done(target, link);
  reply(op.op === 'status' ? { ...answer, status } : answer);
}

function done(
  target: FakeTarget,
  link: FakeConnection,
  rows: string[] = [],
  digest = '-',
): Extract<TargetReply, { kind: 'done' }> {
  return {
    kind: 'done',
    rows,
    digest,
    inTransaction: link.inTransaction,
    position: target.applied,
  };
}

function failed(
  target: FakeTarget,
  link: FakeConnection,
  code: 'read_only' | 'behind' | 'busy',
): TargetReply {
  const { inTransaction } = link;
  return { kind: 'failed', code, detail: '', inTransaction, position: target.applied };
}

function runStatement(
  target: FakeTarget,
  link: FakeConnection,
  op: Extract<TargetOp, { op: 'run' }>,
  lacks: boolean,
  reply: Reply,
  later: Later,
  now: () => number,
  replicate: () => void,
): void {
  if (target.full) {
    reply(failed(target, link, 'busy'));
    return;
  }
  const isCommit = op.text === 'COMMIT';
  const isWrite = op.text.startsWith('WRITE') || op.text.startsWith('EXECUTE write');
  const needsLead = link.inTransaction ? link.plain : isWrite;
  if (lacks || (needsLead && target.role !== 'primary')) {
    reply(failed(target, link, lacks ? 'behind' : 'read_only'));
    return;
  }
  const finish = (): void => {
    target.busy -= 1;
    target.waiting.shift()?.();
    target.ran.push({ id: op.id, text: op.text, at: now() });
    if (link.inTransaction && isWrite) link.wrote = true;
    if ((isWrite && !link.inTransaction) || (isCommit && link.wrote)) {
      target.received = { term: target.term, index: target.received.index + 1 };
      target.applied = target.received;
      replicate();
    }
    if (isCommit) link.inTransaction = false;
    if (target.losesAnswers) return;
    const values = [...link.values].map(([name, value]) => `${name}=${value}`).join(',');
    reply(done(target, link, [`${target.id}/${values}`], `${target.id}.${op.id}`));
  };
  const start = (): void => {
    target.busy += 1;
    later(target.runMs, finish);
  };
  if (target.busy < target.slots) start();
  else target.waiting.push(start);
}

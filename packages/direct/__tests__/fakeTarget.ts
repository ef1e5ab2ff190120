import { covers, ORIGIN } from '@rosedeck/shared';
import type { Position } from '@rosedeck/shared';
import type { Access, ListedTarget, TargetOp, TargetReply } from '../src/index';

/** A fake target that handles single operations. */
export interface FakeTarget {
  readonly id: string;
  role: 'primary' | 'replica';
  term: number;
  received: Position;
  applied: Position;
  /** Accepts operations and never replies. */
  silent: boolean;
  /** Refuses new connections. */
  refusing: boolean;
  /** Runs statements but never replies to them. */
  dropsReplies: boolean;
  /** Refuses each BEGIN, and the refusal is lost; its connections go on. */
  losesBegins: boolean;
  /** Replies to `status` with a row that cannot be read. */
  hidesReceived: boolean;
  /** Names no position at the end of its replies; its status does. */
  hidesPosition: boolean;
  /** Term at which it is paused; 0: it receives. */
  held: number;
  /** Rejects `pause` and `resume`. */
  rejectsPause: boolean;
  /** It receives nothing from the primary. */
  isDeaf: boolean;
  /** Never replies to `status`. */
  ignoresStatus: boolean;
  /** Time that a reply to `status` takes. */
  statusMs: number;
  /** Forgets the prepared statements of the connection of the next EXECUTE. */
  forgetsPrepared: boolean;
  /** Refuses the next SET, PARSE, CLOSE or DISCARD with `busy`. */
  refusesSetup: boolean;
  /** Refuses statements with `busy`. */
  repliesBusy: boolean;
  runMs: number;
  slots: number;
  /** Slots with a running statement. */
  busySlots: number;
  readonly waiting: (() => void)[];
  connectionLimit: number;
  /** Statements that ran, in order. */
  readonly executed: {
    readonly id: string;
    readonly text: string;
    /** Shape of the prepared statement that an EXECUTE ran. */
    readonly shape?: string;
    /** Session values in force, as `name=value`. */
    readonly values: readonly string[];
    /** Transaction in which it ran; distinct for all transactions of a target. */
    readonly transaction?: string;
    readonly at: number;
  }[];
}

/** A connection to a fake target. */
export interface FakeConnection {
  readonly target: FakeTarget;
  readonly id: number;
  /** Transactions begun so far. */
  begun: number;
  inTransaction: boolean;
  readWrite: boolean;
  wrote: boolean;
  readonly variables: Map<string, string>;
  /** What each prepared name stands for. */
  readonly prepared: Map<string, { readonly access: Access; readonly shape: string }>;
  /** Operations that wait; they run one after the other. */
  pending: (() => void)[];
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
    dropsReplies: false,
    losesBegins: false,
    hidesReceived: false,
    hidesPosition: false,
    held: 0,
    rejectsPause: false,
    isDeaf: false,
    ignoresStatus: false,
    statusMs: 0,
    forgetsPrepared: false,
    refusesSetup: false,
    repliesBusy: false,
    runMs: 20,
    slots: 3,
    busySlots: 0,
    waiting: [],
    connectionLimit,
    executed: [],
  };
}

/** Makes a target hold nothing, as one that has just been set up. */
export function emptyLog(target: FakeTarget): void {
  target.received = ORIGIN;
  target.applied = ORIGIN;
}

/** The target as the platform's list shows it. */
export function toListed(target: FakeTarget): ListedTarget {
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

const SETUP_OPS: ReadonlySet<string> = new Set(['set', 'prepare', 'close', 'discard']);

type Schedule = (ms: number, action: () => void) => void;

type Reply = (result: TargetReply) => void;

/** Handles one operation and replies when it is done. */
export function runOp(
  target: FakeTarget,
  connection: FakeConnection,
  op: TargetOp,
  reply: Reply,
  schedule: Schedule,
  now: () => number,
  replicate: () => void,
): void {
  const isBehind = 'after' in op && op.after !== undefined && !covers(target.applied, op.after);
  if (op.op === 'run') {
    runStatement(target, connection, op, isBehind, reply, schedule, now, replicate);
    return;
  }
  if (op.op === 'begin') {
    if (!op.readOnly && target.role !== 'primary') {
      reply(failedReply(target, connection, 'read_only'));
      return;
    }
    if (isBehind) {
      reply(failedReply(target, connection, 'behind'));
      return;
    }
    connection.inTransaction = true;
    connection.begun += 1;
    connection.readWrite = !op.readOnly;
    connection.wrote = false;
  }
  if (target.refusesSetup && SETUP_OPS.has(op.op)) {
    target.refusesSetup = false;
    reply(failedReply(target, connection, 'busy'));
    return;
  }
  if (op.op === 'rollback') connection.inTransaction = false;
  if (op.op === 'discard') {
    connection.variables.clear();
    connection.prepared.clear();
  }
  if (op.op === 'set') connection.variables.set(op.name, op.value);
  if (op.op === 'prepare') connection.prepared.set(op.name, op);
  if (op.op === 'close') connection.prepared.delete(op.name);
  if (op.op === 'stepDown' && target.term < op.term) target.role = 'replica';
  if (op.op === 'pause' || op.op === 'resume') {
    if (target.rejectsPause) {
      reply(failedReply(target, connection, 'malformed'));
      return;
    }
    if (op.op === 'resume') target.held = 0;
    else if (target.role === 'replica' && op.term > target.term) target.held = op.term;
  }
  if (op.op === 'status' && target.ignoresStatus) return;
  if (op.op === 'status' && target.hidesReceived) {
    reply(doneReply(target, connection, [`${target.role} ${target.term} - 0 0 0 1`]));
    return;
  }
  if (op.op === 'status' && target.statusMs > 0) {
    schedule(target.statusMs, () => {
      const { role, term, received } = target;
      reply({ ...doneReply(target, connection), status: { role, term, received } });
    });
    return;
  }
  const { role, term, received, held } = target;
  const status = { role, term, received, held };
  const answer = doneReply(target, connection);
  reply(STATUS_OPS.has(op.op) ? { ...answer, status } : answer);
}

/** Operations that are answered with the status. */
const STATUS_OPS: ReadonlySet<TargetOp['op']> = new Set(['status', 'stepDown', 'pause', 'resume']);

function doneReply(
  target: FakeTarget,
  connection: FakeConnection,
  rows: string[] = [],
  digest = '-',
): Extract<TargetReply, { kind: 'done' }> {
  return {
    kind: 'done',
    rows,
    digest,
    inTransaction: connection.inTransaction,
    position: toldPosition(target),
  };
}

/** The position at the end of a reply; an empty log has none. */
function toldPosition({ applied, hidesPosition }: FakeTarget): Position | undefined {
  return hidesPosition || covers(ORIGIN, applied) ? undefined : { ...applied };
}

function failedReply(
  target: FakeTarget,
  connection: FakeConnection,
  code: 'read_only' | 'behind' | 'busy' | 'unknown_prepared' | 'malformed',
): TargetReply {
  const { inTransaction } = connection;
  return { kind: 'failed', code, detail: '', inTransaction, position: toldPosition(target) };
}

function runStatement(
  target: FakeTarget,
  connection: FakeConnection,
  op: Extract<TargetOp, { op: 'run' }>,
  isBehind: boolean,
  reply: Reply,
  schedule: Schedule,
  now: () => number,
  replicate: () => void,
): void {
  if (target.repliesBusy) {
    reply(failedReply(target, connection, 'busy'));
    return;
  }
  const isCommit = op.text === 'COMMIT';
  const [verb, name = ''] = op.text.split(' ', 2);
  if (verb === 'EXECUTE' && target.forgetsPrepared) {
    target.forgetsPrepared = false;
    connection.prepared.clear();
  }
  const prepared = verb === 'EXECUTE' ? connection.prepared.get(name) : undefined;
  if (verb === 'EXECUTE' && !prepared) {
    reply(failedReply(target, connection, 'unknown_prepared'));
    return;
  }
  const isWrite = verb === 'WRITE' || prepared?.access === 'write';
  const needsPrimary = connection.inTransaction ? connection.readWrite : isWrite;
  if (isBehind || (needsPrimary && target.role !== 'primary')) {
    reply(failedReply(target, connection, isBehind ? 'behind' : 'read_only'));
    return;
  }
  const finish = (): void => {
    target.busySlots -= 1;
    target.waiting.shift()?.();
    const values = [...connection.variables].map(([key, value]) => `${key}=${value}`);
    const { id, text } = op;
    const transaction = connection.inTransaction
      ? `${connection.id}/${connection.begun}`
      : undefined;
    target.executed.push({ id, text, shape: prepared?.shape, values, transaction, at: now() });
    if (connection.inTransaction && isWrite) connection.wrote = true;
    if ((isWrite && !connection.inTransaction) || (isCommit && connection.wrote)) {
      target.received = { term: target.term, index: target.received.index + 1 };
      target.applied = target.received;
      replicate();
    }
    if (isCommit) connection.inTransaction = false;
    if (target.dropsReplies) return;
    reply(
      doneReply(target, connection, [`${target.id}/${values.join(',')}`], `${target.id}.${op.id}`),
    );
  };
  const start = (): void => {
    target.busySlots += 1;
    schedule(target.runMs, finish);
  };
  if (target.busySlots < target.slots) start();
  else target.waiting.push(start);
}

import { createTarget, lastPosition, positionAt } from '@rosedeck/standins';
import type { Target } from '@rosedeck/standins';
import { formatPosition } from '@rosedeck/shared';
import type { Millis, Position } from '@rosedeck/shared';
import type { Execution } from '@rosedeck/core';
import type { History } from './history';
import type { Network } from './network';
import type { Sim } from './sim';

/** One MySQL session at a fake target. */
export interface FakeSession {
  readonly target: string;
  /** Label of the open transaction, and its writes so far. */
  transaction?: { readonly label: string; readonly writes: string[] };
  closed: boolean;
}

/** A group of targets that replicate asynchronously. */
export type FakeGroup = ReturnType<typeof createFakeGroup>;

const HEARTBEAT_MS = 25;
const READ_ONLY: Execution = {
  kind: 'sql_error',
  code: 1290,
  sqlState: 'HY000',
  message: 'the target is read-only',
};
const SYNTAX_ERROR: Execution = {
  kind: 'sql_error',
  code: 1064,
  sqlState: '42000',
  message: 'You have an error in your SQL syntax',
};
const OK = { kind: 'ok', affectedRows: 0, insertId: 0 } as const;
const COLUMN = {
  name: 'id',
  table: 't',
  schema: 'app',
  type: 253,
  charset: 45,
  flags: 0,
  length: 64,
  decimals: 0,
};

/** Creates the group; the first target starts as primary. */
export function createFakeGroup(
  sim: Sim,
  network: Network,
  ids: readonly string[],
  history: History,
) {
  const targets = new Map<string, Target>();
  const nextIndex = new Map<string, number>();
  const receiveLag = new Map<string, Millis>();
  const targetOf = (id: string): Target => {
    const found = targets.get(id);
    if (!found) throw new Error(`no target ${id}`);
    return found;
  };
  for (const [rank, id] of ids.entries()) {
    network.add(id);
    targets.set(id, createTarget(sim.clock, rank === 0 ? 'primary' : 'replica'));
  }

  const replicate = (from: string, to: string): void => {
    const source = targetOf(from);
    if (!source.isPrimary()) return;
    const key = `${from}>${to}`;
    const next = Math.min(nextIndex.get(key) ?? 1, source.log.entries.length + 1);
    const previous = positionAt(source.log, next - 1) ?? lastPosition(source.log);
    const entries = source.log.entries.slice(next - 1, next + 499);
    const { term } = source.report();
    const end = source.log.entries.length;
    const arrive = (): void => {
      const reply = targetOf(to).append({ term, previous, entries, end });
      if (reply.ok) history.noteHolder(to, targetOf(to).report());
      network.send(to, from, () => {
        source.stepDownIfBehind(reply.term);
        const after = previous.index + entries.length + 1;
        const back = Math.max(1, Math.min(previous.index, reply.received.index + 1));
        nextIndex.set(key, reply.ok ? Math.max(after, nextIndex.get(key) ?? 1) : back);
        if (!reply.ok && reply.term === term) replicate(from, to);
      });
    };
    sim.after(receiveLag.get(to) ?? 0, () => {
      network.send(from, to, arrive);
    });
  };

  const replicateToAll = (from: string): void => {
    for (const to of ids) if (to !== from) replicate(from, to);
  };

  const beat = (id: string): void => {
    const process = network.processes.get(id);
    if (process?.up && !process.frozen) replicateToAll(id);
    sim.after(HEARTBEAT_MS, () => {
      beat(id);
    });
  };
  for (const id of ids) beat(id);

  const commit = (id: string, requests: readonly string[]): Position => {
    const target = targetOf(id);
    const parent = lastPosition(target.log);
    const position = target.commit(requests.map((key) => ({ table: 't', key, row: null })));
    history.noteCommit(id, position, parent, requests);
    replicateToAll(id);
    return position;
  };

  const runRead = (id: string, request: string): Execution => {
    const { applied } = targetOf(id).report();
    return { kind: 'rows', columns: [COLUMN], rows: [[request], [formatPosition(applied)]] };
  };

  const runInTransaction = (session: FakeSession, words: readonly string[]): Execution => {
    const [verb = '', label = '', inner = '', request = ''] = words;
    const open = session.transaction;
    if (open?.label !== label) {
      history.violate('mixed', `${words.join(' ')} met ${open?.label ?? 'no transaction'}`);
      return OK;
    }
    if (verb === 'ROLLBACK') {
      session.transaction = undefined;
      return OK;
    }
    if (verb === 'COMMIT') {
      session.transaction = undefined;
      if (open.writes.length === 0) return OK;
      if (!targetOf(session.target).isPrimary()) return READ_ONLY;
      return { ...OK, position: commit(session.target, open.writes) };
    }
    if (inner === 'READ') return runRead(session.target, request);
    if (!targetOf(session.target).isPrimary()) return READ_ONLY;
    open.writes.push(request);
    return OK;
  };

  /** Runs one statement on a session, at the target. */
  const execute = (session: FakeSession, sql: string): Execution => {
    const words = sql.split(' ');
    const [verb, request = ''] = words;
    if (!session.transaction) history.noteWork(session.target, sql);
    if (verb === 'IN' || verb === 'COMMIT' || verb === 'ROLLBACK') {
      return runInTransaction(session, words);
    }
    if (session.transaction) {
      history.violate('mixed', `${sql} ran inside ${session.transaction.label}`);
    }
    if (verb === 'READ') return runRead(session.target, request);
    if (!targetOf(session.target).isPrimary()) return READ_ONLY;
    if (verb !== 'WRITE' && verb !== 'BEGIN') return SYNTAX_ERROR;
    if (verb === 'BEGIN') {
      session.transaction = { label: request, writes: [] };
      return OK;
    }
    return { ...OK, position: commit(session.target, [request]) };
  };

  return {
    ids,
    targetOf,
    execute,
    setReceiveLag: (id: string, lagMs: Millis): void => {
      receiveLag.set(id, lagMs);
    },
    /** The restart of a killed target: its log stays, its role does not. */
    demote: (id: string): void => {
      const target = targetOf(id);
      target.stepDownIfBehind(target.report().term + 1);
    },
    /** The primary of the highest term. */
    leader: (): string | undefined => {
      const leading = ids.filter((id) => targetOf(id).isPrimary());
      return leading.sort((a, b) => targetOf(b).report().term - targetOf(a).report().term)[0];
    },
  };
}

import { createTarget, lastPosition, positionAt } from '@rosedeck/standins';
import type { Target } from '@rosedeck/standins';
import { formatPosition } from '@rosedeck/shared';
import type { Millis, Position } from '@rosedeck/shared';
import type { Execution } from '@rosedeck/core';
import type { History } from './history';
import type { Network } from './network';
import type { Sim } from './sim';

/** MySQL session at a fake target. */
export interface FakeSession {
  readonly target: string;
  /** Open transaction: id of its BEGIN, and ids of its writes so far. */
  transaction?: { readonly label: string; readonly writes: string[] };
  isClosed: boolean;
}

/** Group of targets that replicate asynchronously over the simulated network. */
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
  const getTarget = (id: string): Target => {
    const found = targets.get(id);
    if (!found) throw new Error(`unknown target ${id}`);
    return found;
  };
  for (const [rank, id] of ids.entries()) {
    network.add(id);
    targets.set(id, createTarget(sim.clock, rank === 0 ? 'primary' : 'replica'));
  }

  const replicate = (from: string, to: string): void => {
    const source = getTarget(from);
    if (!source.isPrimary()) return;
    const key = `${from}>${to}`;
    const nextEntryIndex = Math.min(nextIndex.get(key) ?? 1, source.log.entries.length + 1);
    const previous = positionAt(source.log, nextEntryIndex - 1) ?? lastPosition(source.log);
    const entries = source.log.entries.slice(nextEntryIndex - 1, nextEntryIndex + 499);
    const { term } = source.report();
    const end = source.log.entries.length;
    const arrive = (): void => {
      const reply = getTarget(to).append({ term, previous, entries, end });
      if (reply.ok) history.recordHolder(to, getTarget(to).report());
      network.send(to, from, () => {
        source.stepDownIfBehind(reply.term);
        const indexAfterSuccess = previous.index + entries.length + 1;
        const indexAfterRefusal = Math.max(1, Math.min(previous.index, reply.received.index + 1));
        nextIndex.set(
          key,
          reply.ok ? Math.max(indexAfterSuccess, nextIndex.get(key) ?? 1) : indexAfterRefusal,
        );
        if (!reply.ok && reply.term === term) replicate(from, to);
      });
    };
    sim.schedule(receiveLag.get(to) ?? 0, () => {
      network.send(from, to, arrive);
    });
  };

  const replicateToAll = (from: string): void => {
    for (const to of ids) if (to !== from) replicate(from, to);
  };

  const sendHeartbeats = (id: string): void => {
    const process = network.processes.get(id);
    if (process?.isUp && !process.isFrozen) replicateToAll(id);
    sim.schedule(HEARTBEAT_MS, () => {
      sendHeartbeats(id);
    });
  };
  for (const id of ids) sendHeartbeats(id);

  const commit = (id: string, requests: readonly string[]): Position => {
    const target = getTarget(id);
    const parent = lastPosition(target.log);
    const position = target.commit(requests.map((key) => ({ table: 't', key, row: null })));
    history.recordCommit(id, position, parent, requests);
    replicateToAll(id);
    return position;
  };

  const runRead = (id: string, request: string): Execution => {
    const { applied } = getTarget(id).report();
    return { kind: 'rows', columns: [COLUMN], rows: [[request], [formatPosition(applied)]] };
  };

  const runInTransaction = (session: FakeSession, words: readonly string[]): Execution => {
    const [verb = '', label = '', innerVerb = '', request = ''] = words;
    const open = session.transaction;
    if (open?.label !== label) {
      history.recordViolation(
        'mixed',
        `${words.join(' ')} ran in ${open?.label ?? 'no transaction'}`,
      );
      return OK;
    }
    if (verb === 'ROLLBACK') {
      session.transaction = undefined;
      return OK;
    }
    if (verb === 'COMMIT') {
      session.transaction = undefined;
      if (open.writes.length === 0) return OK;
      if (!getTarget(session.target).isPrimary()) return READ_ONLY;
      return { ...OK, position: commit(session.target, open.writes) };
    }
    if (innerVerb === 'READ') return runRead(session.target, request);
    if (!getTarget(session.target).isPrimary()) return READ_ONLY;
    open.writes.push(request);
    return OK;
  };

  /** Runs one statement in a session, at the session's target. */
  const execute = (session: FakeSession, sql: string): Execution => {
    const words = sql.split(' ');
    const [verb, request = ''] = words;
    if (!session.transaction) history.checkNewWork(session.target, sql);
    if (verb === 'IN' || verb === 'COMMIT' || verb === 'ROLLBACK') {
      return runInTransaction(session, words);
    }
    if (session.transaction) {
      history.recordViolation('mixed', `${sql} ran inside ${session.transaction.label}`);
    }
    if (verb === 'READ') return runRead(session.target, request);
    if (!getTarget(session.target).isPrimary()) return READ_ONLY;
    if (verb !== 'WRITE' && verb !== 'BEGIN') return SYNTAX_ERROR;
    if (verb === 'BEGIN') {
      session.transaction = { label: request, writes: [] };
      return OK;
    }
    return { ...OK, position: commit(session.target, [request]) };
  };

  return {
    ids,
    getTarget,
    execute,
    setReceiveLag: (id: string, lagMs: Millis): void => {
      receiveLag.set(id, lagMs);
    },
    /** Ends the role of a target that restarts; its log is kept. */
    demote: (id: string): void => {
      const target = getTarget(id);
      target.stepDownIfBehind(target.report().term + 1);
    },
    /** Returns the primary of the latest term. */
    findPrimary: (): string | undefined => {
      const primaries = ids.filter((id) => getTarget(id).isPrimary());
      return primaries.sort((a, b) => getTarget(b).report().term - getTarget(a).report().term)[0];
    },
  };
}

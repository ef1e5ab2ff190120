import type { CallerStatement, Route } from '../src/index';
import type { ModelDaemon } from './modelDaemon';
import { MODEL_ROUTES } from './modelRoutes';
import type { Timeline } from './modelRoutes';

/** A statement that a caller has sent. */
export interface SentRequest {
  readonly session: string;
  readonly route: Route;
  /** When its first byte was sent, or that of its transaction. */
  readonly startedAt: number;
  /** Set for a commit or a single write that was answered with success. */
  acknowledgedAt?: number;
  isDone?: boolean;
}

/** Callers with one session for each database and daemon. */
export interface ModelCallers {
  readonly requests: ReadonlyMap<string, SentRequest>;
  /** Sessions that wait for no answer. */
  idle: () => string[];
  /** Sends an operation of a session, one statement after the other; false while it is busy. */
  start: (session: string, kind: OperationKind) => boolean;
  /** An engine has answered a statement. */
  answered: (session: string, request: string, isDone: boolean, isIdle: boolean) => void;
  /** Opens the sessions of a daemon anew. */
  reopen: (daemon: number) => void;
  /** The last request of each session. */
  lastOf: (session: string) => SentRequest | undefined;
}

/** What a caller does: a single statement, or a transaction. */
export const OPERATION_KINDS = ['read', 'write', 'readTransaction', 'writeTransaction'] as const;

/** One of `OPERATION_KINDS`. */
export type OperationKind = (typeof OPERATION_KINDS)[number];

const READ: CallerStatement = { kind: 'read', text: 'READ 1' };
const WRITE: CallerStatement = { kind: 'write', text: 'WRITE 1 x' };
const COMMIT: CallerStatement = { kind: 'commit', text: 'COMMIT' };

const STATEMENTS: Readonly<Record<OperationKind, readonly CallerStatement[]>> = {
  read: [READ],
  write: [WRITE],
  readTransaction: [{ kind: 'begin', readOnly: true }, READ, READ, COMMIT],
  writeTransaction: [{ kind: 'begin', readOnly: false }, READ, WRITE, READ, COMMIT],
};

interface Session {
  id: string;
  readonly daemon: number;
  readonly route: Route;
  left: CallerStatement[];
  startedAt: number;
  isBusy: boolean;
  request?: string;
}

/** Creates the callers and opens their sessions. */
export function createModelCallers(
  { now, after, random }: Timeline,
  daemons: readonly ModelDaemon[],
): ModelCallers {
  const requests = new Map<string, SentRequest>();
  const sessions: Session[] = [];
  let count = 0;
  const find = (id: string): Session | undefined => sessions.find((one) => one.id === id);
  const open = (session: Session): void => {
    daemons[session.daemon]?.open(session.id, session.route.database);
  };
  const sendNext = (session: Session): void => {
    const statement = session.left.shift();
    if (!statement) {
      session.isBusy = false;
      return;
    }
    count += 1;
    const id = `q${count}`;
    const { startedAt, route } = session;
    requests.set(id, { session: session.id, route, startedAt });
    session.request = id;
    const sessionId = session.id;
    after(random() * 5, () => {
      daemons[session.daemon]?.submit(sessionId, id, statement);
    });
  };
  for (const daemon of daemons.keys())
    for (const route of MODEL_ROUTES) {
      const id = `${daemon}/${route.database}/0`;
      sessions.push({ id, daemon, route, left: [], startedAt: 0, isBusy: false });
    }
  sessions.forEach(open);
  return {
    requests,
    idle: () => sessions.filter(({ isBusy }) => !isBusy).map(({ id }) => id),
    start: (id, kind) => {
      const session = find(id);
      if (!session || session.isBusy) return false;
      session.isBusy = true;
      session.startedAt = now();
      session.left = [...STATEMENTS[kind]];
      sendNext(session);
      return true;
    },
    answered: (id, request, isDone, isIdle) => {
      const session = find(id);
      const sent = requests.get(request);
      if (!session || !sent || session.request !== request) return;
      sent.isDone = isDone;
      // Only commits add entries under the id of a request.
      if (isDone) sent.acknowledgedAt = now();
      if (!isDone) session.left = isIdle ? [] : [{ kind: 'rollback' }];
      after(random() < 0.1 ? random() * 400 : random() * 10, () => {
        if (session.id === id) sendNext(session);
      });
    },
    reopen: (daemon) => {
      for (const session of sessions) {
        if (session.daemon !== daemon) continue;
        const [place, database, life] = session.id.split('/');
        session.id = `${place}/${database}/${Number(life) + 1}`;
        session.left = [];
        session.isBusy = false;
        open(session);
      }
    },
    lastOf: (id) => {
      const request = find(id)?.request;
      return request === undefined ? undefined : requests.get(request);
    },
  };
}

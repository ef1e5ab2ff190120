import net from 'node:net';
import { HOST, listen } from './links';
import { createLineSplitter, splitWord } from './lines';
import type { Store } from './store';

/** A commit; it contains all that came before it in the log of its primary. */
export interface Commit {
  readonly term: number;
  readonly number: number;
  readonly previous?: Commit;
  readonly writes: readonly (readonly [item: string, data: string])[];
  /** Ids of the statements that wrote it. */
  readonly ids: readonly string[];
}

/** A statement that a server has run. */
export interface Run {
  readonly id: string;
  readonly text: string;
  readonly server: string;
  readonly digest: string;
  /** Last commit of the log on which it ran, before a commit of its own. */
  readonly log?: Commit;
  readonly atMs: number;
}

/** A server of the service. */
export interface Server {
  readonly id: string;
  readonly zone: string;
  readonly port: number;
  /** The log as received. */
  log: Commit[];
  applied: number;
  /** Term that it leads; undefined: it is a replica. */
  leads?: number;
  isUp: boolean;
  /** It sends nothing and hears nothing. */
  isDark: boolean;
  isDraining: boolean;
  /** It receives nothing from a primary. */
  isDeaf: boolean;
}

/** How the service behaves. */
export interface ServiceOptions {
  readonly name: string;
  readonly zones: readonly string[];
  /** Their ids; made of the zones' names unless given. */
  readonly ids?: readonly string[];
  readonly syncReplicas: 0 | 1;
  /** A promotion ends the lead of the old primary at once. */
  readonly isFenced: boolean;
  readonly promoteMs: number;
  /** Time in which a replica applies what it has received. */
  readonly lagMs: number;
  readonly slots: number;
  readonly beatMs: number;
  /** Rows of a read beyond the one with the item's data. */
  readonly extraRows?: (item: string) => readonly string[];
  readonly now: () => number;
  readonly note: (text: string) => void;
}

/** A service of one primary and its replicas, as PROTOCOL.md describes it. */
export interface Service {
  readonly servers: readonly Server[];
  readonly runs: Run[];
  /** When each server was promoted, and with which log. */
  readonly promotions: { readonly server: Server; readonly log: readonly Commit[]; atMs: number }[];
  /** Starts a promotion; false for a server that is not running. */
  promote: (id: string) => boolean;
  /** The servers of one side do not reach those of the other one. */
  cut: (isCut: (a: Server, b: Server) => boolean) => void;
  /** Whether a server reaches the store. */
  setStoreReach: (reaches: (server: Server) => boolean) => void;
  drain: (server: Server) => void;
  crash: (server: Server) => void;
  /** Makes a server dark for a time, right after a beat; its process goes on. */
  darken: (server: Server, forMs: number) => void;
  close: () => void;
}

/** Time in which a message passes between two servers. */
const LINK_MS = 2;

/** Time of a statement. */
const WORK_MS = 3;

/** Time after which a primary that reaches a newer one steps down, where promotions have no fence. */
const STALE_LEAD_MS = 1_000;

const LOST_BEATS = 3;

interface State extends Server {
  readonly sockets: Set<net.Socket>;
  readonly listener: net.Server;
  /** Calls that wait for a replica to receive a commit. */
  readonly waiting: Set<{ readonly commit: Commit; readonly done: () => void }>;
  expiry?: NodeJS.Timeout;
}

/** Starts a service; the server of the first zone is its primary. */
export async function startService(store: Store, options: ServiceOptions): Promise<Service> {
  const { name, note, now } = options;
  const states: State[] = [];
  const runs: Run[] = [];
  const promotions: Service['promotions'] = [];
  let isCut: (a: Server, b: Server) => boolean = () => false;
  let reachesStore: (server: Server) => boolean = () => true;
  let sequence = 0;
  let digests = 0;

  const newestTerm = (): number => Math.max(1, ...states.map(({ leads }) => leads ?? 0));
  const beat = (server: State): void => {
    if (!server.isUp || server.isDark || !reachesStore(server)) return;
    sequence += 1;
    clearTimeout(server.expiry);
    server.expiry = setTimeout(() => {
      store.remove(`servers/${server.id}`);
    }, LOST_BEATS * options.beatMs);
    store.put(`servers/${server.id}`, {
      Service: name,
      Address: `${HOST}:${server.port}`,
      Zone: server.zone,
      Version: 'v1',
      Slots: options.slots,
      State: server.isDraining ? 'draining' : 'ready',
      ColdRemainingMs: 0,
      DbRole: server.leads === undefined ? 'replica' : 'primary',
      Sequence: sequence,
      born: server.port,
    });
  };
  const apply = (server: State): void => {
    const { length } = server.log;
    const last = server.log.at(-1);
    setTimeout(() => {
      if (server.log[length - 1] === last && server.applied < length) server.applied = length;
    }, options.lagMs);
  };
  /** Brings a replica's log to that of the primary that it reaches. */
  const follow = (primary: State, server: State): void => {
    if (server === primary || !server.isUp || server.isDeaf || !primary.isUp) return;
    if (server.isDark || primary.isDark) return;
    if (server.leads !== undefined || primary.leads === undefined || isCut(primary, server)) return;
    if (primary.leads < newestTermReached(server)) return;
    const differs = server.log.findIndex((one, at) => one !== primary.log[at]);
    server.applied = Math.min(server.applied, differs === -1 ? server.applied : differs);
    server.log = [...primary.log];
    apply(server);
    for (const one of [...primary.waiting])
      if (server.log.includes(one.commit)) {
        primary.waiting.delete(one);
        setTimeout(one.done, LINK_MS);
      }
  };
  const newestTermReached = (server: State): number =>
    Math.max(
      0,
      ...states.filter((one) => !isCut(one, server) && !one.isDark).map(({ leads }) => leads ?? 0),
    );
  const commit = (
    primary: State,
    writes: Commit['writes'],
    ids: readonly string[],
    acknowledge: () => void,
  ): void => {
    const previous = primary.log.at(-1);
    const one: Commit = {
      term: primary.leads ?? 1,
      number: (previous?.number ?? 0) + 1,
      previous,
      writes,
      ids,
    };
    primary.log.push(one);
    primary.applied = primary.log.length;
    if (options.syncReplicas === 0) acknowledge();
    else primary.waiting.add({ commit: one, done: acknowledge });
    for (const server of states) setTimeout(follow, LINK_MS, primary, server);
  };
  const lead = (server: State): void => {
    if (!server.isUp || server.leads !== undefined) return;
    const term = newestTerm() + 1;
    server.leads = term;
    server.applied = server.log.length;
    promotions.push({ server, log: [...server.log], atMs: now() });
    note(`platform: ${server.id} leads term ${term}, its log ends at ${positionOf(server.log)}`);
    for (const other of states) {
      if (other === server) continue;
      if (options.isFenced) other.leads = undefined;
    }
    reviewLeads();
    for (const one of states) beat(one);
  };
  /** Without a fence an older primary goes on until it has reached the new one for a second. */
  const reviewLeads = (): void => {
    for (const server of states) {
      const { leads } = server;
      if (leads !== undefined && leads < newestTermReached(server))
        setTimeout(() => {
          if (server.leads !== leads || leads >= newestTermReached(server)) return;
          server.leads = undefined;
          reviewLeads();
        }, STALE_LEAD_MS);
    }
    for (const primary of states) for (const server of states) follow(primary, server);
  };
  const accept = (server: State, socket: net.Socket): void => {
    if (!server.isUp) {
      socket.destroy();
      return;
    }
    server.sockets.add(socket);
    socket.setNoDelay(true);
    const session = createSession(server, {
      name,
      send: (text) => {
        if (!socket.destroyed && server.isUp && !server.isDark) socket.write(text, 'latin1');
      },
      extraRows: options.extraRows ?? (() => []),
      record: (id, text) => {
        digests += 1;
        const digest = `${server.id}.${digests}`;
        runs.push({ id, text, server: server.id, digest, log: headOf(server), atMs: now() });
        note(`${server.id} runs ${id} ${text.slice(0, 60)} at ${positionOf(server.log)}`);
        return digest;
      },
      commit: (writes, ids, acknowledge) => {
        commit(server, writes, ids, acknowledge);
      },
      stepDown: (term) => {
        if (server.leads === undefined || server.leads >= term) return;
        note(`${server.id} steps down for term ${term}`);
        server.leads = undefined;
        beat(server);
      },
      term: newestTerm,
    });
    socket.on('data', createLineSplitter(session.handle));
    socket.on('error', () => undefined);
    socket.on('close', () => {
      session.close();
      server.sockets.delete(socket);
    });
  };

  for (const [at, zone] of options.zones.entries()) {
    const listener = net.createServer((socket) => {
      accept(state, socket);
    });
    const state: State = {
      id: options.ids?.[at] ?? `i-${zone}`,
      zone,
      port: await listen(listener),
      log: [],
      applied: 0,
      leads: at === 0 ? 1 : undefined,
      isUp: true,
      isDark: false,
      isDraining: false,
      isDeaf: false,
      sockets: new Set(),
      listener,
      waiting: new Set(),
    };
    states.push(state);
  }
  const [primary] = states;
  // The log does not begin empty.
  if (primary) commit(primary, [], [], () => undefined);
  const timer = setInterval(() => {
    for (const server of states) beat(server);
  }, options.beatMs);
  for (const server of states) beat(server);
  const find = (server: Server): State | undefined => states.find((one) => one === server);

  return {
    servers: states,
    runs,
    promotions,
    promote: (id) => {
      const server = states.find((one) => one.id === id);
      if (!server?.isUp) return false;
      setTimeout(lead, options.promoteMs, server);
      return true;
    },
    cut: (next) => {
      isCut = next;
      reviewLeads();
    },
    setStoreReach: (next) => {
      reachesStore = next;
    },
    drain: (server) => {
      server.isDraining = true;
      const state = find(server);
      if (state) beat(state);
    },
    crash: (server) => {
      const state = find(server);
      if (!state) return;
      state.isUp = false;
      for (const socket of state.sockets) socket.resetAndDestroy();
    },
    darken: (server, forMs) => {
      const state = find(server);
      if (!state) return;
      beat(state);
      state.isDark = true;
      setTimeout(() => {
        state.isDark = false;
        for (const socket of state.sockets) socket.resetAndDestroy();
        reviewLeads();
        beat(state);
      }, forMs);
    },
    close: () => {
      clearInterval(timer);
      for (const state of states) {
        clearTimeout(state.expiry);
        state.listener.close();
        for (const socket of state.sockets) socket.destroy();
      }
    },
  };
}

function headOf(server: Server): Commit | undefined {
  return server.log[server.applied - 1];
}

/** Formats the last position of a log. */
export function positionOf(log: readonly Commit[]): string {
  const last = log.at(-1);
  return last ? `${last.term}.${last.number}` : '-';
}

/** Whether a log that ends in `head` contains a commit. */
export function containsCommit(head: Commit | undefined, wanted: Commit): boolean {
  let one = head;
  while (one && one !== wanted) one = one.previous;
  return one !== undefined;
}

interface SessionIo {
  readonly name: string;
  readonly send: (text: string) => void;
  readonly extraRows: (item: string) => readonly string[];
  /** Records a run and returns its digest. */
  readonly record: (id: string, text: string) => string;
  readonly commit: (
    writes: Commit['writes'],
    ids: readonly string[],
    acknowledge: () => void,
  ) => void;
  readonly stepDown: (term: number) => void;
  readonly term: () => number;
}

interface Transaction {
  readonly isReadOnly: boolean;
  readonly term?: number;
  readonly writes: (readonly [string, string])[];
  readonly ids: string[];
}

/** One connection to a server. */
function createSession(
  server: Server,
  io: SessionIo,
): { handle: (line: string) => void; close: () => void } {
  let isStarted = false;
  let isClosed = false;
  let transaction: Transaction | undefined;
  let hasFailed = false;
  let last = Promise.resolve();
  const prepared = new Map<string, string>();

  const ready = (): string => {
    const state = transaction ? (hasFailed ? 'E' : 'T') : 'I';
    return `READY ${state} ${positionOf(server.log.slice(0, server.applied))}\r\n`;
  };
  const done = (digest = '-', rows: readonly string[] = []): void => {
    io.send(`${rows.map((row) => `DATAROW ${row}\r\n`).join('')}COMPLETE ${digest}\r\n${ready()}`);
  };
  const fail = (code: string): void => {
    if (transaction && code !== 'RETRYLATER') hasFailed = true;
    io.send(`ERROR ${code} ${server.id}\r\n${ready()}`);
  };
  const status = (): void => {
    const role = server.leads === undefined ? 'replica' : 'primary';
    const term = server.leads ?? io.term();
    done('-', [`${role} ${term} ${positionOf(server.log)} ${term} 0 0 1`]);
  };
  const read = (id: string, text: string, item: string): void => {
    const own = transaction?.writes.findLast(([name]) => name === item)?.[1];
    const log = server.log.slice(0, server.applied);
    const stored = log
      .findLast(({ writes }) => writes.some(([name]) => name === item))
      ?.writes.findLast(([name]) => name === item)?.[1];
    done(io.record(id, text), [own ?? stored ?? '-', ...io.extraRows(item)]);
  };
  const write = (
    id: string,
    text: string,
    item: string,
    data: string,
    finish: () => void,
  ): void => {
    if (server.leads === undefined) {
      fail('READONLY');
      finish();
      return;
    }
    const digest = io.record(id, text);
    if (transaction) {
      transaction.writes.push([item, data]);
      transaction.ids.push(id);
      done(digest);
      finish();
      return;
    }
    io.commit([[item, data]], [id], () => {
      done(digest);
      finish();
    });
  };
  const endTransaction = (): void => {
    transaction = undefined;
    hasFailed = false;
  };
  const runCommit = (id: string, finish: () => void): void => {
    const open = transaction;
    if (!open || hasFailed) {
      endTransaction();
      fail('ABORTED');
      finish();
      return;
    }
    const digest = io.record(id, 'COMMIT');
    endTransaction();
    const acknowledge = (): void => {
      done(digest);
      finish();
    };
    if (open.writes.length === 0) acknowledge();
    else io.commit(open.writes, [...open.ids, id], acknowledge);
  };
  const runOwn = (word: string, rest: string): boolean => {
    const [name, more] = splitWord(rest);
    if (word === 'STATUS') status();
    else if (word === 'STEPDOWN') {
      io.stepDown(Number(rest));
      status();
    } else if (word === 'BEGIN') {
      const isReadOnly = rest === 'READ';
      if (!isReadOnly && server.leads === undefined) fail('READONLY');
      else {
        transaction = { isReadOnly, term: server.leads, writes: [], ids: [] };
        done();
      }
    } else if (word === 'ROLLBACK') {
      endTransaction();
      done();
    } else if (word === 'PARSE') {
      prepared.set(name, more);
      done();
    } else if (word === 'CLOSE') {
      prepared.delete(name);
      done();
    } else if (word === 'SET' || word === 'DISCARD') {
      if (word === 'DISCARD') prepared.clear();
      done();
    } else return false;
    return true;
  };
  const run = (id: string, text: string, finish: () => void): void => {
    const [word, rest] = splitWord(text);
    if (runOwn(word, rest)) {
      finish();
      return;
    }
    setTimeout(() => {
      if (isClosed || !server.isUp) {
        finish();
        return;
      }
      const isDemoted = transaction && !transaction.isReadOnly && server.leads !== transaction.term;
      if (isDemoted && !(word === 'COMMIT' && transaction?.writes.length === 0)) {
        fail('READONLY');
        finish();
        return;
      }
      if (hasFailed) {
        fail('MALFORMED');
        finish();
      } else if (word === 'COMMIT') runCommit(id, finish);
      else if (word === 'READ') {
        read(id, text, rest);
        finish();
      } else if (word === 'WRITE') write(id, text, ...splitWord(rest), finish);
      else {
        fail('MALFORMED');
        finish();
      }
    }, WORK_MS);
  };
  const start = (line: string): void => {
    const [word, rest] = splitWord(line);
    const [service, , id] = rest.split(' ');
    if (word !== 'STARTUP' || service !== io.name || (id !== undefined && id !== server.id)) {
      io.send(`ERROR WRONGHOST ${server.id}\r\n`);
      return;
    }
    isStarted = true;
    io.send(ready());
  };
  const handleQuery = (line: string, finish: () => void): void => {
    const [, rest] = splitWord(line);
    const [id, command] = splitWord(rest);
    const [word, afterWord] = splitWord(command);
    if (word !== 'SYNCAFTER') {
      run(id, command, finish);
      return;
    }
    const [position, text] = splitWord(afterWord);
    const [term = 0, number = 0] = position.split('.').map(Number);
    const head = headOf(server);
    const covers =
      head !== undefined && (head.term > term || (head.term === term && head.number >= number));
    if (covers) run(id, text, finish);
    else {
      fail('LAGGING');
      finish();
    }
  };
  return {
    handle: (line) => {
      if (server.isDark) return;
      if (!isStarted) start(line);
      else
        last = last.then(
          () =>
            new Promise<void>((finish) => {
              handleQuery(line, finish);
            }),
        );
    },
    close: () => {
      isClosed = true;
    },
  };
}

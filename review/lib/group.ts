import net from 'node:net';
import type { AddressInfo } from 'node:net';
import type { Links } from './links';
import type { Platform } from './store';
import { cut, formatPosition, isAtLeast, LineCutter, parsePosition, sleep } from './wire';
import type { Position } from './wire';

const HOST = '127.0.0.1';

interface Commit extends Position {
  readonly writes: readonly (readonly [item: string, data: string])[];
  readonly ids: readonly string[];
}

/** One statement that a server has run. */
export interface Run {
  readonly at: number;
  readonly server: string;
  readonly id: string;
  readonly text: string;
  readonly session: number;
  readonly digest: string;
  readonly row?: string;
  /** Whether the server's log lacked the commit of a request as it ran. */
  readonly lacks: (id: string) => boolean;
}

/** What a service is made of. */
export interface GroupOptions {
  readonly name: string;
  readonly zones: readonly string[];
  readonly slots: number;
  readonly maxConns: number;
  readonly workMs: number;
  readonly lagMs: number;
  readonly promoteMs: number;
  readonly beatMs: number;
}

/** One database server: it speaks the wire and announces itself in the store. */
export class DbServer {
  readonly log: Commit[] = [];
  applied = 0;
  term = 1;
  isPrimary = false;
  isUp = false;
  isDraining = false;
  /** False: it announces itself no more. */
  announces = true;
  port = 0;
  /** Port that it announces: its own, or that of a relay. */
  announcedPort = 0;
  announcedAt = 0;
  /** What becomes of the answer of a statement; `muted`: nothing follows on its connection. */
  answerOf: (id: string, text: string) => 'sent' | 'lost' | 'muted' = () => 'sent';
  /** Called when a statement arrives. */
  onArrival: (id: string) => void = () => undefined;
  /** Extra time of each statement. */
  extraMs = 0;
  sequence = 0;
  private born = Date.now();
  private readonly sockets = new Set<net.Socket>();
  private listener?: net.Server;

  constructor(
    readonly group: DbGroup,
    readonly id: string,
    readonly zone: string,
  ) {}

  async start(): Promise<void> {
    this.listener = net.createServer((socket) => {
      this.accept(socket);
    });
    const { listener, port } = this;
    await new Promise<void>((resolve) => listener.listen(port, HOST, resolve));
    this.port = (listener.address() as AddressInfo).port;
    this.isUp = true;
    this.announcedPort = (await this.group.links?.addServer(this.id, this.port)) ?? this.port;
    this.announce();
  }

  /** Ends the process: connections are reset, and it announces nothing more. */
  crash(): void {
    this.isUp = false;
    this.isPrimary = false;
    this.listener?.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  announce(): void {
    if (!this.isUp || !this.announces) return;
    const { group, id } = this;
    if (group.links?.areLinked(id, 'store') === false) return;
    this.sequence += 1;
    this.announcedAt = performance.now();
    group.platform.put(`servers/${id}`, {
      Id: id,
      Service: group.options.name,
      Address: `${HOST}:${this.announcedPort}`,
      Zone: this.zone,
      Version: 'v1',
      Slots: group.options.slots,
      State: this.isDraining ? 'draining' : 'ready',
      DbRole: this.isPrimary ? 'primary' : 'replica',
      ColdRemainingMs: 0,
      Sequence: this.sequence,
      born: this.born,
    });
  }

  position(count = this.applied): Position {
    return this.log[count - 1] ?? { term: 1, number: 0 };
  }

  connections(): number {
    return this.sockets.size;
  }

  private accept(socket: net.Socket): void {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    const lines = new LineCutter();
    let session: DbSession | undefined;
    socket.on('data', (chunk) => {
      for (const line of lines.push(chunk)) {
        if (session) {
          session.receive(line);
          continue;
        }
        const [, service, , id] = line.split(' ');
        if (service !== this.group.options.name || (id !== undefined && id !== this.id)) {
          socket.end('ERROR WRONGHOST other server\r\n');
          return;
        }
        if (this.sockets.size > this.group.options.maxConns) {
          socket.end('ERROR CONNLIMIT too many\r\n');
          return;
        }
        session = new DbSession(this, socket);
        socket.write(`READY I ${formatPosition(this.position())}\r\n`);
      }
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.sockets.delete(socket);
      session?.close();
    });
  }
}

class DbSession {
  private static count = 0;
  private readonly number = (DbSession.count += 1);
  private readonly values = new Map<string, string>();
  private readonly prepared = new Map<string, string>();
  private transaction?: { readonly plain: boolean; writes: [string, string][]; ids: string[] };
  private isClosed = false;
  private isMute = false;
  private last: Promise<void> = Promise.resolve();

  constructor(
    private readonly server: DbServer,
    private readonly socket: net.Socket,
  ) {}

  receive(line: string): void {
    this.last = this.last.then(() => this.handle(line));
  }

  close(): void {
    this.isClosed = true;
    this.transaction = undefined;
  }

  private async handle(line: string): Promise<void> {
    const [word, rest] = cut(line);
    if (word !== 'QUERY') {
      this.socket.end();
      return;
    }
    const [id, text] = cut(rest);
    this.server.onArrival(id);
    const answer = await this.run(id, text);
    if (this.isClosed || this.isMute) return;
    const fate = this.server.answerOf(id, text);
    if (fate === 'muted') this.isMute = true;
    if (fate !== 'sent') return;
    const state = this.transaction ? 'T' : 'I';
    this.socket.write(
      Buffer.from(
        `${answer}READY ${state} ${formatPosition(this.server.position())}\r\n`,
        'latin1',
      ),
    );
  }

  private async run(id: string, whole: string): Promise<string> {
    const { server } = this;
    let text = whole;
    if (text.startsWith('SYNCAFTER ')) {
      const [position, statement] = cut(cut(text)[1]);
      text = statement;
      if (!isAtLeast(server.position(), parsePosition(position)))
        return `ERROR LAGGING ${formatPosition(server.position())}\r\n`;
    }
    const [verb, rest] = cut(text);
    switch (verb) {
      case 'BEGIN':
        if (rest !== 'READ' && !server.isPrimary) return `ERROR READONLY ${server.id}\r\n`;
        this.transaction = { plain: rest !== 'READ', writes: [], ids: [] };
        return 'COMPLETE -\r\n';
      case 'ROLLBACK':
        this.transaction = undefined;
        return 'COMPLETE -\r\n';
      case 'SET': {
        const [name, value] = cut(rest);
        this.values.set(name, value);
        return 'COMPLETE -\r\n';
      }
      case 'PARSE': {
        const [name, shape] = cut(rest);
        this.prepared.set(name, shape);
        return 'COMPLETE -\r\n';
      }
      case 'CLOSE':
        this.prepared.delete(rest);
        return 'COMPLETE -\r\n';
      case 'DISCARD':
        this.values.clear();
        this.prepared.clear();
        return 'COMPLETE -\r\n';
      case 'STEPDOWN':
        if (server.isPrimary && server.term < Number(rest)) server.isPrimary = false;
        return this.status();
      case 'STATUS':
        return this.status();
      default:
        await sleep(server.group.options.workMs + server.extraMs);
        return this.isClosed || !server.isUp ? '' : this.runStatement(id, text);
    }
  }

  private status(): string {
    const { server } = this;
    const role = server.isPrimary ? 'primary' : 'replica';
    const received = formatPosition(server.position(server.log.length));
    const held = `${role} ${server.term} ${received} 0 0 0 ${server.connections()}`;
    return `DATAROW ${held}\r\nCOMPLETE -\r\n`;
  }

  private runStatement(id: string, text: string): string {
    const { server, transaction } = this;
    const { group } = server;
    const [verb, rest] = cut(text);
    const isEmptyCommit = verb === 'COMMIT' && transaction?.writes.length === 0;
    if (transaction?.plain === true && !server.isPrimary && !isEmptyCommit) {
      this.transaction = undefined;
      return `ERROR READONLY ${server.id}\r\n`;
    }
    if (verb === 'COMMIT') {
      this.transaction = undefined;
      if (transaction && transaction.writes.length > 0)
        group.commit(server, transaction.writes, [...transaction.ids, id]);
      return `COMPLETE ${group.record(server, id, text, this.number)}\r\n`;
    }
    let isWrite = verb === 'WRITE';
    let [item, data] = cut(rest);
    if (verb === 'EXECUTE') {
      const shape = this.prepared.get(item);
      if (shape === undefined) return 'ERROR NOSTMT no such name\r\n';
      isWrite = shape.startsWith('WRITE ');
      [item, data] = cut(data);
    } else if (verb === 'READ') item = rest;
    else if (!isWrite) return 'ERROR MALFORMED unknown\r\n';
    if (!isWrite) {
      const own = transaction?.writes.findLast(([name]) => name === item)?.[1];
      const row = own ?? group.read(server, item);
      const digest = group.record(server, id, text, this.number, row);
      return `DATAROW ${row}\r\nCOMPLETE ${digest}\r\n`;
    }
    if (!server.isPrimary) return `ERROR READONLY ${server.id}\r\n`;
    const digest = group.record(server, id, text, this.number);
    if (transaction) {
      transaction.writes.push([item, data]);
      transaction.ids.push(id);
    } else group.commit(server, [[item, data]], [id]);
    return `COMPLETE ${digest}\r\n`;
  }
}

/** A service: one primary and its replicas. */
export class DbGroup {
  readonly servers: DbServer[] = [];
  readonly runs: Run[] = [];
  readonly commits: (Commit & { readonly at: number; readonly server: string })[] = [];
  term = 1;
  /** When the last promotion has taken effect. */
  promotedAt = Infinity;
  private readonly timer: NodeJS.Timeout;

  constructor(
    readonly platform: Platform,
    readonly options: GroupOptions,
    /** Network of a case that cuts links; absent: all reach all. */
    readonly links?: Links,
  ) {
    for (const [index, zone] of options.zones.entries())
      this.servers.push(new DbServer(this, `i-${options.name}-${index}`, zone));
    this.timer = setInterval(() => {
      for (const server of this.servers) {
        server.announce();
        // An entry is removed after three ping intervals of silence.
        if (performance.now() - server.announcedAt > 3 * options.beatMs)
          platform.remove(`servers/${server.id}`);
      }
    }, options.beatMs);
  }

  async start(): Promise<void> {
    const [first] = this.servers;
    if (first) first.isPrimary = true;
    for (const server of this.servers) await server.start();
  }

  get primary(): DbServer | undefined {
    const leading = this.servers.filter(({ isPrimary, isUp }) => isPrimary && isUp);
    return leading.sort((a, b) => b.term - a.term)[0];
  }

  read(server: DbServer, item: string): string {
    for (let at = server.applied - 1; at >= 0; at -= 1) {
      const write = server.log[at]?.writes.findLast(([name]) => name === item);
      if (write) return write[1];
    }
    return '-';
  }

  record(server: DbServer, id: string, text: string, session: number, row?: string): string {
    const digest = `${this.term}.${this.runs.length.toString(16)}.${server.id}`;
    const at = performance.now();
    const held = server.log.slice(0, server.applied);
    const lacks = (commit: string): boolean => !held.some(({ ids }) => ids.includes(commit));
    this.runs.push({ at, server: server.id, id, text, session, digest, row, lacks });
    return digest;
  }

  commit(
    primary: DbServer,
    writes: readonly (readonly [string, string])[],
    ids: readonly string[],
  ): void {
    const number = primary.position(primary.log.length).number + 1;
    const commit: Commit = { term: primary.term, number, writes, ids };
    primary.log.push(commit);
    primary.applied = primary.log.length;
    this.commits.push({ ...commit, at: performance.now(), server: primary.id });
    for (const server of this.servers) if (server !== primary) this.replicate(primary, server);
  }

  /** Some hundred ms after the call the server leads the next term with what it had received. */
  promote(id: string): boolean {
    const server = this.servers.find((one) => one.id === id);
    if (!server?.isUp) return false;
    if (server.isPrimary) return true;
    setTimeout(() => {
      if (!server.isUp) return;
      for (const other of this.servers) if (other.isPrimary) this.endLead(other, server);
      this.term += 1;
      this.promotedAt = performance.now();
      server.isPrimary = true;
      server.term = this.term;
      server.applied = server.log.length;
      for (const other of this.servers) if (other !== server) this.replicate(server, other);
      for (const one of this.servers) one.announce();
    }, this.options.promoteMs);
    return true;
  }

  close(): void {
    clearInterval(this.timer);
    for (const server of this.servers) server.crash();
  }

  /** Where the platform doesn't fence, a replaced primary goes on until a second after it reaches the new one. */
  private endLead(old: DbServer, next: DbServer): void {
    if (this.platform.isFenced) {
      old.isPrimary = false;
      return;
    }
    let reachedAt = Infinity;
    const timer = setInterval(() => {
      const now = performance.now();
      if (!this.areLinked(old, next)) reachedAt = Infinity;
      else reachedAt = Math.min(reachedAt, now);
      if (now - reachedAt < 1_000) return;
      clearInterval(timer);
      old.isPrimary = false;
      this.replicate(next, old);
      old.announce();
    }, 50);
  }

  private areLinked(a: DbServer, b: DbServer): boolean {
    return this.links?.areLinked(a.id, b.id) ?? true;
  }

  /** Brings a replica's log to that of the primary; it applies the commits a little later. */
  replicate(primary: DbServer, replica: DbServer): void {
    if (!replica.isUp || !primary.isPrimary || replica.isPrimary) return;
    if (primary.term < this.term || !this.areLinked(primary, replica)) return;
    const differs = replica.log.findIndex((commit, at) => commit !== primary.log[at]);
    if (differs !== -1) {
      replica.log.length = differs;
      replica.applied = Math.min(replica.applied, differs);
    }
    replica.log.push(...primary.log.slice(replica.log.length));
    replica.term = primary.term;
    const upTo = replica.log.length;
    setTimeout(() => {
      if (!replica.isPrimary)
        replica.applied = Math.min(replica.log.length, Math.max(replica.applied, upTo));
    }, this.options.lagMs);
  }
}

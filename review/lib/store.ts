import http from 'node:http';
import type { AddressInfo } from 'node:net';

/** How the store treats the calls of one daemon. */
export type StoreMode = 'up' | 'busy' | 'silent' | 'reset';

interface Item {
  readonly Key: string;
  readonly Value: string;
  readonly Revision: number;
  readonly Created: number;
  readonly Lease: number;
}

type Change = Item | { readonly Key: string; readonly Revision: number; readonly Tombstone: true };

interface Watch {
  readonly prefix: string;
  readonly after: number;
  readonly answer: () => void;
}

type Reply = readonly [status: number, body: object];

type Fields = Record<string, unknown>;

/** A promotion call, as the platform has seen it. */
export interface PromotionCall {
  readonly at: number;
  readonly service: string;
  readonly id: string;
  readonly holder: string;
  readonly token: number;
  readonly status: number;
}

const HOST = '127.0.0.1';
const ANSWER_MS = 4;
const LEASE_REVIEW_MS = 50;

/** Stand-in for the platform: its store (one port per daemon) and its promotions (one port). */
export class Platform {
  readonly calls: PromotionCall[] = [];
  readonly modes = new Map<string, StoreMode>();
  isFenced = true;
  /** Carries a promotion out; false: the server is not running. */
  promote: (service: string, id: string) => boolean = () => false;
  /** Returns what the store keeps for a value that a daemon writes: the address of a relay, for one. */
  translate: (key: string, value: string) => string = (_, value) => value;
  private readonly items = new Map<string, Item>();
  private readonly history: Change[] = [];
  private readonly watches = new Set<Watch>();
  private readonly leases = new Map<number, { ttlMs: number; endsAt: number }>();
  private readonly tokens = new Map<string, number>();
  private readonly servers: http.Server[] = [];
  private revision = 100;
  private nextLease = 1;
  private readonly timer = setInterval(() => {
    for (const [id, { endsAt }] of this.leases) if (endsAt < performance.now()) this.endLease(id);
  }, LEASE_REVIEW_MS);

  /** Opens a port of the store for one daemon. */
  async openStore(name: string): Promise<number> {
    this.modes.set(name, 'up');
    return this.listen((req, body, respond, socketReset) => {
      const mode = this.modes.get(name) ?? 'up';
      if (mode === 'silent') return;
      if (mode === 'reset') {
        socketReset();
        return;
      }
      // A watch that waits may be answered after the machine has been cut off.
      const respondIfLinked = (reply: Reply): void => {
        if (this.modes.get(name) !== 'silent') respond(reply);
      };
      if (mode === 'busy') respond([503, {}]);
      else this.handle(req, body, respondIfLinked);
    });
  }

  /** Opens the port of the promotions. */
  async openCloud(): Promise<number> {
    return this.listen((req, body, respond) => {
      const service = String(body.Service);
      const id = String(body.Id);
      const token = Number(req.headers['x-fencing-token']);
      const holder = String(req.headers['x-duty-holder']);
      const newest = this.tokens.get(service) ?? 0;
      let status = 200;
      if (this.isFenced && token < newest) status = 409;
      else {
        this.tokens.set(service, Math.max(newest, token));
        if (!this.promote(service, id)) status = 409;
      }
      this.calls.push({ at: performance.now(), service, id, holder, token, status });
      respond([status, {}]);
    });
  }

  /** Writes a key without a lease, with a JSON value. */
  put(key: string, fields: object): void {
    this.set(key, Buffer.from(JSON.stringify(fields)).toString('base64'), 0);
  }

  remove(key: string): void {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    this.publish({ Key: key, Revision: this.revision, Tombstone: true });
  }

  /** Ends the leases of keys, and so removes them. */
  revoke(keys: readonly string[]): void {
    for (const key of keys) this.endLease(this.items.get(key)?.Lease ?? 0);
  }

  keys(prefix: string): string[] {
    return [...this.items.keys()].filter((key) => key.startsWith(prefix));
  }

  close(): void {
    clearInterval(this.timer);
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  private async listen(
    handle: (
      req: http.IncomingMessage,
      body: Fields,
      respond: (reply: Reply) => void,
      reset: () => void,
    ) => void,
  ): Promise<number> {
    const server = http.createServer((req, res) => {
      let text = '';
      req.on('data', (chunk: Buffer) => (text += chunk.toString()));
      req.on('error', () => undefined);
      req.on('end', () => {
        const body = text === '' ? {} : (JSON.parse(text) as Fields);
        const respond = ([status, reply]: Reply): void => {
          setTimeout(() => {
            res.writeHead(status, { 'content-type': 'application/json' });
            res.end(JSON.stringify(reply));
          }, ANSWER_MS);
        };
        handle(req, body, respond, () => req.socket.destroy());
      });
    });
    this.servers.push(server);
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
    return (server.address() as AddressInfo).port;
  }

  private handle(req: http.IncomingMessage, body: Fields, respond: (reply: Reply) => void): void {
    const url = new URL(req.url ?? '/', 'http://store');
    const [, , call, id] = url.pathname.split('/');
    const query = url.searchParams;
    if (call === 'kv-watch') this.watch(query, respond);
    else respond(this.answer(call ?? '', Number(id), query, body));
  }

  private answer(call: string, id: number, query: URLSearchParams, body: Fields): Reply {
    switch (call) {
      case 'kv-key': {
        const item = this.items.get(query.get('Key') ?? '');
        return item ? [200, { ...item, CurrentRev: this.revision }] : [404, {}];
      }
      case 'kv-range': {
        const prefix = query.get('Prefix') ?? '';
        const after = query.get('after') ?? '';
        const all = [...this.items.values()]
          .filter(({ Key }) => Key.startsWith(prefix) && Key > after)
          .sort((a, b) => (a.Key < b.Key ? -1 : 1));
        const items = all.slice(0, 500);
        const more = all.length > items.length;
        return [200, { items, HasMore: more, CurrentRev: this.revision }];
      }
      case 'kv-txn':
        return this.write(body);
      case 'kv-lease': {
        const ttlMs = Math.max(1_000, Number(body.TtlMs));
        const lease = this.nextLease;
        this.nextLease += 1;
        this.leases.set(lease, { ttlMs, endsAt: performance.now() + ttlMs });
        return [200, { Lease: lease, TtlMs: ttlMs }];
      }
      case 'kv-keep': {
        const lease = this.leases.get(id);
        if (!lease) return [404, {}];
        lease.endsAt = performance.now() + lease.ttlMs;
        return [200, {}];
      }
      case 'kv-lease-end':
        return [this.endLease(id) ? 200 : 404, {}];
      default:
        return [404, {}];
    }
  }

  private write(body: Fields): Reply {
    const expected = (body.ExpectedRev ?? []) as { Key: string; Revision: number }[];
    const sets = (body.SetKeys ?? []) as { Key: string; Value: string; Lease?: number }[];
    const removes = (body.Remove ?? []) as string[];
    const differs = expected.some(
      ({ Key, Revision }) => (this.items.get(Key)?.Revision ?? 0) !== Revision,
    );
    if (differs) return [412, { items: expected.flatMap(({ Key }) => this.items.get(Key) ?? []) }];
    if (sets.some(({ Lease }) => (Lease ?? 0) !== 0 && !this.leases.has(Lease ?? 0)))
      return [404, {}];
    for (const { Key, Value, Lease } of sets) this.set(Key, this.translate(Key, Value), Lease ?? 0);
    for (const key of removes) this.remove(key);
    return [200, { Revision: this.revision }];
  }

  private watch(query: URLSearchParams, respond: (reply: Reply) => void): void {
    const prefix = query.get('Prefix') ?? '';
    const after = Number(query.get('after'));
    const newer = (): Change[] =>
      this.history.filter(({ Key, Revision }) => Key.startsWith(prefix) && Revision > after);
    const answer = (): void => {
      clearTimeout(timer);
      this.watches.delete(watch);
      respond([200, { events: newer(), CurrentRev: this.revision }]);
    };
    const watch: Watch = { prefix, after, answer };
    const timer = setTimeout(answer, newer().length > 0 ? 0 : Number(query.get('WaitMs')));
    this.watches.add(watch);
  }

  private set(key: string, value: string, lease: number): void {
    this.revision += 1;
    const created = this.items.get(key)?.Created ?? this.revision;
    const item = {
      Key: key,
      Value: value,
      Revision: this.revision,
      Created: created,
      Lease: lease,
    };
    this.items.set(key, item);
    this.publish(item);
  }

  private publish(change: Change): void {
    this.history.push(change);
    for (const watch of [...this.watches])
      if (change.Key.startsWith(watch.prefix) && change.Revision > watch.after) watch.answer();
  }

  private endLease(id: number): boolean {
    if (!this.leases.delete(id)) return false;
    for (const { Key, Lease } of [...this.items.values()]) if (Lease === id) this.remove(Key);
    return true;
  }
}

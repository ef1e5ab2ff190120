import http from 'node:http';
import { listen } from './links';

/** The platform's store, as PROTOCOL.md describes it. */
export interface Store {
  /** Opens a port for one daemon. `see` changes the values that it reads. */
  openDoor: (see?: SeeValue) => Promise<Door>;
  put: (key: string, fields: object) => void;
  remove: (key: string) => void;
  keys: (prefix: string) => readonly string[];
  /** Ends all leases, with the keys that are bound to them. */
  lapse: () => void;
  close: () => void;
}

/** Returns the value of a key as one daemon reads it. */
export type SeeValue = (key: string, fields: Record<string, unknown>) => Record<string, unknown>;

/** A daemon's way to the store. */
export interface Door {
  readonly port: number;
  /** While it is cut, calls are neither carried out nor answered. */
  setCut: (isCut: boolean) => void;
}

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
  readonly wake: () => void;
}

type Fields = Record<string, unknown>;
type Reply = readonly [status: number, body: Fields];

const LEASE_CHECK_MS = 50;

/** Time of an answer. */
const ANSWER_MS = 4;

/** Starts a store without keys. */
export function startStore(): Store {
  const items = new Map<string, Item>();
  const history: Change[] = [];
  const leases = new Map<number, { ttlMs: number; endsAt: number }>();
  const watches = new Set<Watch>();
  const servers: http.Server[] = [];
  let revision = 100;
  let nextLease = 1;

  const publish = (change: Change): void => {
    history.push(change);
    for (const watch of [...watches]) if (change.Key.startsWith(watch.prefix)) watch.wake();
  };
  const set = (key: string, value: string, lease: number): void => {
    const item: Item = {
      Key: key,
      Value: value,
      Revision: revision,
      Created: items.get(key)?.Created ?? revision,
      Lease: lease,
    };
    items.set(key, item);
    publish(item);
  };
  const drop = (key: string): void => {
    if (items.delete(key)) publish({ Key: key, Revision: revision, Tombstone: true });
  };
  const endLease = (id: number): boolean => {
    if (!leases.delete(id)) return false;
    revision += 1;
    for (const item of [...items.values()]) if (item.Lease === id) drop(item.Key);
    return true;
  };
  const leaseTimer = setInterval(() => {
    for (const [id, { endsAt }] of [...leases]) if (endsAt < performance.now()) endLease(id);
  }, LEASE_CHECK_MS);

  const carryOut = (body: Fields): Reply => {
    const expected = body.ExpectedRev as { Key: string; Revision: number }[];
    const differs = expected.some((one) => (items.get(one.Key)?.Revision ?? 0) !== one.Revision);
    if (differs) return [412, { items: expected.flatMap((one) => items.get(one.Key) ?? []) }];
    const writes = body.SetKeys as { Key: string; Value: string; Lease: number }[];
    if (writes.some((one) => one.Lease !== 0 && !leases.has(one.Lease))) return [404, {}];
    if (writes.some((one) => /^(op|servers)\//.test(one.Key))) return [403, {}];
    revision += 1;
    for (const one of writes) set(one.Key, one.Value, one.Lease);
    for (const key of body.Remove as string[]) drop(key);
    return [200, { Revision: revision }];
  };
  const watchFor = (query: URLSearchParams, respond: (reply: Reply) => void): void => {
    const prefix = query.get('Prefix') ?? '';
    const after = Number(query.get('after'));
    const answer = (): void => {
      if (!watches.delete(watch)) return;
      clearTimeout(timer);
      const events = history.filter(
        (one) => one.Key.startsWith(prefix) && one.Revision > after,
      ) as unknown[];
      respond([200, { events, CurrentRev: revision }]);
    };
    // All changes of one revision are told together.
    const watch: Watch = { prefix, wake: () => setImmediate(answer) };
    const timer = setTimeout(answer, Number(query.get('WaitMs')));
    watches.add(watch);
    if (history.some((one) => one.Key.startsWith(prefix) && one.Revision > after)) answer();
  };
  const handle = (
    method: string,
    url: URL,
    body: Fields,
    respond: (reply: Reply) => void,
  ): void => {
    const [, , name, id] = url.pathname.split('/');
    const query = url.searchParams;
    if (name === 'kv-watch') watchFor(query, respond);
    else if (name === 'kv-range') {
      const prefix = query.get('Prefix') ?? '';
      const found = [...items.values()]
        .filter((one) => one.Key.startsWith(prefix))
        .sort((a, b) => (a.Key < b.Key ? -1 : 1));
      respond([200, { items: found, HasMore: false, CurrentRev: revision }]);
    } else if (name === 'kv-key') {
      const item = items.get(query.get('Key') ?? '');
      respond(item ? [200, { ...item, CurrentRev: revision }] : [404, { CurrentRev: revision }]);
    } else if (name === 'kv-txn') respond(carryOut(body));
    else if (name === 'kv-lease') {
      const ttlMs = Number(body.TtlMs);
      leases.set(nextLease, { ttlMs, endsAt: performance.now() + ttlMs });
      respond([200, { Lease: nextLease, TtlMs: ttlMs }]);
      nextLease += 1;
    } else if (name === 'kv-keep') {
      const lease = leases.get(Number(id));
      if (lease) lease.endsAt = performance.now() + lease.ttlMs;
      respond(lease ? [200, { TtlMs: lease.ttlMs }] : [404, {}]);
    } else if (name === 'kv-lease-end' && method === 'DELETE')
      respond([endLease(Number(id)) ? 200 : 404, {}]);
    else respond([404, {}]);
  };

  return {
    openDoor: async (see) => {
      let isCut = false;
      const server = http.createServer((req, res) => {
        const chunks: Buffer[] = [];
        req.on('data', (chunk: Buffer) => chunks.push(chunk));
        req.on('end', () => {
          if (isCut) return;
          const text = Buffer.concat(chunks).toString();
          const body = text === '' ? {} : (JSON.parse(text) as Fields);
          const url = new URL(req.url ?? '/', 'http://store');
          handle(req.method ?? 'GET', url, body, (reply) => {
            setTimeout(() => {
              if (isCut || res.destroyed) return;
              const [status, fields] = reply;
              res.writeHead(status, { 'content-type': 'application/json' });
              res.end(JSON.stringify(see ? seeReply(fields, see) : fields));
            }, ANSWER_MS);
          });
        });
      });
      servers.push(server);
      const port = await listen(server);
      return {
        port,
        setCut: (next) => {
          isCut = next;
          // What was lost in a cut is not answered later: its connections end.
          if (!isCut) server.closeAllConnections();
        },
      };
    },
    put: (key, fields) => {
      revision += 1;
      set(key, encode(fields), 0);
    },
    remove: (key) => {
      revision += 1;
      drop(key);
    },
    lapse: () => {
      for (const id of [...leases.keys()]) endLease(id);
    },
    keys: (prefix) => [...items.keys()].filter((key) => key.startsWith(prefix)),
    close: () => {
      clearInterval(leaseTimer);
      for (const server of servers) {
        server.closeAllConnections();
        server.close();
      }
    },
  };
}

function encode(fields: object): string {
  return Buffer.from(JSON.stringify(fields)).toString('base64');
}

function seeReply(reply: Fields, see: SeeValue): Fields {
  const seeItem = (raw: unknown): unknown => {
    const item = raw as Partial<Item>;
    if (item.Key === undefined || item.Value === undefined) return raw;
    const text = Buffer.from(item.Value, 'base64').toString();
    return { ...item, Value: encode(see(item.Key, JSON.parse(text) as Fields)) };
  };
  const seeList = (raw: unknown): unknown =>
    Array.isArray(raw) ? (raw as unknown[]).map(seeItem) : raw;
  return {
    ...(seeItem(reply) as Fields),
    ...('items' in reply && { items: seeList(reply.items) }),
    ...('events' in reply && { events: seeList(reply.events) }),
  };
}

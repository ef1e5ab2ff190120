import net from 'node:net';
import type { Answer, OwnerRequest } from '@rosedeck/core';
import { PeerCallError, createPeerClient, startPeerServer } from '../src/index';
import type { PeerClient, PeerClientOptions, PeerServer, PeerTls } from '../src/index';

const NO_CONFIG = {
  askConfig: () => ({ revision: 0, quorum: '', mayVote: false }),
  pushConfig: () => 0,
};

export const TIMES = { connectTimeoutMs: 5_000, pingMs: 50, silenceMs: 500, idleMs: 60_000 };

export const OK: Answer = { kind: 'ok', affectedRows: 1, insertId: 0 };

const closables: { close: () => void }[] = [];

/** Closes the servers, clients and relays of a test, also when it has failed. */
export function closeAll(): void {
  for (const closable of closables.splice(0)) closable.close();
}

/** Creates a write request; `overrides` replaces fields. */
export function createRequest(id: string, overrides: Partial<OwnerRequest> = {}): OwnerRequest {
  return {
    id,
    entry: 'entry-1',
    group: 'schedule',
    customer: 'authority',
    cls: 'booking',
    op: 'write',
    sql: 'UPDATE x SET n = 1',
    deadlineMs: 1_000,
    idempotent: false,
    tries: 0,
    forwards: 0,
    ...overrides,
  };
}

/** Starts a peer server on a free port; `run` answers its requests. */
export async function startServer(
  run: (req: OwnerRequest) => Promise<Answer>,
  onClosed: (peer: string) => void = () => undefined,
  peersWithTransactions: () => ReadonlySet<string> = () => new Set(),
  tls?: PeerTls,
): Promise<PeerServer> {
  const server = await startPeerServer(
    '127.0.0.1',
    0,
    { run, onClosed, peersWithTransactions, ...NO_CONFIG },
    tls,
  );
  closables.push(server);
  return server;
}

/** Creates a client of a local port; it connects as `entry-1` and expects `entry-2`. */
export function createClient(port: number, options: Partial<PeerClientOptions> = {}): PeerClient {
  const client = createPeerClient({
    self: 'entry-1',
    host: '127.0.0.1',
    port,
    peer: 'entry-2',
    times: TIMES,
    onLost: () => undefined,
    mayClose: () => true,
    ...options,
  });
  closables.push(client);
  return client;
}

/** Returns the kind of a call's answer; after a failure, whether the request may have reached the peer. */
export function describeOutcome(call: Promise<Answer>): Promise<string> {
  return call.then(
    (answer) => answer.kind,
    (err: unknown) => (err instanceof PeerCallError ? `lost, sent=${err.sent}` : String(err)),
  );
}

/** A TCP relay between client and server that can inject faults. */
export interface Relay {
  readonly port: number;
  /** Returns the number of connections accepted so far. */
  readonly countConnections: () => number;
  /** Closes all connections. */
  cut: () => void;
  /** Discards all further bytes but keeps the connections open. */
  freeze: () => void;
  /** Closes all connections once the server has sent more than this many bytes. */
  cutAfter: (bytes: number) => void;
}

/** Starts a relay to a local port. */
export async function startRelay(serverPort: number): Promise<Relay> {
  const sockets = new Set<net.Socket>();
  let connections = 0;
  let isFrozen = false;
  let bytesLeft = Infinity;
  const cut = (): void => {
    for (const socket of sockets) socket.destroy();
    sockets.clear();
  };
  const forward = (from: net.Socket, target: net.Socket, isFromServer: boolean): void => {
    sockets.add(from);
    from.on('error', () => undefined);
    from.on('close', () => target.destroy());
    from.on('data', (bytes) => {
      if (isFromServer) bytesLeft -= bytes.length;
      if (bytesLeft < 0) cut();
      else if (!isFrozen) target.write(bytes);
    });
  };
  const server = net.createServer((inbound) => {
    connections += 1;
    const outbound = net.connect(serverPort, '127.0.0.1');
    forward(inbound, outbound, false);
    forward(outbound, inbound, true);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  closables.push({
    close: () => {
      server.close();
      cut();
    },
  });
  return {
    port: (server.address() as net.AddressInfo).port,
    countConnections: () => connections,
    cut,
    freeze: () => {
      isFrozen = true;
    },
    cutAfter: (bytes) => {
      bytesLeft = bytes;
    },
  };
}

import dgram from 'node:dgram';
import net from 'node:net';

/** All addresses of a case are of the loopback interface. */
export const HOST = '127.0.0.1';

/** A link of one machine to a port of another one. */
export interface Link {
  readonly port: number;
  /** While a link is cut nothing passes; bytes on the way arrive when it is back. */
  setCut: (isCut: boolean) => void;
  close: () => void;
}

/** Listens on a free port and returns it. */
export function listen(server: net.Server, port = 0): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, HOST, () => {
      resolve((server.address() as net.AddressInfo).port);
    });
  });
}

/** Ports that nobody else takes until they are released. */
export interface HeldPorts {
  readonly ports: readonly number[];
  release: () => Promise<void>;
}

/** Takes free ports, in ascending order. */
export async function holdPorts(count: number): Promise<HeldPorts> {
  const servers = Array.from({ length: count }, () => net.createServer());
  const ports = await Promise.all(servers.map((server) => listen(server)));
  return {
    ports: ports.sort((a, b) => a - b),
    release: async () => {
      await Promise.all(servers.map((server) => new Promise((done) => server.close(done))));
    },
  };
}

/** Starts a link over TCP to a port; `port` is that of the link, else a free one. */
export async function startTcpLink(targetPort: number, port = 0): Promise<Link> {
  const pairs = new Set<readonly [net.Socket, net.Socket]>();
  let isCut = false;
  const listener = net.createServer((client) => {
    const target = net.connect(targetPort, HOST);
    const pair = [client, target] as const;
    pairs.add(pair);
    for (const [from, into] of [
      [client, target],
      [target, client],
    ] as const) {
      from.setNoDelay(true);
      from.pipe(into);
      from.on('error', () => undefined);
      from.on('close', () => {
        pairs.delete(pair);
        into.destroy();
      });
      if (isCut) from.unpipe(into);
    }
  });
  return {
    port: await listen(listener, port),
    setCut: (next) => {
      if (isCut === next) return;
      isCut = next;
      for (const [client, target] of pairs) {
        if (isCut) {
          client.unpipe(target);
          target.unpipe(client);
          client.pause();
          target.pause();
        } else {
          client.pipe(target);
          target.pipe(client);
        }
      }
    },
    close: () => {
      listener.close();
      for (const pair of pairs) for (const socket of pair) socket.destroy();
    },
  };
}

/** Links of two daemons for their reports over UDP and their calls over TCP, in both directions. */
export interface PeerLink {
  /** Port at which the first daemon reaches the second one, and the reverse. */
  readonly ports: readonly [number, number];
  setCut: (isCut: boolean) => void;
  close: () => void;
}

/** Starts the links between two daemons, given their inner ports. Datagrams are lost in a cut. */
export async function startPeerLink(first: number, second: number): Promise<PeerLink> {
  const toSecond = await startTcpLink(second);
  const toFirst = await startTcpLink(first);
  const secondSocket = dgram.createSocket('udp4');
  const firstSocket = dgram.createSocket('udp4');
  let isCut = false;
  const bind = (socket: dgram.Socket, port: number): Promise<void> =>
    new Promise((resolve, reject) => {
      socket.once('error', reject);
      socket.bind(port, HOST, resolve);
    });
  await bind(secondSocket, toSecond.port);
  await bind(firstSocket, toFirst.port);
  // What the first daemon sends to `secondSocket` comes from `firstSocket`, so that replies return.
  secondSocket.on('message', (message) => {
    if (!isCut) firstSocket.send(message, second, HOST);
  });
  firstSocket.on('message', (message) => {
    if (!isCut) secondSocket.send(message, first, HOST);
  });
  return {
    ports: [toSecond.port, toFirst.port],
    setCut: (next) => {
      isCut = next;
      toSecond.setCut(next);
      toFirst.setCut(next);
    },
    close: () => {
      toSecond.close();
      toFirst.close();
      secondSocket.close();
      firstSocket.close();
    },
  };
}

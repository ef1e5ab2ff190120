import dgram from 'node:dgram';
import { readdirSync, readFileSync, readlinkSync } from 'node:fs';
import net from 'node:net';
import type { AddressInfo } from 'node:net';

const HOST = '127.0.0.1';

/** Loopback address as the table of connections has it, and the cell of the inode after the addresses. */
const LOOPBACK = '0100007F';
const INODE_CELL = 8;

/** Whether no data passes between two parties, by their names. */
export type IsCut = (a: string, b: string) => boolean;

/** A daemon, as the links know it. */
export interface Party {
  readonly name: string;
  readonly inner: number;
  readonly pid: () => number | undefined;
}

interface Flow {
  readonly from: string;
  readonly to: string;
  readonly sockets: net.Socket[];
}

/** Network between daemons and servers: relays on loopback ports that hold data back while a link is cut. */
export class Links {
  private isCut: IsCut = () => false;
  private readonly parties: Party[] = [];
  private readonly flows = new Set<Flow>();
  private readonly listeners: net.Server[] = [];
  private readonly udp = new Map<string, dgram.Socket>();

  /** Cuts links; data that is held back arrives once they are back, datagrams are lost. */
  setCut(isCut: IsCut): void {
    this.isCut = isCut;
    for (const flow of this.flows) this.apply(flow);
  }

  areLinked(a: string, b: string): boolean {
    return !this.isCut(a, b);
  }

  /** Starts the relay in front of a daemon's inner port, for TCP and UDP; returns its port. */
  async addDaemon(party: Party): Promise<number> {
    this.parties.push(party);
    for (;;) {
      const port = await this.listen(party.name, () => party.inner);
      const socket = dgram.createSocket('udp4');
      const isBound = await new Promise<boolean>((resolve) => {
        socket.once('error', () => {
          resolve(false);
        });
        socket.bind(port, HOST, () => {
          resolve(true);
        });
      });
      if (!isBound) continue;
      socket.on('message', (message, sender) => {
        const from = this.parties.find(({ inner }) => inner === sender.port);
        if (!from || this.isCut(from.name, party.name)) return;
        // The receiver sees the relay of the sender, to which its replies go.
        this.udp.get(from.name)?.send(message, party.inner, HOST, () => undefined);
      });
      this.udp.set(party.name, socket);
      return port;
    }
  }

  /** Starts the relay in front of a server; returns its port. */
  addServer(id: string, port: number): Promise<number> {
    return this.listen(id, () => port);
  }

  close(): void {
    for (const listener of this.listeners) listener.close();
    for (const { sockets } of this.flows) for (const socket of sockets) socket.destroy();
    for (const socket of this.udp.values()) socket.close();
  }

  private async listen(to: string, target: () => number): Promise<number> {
    const listener = net.createServer({ pauseOnConnect: true }, (client) => {
      const from = this.findOwner(client.remotePort ?? 0, client.localPort ?? 0);
      client.on('error', () => undefined);
      if (from === '') {
        // The daemon has given the connection up meanwhile.
        client.destroy();
        return;
      }
      const server = net.connect({ port: target(), host: HOST, noDelay: true });
      client.setNoDelay(true);
      const flow: Flow = {
        from,
        to,
        sockets: [client, server],
      };
      this.flows.add(flow);
      for (const [one, other] of [
        [client, server],
        [server, client],
      ] as const) {
        one.on('data', (chunk) => other.write(chunk));
        one.on('error', () => undefined);
        one.on('close', () => {
          this.flows.delete(flow);
          other.destroy();
        });
      }
      this.apply(flow);
    });
    this.listeners.push(listener);
    await new Promise<void>((resolve) => listener.listen(0, HOST, resolve));
    return (listener.address() as AddressInfo).port;
  }

  private apply({ from, to, sockets }: Flow): void {
    for (const socket of sockets)
      if (this.isCut(from, to)) socket.pause();
      else socket.resume();
  }

  /** The daemon whose process has the connection open from a port to one of a relay. */
  private findOwner(from: number, to: number): string {
    const [local = '', remote = ''] = [from, to].map(
      (port) => `${LOOPBACK}:${port.toString(16).toUpperCase().padStart(4, '0')}`,
    );
    // Two connections to different addresses may have the same port of their own.
    const table = readFileSync('/proc/net/tcp', 'utf8');
    const at = table.indexOf(`${local} ${remote} `);
    if (at === -1) return '';
    const cells = table.slice(at, table.indexOf('\n', at)).trim().split(/\s+/);
    const inode = `socket:[${cells[INODE_CELL] ?? ''}]`;
    const owner = this.parties.find(({ pid }) => {
      const folder = `/proc/${pid() ?? 0}/fd`;
      try {
        return readdirSync(folder).some((fd) => {
          try {
            return readlinkSync(`${folder}/${fd}`) === inode;
          } catch {
            return false;
          }
        });
      } catch {
        return false;
      }
    });
    return owner?.name ?? '';
  }
}

import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { killDaemons, startDaemon, waitUntilReady } from './daemons';
import type { Daemon, DaemonSettings } from './daemons';
import { startCloud } from './cloud';
import type { Order } from './cloud';
import { holdPorts, HOST, startPeerLink, startTcpLink } from './links';
import type { Link, PeerLink } from './links';
import type { Server, Service } from './servers';
import type { Door, SeeValue, Store } from './store';

/** Ports that one daemon needs. */
const PORTS = 4;

/** A daemon with its own links to everything else. */
export interface Machine {
  /** Its process; another one after a restart. */
  daemon: Daemon;
  readonly storeDoor: Door;
  readonly cloudDoor: Door;
  /** Links to the servers, by their ids; empty without links. */
  readonly serverLinks: ReadonlyMap<string, Link>;
}

type Doors = Omit<Machine, 'daemon'>;

/** The daemons of a deployment. */
export interface Fleet {
  readonly machines: readonly Machine[];
  readonly folder: string;
  /** Cuts the links between two daemons. */
  cutPeers: (isCut: (a: Machine, b: Machine) => boolean) => void;
  waitUntilReady: () => Promise<boolean>;
  /** Kills all daemons at the same moment; they start again after a time. */
  killAll: (downMs: number) => Promise<void>;
  close: () => Promise<void>;
}

/** What a fleet is made of. */
export interface FleetOptions {
  readonly store: Store;
  readonly service: Service;
  /** Zone of each daemon. */
  readonly zones: readonly string[];
  readonly isFenced: boolean;
  /** Each daemon has links of its own to the servers and the others, which can be cut. */
  readonly hasLinks: boolean;
  /** Called with each order of a promotion. */
  readonly promote: (order: Order) => boolean;
}

/** Starts the daemons of a deployment, all at once. */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const { store, service, zones, isFenced } = options;
  const folder = mkdtempSync(path.join(tmpdir(), 'review-'));
  process.on('exit', () => {
    rmSync(folder, { recursive: true, force: true });
  });
  const cloud = startCloud(isFenced, options.promote);
  const { ports, release } = await holdPorts(PORTS * zones.length);
  const portsOf = zones.map((_, at) => ports.slice(PORTS * at, PORTS * (at + 1)));
  const names = zones.map((zone, at) => `front-${zone}-${at + 1}`);
  const peerLinks = new Map<string, PeerLink>();
  const poolLinks: Link[] = [];
  const poolPorts = new Map<string, number>();
  if (options.hasLinks)
    for (const [a, first] of portsOf.entries())
      for (const [b, second] of portsOf.entries()) {
        if (a < b) peerLinks.set(`${a} ${b}`, await startPeerLink(first[2] ?? 0, second[2] ?? 0));
        if (a === b) continue;
        const link = await startTcpLink(second[3] ?? 0);
        poolLinks.push(link);
        poolPorts.set(`${a} ${b}`, link.port);
      }
  const peerPort = (from: number, to: number): number | undefined =>
    from < to ? peerLinks.get(`${from} ${to}`)?.ports[0] : peerLinks.get(`${to} ${from}`)?.ports[1];

  const machines: Machine[] = [];
  const doors: Doors[] = [];
  for (const at of zones.keys()) {
    const serverLinks = new Map<string, Link>();
    if (options.hasLinks)
      for (const { id, port } of service.servers) serverLinks.set(id, await startTcpLink(port));
    const see: SeeValue = (key, fields) => seeOverLinks(key, fields, at);
    const storeDoor = await store.openDoor(options.hasLinks ? see : undefined);
    const cloudDoor = await cloud.openDoor();
    doors.push({ serverLinks, storeDoor, cloudDoor });
  }
  /** Each daemon reads the addresses of its own links. */
  const seeOverLinks = (
    key: string,
    fields: Record<string, unknown>,
    reader: number,
  ): Record<string, unknown> => {
    if (key.startsWith('servers/')) {
      const link = doors[reader]?.serverLinks.get(key.slice('servers/'.length));
      return link ? { ...fields, Address: `${HOST}:${link.port}` } : fields;
    }
    const daemon = names.findIndex((name) => key === `rosedeck/daemons/${name}`);
    if (daemon === -1 || daemon === reader) return fields;
    const poolPort = poolPorts.get(`${reader} ${daemon}`);
    return { ...fields, port: peerPort(reader, daemon), poolPort };
  };
  await release();
  for (const [at, zone] of zones.entries()) {
    const [frontPort = 0, readyPort = 0, firstInner = 0, lastInner = 0] = portsOf[at] ?? [];
    const door = doors[at];
    if (!door) continue;
    const settings: DaemonSettings = {
      name: names[at] ?? '',
      zone,
      zones: [...new Set(zones)],
      frontPort,
      readyPort,
      innerPorts: [firstInner, lastInner],
      storePort: door.storeDoor.port,
      cloudPort: door.cloudDoor.port,
      isFenced,
      folder,
    };
    machines.push({ daemon: startDaemon(settings, true), ...door });
  }
  return {
    machines,
    folder,
    cutPeers: (isCut) => {
      for (const [pair, link] of peerLinks) {
        const [a, b] = pair.split(' ').map((at) => machines[Number(at)]);
        if (a && b) link.setCut(isCut(a, b));
      }
    },
    waitUntilReady: () => waitUntilReady(machines.map(({ daemon }) => daemon)),
    killAll: async (downMs) => {
      await killDaemons(machines.map(({ daemon }) => daemon));
      await pause(downMs);
      for (const machine of machines) machine.daemon = startDaemon(machine.daemon, false);
    },
    close: async () => {
      await killDaemons(machines.map(({ daemon }) => daemon));
      cloud.close();
      for (const link of peerLinks.values()) link.close();
      for (const link of poolLinks) link.close();
      for (const { serverLinks } of machines) for (const link of serverLinks.values()) link.close();
    },
  };
}

/** Puts a cut between the machines and servers of two sides; the store is on the second one. */
export function splitNetwork(
  fleet: Fleet,
  service: Service,
  isFirstSide: (zone: string) => boolean,
  isSplit: boolean,
): void {
  const isApart = (a: string, b: string): boolean => isSplit && isFirstSide(a) !== isFirstSide(b);
  for (const { daemon, storeDoor, cloudDoor, serverLinks } of fleet.machines) {
    storeDoor.setCut(isSplit && isFirstSide(daemon.zone));
    cloudDoor.setCut(isSplit && isFirstSide(daemon.zone));
    for (const server of service.servers)
      serverLinks.get(server.id)?.setCut(isApart(daemon.zone, server.zone));
  }
  fleet.cutPeers((a, b) => isApart(a.daemon.zone, b.daemon.zone));
  service.setStoreReach((server: Server) => !(isSplit && isFirstSide(server.zone)));
  service.cut((a, b) => isApart(a.zone, b.zone));
}

import type { GroupId, InstanceId, Millis, TargetId } from '@rosedeck/shared';
import { hearConfigVersion } from './newerConfig';
import type { FleetRow, ListedDaemon, PeerReport, TargetLoad } from './peerReport';
import type { World } from './tables';

/** Creates the tables of a fleet without other daemons. */
export function createFleet(): FleetRow {
  return {
    peers: new Map(),
    totals: new Map(),
    listed: [],
    unlistedSince: new Map(),
    knowsClaims: false,
    watchers: new Set(),
    names: [],
    namesSince: -Infinity,
    storeReadAt: -Infinity,
    storeAgeMs: Infinity,
    samplers: new Map(),
    hasPoolOwners: false,
    poolOwners: new Map(),
  };
}

/** Time for which a daemon that is no longer listed is remembered. */
const UNLISTED_MEMORY_MS: Millis = 20_000;

/** Applies the directory; `names` changes only when a daemon comes or goes. */
export function applyListed(fleet: FleetRow, daemons: readonly ListedDaemon[], now: Millis): void {
  for (const { name } of fleet.listed) fleet.unlistedSince.set(name, now);
  for (const { name } of daemons) fleet.unlistedSince.delete(name);
  for (const [name, since] of fleet.unlistedSince)
    if (now - since > UNLISTED_MEMORY_MS) fleet.unlistedSince.delete(name);
  fleet.listed = daemons;
  const { names } = fleet;
  const isSame =
    daemons.length === names.length && daemons.every(({ name }, at) => name === names[at]);
  if (isSame) return;
  fleet.names = daemons.map(({ name }) => name);
  fleet.namesSince = now;
}

/** Daemons that have been missing from the directory for a short time only. */
export function listLateDaemons(fleet: FleetRow, now: Millis): InstanceId[] {
  return [...fleet.unlistedSince].flatMap(([name, since]) =>
    now - since <= UNLISTED_MEMORY_MS ? [name] : [],
  );
}

/** Applies another daemon's report, which replaces its previous one. */
export function applyPeerReport(world: World, report: PeerReport, now: Millis): void {
  const { peers } = world.fleet;
  if (report.name === world.self.name) return;
  if (!peers.has(report.name) && !isLargeFleet(world))
    world.io.log({ type: 'peer_heard', peer: report.name });
  addLoads(world.fleet, peers.get(report.name)?.report, -1);
  addLoads(world.fleet, report, 1);
  peers.set(report.name, { report, at: now });
  hearConfigVersion(world, report.config, report.name, now);
}

/** Removes daemons whose last report is too old. */
export function expirePeers(world: World, now: Millis): void {
  for (const [name, row] of world.fleet.peers) {
    if (now - row.at <= world.settings.peerReportMaxAgeMs) continue;
    world.fleet.peers.delete(name);
    addLoads(world.fleet, row.report, -1);
    if (!isLargeFleet(world)) world.io.log({ type: 'peer_silent', peer: name });
  }
}

/** True when each daemon gets reports of some others only, so that a missing one means nothing. */
export function isLargeFleet(world: World): boolean {
  return world.fleet.watchers.size < world.fleet.listed.length;
}

/**
 * Number of daemons that share the targets' connections, this one included. Load pattern: all daemons
 * restart after the store has lost their entries; each would take a nearly empty directory for the
 * whole fleet, and all connections for its own.
 */
export function daemonCount(world: World): number {
  return Math.max(knownDaemons(world), world.fleet.stableCount ?? 0);
}

/** Share of the last stable count from which on the directory is nearly complete. */
const FILLED_SHARE = 0.8;

/** True while the directory lacks many daemons of the last stable count. */
export function isDirectoryFilling({ fleet }: World): boolean {
  return fleet.listed.length < (fleet.stableCount ?? 0) * FILLED_SHARE;
}

/** Number of daemons that are listed or report, this one included. */
function knownDaemons({ fleet }: World): number {
  return Math.max(1, fleet.listed.length, fleet.peers.size + 1);
}

/**
 * Load of the other daemons at a target: the sum over those that report, scaled up to all; undefined
 * while none has reported.
 */
export function estimateOthers(
  world: World,
  target: TargetId,
  field: keyof TargetLoad,
): number | undefined {
  const { peers, totals, listed } = world.fleet;
  if (peers.size === 0) return listed.length > 1 ? undefined : 0;
  const sum = totals.get(target)?.[field] ?? 0;
  const others = knownDaemons(world) - 1;
  return (sum * others) / peers.size;
}

function addLoads(fleet: FleetRow, report: PeerReport | undefined, sign: 1 | -1): void {
  for (const [target, connections, inFlight] of report?.loads ?? []) {
    const total = fleet.totals.get(target) ?? { connections: 0, inFlight: 0 };
    total.connections += sign * connections;
    // Sums of fractions do not always return to exactly zero.
    total.inFlight = Math.max(0, total.inFlight + sign * inFlight);
    if (total.connections === 0) fleet.totals.delete(target);
    else fleet.totals.set(target, total);
  }
}

/** Counts of the other daemons' opinions of a group's primary; logged under these names. */
export interface Opinions {
  /** Daemons that cannot reach the primary. */
  readonly suspecting: number;
  /** Daemons with recent proof of the primary. */
  readonly trusting: number;
  /** Daemons with recent proof that another target is the primary. */
  readonly elsewhere: number;
}

/** Counts the other daemons' recent opinions; `target` is absent when no primary is known here. */
export function countOpinions(
  world: World,
  group: GroupId,
  target: TargetId | undefined,
  now: Millis,
): Opinions {
  let suspecting = 0;
  let trusting = 0;
  let elsewhere = 0;
  for (const peer of world.fleet.peers.values()) {
    if (now - peer.at > world.settings.opinionMaxAgeMs) continue;
    const opinion = peer.report.opinions.find((one) => one.group === group);
    if (!opinion) continue;
    if (opinion.target !== target) elsewhere += opinion.reachable ? 1 : 0;
    else if (opinion.reachable) trusting += 1;
    else suspecting += 1;
  }
  return { suspecting, trusting, elsewhere };
}

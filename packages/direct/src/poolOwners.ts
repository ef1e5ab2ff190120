import murmurhash from 'murmurhash';
import type { InstanceId, Millis } from '@rosedeck/shared';
import type { ListedTarget } from './configuration';
import { daemonCount } from './fleet';
import type { ListedDaemon } from './peerReport';
import type { GroupRow, TargetRow, World } from './tables';

/** Ranks that may pool a target's connections; each has a part of the target's limit. */
const USED_RANKS = 2;

/** Interval at which a lease is requested from an owner that could not be reached. */
const PROBE_INTERVAL_MS: Millis = 1_000;

/**
 * Time for which a daemon that does not pool a target is not asked for it again. After a restart its view
 * may lack some targets for a moment, while it already serves others.
 */
const DENIED_MS: Millis = 200;

/** Range of the hash function. */
const HASH_RANGE = 2 ** 32;

/**
 * The daemons that may pool the connections of a target, best first, by weighted rendezvous hashing
 * over those of its failure domain, or over all where it has none. When a daemon leaves, only the
 * targets that it owned get another owner.
 */
export function rankPoolOwners(
  daemons: readonly ListedDaemon[],
  target: ListedTarget,
): readonly InstanceId[] {
  const able = daemons.filter(({ poolsConnections }) => poolsConnections === true);
  const near = able.filter(({ failureDomain }) => failureDomain === target.failureDomain);
  const scored = (near.length > 0 ? near : able).map(({ name, cores }) => {
    const share = (murmurhash.v3(`${target.id}/${name}`) + 0.5) / HASH_RANGE;
    return { name, score: (cores ?? 1) / -Math.log(share) };
  });
  scored.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1));
  return scored.map(({ name }) => name);
}

/** As `rankPoolOwners`, worked out once for each directory and target. */
function ranksOf(world: World, target: ListedTarget): readonly InstanceId[] {
  const { listed, poolOwners } = world.fleet;
  const known = poolOwners.get(target.id);
  if (known?.failureDomain === target.failureDomain) return known.owners;
  const owners = rankPoolOwners(listed, target).slice(0, USED_RANKS);
  poolOwners.set(target.id, { failureDomain: target.failureDomain, owners });
  return owners;
}

/**
 * True where a group's connections are pooled: there are too few for each daemon to hold one for each
 * tenant in whose name it may have to be open.
 */
export function isPooled(world: World, group: GroupRow): boolean {
  const { listed, hasPoolOwners } = world.fleet;
  if (!hasPoolOwners || listed.length < 2) return false;
  const tenants = Math.max(1, world.config?.tenants?.tenants.size ?? 1);
  const { connectionPlanShare } = world.settings;
  return group.connectionLimit * connectionPlanShare < daemonCount(world) * tenants;
}

/**
 * The daemon from which leases of a target are requested: the best rank, or the second while the best
 * is lost. Undefined when both are: this daemon then opens connections of its own.
 */
export function findPoolOwner(
  world: World,
  target: TargetRow,
  now: Millis,
): InstanceId | undefined {
  const owner = ranksOf(world, target.listed).find(
    (name) => !world.lostOwners.has(name) && !hasDenied(target, name, now),
  );
  if (owner !== target.poolOwner) recordOwner(world, target, owner, now);
  return owner;
}

/** True for a short time after a daemon has replied that it does not pool the target. */
function hasDenied(target: TargetRow, owner: InstanceId, now: Millis): boolean {
  const at = target.notOwners.get(owner);
  return at !== undefined && now - at < DENIED_MS;
}

function recordOwner(
  world: World,
  target: TargetRow,
  owner: InstanceId | undefined,
  now: Millis,
): void {
  const { poolOwner: from, poolOwnerSince: since } = target;
  target.poolOwner = owner;
  target.poolOwnerSince = now;
  if (since === undefined) return;
  world.io.log({
    type: 'pool_owner_changed',
    target: target.listed.id,
    from,
    to: owner,
    afterMs: Math.round(now - since),
  });
}

/**
 * A lost owner of a target that is due for a probe. A request asks it for a lease in addition, so that
 * it waits no longer when the owner still cannot be reached.
 */
export function findOwnerToProbe(
  world: World,
  target: TargetRow,
  now: Millis,
): InstanceId | undefined {
  if (world.lostOwners.size === 0) return undefined;
  return ranksOf(world, target.listed).find((name) => {
    const lost = world.lostOwners.get(name);
    return lost !== undefined && now - lost.triedAt >= PROBE_INTERVAL_MS;
  });
}

/** Records that a pool owner cannot be reached. */
export function recordOwnerLost(world: World, owner: InstanceId, now: Millis): void {
  const known = world.lostOwners.get(owner);
  if (known) {
    known.triedAt = now;
    return;
  }
  world.lostOwners.set(owner, { since: now, triedAt: now });
  world.io.log({ type: 'pool_owner_lost', owner });
}

/** Records that a pool owner can be reached. */
export function recordOwnerReached(world: World, owner: InstanceId, now: Millis): void {
  const lost = world.lostOwners.get(owner);
  if (!lost) return;
  world.lostOwners.delete(owner);
  world.io.log({ type: 'pool_owner_regained', owner, afterMs: Math.round(now - lost.since) });
}

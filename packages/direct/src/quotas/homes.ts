import murmurhash from 'murmurhash';
import type { InstanceId } from '@rosedeck/shared';
import type { TenantName } from '../tenants';

/** Number of slices of the tenants. All tenants of a slice have the same home daemon. */
export const SLICES = 8;

/**
 * Number of home daemons. Every daemon exchanges loans with each of them, so that these messages do not
 * grow with the fleet. In the model, 89 daemons with 6 operations a second each send 39 of them a second
 * per daemon with eight homes, and 20 with four.
 */
const HOMES = 4;

/**
 * Homes of a slice that are worked out: the first, and those that stand in for it. When 55 % of the
 * daemons lose power, two homes are both gone in 30 % of the slices, and eight in under 1 %.
 */
const RANKS = 8;

/** Range of the hash function. */
const HASH_RANGE = 2 ** 32;

/** Homes of each slice, best first. */
export type HomeTable = readonly (readonly InstanceId[])[];

/** The slice of a tenant. */
export function sliceOf(tenant: TenantName): number {
  return murmurhash.v3(tenant) % SLICES;
}

/** A daemon with this share of the largest processor time in the fleet, or more, is a fast one. */
const FAST_SHARE = 0.5;

/** A daemon and its processor time in cores. */
interface WeighedDaemon {
  readonly name: InstanceId;
  readonly cores?: number;
}

/**
 * The daemons that become homes first. Load pattern: a fleet with a few large instances and many small
 * ones, whose callers all come back at once; a small home that serves callers, too, replies too late,
 * and each daemon takes it for silent. Empty where the large ones are too few to spread the slices.
 */
export function findFast(daemons: readonly WeighedDaemon[]): ReadonlySet<InstanceId> {
  let most = 0;
  for (const { cores = 0 } of daemons) most = Math.max(most, cores);
  const fast = daemons.filter(({ cores = 0 }) => most > 0 && cores >= most * FAST_SHARE);
  return new Set(fast.length < HOMES ? [] : fast.map(({ name }) => name));
}

/** Homes of all slices over the listed daemons: fast ones first, each by rendezvous hashing. */
export function rankHomes(
  daemons: readonly InstanceId[],
  fast: ReadonlySet<InstanceId> = new Set(),
): HomeTable {
  return Array.from({ length: SLICES }, (_, slice) =>
    daemons
      .map((name) => ({
        name,
        rank: murmurhash.v3(`quota-${slice % HOMES}/${name}`) + (fast.has(name) ? HASH_RANGE : 0),
      }))
      .sort((a, b) => b.rank - a.rank || (a.name < b.name ? -1 : 1))
      .slice(0, RANKS)
      .map(({ name }) => name),
  );
}

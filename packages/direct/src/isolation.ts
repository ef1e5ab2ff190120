import type { Millis } from '@rosedeck/shared';
import { hasLease } from './fencing';
import type { World } from './tables';

/** Time in which a daemon that has lost its lease usually regains it from the claims in the store. */
const REGAIN_MS: Millis = 500;

/** Records since when this daemon has had no lease; called each tick. */
export function trackLease(world: World, now: Millis): void {
  if (world.settings.promotionsFenced || hasLease(world, now)) world.leaseLostSince = undefined;
  else world.leaseLostSince ??= now;
}

/**
 * True when this daemon hears neither a quorum of confirmers nor the store, so that it may use no
 * primary. Load pattern: a network partition isolates some daemons for seconds, while callers connect
 * to all of them; an isolated one reports that it is not ready, so that callers reach the others.
 */
export function isIsolated(world: World, now: Millis): boolean {
  return world.leaseLostSince !== undefined && now - world.leaseLostSince >= REGAIN_MS;
}

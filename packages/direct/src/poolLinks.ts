import type { InstanceId, Millis } from '@rosedeck/shared';
import { loseConnection } from './connections';
import { recordOwnerLost, recordOwnerReached } from './poolOwners';
import type { World } from './tables';

/**
 * Applies the state of a link to a pool owner. When it has ended, the requests that wait for leases
 * there go on elsewhere at once. Leases that are granted end one by one: work may still run on them
 * while an owner that stops grants no new ones.
 */
export function applyPoolLink(world: World, owner: InstanceId, isUp: boolean, now: Millis): void {
  if (isUp) {
    recordOwnerReached(world, owner, now);
    return;
  }
  recordOwnerLost(world, owner, now);
  for (const row of [...world.connections.values()])
    if (row.state === 'opening' && row.lease?.owner === owner)
      loseConnection(world, row, 'owner_lost', now);
}

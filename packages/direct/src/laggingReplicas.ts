import type { Millis } from '@rosedeck/shared';
import { isUsable } from './eligibility';
import type { GroupRow, World } from './tables';

/** Time after the choice of a primary in which lagging replicas cause no further promotion. */
const PROMOTION_PAUSE_MS: Millis = 8_000;

/** Time for which a refusal or a waiting request counts as a shortage. */
const SHORTAGE_MS: Millis = 500;

/** Time for which all replicas have lagged too far for any read, while reads wait; else 0. */
export function trackLaggingReplicas(world: World, group: GroupRow, now: Millis): Millis {
  const mayPromote =
    now - group.lastShortageAt < SHORTAGE_MS && now - group.primaryChosenAt > PROMOTION_PAUSE_MS;
  if (!mayPromote || !areReplicasLagging(world, group, now)) group.replicasLaggingSince = undefined;
  else group.replicasLaggingSince ??= now;
  return group.replicasLaggingSince === undefined ? 0 : now - group.replicasLaggingSince;
}

function areReplicasLagging(world: World, group: GroupRow, now: Millis): boolean {
  const allowedMs = findMaxStaleness(world, group);
  if (allowedMs === undefined) return false;
  const replicas = [...group.targets.values()].filter(
    (target) =>
      target.listed.id !== group.primary &&
      target.leavingSince === undefined &&
      target.failingSince === undefined &&
      isUsable(world, target, now),
  );
  return replicas.length > 0 && replicas.every((target) => (target.lag?.ms ?? 0) > allowedMs);
}

/** The greatest age of data that a route of the group accepts; undefined when none is limited. */
function findMaxStaleness(world: World, group: GroupRow): Millis | undefined {
  let longest: Millis | undefined;
  for (const route of world.config?.routes.values() ?? []) {
    if (route.group !== group.id || route.maxStalenessMs === undefined) continue;
    longest = Math.max(longest ?? 0, route.maxStalenessMs);
  }
  return longest;
}

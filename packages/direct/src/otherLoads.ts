import { estimateOthers, isDirectoryFilling } from './fleet';
import { loadOfOthers } from './groupLoads';
import { isScarce } from './samplers';
import type { TargetRow, World } from './tables';

/** Connections that the other daemons hold at a target; undefined while that is not known. */
export function connectionsOfOthers(world: World, target: TargetRow): number | undefined {
  if (isDirectoryFilling(world)) return undefined;
  const { group, listed } = target;
  if (isScarce(world, group)) return loadOfOthers(world, group, listed.id, 'connections');
  return estimateOthers(world, listed.id, 'connections');
}

/** Statements that the other daemons have in flight at a target. */
export function othersInFlight(world: World, target: TargetRow): number {
  const { group, listed } = target;
  if (isScarce(world, group)) return loadOfOthers(world, group, listed.id, 'inFlight') ?? 0;
  return estimateOthers(world, listed.id, 'inFlight') ?? 0;
}

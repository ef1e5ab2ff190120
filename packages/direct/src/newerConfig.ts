import type { InstanceId, Millis } from '@rosedeck/shared';
import type { World } from './tables';

/** Records the version that another daemon has in force. */
export function hearConfigVersion(
  world: World,
  version: number,
  from: InstanceId,
  now: Millis,
): void {
  const { fleet, config } = world;
  const inForce = config?.version ?? 0;
  if (version <= Math.max(inForce, fleet.newerConfig?.version ?? 0)) return;
  const behindSince = fleet.newerConfig?.behindSince ?? now;
  fleet.newerConfig = { version, heardAt: now, behindSince };
  // Before the first configuration every version is newer.
  if (config) world.io.log({ type: 'config_heard', version, inForce, peer: from });
}

/** Takes a version as known that is now in force; returns the time for which it was awaited. */
export function reachConfigVersion(world: World, version: number, now: Millis): Millis {
  const { newerConfig } = world.fleet;
  if (!newerConfig) return 0;
  if (newerConfig.version <= version) world.fleet.newerConfig = undefined;
  return now - newerConfig.behindSince;
}

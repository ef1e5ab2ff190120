import type { Millis } from '@rosedeck/shared';
import type { ListedTarget } from './configuration';
import type { GroupRow } from './tables';

/** Inputs of the decision whether the saved targets of a group are written. */
export interface SaveInputs {
  /** The saved targets are those of the group. */
  readonly isSaved: boolean;
  /** Targets that this daemon knows in the group. */
  readonly targets: number;
  /** Time for which the targets of the group have not changed. */
  readonly unchangedMs: Millis;
  /** Time since this daemon last wrote any group's. */
  readonly sinceWriteMs: Millis;
  /** Age of the newest proof that this daemon's view of the store is complete. */
  readonly viewAgeMs: Millis;
}

/** Time for which a change has to stand: a promotion changes two targets. */
const SETTLED_MS: Millis = 400;

/** Shortest interval between two writes of one daemon. */
const WRITE_INTERVAL_MS: Millis = 1_000;

/** A view without a newer proof may be out of date. */
const VIEW_MAX_AGE_MS: Millis = 3_000;

/**
 * Whether the saved targets of a group are written. Load pattern: all entries of targets expire in an
 * outage of the store. A group without targets keeps those saved before, since its entries may be
 * about to be written again.
 */
export function mustSaveTargets(inputs: SaveInputs): boolean {
  if (inputs.isSaved || inputs.targets === 0) return false;
  if (inputs.viewAgeMs > VIEW_MAX_AGE_MS) return false;
  return inputs.unchangedMs >= SETTLED_MS && inputs.sinceWriteMs >= WRITE_INTERVAL_MS;
}

/**
 * The targets of a group to save, in a fixed order. One whose entry is gone stays until it is no longer
 * used: entries that have expired return within that time. Where commits wait for replicas it stays as long
 * as its log may have an acknowledged commit, since a daemon that starts must not pass over it.
 */
export function targetsToSave(group: GroupRow): ListedTarget[] {
  const listed = [...group.targets.values()].map((row) => row.listed);
  if (group.syncReplicas > 0)
    for (const missing of group.missingLogs.logs.values()) listed.push(missing.listed);
  return listed.sort((a, b) => (a.id < b.id ? -1 : 1));
}

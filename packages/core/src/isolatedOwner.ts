import { createFailure } from '@rosedeck/shared';
import type { InstanceId, Millis } from '@rosedeck/shared';
import { liveCandidates, rankOwners } from './ownership';
import { finishRequest } from './finishRequest';
import { FORWARDS_LIMIT } from './requests';
import { silenceOf } from './silence';
import type { GroupRow, RequestRow, TargetRow } from './tables';
import { targetsOf } from './world';
import type { World } from './world';

/** Time beyond the suspicion of a primary in which its replicas may still report that they lost it. */
const SECOND_OPINION_MS: Millis = 75;

/** Hands queued requests over to the next owner while only this daemon cannot reach the primary. */
export function handOverIfIsolated(world: World, group: GroupRow, now: Millis): void {
  if (!isCutOff(world, group, now)) return;
  const standby = findStandby(world, group, now);
  if (standby === undefined) return;
  const isAlone = targetsOf(world, group).every((target) => isLost(world, target, now));
  const { writes, reads, unsampled } = group.queue;
  const rows = [...writes.inOrder(), ...unsampled, ...(isAlone ? reads.inOrder() : [])];
  for (const row of rows) passOnRow(world, row, standby);
}

function passOnRow(world: World, row: RequestRow, standby: InstanceId): void {
  if (row.req.forwards >= FORWARDS_LIMIT || row.mayHaveRun) return;
  const failure = createFailure('not_owner', `the owner cannot reach the primary, ${standby} may`);
  finishRequest(world, row, { kind: 'failure', failure, owner: standby, standIn: true });
}

/** The replicas would have reported a primary that they have lost too; that starts a promotion. */
function isCutOff(world: World, group: GroupRow, now: Millis): boolean {
  if (group.promotion ?? group.primaryDownSince) return false;
  const primary = group.primary === undefined ? undefined : world.targets.get(group.primary);
  return primary !== undefined && isLost(world, primary, now);
}

function isLost(world: World, target: TargetRow, now: Millis): boolean {
  return silenceOf(target, now) >= world.settings.suspectAfterMs + SECOND_OPINION_MS;
}

function findStandby(world: World, group: GroupRow, now: Millis): InstanceId | undefined {
  const ranked = rankOwners(group.spec.id, liveCandidates(world, now));
  return ranked.find((id) => id !== world.self);
}

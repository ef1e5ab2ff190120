import { createFailure } from '@rosedeck/shared';
import type { InstanceId, Millis } from '@rosedeck/shared';
import { liveCandidates, rankOwners } from './ownership';
import { finishRequest } from './finishRequest';
import { FORWARDS_LIMIT } from './requests';
import { silenceOf } from './silence';
import type { GroupRow, RequestRow, TargetRow } from './tables';
import { targetsOf } from './world';
import type { World } from './world';

/** Time after the suspicion of a primary in which its replicas may still report that they lost it. */
const REPLICA_REPORT_GRACE_MS: Millis = 75;

/** Hands queued requests over to the next owner when only this daemon cannot reach the primary. */
export function handOverIfIsolated(world: World, group: GroupRow, now: Millis): void {
  if (!isIsolated(world, group, now)) return;
  const nextOwner = findNextOwner(world, group, now);
  if (nextOwner === undefined) return;
  const isGroupUnreachable = targetsOf(world, group).every((target) =>
    isUnreachable(world, target, now),
  );
  const { writes, reads, unsampled } = group.queue;
  const rows = [...writes.inOrder(), ...unsampled, ...(isGroupUnreachable ? reads.inOrder() : [])];
  for (const row of rows) handOverRequest(world, row, nextOwner);
}

function handOverRequest(world: World, row: RequestRow, nextOwner: InstanceId): void {
  if (row.req.forwards >= FORWARDS_LIMIT || row.mayHaveRun) return;
  const failure = createFailure(
    'not_owner',
    `the owner cannot reach the primary; ${nextOwner} may reach it`,
  );
  finishRequest(world, row, { kind: 'failure', failure, owner: nextOwner, standIn: true });
}

/**
 * True when only this daemon has lost the primary: replicas that had lost it too would have
 * reported so, which starts a promotion.
 */
function isIsolated(world: World, group: GroupRow, now: Millis): boolean {
  if (group.promotion ?? group.primaryDownSince) return false;
  const primary = group.primary === undefined ? undefined : world.targets.get(group.primary);
  return primary !== undefined && isUnreachable(world, primary, now);
}

function isUnreachable(world: World, target: TargetRow, now: Millis): boolean {
  return silenceOf(target, now) >= world.settings.suspectAfterMs + REPLICA_REPORT_GRACE_MS;
}

function findNextOwner(world: World, group: GroupRow, now: Millis): InstanceId | undefined {
  const ranked = rankOwners(group.spec.id, liveCandidates(world, now));
  return ranked.find((id) => id !== world.self);
}

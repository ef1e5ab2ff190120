import { covers, ORIGIN } from '@rosedeck/shared';
import type { Millis } from '@rosedeck/shared';
import { checkLogs, GONE_MS } from './logSafety';
import type { LogVerdict, OtherLog } from './logSafety';
import { pauseLog } from './pauses';
import { mayHoldDiscarded } from './promotionHistory';
import type { KnownHistory } from './promotionHistory';
import type { PromotionCandidate } from './promotionPolicy';
import { describeCandidate } from './promotionSurvey';
import type { Promotion } from './promotionTypes';
import type { GroupRow, TargetRow, World } from './tables';

/**
 * Whether the log of a candidate has all acknowledged commits, where these wait for replicas. Pauses
 * the other replicas first, so that the primary can acknowledge no commit that the candidate lacks.
 */
export function reviewLogs(
  world: World,
  group: GroupRow,
  promotion: Promotion,
  choice: PromotionCandidate,
  history: KnownHistory,
  now: Millis,
): LogVerdict {
  const others: OtherLog[] = [];
  for (const target of group.targets.values()) {
    const { id } = target.listed;
    if (id === choice.id || isGone(target, choice)) continue;
    const told = describeCandidate(target, promotion);
    // A primary that goes on acknowledges further commits.
    const isReplica = told.reply === 'status' && target.status?.report.role === 'replica';
    const isFinal = isReplica && pauseLog(world, target, promotion.startedAt, now);
    const received = mayHoldDiscarded(told, history) ? ORIGIN : told.received;
    others.push({ id, received: isReplica ? received : undefined, isFinal });
  }
  const { logs, floor } = group.missingLogs;
  for (const id of logs.keys()) others.push({ id, isFinal: false });
  const { syncReplicas } = group;
  return checkLogs({ syncReplicas, received: choice.received, others, floor });
}

/**
 * Whether a target received nothing any more when a sample of the primary was taken that the candidate
 * covers: its process has ended, or the platform counts it as gone.
 */
function isGone(target: TargetRow, { received }: PromotionCandidate): boolean {
  const { failingSince, failures, lastFailure, unlistedSince, group } = target;
  // A connection may also be reset while it is opened.
  const endedAt = lastFailure === 'refused' && failures > 1 ? failingSince : undefined;
  const missingAt = unlistedSince === undefined ? undefined : unlistedSince + GONE_MS;
  const goneAt = Math.min(endedAt ?? Infinity, missingAt ?? Infinity);
  if (!received) return false;
  return group.samples.some(
    ({ sentAt, position }) => sentAt >= goneAt && covers(received, position),
  );
}

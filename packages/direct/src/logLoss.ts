import { covers, formatPosition } from '@rosedeck/shared';
import type { Millis, Position } from '@rosedeck/shared';
import type { TargetStatus } from './statements';
import type { SentOp, TargetRow, World } from './tables';

/**
 * Finds a known entry that a target must hold when it replies to what was sent at `sentAt`, and that its
 * log, which ends at `end`, lacks. The target leads `term`: its log only grows meanwhile, and nobody else
 * writes entries of that term, so that it has started again without its log.
 */
function findMissingEntry(
  world: World,
  target: TargetRow,
  term: number,
  end: Position,
  sentAt: Millis,
): Position | undefined {
  const { group, listed } = target;
  const sample = group.newestSample;
  if (sample && sentAt > group.termSeenAt && !covers(end, sample.position)) {
    const { position, of } = sample;
    const ledTerm = world.settings.promotionsFenced ? position.term : group.leaderTerm;
    if (position.term === term || (of === listed.id && term <= ledTerm)) return position;
  }
  for (const { status, lastPosition } of group.targets.values()) {
    const received = status && status.heardAt < sentAt ? status.report.received : undefined;
    const applied =
      lastPosition && lastPosition.heardAt < sentAt ? lastPosition.position : undefined;
    for (const known of [received, applied])
      if (known?.term === term && !covers(end, known)) return known;
  }
  return undefined;
}

/** Reviews the status of a target: whether it leads without the log that it had. */
export function reviewStatus(
  world: World,
  target: TargetRow,
  { role, term, received }: TargetStatus,
  sent: SentOp,
): void {
  if (sent.epoch !== world.epoch) return;
  const { logLoss } = target;
  // Entries that it has added since may have the numbers of those that it lost.
  const isOver = logLoss && (role === 'replica' || term > logLoss.term);
  if (isOver) target.logLoss = undefined;
  const missing =
    role === 'primary' ? findMissingEntry(world, target, term, received, sent.sentAt) : undefined;
  if (missing) recordLoss(world, target, term, received, missing);
  const isCurrent = role === 'replica' || sent.sentAt > target.group.termSeenAt;
  if (isCurrent && target.logState === 'doubted') target.logState = 'untold';
}

/**
 * Reviews the position in a reply that only a primary gives, other than a status; false when the reply
 * does not prove that the target may be used. With an end before an earlier one it has lost its log, or leads
 * a later term in which its log was cut back: a status shows which.
 */
export function reviewLogEnd(
  world: World,
  target: TargetRow,
  end: Position | undefined,
  sent: SentOp,
): boolean {
  const { group, listed } = target;
  if (isLogDoubted(target)) return false;
  const sample = group.newestSample;
  const isOwn = sample?.of === listed.id && sent.sentAt > group.termSeenAt;
  const isShorter = isOwn && (end ? !covers(end, sample.position) : target.logState === 'told');
  if (isShorter) {
    target.logState = 'doubted';
    withdrawProof(world, target);
    return false;
  }
  target.logState = end ? 'told' : 'untold';
  return true;
}

/**
 * Reviews a reply before it is passed on as that of a primary, with the position of a commit if it is one;
 * true when the target has lost its log, so that its successor will lack the commit. A commit's entry is of
 * the term in which the target leads.
 */
export function reviewCommit(
  world: World,
  target: TargetRow,
  commit: Position | undefined,
  sent: SentOp,
): boolean {
  if (commit && !target.logLoss && sent.epoch === world.epoch) {
    const missing = findMissingEntry(world, target, commit.term, commit, sent.sentAt);
    if (missing) recordLoss(world, target, commit.term, commit, missing);
  }
  return target.logLoss !== undefined;
}

/** Whether a target that leads may have lost its log, so that it is sent no work. */
export function isLogDoubted({ logLoss, logState }: TargetRow): boolean {
  return logLoss !== undefined || logState === 'doubted';
}

function recordLoss(
  world: World,
  target: TargetRow,
  term: number,
  end: Position,
  missing: Position,
): void {
  if (target.logLoss) return;
  const { group, listed } = target;
  target.logLoss = { term, missing, at: world.clock.now() };
  withdrawProof(world, target);
  world.io.log({
    type: 'log_lost',
    group: group.id,
    target: listed.id,
    term,
    received: formatPosition(end),
    missing: formatPosition(missing),
  });
}

function withdrawProof(world: World, { group, listed }: TargetRow): void {
  world.groupsToDispatch.add(group);
  if (group.primary !== listed.id) return;
  group.primaryProvenAt = undefined;
  group.primaryLearnedAt = undefined;
}

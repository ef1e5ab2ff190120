import { finishRequest, refuse } from './finishRequest';
import { newestSample } from './probeRounds';
import type { GroupRow, RequestRow } from './tables';
import { majorityOf, targetsOf } from './world';
import type { World } from './world';

/** Answers writes that a majority received in the term in which they ran; refuses those of earlier terms. */
export function runConfirmation(world: World, group: GroupRow): void {
  const waiting = group.confirming;
  if (waiting.length === 0) return;
  group.confirming = waiting.filter((row) => !settleWrite(world, group, row));
}

/** Answers a write if its result is certain; true when it needs no further checks. */
function settleWrite(world: World, group: GroupRow, row: RequestRow): boolean {
  if (row.stage !== 'confirming' || !row.heldAnswer) return true;
  if (isWriteConfirmed(world, group, row)) {
    finishRequest(world, row, row.heldAnswer);
    return true;
  }
  if (group.term > (row.term ?? 0)) {
    refuse(world, row, 'write_unconfirmed', `the group moved to term ${group.term}`);
    return true;
  }
  return false;
}

function isWriteConfirmed(world: World, group: GroupRow, row: RequestRow): boolean {
  if (!row.writePosition) return isCoveredBySample(group, row);
  return world.policies.isConfirmed(countHolders(world, group, row), majorityOf(group));
}

/**
 * A commit without a log entry has no position to confirm. It only needs a proof that its target was
 * still the primary, which is a later sample of its term.
 */
function isCoveredBySample(group: GroupRow, row: RequestRow): boolean {
  const sample = newestSample(group);
  if (!sample || row.executedAt === undefined) return false;
  return sample.term === row.term && sample.sentAt >= row.executedAt;
}

function countHolders(world: World, group: GroupRow, row: RequestRow): number {
  const written = row.writePosition;
  if (!written) return 0;
  // A report from before a partition does not show which target is the primary now.
  const oldest = world.clock.now() - world.settings.probeTimeoutMs;
  let holders = 1;
  for (const target of targetsOf(world, group)) {
    if (target.spec.id === row.target || target.reportAt < oldest) continue;
    const holds = target.report && world.policies.holdsWrite(target.report, written);
    if (holds) holders += 1;
  }
  return holders;
}

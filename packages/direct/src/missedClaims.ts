import type { Millis, TargetId } from '@rosedeck/shared';
import { expectPrimary } from './failover';
import type { GroupRow, World } from './tables';

/**
 * Applies a claim that was written while this daemon missed it. Its order may have been carried out, and
 * a promotion that was decided without it could restore commits that this one has discarded.
 */
export function applyMissedClaim(
  world: World,
  group: GroupRow,
  target: TargetId,
  now: Millis,
): void {
  const before = group.expectedPrimary;
  expectPrimary(world, group, target, now);
  const expected = group.expectedPrimary;
  if (expected && expected !== before) group.expectedPrimary = { ...expected, isMissed: true };
}

import type { Millis } from '@rosedeck/shared';
import type { TargetRow } from './tables';

/** Time since the first unanswered probe of a target; 0 when its last probe was answered. */
export function silenceOf(target: TargetRow, now: Millis): Millis {
  return target.silentSince === undefined ? 0 : now - target.silentSince;
}

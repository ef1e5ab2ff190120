import type { Millis, Position } from '@rosedeck/shared';
import type { TargetStatus } from './statements';

/** The last status of a target. */
export interface ToldStatus {
  readonly report: TargetStatus;
  /** When it was requested. */
  readonly at: Millis;
  readonly heardAt: Millis;
}

/** The position in a reply of a target. */
export interface ToldPosition {
  readonly position: Position;
  /** When the operation was sent. */
  readonly sentAt: Millis;
  readonly heardAt: Millis;
}

/**
 * What the replies of a target tell of its log, if it leads. `told`: a position; `untold`: none, so that
 * only its status does; `doubted`: one before an earlier one, until its status has shown why.
 */
export type LogState = 'told' | 'untold' | 'doubted';

/** The loss of a target's log, as one that leads has shown it. */
export interface LogLoss {
  /** Term in which it led. */
  readonly term: number;
  /** An entry that it does not have any more. */
  readonly missing: Position;
  readonly at: Millis;
}

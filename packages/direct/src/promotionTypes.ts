import type { Millis, TargetId } from '@rosedeck/shared';

/** Why a group needs another primary; `gone`: the target is no longer listed. */
export type PromotionReason =
  'unreachable' | 'leaving' | 'gone' | 'nobody_leads' | 'replicas_behind';

/** How a promotion order ended. */
export type PromotionResult =
  | 'ordered'
  /** Another daemon holds the claim. */
  | 'lost_claim'
  /** The platform does not accept the target, or a newer claim has been used. */
  | 'rejected'
  /** No reply; the order may still be carried out. */
  | 'unknown'
  /** Nothing was claimed or ordered. */
  | 'unavailable';

/** A promotion that this daemon drives. */
export interface Promotion {
  readonly reason: PromotionReason;
  readonly startedAt: Millis;
  /** `World.epoch` at the start. */
  readonly epoch: number;
  /** `survey`: status replies are awaited; `ordered`: `EngineIo.promote` was called. */
  stage: 'survey' | 'ordered';
  candidate?: TargetId;
  orderedAt?: Millis;
}

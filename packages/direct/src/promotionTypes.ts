import type { Millis, Position, TargetId } from '@rosedeck/shared';

/**
 * Why a group needs another primary; `gone`: the target is no longer listed; `log_lost`: it leads without
 * entries that its log had.
 */
export type PromotionReason =
  'unreachable' | 'leaving' | 'gone' | 'nobody_leads' | 'replicas_behind' | 'log_lost';

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
  | 'unavailable'
  /** Its reason was gone once it was claimed, so that it was not ordered. */
  | 'obsolete';

/** A claim to promote a target, as the store has it. */
export interface StoredClaim {
  readonly target: TargetId;
  /** Log with which the target was chosen; absent in claims of earlier releases. */
  readonly received?: Position;
  /** The claim before it, if that one may have taken effect. */
  readonly previous?: StoredClaim;
}

/** What the local view of the store shows of a group's claims. */
export interface ClaimBasis {
  /** Era and revision of the newest claim; revision 0: there is none in this era. */
  readonly era: number;
  readonly revision: number;
  /** The newest readable claim, also one of an older era; absent: there is none. */
  readonly claim?: StoredClaim;
  /** Age of the newest proof that the view is complete. */
  readonly ageMs: Millis;
}

/** A promotion to claim and to order. */
export interface PromotionOrder {
  readonly target: TargetId;
  /** Newest log entry that the target holds, by its reply. */
  readonly received?: Position;
  /** The newest earlier claim that may have taken effect. */
  readonly previous?: StoredClaim;
  /** Term of the next primary, as far as known. */
  readonly term: number;
  /** The claims as known when the promotion was started; the claim holds only if they are the newest. */
  readonly basis: ClaimBasis;
}

/** A promotion that this daemon drives. */
export interface Promotion {
  readonly reason: PromotionReason;
  readonly startedAt: Millis;
  /** `World.epoch` at the start. */
  readonly epoch: number;
  /** The claims as known at the start. */
  readonly basis: ClaimBasis;
  /** `survey`: status replies are awaited; `ordered`: `EngineIo.promote` was called. */
  stage: 'survey' | 'ordered';
  /** It has been logged that no candidate has all acknowledged commits for certain. */
  isAwaitLogged?: true;
  candidate?: TargetId;
  orderedAt?: Millis;
}

/** A target that this daemon has told to receive nothing more. */
export interface Pause {
  /** The term that it was told, or that it holds. */
  term: number;
  /** When it was last told so. */
  readonly askedAt: Millis;
  /** When the request was sent whose reply confirmed it; absent: none has. */
  confirmedAt?: Millis;
  /** The target does not know the request. */
  isUnsupported: boolean;
}

import type { Millis } from '@rosedeck/shared';
import type { TenantName } from '../tenants';

/**
 * Reading of a home daemon's clock. A loan carries back the newest stamp that its home has sent, so
 * that the home knows how old the loan is at most, however long it was under way or left unread.
 */
export interface HomeStamp {
  /** Random number of the home's process; a new one is drawn at each time jump. */
  readonly epoch: number;
  readonly at: Millis;
}

/** Tokens that a daemon requests for one tenant. */
export interface TokenWant {
  readonly tenant: TenantName;
  /** Operations that wait for a token. */
  readonly waiting: number;
  /** Tokens for operations that are expected soon. */
  readonly ahead: number;
}

/** A home's reply for one tenant. */
export interface TokenGrant {
  readonly tenant: TenantName;
  readonly granted: number;
  /** Time until the home has tokens for those that got none; negative: it has no shares. */
  readonly waitMs: Millis;
}

/** A message between daemons about the caps of tenants. */
export type QuotaMessage =
  /** Lends the sender's share of the tenants in `slices`; without slices only asks for a stamp. */
  | {
      readonly kind: 'lend';
      readonly stamp?: HomeStamp;
      readonly fleetSize: number;
      readonly slices: readonly number[];
      /** Time before this message in which the sender's shares were certainly unused; absent: 0. */
      readonly unusedMs?: Millis;
    }
  | { readonly kind: 'stamp'; readonly stamp: HomeStamp }
  /** Takes shares back before their lease ends; `released` acknowledges it with the same time. */
  | {
      readonly kind: 'release' | 'released';
      /** Time at which the lender sent the release, by its own clock. */
      readonly sentAt: Millis;
      readonly slices: readonly number[];
    }
  | { readonly kind: 'ask'; readonly id: number; readonly wants: readonly TokenWant[] }
  | { readonly kind: 'grant'; readonly id: number; readonly grants: readonly TokenGrant[] };

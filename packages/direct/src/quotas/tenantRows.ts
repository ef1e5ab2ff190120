import type { InstanceId, Millis } from '@rosedeck/shared';
import type { Tenant, TenantName } from '../tenants';
import { createAllowance } from './allowance';
import type { Allowance } from './allowance';
import { sliceOf } from './homes';
import type { TokenWant } from './quotaMessages';
import { createUsage } from './usage';
import type { Usage } from './usage';

/** Why an operation was refused: the cap, a wait without a token, or no home and no share. */
export type RefusalReason = 'cap' | 'wait' | 'no_home';

/** The outcome for an operation that waited for a token. */
export type QuotaDecision<Waiter> =
  | { readonly kind: 'admitted'; readonly waiter: Waiter }
  | {
      readonly kind: 'refused';
      readonly waiter: Waiter;
      readonly tenant: TenantName;
      readonly reason: RefusalReason;
      readonly waitMs: Millis;
    };

/** One tenant's operations at this daemon. */
export interface TenantRow<Waiter> {
  tenant: Tenant;
  readonly slice: number;
  /** Granted tokens that are not used yet, oldest first. */
  held: { count: number; readonly until: Millis }[];
  readonly waiting: { readonly waiter: Waiter; readonly since: Millis }[];
  /** Waiting operations that requests under way ask tokens for. */
  covered: number;
  /** Tokens that requests under way ask for in advance. */
  aheadOpen: number;
  /** Waiting operations are not asked for again before this time. */
  askAfter: Millis;
  /** Up to this time the home is known to have no token. */
  closedUntil: Millis;
  /** When the home will have one, as it last told. */
  opensAt: Millis;
  readonly allowance: Allowance;
  readonly usage: Usage;
}

/** A request for tokens that is under way. */
export interface AskRow {
  readonly id: number;
  readonly home: InstanceId;
  readonly sentAt: Millis;
  resentAt: Millis;
  readonly wants: readonly TokenWant[];
  /** Wants without a reply, by tenant. */
  readonly open: Map<TenantName, TokenWant>;
}

/** Tables of the operations at this daemon. */
export interface TokenRequests<Waiter> {
  readonly tenants: Map<TenantName, TenantRow<Waiter>>;
  readonly asks: Map<number, AskRow>;
  /** Tenants for which tokens are to be requested. */
  readonly toAsk: Set<TenantRow<Waiter>>;
  /** Tenants with waiting operations. */
  readonly withWaiting: Set<TenantRow<Waiter>>;
  /** When a request was last sent to each home. */
  readonly askedAt: Map<InstanceId, Millis>;
  readonly decisions: QuotaDecision<Waiter>[];
  nextId: number;
  reviewedAt: Millis;
}

/** Creates tables without tenants; ids start at random, as a home knows those of earlier processes. */
export function createTokenRequests<Waiter>(random: () => number): TokenRequests<Waiter> {
  return {
    tenants: new Map(),
    asks: new Map(),
    toAsk: new Set(),
    withWaiting: new Set(),
    askedAt: new Map(),
    decisions: [],
    nextId: Math.floor(random() * 2 ** 31),
    reviewedAt: -Infinity,
  };
}

/** Creates the row of a tenant. */
export function createTenantRow<Waiter>(tenant: Tenant): TenantRow<Waiter> {
  return {
    tenant,
    slice: sliceOf(tenant.name),
    held: [],
    waiting: [],
    covered: 0,
    aheadOpen: 0,
    askAfter: -Infinity,
    closedUntil: -Infinity,
    opensAt: -Infinity,
    allowance: createAllowance(),
    usage: createUsage(),
  };
}

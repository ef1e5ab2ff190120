import type { Clock, InstanceId, Millis } from '@rosedeck/shared';
import type { Tenant, TenantDirectory, TenantName } from '../tenants';
import { rankHomes, sliceOf, SLICES } from './homes';
import {
  applyReleased,
  applyStamp,
  createLending,
  electHome,
  findOwnPool,
  forgetStamps,
  markHeard,
  reviewLending,
  setOwnTenants,
} from './lending';
import type { Lending, SendQuotaMessage, ShareMoved } from './lending';
import {
  createLentShares,
  forgetLoans,
  homePool,
  recordLoan,
  releaseLoan,
  setHomeTenants,
} from './lentShares';
import type { LentShares } from './lentShares';
import { listUnannounced, STARTING_MS } from './newProcess';
import type { QuotaMessage, TokenGrant, TokenWant } from './quotaMessages';
import { createTenantRow, createTokenRequests } from './tenantRows';
import type { QuotaDecision, TokenRequests } from './tenantRows';
import { takeTokens, tokensOf } from './tokenBuckets';
import {
  applyGrants,
  dropEnded,
  forgetGrants,
  heldTokens,
  requestToken,
  reviewRequests,
} from './tokenRequests';
import { usedLately } from './usage';

/** Daemons over which the caps are shared. */
export interface QuotaFleet {
  /** Listed daemons, this one included once it is listed. */
  readonly listed: readonly InstanceId[];
  /** Those that become homes first; see `findFast`. */
  readonly fast?: ReadonlySet<InstanceId>;
  /** Last stable count of daemons in the store, if there is one. */
  readonly stableCount?: number;
  /** The directory lacks many daemons, whose entries are being written; absent: it does not. */
  readonly isFilling?: boolean;
  /** This daemon has been out of touch for so long that the others may count without it. */
  readonly isIsolated: boolean;
}

/** A tenant's use, as one daemon sees it. */
export interface TenantUse {
  readonly tenant: TenantName;
  readonly ratePerS: number;
  readonly burst: number;
  /** Undefined while no daemon is in reach as a home. */
  readonly home?: InstanceId;
  /** Tokens in the bucket where this daemon is the home, else those that it holds. */
  readonly tokens: number;
  /** Operations admitted here in the last 5 s. */
  readonly usedLately: number;
  /** Operations admitted and refused here since the start. */
  readonly used: number;
  readonly refused: number;
}

/** Caps of the tenants over all daemons, as this daemon keeps them; `Waiter` is an operation. */
export interface Quotas<Waiter> {
  /** Applies the tenants of a configuration; undefined: there are none, and nothing is capped. */
  applyTenants: (directory: TenantDirectory | undefined) => void;
  applyFleet: (fleet: QuotaFleet) => void;
  /** True when an operation is admitted at once; else `takeDecisions` returns a decision later. */
  request: (tenant: TenantName, waiter: Waiter) => boolean;
  received: (from: InstanceId, message: QuotaMessage) => void;
  /** Runs what is due; called at each tick. */
  review: () => void;
  timeJumped: () => void;
  /** Returns the decisions made since the last call. */
  takeDecisions: () => readonly QuotaDecision<Waiter>[];
  /** Time until `review` is due for operations or requests under way; undefined without any. */
  dueInMs: () => Millis | undefined;
  listUse: () => TenantUse[];
  /** Slices of the tenants of which this daemon is the home, and shares lent to it. */
  countLent: () => { readonly slices: number; readonly loans: number };
}

/** Dependencies and identity. */
export interface QuotasOptions<Waiter> {
  readonly clock: Clock;
  /** Uniform numbers in [0, 1). */
  readonly random: () => number;
  readonly self: InstanceId;
  /** When this process started, by the clock; it has used nothing before. */
  readonly startedAt: Millis;
  readonly send: SendQuotaMessage;
  readonly onMoved: ShareMoved;
  /** True for an operation that has ended while it waited. */
  readonly hasEnded: (waiter: Waiter) => boolean;
}

/** Time between reviews while requests are to be sent: that of their batches. */
const BATCH_REVIEW_MS: Millis = 5;

/** The same while replies are awaited. */
const REPLY_REVIEW_MS: Millis = 20;

/** Time for which a reply is kept: a repeated request must not take tokens twice. */
const REPLY_KEPT_MS: Millis = 300;

/** Replies that are kept at most. */
const MAX_REPLIES = 20_000;

const NO_DECISIONS: readonly never[] = [];

/** Creates the caps of a daemon without tenants; nothing is sent until there are some. */
export function createQuotas<Waiter>(options: QuotasOptions<Waiter>): Quotas<Waiter> {
  const { clock, random, self } = options;
  const newEpoch = (): number => Math.floor(random() * 2 ** 31);
  const lent: LentShares = createLentShares(newEpoch());
  const lending: Lending = createLending(self, options.startedAt, clock.now(), options.onMoved);
  const requests: TokenRequests<Waiter> = createTokenRequests(random);
  const replies = new Map<string, { readonly at: Millis; readonly grants: TokenGrant[] }>();
  let isActive = false;
  /** The directory has been nearly complete since this process started, or had the time for it. */
  let hasSettled = false;
  /** The directory for which the homes are worked out. */
  let ranked: readonly InstanceId[] = [];

  const answerAsk = (from: InstanceId, id: number, wants: readonly TokenWant[]): TokenGrant[] => {
    const now = clock.now();
    const key = `${from} ${id} ${wants[0]?.tenant ?? ''}`;
    const known = replies.get(key);
    if (known) return known.grants;
    const grants = wants.map(({ tenant, waiting, ahead }) => {
      const pool = homePool(lent, sliceOf(tenant), now);
      const taken = pool && takeTokens(pool, tenant, waiting, ahead, now);
      return { tenant, granted: taken?.granted ?? 0, waitMs: taken?.waitMs ?? -1 };
    });
    if (replies.size < MAX_REPLIES) replies.set(key, { at: now, grants });
    return grants;
  };
  const send: SendQuotaMessage = (to, message) => {
    if (to === self) receive(self, message);
    else options.send(to, message);
  };
  const context = { lending, send, random };
  const receive = (from: InstanceId, message: QuotaMessage): void => {
    const now = clock.now();
    if (message.kind === 'lend') {
      const { stamp, slices, fleetSize, unusedMs = 0 } = message;
      const loan = stamp && { from, fleetSize, stamp, unusedMs };
      if (loan) for (const slice of slices) recordLoan(lent, slice, loan, now);
      send(from, { kind: 'stamp', stamp: { epoch: lent.epoch, at: now } });
    } else if (message.kind === 'release') {
      for (const slice of message.slices) releaseLoan(lent, slice, from, now);
      send(from, { ...message, kind: 'released' });
    } else if (message.kind === 'ask') {
      const grants = answerAsk(from, message.id, message.wants);
      send(from, { kind: 'grant', id: message.id, grants });
    } else {
      markHeard(lending, from);
      if (message.kind === 'stamp') applyStamp(lending, from, message.stamp, now, send);
      else if (message.kind === 'grant')
        applyGrants(requests, context, from, message.id, message.grants, now);
      else applyReleased(lending, from, message, now, send);
    }
  };
  const announce = (): void => {
    if (!isActive) return;
    const stamp = { epoch: lent.epoch, at: clock.now() };
    for (const to of listUnannounced(lending, ranked)) send(to, { kind: 'stamp', stamp });
  };
  const pruneReplies = (now: Millis): void => {
    for (const [key, { at }] of replies) {
      if (now - at < REPLY_KEPT_MS) return;
      replies.delete(key);
    }
  };

  return {
    applyTenants: (directory) => {
      const now = clock.now();
      isActive = directory !== undefined;
      const tenants = directory ? [...directory.tenants.values()] : [];
      const bySlice = Array.from({ length: SLICES }, (): Tenant[] => []);
      for (const tenant of tenants) bySlice[sliceOf(tenant.name)]?.push(tenant);
      for (const [slice, list] of bySlice.entries()) {
        setHomeTenants(lent, slice, list, now);
        setOwnTenants(lending, slice, list, now);
      }
      for (const [name, row] of requests.tenants) {
        if (directory?.tenants.has(name)) continue;
        // What the tenant may still do is decided where keys are checked.
        for (const { waiter } of row.waiting) requests.decisions.push({ kind: 'admitted', waiter });
        requests.tenants.delete(name);
        requests.toAsk.delete(row);
        requests.withWaiting.delete(row);
      }
      for (const tenant of tenants) {
        const known = requests.tenants.get(tenant.name);
        if (known) known.tenant = tenant;
        else requests.tenants.set(tenant.name, createTenantRow(tenant));
      }
      announce();
    },
    applyFleet: ({ listed, fast, stableCount, isFilling = false, isIsolated }) => {
      if (listed !== ranked) {
        lending.homes = rankHomes(listed, fast);
        ranked = listed;
        announce();
      }
      lending.fleetSize = Math.max(1, listed.length, stableCount ?? 0);
      const mayOwn = !isIsolated && (stableCount !== undefined || listed.includes(self));
      hasSettled ||= !isFilling || clock.now() - options.startedAt > STARTING_MS;
      lending.ownsShare = mayOwn && hasSettled;
    },
    request: (tenant, waiter) => {
      const row = requests.tenants.get(tenant);
      return !isActive || !row || requestToken(requests, context, row, waiter, clock.now());
    },
    received: (from, message) => {
      if (isActive) receive(from, message);
    },
    review: () => {
      if (!isActive) return;
      const now = clock.now();
      pruneReplies(now);
      reviewLending(lending, now, send);
      for (const row of requests.withWaiting) dropEnded(row, options.hasEnded);
      reviewRequests(requests, context, now);
    },
    timeJumped: () => {
      forgetLoans(lent, newEpoch(), clock.now());
      forgetStamps(lending);
      forgetGrants(requests);
    },
    takeDecisions: () =>
      requests.decisions.length === 0 ? NO_DECISIONS : requests.decisions.splice(0),
    dueInMs: () => {
      if (requests.toAsk.size > 0) return BATCH_REVIEW_MS;
      return requests.asks.size + requests.withWaiting.size > 0 ? REPLY_REVIEW_MS : undefined;
    },
    listUse: () => {
      const now = clock.now();
      return [...requests.tenants.values()].map((row): TenantUse => {
        const { name, ratePerS, burst } = row.tenant;
        const home = electHome(lending, row.slice, now);
        const own = findOwnPool(lending, row.slice);
        const pool = home === self ? homePool(lent, row.slice, now) : own;
        const tokens = heldTokens(row, now) + (pool ? tokensOf(pool, name, now) : 0);
        const { used, refused } = row.usage;
        const lately = usedLately(row.usage, now);
        return { tenant: name, ratePerS, burst, home, tokens, usedLately: lately, used, refused };
      });
    },
    countLent: () => ({
      slices: lent.slices.filter(({ loans }) => loans.size > 0).length,
      loans: lent.slices.reduce((sum, { loans }) => sum + loans.size, 0),
    }),
  };
}

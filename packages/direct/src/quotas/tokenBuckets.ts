import type { Millis } from '@rosedeck/shared';
import type { Tenant, TenantName } from '../tenants';

/** Tokens of one tenant, and the operations that were told to come back for later ones. */
export interface Bucket {
  tenant: Tenant;
  tokens: number;
  /** Operations without a token that are expected again; it decays at the rate of the bucket. */
  backlog: number;
  /** Time up to which the tokens are counted. */
  at: Millis;
}

/** What the buckets of a pool hold beyond their share of the burst. */
export interface ExtraCapacity {
  /** Smallest capacity, as time at the rate of a bucket, plus one token; 0: none. */
  readonly minFillMs: Millis;
  /** Tokens beyond the burst, for the whole cap. */
  readonly tokens: number;
}

/** Buckets of the tenants of one slice, filled at the same share of their caps. */
export interface BucketPool {
  /** Share of the caps, from 0 to 1. */
  share: number;
  readonly extra?: ExtraCapacity;
  readonly buckets: Map<TenantName, Bucket>;
}

/** Longest wait that is told to callers, and the bound of the backlog. */
export const MAX_WAIT_MS: Millis = 2_000;

/** Share of a bucket that is kept for waiting operations when tokens are requested ahead. */
const RESERVED_SHARE = 0.5;

const MS_PER_SECOND = 1_000;

/** Creates a pool without a share. */
export function createPool(extra?: ExtraCapacity): BucketPool {
  return { share: 0, extra, buckets: new Map() };
}

/** Rate of a bucket in tokens per millisecond. */
function rateOf(pool: BucketPool, bucket: Bucket): number {
  return (bucket.tenant.ratePerS * pool.share) / MS_PER_SECOND;
}

function capacityOf(pool: BucketPool, bucket: Bucket): number {
  const { extra, share } = pool;
  const { burst, ratePerS } = bucket.tenant;
  if (!extra || share === 0 || burst + ratePerS === 0) return burst * share;
  const smallest = extra.minFillMs === 0 ? 0 : 1 + rateOf(pool, bucket) * extra.minFillMs;
  return Math.max((burst + extra.tokens) * share, smallest);
}

function refill(pool: BucketPool, bucket: Bucket, now: Millis): void {
  const added = Math.max(0, now - bucket.at) * rateOf(pool, bucket);
  bucket.at = Math.max(bucket.at, now);
  bucket.tokens = Math.min(capacityOf(pool, bucket), bucket.tokens + added);
  bucket.backlog = Math.max(0, bucket.backlog - added);
}

/** Changes the share; tokens above the new capacity are dropped. */
export function setShare(pool: BucketPool, share: number, now: Millis): void {
  if (share === pool.share) return;
  for (const bucket of pool.buckets.values()) refill(pool, bucket, now);
  pool.share = share;
  for (const bucket of pool.buckets.values()) refill(pool, bucket, now);
}

/**
 * Adds the tokens of a time in which a share of the caps was unused: those that a bucket of that share
 * would hold. Shares that are added one after the other must not bring more, though the pool's own
 * bucket is emptied in between.
 */
export function addUnused(pool: BucketPool, share: number, unusedMs: Millis, now: Millis): void {
  for (const bucket of pool.buckets.values()) {
    refill(pool, bucket, now);
    const { ratePerS, burst } = bucket.tenant;
    const added = Math.min(burst, (ratePerS * Math.max(0, unusedMs)) / MS_PER_SECOND) * share;
    bucket.tokens = Math.min(capacityOf(pool, bucket), bucket.tokens + added);
  }
}

/** Replaces the tenants and their caps; new buckets are empty, and lower caps hold at once. */
export function setTenants(pool: BucketPool, tenants: readonly Tenant[], now: Millis): void {
  const names = new Set(tenants.map(({ name }) => name));
  for (const name of pool.buckets.keys()) if (!names.has(name)) pool.buckets.delete(name);
  for (const tenant of tenants) {
    const bucket = pool.buckets.get(tenant.name);
    if (!bucket) {
      pool.buckets.set(tenant.name, { tenant, tokens: 0, backlog: 0, at: now });
      continue;
    }
    refill(pool, bucket, now);
    bucket.tenant = tenant;
    refill(pool, bucket, now);
  }
}

/** Tokens that a pool has for a tenant now. */
export function tokensOf(pool: BucketPool, tenant: TenantName, now: Millis): number {
  const bucket = pool.buckets.get(tenant);
  if (!bucket) return 0;
  refill(pool, bucket, now);
  return bucket.tokens;
}

/** Tokens taken for waiting and for expected operations, and the wait for those that got none. */
export interface Taken {
  readonly granted: number;
  readonly waitMs: Millis;
}

/**
 * Takes tokens. Those for expected operations come out of the upper half of a bucket only: they may
 * lapse unused, which must not cost operations that wait elsewhere.
 */
export function takeTokens(
  pool: BucketPool,
  tenant: TenantName,
  waiting: number,
  ahead: number,
  now: Millis,
): Taken {
  const bucket = pool.buckets.get(tenant);
  if (!bucket || pool.share === 0) return { granted: 0, waitMs: -1 };
  refill(pool, bucket, now);
  const served = Math.min(waiting, Math.floor(bucket.tokens));
  bucket.tokens -= served;
  const missing = waiting - served;
  if (missing > 0) return { granted: served, waitMs: recordBacklog(pool, bucket, missing) };
  const spare = bucket.tokens - RESERVED_SHARE * capacityOf(pool, bucket);
  const extra = Math.min(ahead, Math.max(0, Math.floor(spare)));
  bucket.tokens -= extra;
  return { granted: served + extra, waitMs: 0 };
}

/** Adds operations to the backlog and returns the time until the last of them has a token. */
function recordBacklog(pool: BucketPool, bucket: Bucket, missing: number): Millis {
  const rate = rateOf(pool, bucket);
  bucket.backlog = Math.min(rate * MAX_WAIT_MS + missing, bucket.backlog + missing);
  if (rate === 0) return MAX_WAIT_MS;
  return Math.min(MAX_WAIT_MS, Math.max(0, bucket.backlog - bucket.tokens) / rate);
}

/**
 * Takes one token of a daemon's own share. Load pattern: a tenant with 3 operations a second over 89
 * daemons, whose share never fills one token. The part of a token that is there is then the
 * probability with which an operation is admitted, so that the expected sum is that of the shares.
 */
export function takeOwnToken(
  pool: BucketPool,
  tenant: TenantName,
  now: Millis,
  random: () => number,
): Taken {
  const bucket = pool.buckets.get(tenant);
  if (!bucket) return { granted: 0, waitMs: MAX_WAIT_MS };
  refill(pool, bucket, now);
  const { tokens } = bucket;
  const mayRound = capacityOf(pool, bucket) < 1;
  if (tokens >= 1 || (mayRound && random() < tokens)) {
    bucket.tokens = Math.max(0, tokens - 1);
    return { granted: 1, waitMs: 0 };
  }
  if (mayRound) bucket.tokens = 0;
  return { granted: 0, waitMs: ownWaitMs(pool, tenant, now) };
}

/** Time until a daemon's own share has a whole token for a tenant. */
export function ownWaitMs(pool: BucketPool, tenant: TenantName, now: Millis): Millis {
  const bucket = pool.buckets.get(tenant);
  const rate = bucket ? rateOf(pool, bucket) : 0;
  if (!bucket || rate === 0) return MAX_WAIT_MS;
  refill(pool, bucket, now);
  return Math.min(MAX_WAIT_MS, Math.max(0, 1 - bucket.tokens) / rate);
}

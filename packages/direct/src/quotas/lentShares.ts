import type { InstanceId, Millis } from '@rosedeck/shared';
import type { Tenant } from '../tenants';
import type { HomeStamp } from './quotaMessages';
import { SLICES } from './homes';
import { addUnused, createPool, setShare, setTenants } from './tokenBuckets';
import type { BucketPool, ExtraCapacity } from './tokenBuckets';

/** A share that another daemon, or this one, lends to this home. */
interface LoanRow {
  readonly share: number;
  readonly until: Millis;
}

/** A slice of the tenants at its home. */
interface HomeSliceRow {
  readonly loans: Map<InstanceId, LoanRow>;
  /** Stamps up to this time do not count for a daemon that took its share back. */
  readonly releasedAt: Map<InstanceId, Millis>;
  /** Until when ended loans counted. */
  readonly countedUntil: Map<InstanceId, Millis>;
  /** No loan ends before this time. */
  validUntil: Millis;
  readonly pool: BucketPool;
}

/** The shares that are lent to this daemon. */
export interface LentShares {
  epoch: number;
  readonly slices: readonly HomeSliceRow[];
}

/**
 * Time after its stamp for which a loan counts; one renewal may be lost. The lender takes its share
 * back `TAKE_BACK_MS` after it sent the loan, which was after the stamp, so a share is never counted
 * twice, however late a loan is read.
 */
export const LOAN_MS: Millis = 1_000;

/** Time for which the end of a loan is kept; no loan claims a longer unused time. */
const COUNTED_KEPT_MS: Millis = 2_000;

/**
 * Factor on the lent shares. The daemons that are cut off keep their shares; a fiftieth of the tenth
 * by which a cap may be exceeded makes up for a part of it.
 */
const SHARE_FACTOR = 1.02;

/**
 * Capacity of a home's buckets beyond the burst: 4 of the 20 operations by which each cap may be
 * exceeded, since the traffic of a small tenant varies by more than its burst.
 */
const EXTRA_CAPACITY: ExtraCapacity = { minFillMs: 100, tokens: 4 };

/** Creates the tables of a home without shares. */
export function createLentShares(epoch: number): LentShares {
  return {
    epoch,
    slices: Array.from({ length: SLICES }, () => ({
      loans: new Map<InstanceId, LoanRow>(),
      releasedAt: new Map<InstanceId, Millis>(),
      countedUntil: new Map<InstanceId, Millis>(),
      validUntil: Infinity,
      pool: createPool(EXTRA_CAPACITY),
    })),
  };
}

/** A share of a slice that a daemon lends. */
export interface Loan {
  readonly from: InstanceId;
  readonly fleetSize: number;
  readonly stamp: HomeStamp;
  /** Time before the loan in which the share was unused. */
  readonly unusedMs: Millis;
}

/** Counts a loan, unless its stamp is too old or was sent before the share was taken back. */
export function recordLoan(
  lent: LentShares,
  slice: number,
  { from, fleetSize, stamp, unusedMs }: Loan,
  now: Millis,
): void {
  const row = lent.slices[slice];
  const until = stamp.at + LOAN_MS;
  if (!row || stamp.epoch !== lent.epoch || stamp.at > now || until <= now) return;
  if (stamp.at <= (row.releasedAt.get(from) ?? -Infinity)) return;
  if (now >= row.validUntil) sumLoans(row, now);
  const known = row.loans.get(from);
  if (known && known.until >= until) return;
  const share = 1 / Math.max(1, fleetSize);
  row.loans.set(from, { share, until });
  if (known?.share === share) {
    row.validUntil = Math.min(row.validUntil, until);
    return;
  }
  sumLoans(row, now);
  if (known) return;
  // An earlier process of the same daemon may have lent the share, too.
  const sinceCountedMs = now - (row.countedUntil.get(from) ?? -Infinity);
  addUnused(row.pool, share, Math.min(unusedMs, sinceCountedMs), now);
}

/** Forgets the loan of a daemon that takes its share back. */
export function releaseLoan(lent: LentShares, slice: number, from: InstanceId, now: Millis): void {
  const row = lent.slices[slice];
  if (!row) return;
  row.releasedAt.set(from, now);
  if (!row.loans.delete(from)) return;
  row.countedUntil.set(from, now);
  sumLoans(row, now);
}

/** The buckets of a slice with the shares that are lent now. */
export function homePool(lent: LentShares, slice: number, now: Millis): BucketPool | undefined {
  const row = lent.slices[slice];
  if (!row) return undefined;
  if (now >= row.validUntil) sumLoans(row, now);
  return row.pool;
}

function sumLoans(row: HomeSliceRow, now: Millis): void {
  let sum = 0;
  let endedAt = now;
  row.validUntil = Infinity;
  for (const [from, { share, until }] of row.loans) {
    if (until <= now) {
      row.loans.delete(from);
      row.countedUntil.set(from, until);
      // The process may have been stopped: the share has not counted since the end of its loan.
      endedAt = Math.min(endedAt, until);
      continue;
    }
    sum += share;
    row.validUntil = Math.min(row.validUntil, until);
  }
  // Stamps of before these releases do not count any more in any case.
  for (const [from, at] of row.releasedAt) if (now - at > LOAN_MS) row.releasedAt.delete(from);
  for (const [from, at] of row.countedUntil)
    if (now - at > COUNTED_KEPT_MS) row.countedUntil.delete(from);
  setShare(row.pool, Math.min(1, sum) * SHARE_FACTOR, endedAt);
}

/** Applies the caps of the tenants of a slice. */
export function setHomeTenants(
  lent: LentShares,
  slice: number,
  tenants: readonly Tenant[],
  now: Millis,
): void {
  const pool = homePool(lent, slice, now);
  if (pool) setTenants(pool, tenants, now);
}

/** Forgets all loans after a time jump; older stamps do not count any more. */
export function forgetLoans(lent: LentShares, epoch: number, now: Millis): void {
  lent.epoch = epoch;
  for (const row of lent.slices) {
    row.loans.clear();
    row.releasedAt.clear();
    setShare(row.pool, 0, now);
    row.validUntil = Infinity;
  }
}

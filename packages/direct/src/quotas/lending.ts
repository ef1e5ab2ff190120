import type { InstanceId, Millis } from '@rosedeck/shared';
import type { Tenant } from '../tenants';
import { rankHomes, SLICES } from './homes';
import { unusedBeforeMs } from './newProcess';
import type { NewProcess, NewShare } from './newProcess';
import type { HomeStamp, QuotaMessage } from './quotaMessages';
import { createPool, setShare, setTenants } from './tokenBuckets';
import type { BucketPool, ExtraCapacity } from './tokenBuckets';

/** What a daemon knows of a home. */
interface HomeRow {
  stamp?: HomeStamp;
  /** When the stamp arrived. */
  stampAt: Millis;
  /** Since when messages to the home have gone unanswered. */
  triedSince?: Millis;
  /** When the unanswered message was last sent. */
  triedAt: Millis;
  /** Since when the home counts as silent. */
  silentSince?: Millis;
}

/** This daemon's share of the caps of one slice. */
interface LendingRow extends NewShare {
  /** The home that counts, or may count, this daemon's share. */
  lentTo?: InstanceId;
  /** The home that was last told to `onMoved`. */
  toldHome?: InstanceId;
  /** When the last loan was sent. */
  lastLoanAt: Millis;
  /** Until then the share may be in use at a home, or at one of an earlier process. */
  lentUntil: Millis;
  /** Buckets of the share while it is not lent. */
  readonly own: BucketPool;
}

/** Called when another home, or none, counts this daemon's share of a slice. */
export type ShareMoved = (
  slice: number,
  from: InstanceId | undefined,
  to: InstanceId | undefined,
) => void;

/** The shares that this daemon owns. */
export interface Lending extends NewProcess {
  fleetSize: number;
  /** False while this daemon may be missing from the others' count, and so owns no share. */
  ownsShare: boolean;
  readonly homeRows: Map<InstanceId, HomeRow>;
  readonly slices: readonly LendingRow[];
  readonly onMoved: ShareMoved;
  nextRenewalAt: Millis;
  reviewedAt: Millis;
}

/** Sends a message to a daemon. */
export type SendQuotaMessage = (to: InstanceId, message: QuotaMessage) => void;

/**
 * Time after the arrival of a stamp in which its home may count a loan with it; see `LOAN_MS`. Loans
 * that are sent to a home that does not answer any more thus do not lengthen its lease.
 */
export const TAKE_BACK_MS: Millis = 1_150;

/** Interval at which loans are renewed, and silent homes are asked for a stamp. */
const RENEWAL_MS: Millis = 400;

/** Shortest interval at which a silent home is asked: a daemon that is cut off has up to 32 of them. */
const SILENT_ASK_MS: Millis = 700;

/** Age up to which a stamp is used; with an older one the home seems to be cut off. */
const STAMP_MAX_AGE_MS: Millis = 900;

/** An unanswered renewal is sent again after this time: datagrams are lost at times. */
const RETRY_MS: Millis = 100;

/** Time of unanswered renewals after which a home counts as silent. */
const SILENT_AFTER_MS: Millis = 450;

/** Silence after which the next home stands in: a lost datagram must not move the shares. */
const STAND_IN_AFTER_MS: Millis = 250;

/** Longer times between two reviews say that this daemon stood still, with unread replies. */
const STALL_MS: Millis = 150;

/**
 * Capacity of a daemon's own buckets beyond its share of the burst: 8 of the 20 operations by which a
 * cap may be exceeded, over the fleet. A daemon that gets a small tenant's operation every 10 s would
 * else lose most of its share, which the burst lets it save for a second only.
 */
const EXTRA_CAPACITY: ExtraCapacity = { minFillMs: 0, tokens: 8 };

/** Creates the shares of a daemon; a previous process of the same name may have lent them just now. */
export function createLending(
  self: InstanceId,
  startedAt: Millis,
  now: Millis,
  onMoved: ShareMoved,
): Lending {
  return {
    self,
    startedAt,
    homes: rankHomes([]),
    fleetSize: 1,
    ownsShare: false,
    homeRows: new Map(),
    announcedTo: new Set([self]),
    slices: Array.from({ length: SLICES }, () => ({
      lastLoanAt: -Infinity,
      lentUntil: now + TAKE_BACK_MS,
      own: createPool(EXTRA_CAPACITY),
    })),
    onMoved,
    nextRenewalAt: now,
    reviewedAt: now,
  };
}

/** Applies the caps of the tenants of a slice. */
export function setOwnTenants(
  lending: Lending,
  slice: number,
  tenants: readonly Tenant[],
  now: Millis,
): void {
  const row = lending.slices[slice];
  if (row) setTenants(row.own, tenants, now);
}

/** The home of a slice: the first that is not silent. */
export function electHome(lending: Lending, slice: number, now: Millis): InstanceId | undefined {
  return lending.homes[slice]?.find((name) => {
    const since = lending.homeRows.get(name)?.silentSince;
    return since === undefined || now - since < STAND_IN_AFTER_MS;
  });
}

/** The daemon to ask for tokens; undefined while it is silent. */
export function findAskedHome(
  lending: Lending,
  slice: number,
  now: Millis,
): InstanceId | undefined {
  const lentTo = lending.slices[slice]?.lentTo;
  if (lentTo !== undefined && !isSilent(lending, lentTo)) return lentTo;
  const elected = electHome(lending, slice, now);
  return elected === undefined || isSilent(lending, elected) ? undefined : elected;
}

/** The buckets of this daemon's own share; undefined while a home counts it. */
export function findOwnPool(lending: Lending, slice: number): BucketPool | undefined {
  const row = lending.slices[slice];
  return row && row.own.share > 0 ? row.own : undefined;
}

/** Time until this daemon's own share is taken back, if its home stays silent. */
export function untilTakenBackMs(lending: Lending, slice: number, now: Millis): Millis {
  return Math.max(0, (lending.slices[slice]?.lentUntil ?? now) - now);
}

function isSilent(lending: Lending, home: InstanceId): boolean {
  return lending.homeRows.get(home)?.silentSince !== undefined;
}

/** Records that a home left a request unanswered; it is asked for a stamp at once. */
export function markSilent(
  lending: Lending,
  home: InstanceId,
  now: Millis,
  send: SendQuotaMessage,
): void {
  const row = findHomeRow(lending, home);
  if (row.silentSince !== undefined) return;
  row.silentSince = now;
  lending.nextRenewalAt = now;
  send(home, { kind: 'lend', fleetSize: lending.fleetSize, slices: [] });
}

/** Records that a message of a daemon arrived. */
export function markHeard(lending: Lending, from: InstanceId): void {
  const row = lending.homeRows.get(from);
  if (!row) return;
  row.triedSince = undefined;
  row.silentSince = undefined;
}

function findHomeRow(lending: Lending, home: InstanceId): HomeRow {
  const known = lending.homeRows.get(home);
  if (known) return known;
  const row: HomeRow = { stampAt: -Infinity, triedAt: -Infinity };
  lending.homeRows.set(home, row);
  return row;
}

/** Applies a stamp; shares that wait for it are lent at once. */
export function applyStamp(
  lending: Lending,
  from: InstanceId,
  stamp: HomeStamp,
  now: Millis,
  send: SendQuotaMessage,
): void {
  const row = lending.homeRows.get(from);
  if (!row) return;
  row.stamp = stamp;
  row.stampAt = now;
  // Without a share to lend, each stamp would be answered by a request for the next one.
  if (!lending.ownsShare) return;
  const waiting = lending.slices.some(
    ({ lentTo }, slice) => lentTo === undefined && electHome(lending, slice, now) === from,
  );
  if (waiting) lendTo(lending, from, now, send);
}

/** Applies the acknowledgement of a release: the shares may be lent to another home. */
export function applyReleased(
  lending: Lending,
  from: InstanceId,
  { sentAt, slices }: { readonly sentAt: Millis; readonly slices: readonly number[] },
  now: Millis,
  send: SendQuotaMessage,
): void {
  const next = new Set<InstanceId>();
  for (const slice of slices) {
    const row = lending.slices[slice];
    const elected = electHome(lending, slice, now);
    if (row?.lentTo !== from || elected === from) continue;
    // The acknowledgement of an earlier release says nothing about a later loan.
    if (sentAt < row.lastLoanAt) continue;
    row.lentTo = undefined;
    row.lentUntil = now;
    if (elected !== undefined) next.add(elected);
  }
  for (const home of next) lendTo(lending, home, now, send);
}

/** Renews the loans, moves them to other homes, and takes them back from silent ones. */
export function reviewLending(lending: Lending, now: Millis, send: SendQuotaMessage): void {
  for (const [slice, row] of lending.slices.entries()) {
    const isOwn = now >= row.lentUntil;
    if (isOwn && row.lentTo !== undefined) {
      row.lentTo = undefined;
      lending.nextRenewalAt = now;
    }
    setShare(row.own, isOwn && lending.ownsShare ? 1 / lending.fleetSize : 0, now);
    if (row.own.share > 0) row.countedSince ??= now;
    if (row.toldHome === row.lentTo) continue;
    lending.onMoved(slice, row.toldHome, row.lentTo);
    row.toldHome = row.lentTo;
  }
  const hasStalled = now - lending.reviewedAt > STALL_MS;
  lending.reviewedAt = now;
  for (const [home, row] of lending.homeRows) {
    if (row.triedSince === undefined || row.silentSince !== undefined || hasStalled) continue;
    if (now - row.triedSince > SILENT_AFTER_MS) {
      row.silentSince = now;
      lending.nextRenewalAt = now;
    } else if (now - row.triedAt >= RETRY_MS) lendTo(lending, home, now, send);
  }
  if (now < lending.nextRenewalAt) return;
  lending.nextRenewalAt = now + RENEWAL_MS;
  releaseMoved(lending, now, send);
  for (const home of listContacts(lending)) {
    const row = lending.homeRows.get(home);
    const isAsked = row?.silentSince !== undefined && now - row.triedAt < SILENT_ASK_MS;
    if (!isAsked) lendTo(lending, home, now, send);
  }
}

/** Takes shares back from homes that are no longer the elected ones. */
function releaseMoved(lending: Lending, now: Millis, send: SendQuotaMessage): void {
  const moved = new Map<InstanceId, number[]>();
  for (const [slice, { lentTo }] of lending.slices.entries()) {
    if (lentTo === undefined || electHome(lending, slice, now) === lentTo) continue;
    moved.set(lentTo, [...(moved.get(lentTo) ?? []), slice]);
  }
  for (const [home, slices] of moved) send(home, { kind: 'release', sentAt: now, slices });
}

/**
 * Homes up to the first that answers: silent ones would be elected if they answered, and the one after
 * a silent home may be silent too, which has to show before its turn comes.
 */
function listContacts(lending: Lending): ReadonlySet<InstanceId> {
  const contacts = new Set<InstanceId>();
  for (const ranked of lending.homes)
    for (const home of ranked) {
      contacts.add(home);
      if (!isSilent(lending, home)) break;
    }
  for (const name of lending.homeRows.keys())
    if (!contacts.has(name) && !lending.slices.some(({ lentTo }) => lentTo === name))
      lending.homeRows.delete(name);
  return contacts;
}

/** Lends the shares of a home's slices to it; without a usable stamp only asks for one. */
function lendTo(lending: Lending, home: InstanceId, now: Millis, send: SendQuotaMessage): void {
  const homeRow = findHomeRow(lending, home);
  const slices: number[] = [];
  const isUsable =
    lending.ownsShare && homeRow.silentSince === undefined && homeRow.stamp !== undefined;
  if (isUsable && now - homeRow.stampAt <= STAMP_MAX_AGE_MS)
    for (const [slice, row] of lending.slices.entries()) {
      if (electHome(lending, slice, now) !== home) continue;
      if (row.lentTo !== undefined && row.lentTo !== home) continue;
      setShare(row.own, 0, now);
      row.lentTo = home;
      row.countedSince ??= now;
      row.firstLoan ??= { home, at: now };
      row.lastLoanAt = now;
      row.lentUntil = Math.max(row.lentUntil, homeRow.stampAt + TAKE_BACK_MS);
      slices.push(slice);
    }
  if (home !== lending.self) homeRow.triedSince ??= now;
  homeRow.triedAt = now;
  const { fleetSize } = lending;
  const stamp = slices.length > 0 ? homeRow.stamp : undefined;
  const unusedMs = unusedBeforeMs(lending, home, slices, now);
  send(home, { kind: 'lend', stamp, fleetSize, slices, unusedMs });
}

/** Discards stamps after a time jump; their age is unknown. */
export function forgetStamps(lending: Lending): void {
  for (const row of lending.homeRows.values()) {
    row.stamp = undefined;
    row.triedSince = undefined;
  }
}

import type { InstanceId, Millis } from '@rosedeck/shared';
import { takeAllowance } from './allowance';
import { electHome, findAskedHome, findOwnPool, markSilent, untilTakenBackMs } from './lending';
import { isStarting } from './newProcess';
import type { Lending, SendQuotaMessage } from './lending';
import type { TokenGrant, TokenWant } from './quotaMessages';
import type { AskRow, RefusalReason, TenantRow, TokenRequests } from './tenantRows';
import { ownWaitMs, takeOwnToken } from './tokenBuckets';
import { recentNeeds, recordNeed, recordUse } from './usage';

/** What the systems over these tables need. */
export interface RequestContext {
  readonly lending: Lending;
  readonly send: SendQuotaMessage;
  readonly random: () => number;
}

/** Requests to one home are batched for this time. */
const BATCH_MS: Millis = 5;

/** Tokens for expected operations only are requested after this time, with more in one message. */
const AHEAD_BATCH_MS: Millis = 20;

/** A request without a reply is sent again after this time: datagrams are lost at times. */
const RESEND_MS: Millis = 40;

/** Time without a reply after which a home counts as silent. */
const ASK_TIMEOUT_MS: Millis = 120;

/** Longer times between two reviews say that this daemon stood still, with unread replies. */
const STALL_MS: Millis = 60;

/**
 * Pause before a home is asked again while shares are about to be lent to it. Load pattern: all daemons
 * restart; operations wait for the first loans instead of being refused, within `MAX_TOKEN_WAIT_MS`.
 */
const START_RETRY_MS: Millis = 20;

/** Longest wait of an operation for a token. */
const MAX_TOKEN_WAIT_MS: Millis = 150;

/** Waits up to this length are spent here; callers with longer ones are refused at once. */
const SHORT_WAIT_MS: Millis = 60;

/** Bounds of the time in which operations are refused without asking the home again. */
const CLOSED_MS = { min: 10, max: 50 } as const;

/** Time after the request for a token in which it may be used. */
export const GRANT_MS: Millis = 500;

/** Fewer operations in the last 200 ms are too irregular for tokens in advance. */
const MIN_REGULAR_NEEDS = 2;

/** Wait that is told while neither a home nor an own share is in reach. */
const NO_HOME_WAIT_MS: Millis = 200;

/** Random share added to the told waits, so that callers do not come back together. */
const WAIT_JITTER = 0.25;

/** True when an operation has a token at once; else a decision about `waiter` follows. */
export function requestToken<Waiter>(
  requests: TokenRequests<Waiter>,
  context: RequestContext,
  row: TenantRow<Waiter>,
  waiter: Waiter,
  now: Millis,
): boolean {
  recordNeed(row.usage, now);
  if (takeHeld(row, now)) {
    recordUse(row.usage, now);
    if (aheadWanted(row, now) > 0) requests.toAsk.add(row);
    return true;
  }
  if (now < row.closedUntil) {
    refuse(requests, context, row, waiter, 'cap', row.opensAt - now);
    return false;
  }
  if (findAskedHome(context.lending, row.slice, now) === undefined) {
    if (admitWithoutHome(requests, context, row, waiter, now)) return false;
    if (!isStarting(context.lending, row.slice, now)) {
      refuseWithoutHome(requests, context, row, waiter, now);
      return false;
    }
  }
  row.waiting.push({ waiter, since: now });
  requests.toAsk.add(row);
  requests.withWaiting.add(row);
  sendRequests(requests, context, now);
  return false;
}

function takeHeld<Waiter>(row: TenantRow<Waiter>, now: Millis): boolean {
  if (row.held.length === 0) return false;
  row.held = row.held.filter(({ count, until }) => count > 0 && until > now);
  const [oldest] = row.held;
  if (!oldest) return false;
  oldest.count -= 1;
  return true;
}

/** Unused tokens that this daemon holds for a tenant. */
export function heldTokens<Waiter>(row: TenantRow<Waiter>, now: Millis): number {
  return row.held.reduce((sum, { count, until }) => sum + (until > now ? count : 0), 0);
}

/** Tokens to request in advance: as many as lately needed, once half of them are used. */
function aheadWanted<Waiter>(row: TenantRow<Waiter>, now: Millis): number {
  const needs = recentNeeds(row.usage, now);
  if (needs < MIN_REGULAR_NEEDS) return 0;
  const held = heldTokens(row, now) + row.aheadOpen;
  return held * 2 <= needs ? needs - held : 0;
}

/** Requests under way cover the oldest waiting operations; these are the others. */
function uncoveredOf<Waiter>(row: TenantRow<Waiter>, now: Millis): number {
  return now < row.askAfter ? 0 : Math.max(0, row.waiting.length - row.covered);
}

/** Sends the requests that are due: one message to each home for all of its tenants. */
export function sendRequests<Waiter>(
  requests: TokenRequests<Waiter>,
  context: RequestContext,
  now: Millis,
): void {
  if (requests.toAsk.size === 0) return;
  const byHome = new Map<InstanceId, TenantRow<Waiter>[]>();
  const due = new Set<InstanceId>();
  for (const row of requests.toAsk) {
    const home = findAskedHome(context.lending, row.slice, now);
    if (home === undefined && isStarting(context.lending, row.slice, now)) continue;
    if (home === undefined) {
      requests.toAsk.delete(row);
      decideAllWithoutHome(requests, context, row, row.waiting.length - row.covered, now);
      continue;
    }
    byHome.set(home, [...(byHome.get(home) ?? []), row]);
    const sinceAskMs = now - (requests.askedAt.get(home) ?? -Infinity);
    if (sinceAskMs >= (uncoveredOf(row, now) > 0 ? BATCH_MS : AHEAD_BATCH_MS)) due.add(home);
  }
  for (const home of due) ask(requests, context, home, byHome.get(home) ?? [], now);
}

function ask<Waiter>(
  requests: TokenRequests<Waiter>,
  context: RequestContext,
  home: InstanceId,
  rows: readonly TenantRow<Waiter>[],
  now: Millis,
): void {
  const wants: TokenWant[] = [];
  for (const row of rows) {
    const waiting = uncoveredOf(row, now);
    const ahead = aheadWanted(row, now);
    if (now >= row.askAfter || row.waiting.length === 0) requests.toAsk.delete(row);
    if (waiting + ahead === 0) continue;
    row.covered += waiting;
    row.aheadOpen += ahead;
    wants.push({ tenant: row.tenant.name, waiting, ahead });
  }
  if (wants.length === 0) return;
  const id = requests.nextId;
  requests.nextId += 1;
  requests.askedAt.set(home, now);
  const open = new Map(wants.map((want) => [want.tenant, want]));
  requests.asks.set(id, { id, home, sentAt: now, resentAt: now, wants, open });
  context.send(home, { kind: 'ask', id, wants });
}

/** Applies a home's reply. */
export function applyGrants<Waiter>(
  requests: TokenRequests<Waiter>,
  context: RequestContext,
  from: InstanceId,
  id: number,
  grants: readonly TokenGrant[],
  now: Millis,
): void {
  const row = requests.asks.get(id);
  if (row?.home !== from) return;
  for (const grant of grants) {
    const want = row.open.get(grant.tenant);
    if (!want) continue;
    row.open.delete(grant.tenant);
    const tenant = requests.tenants.get(grant.tenant);
    if (tenant) applyGrant(requests, context, tenant, from, row.sentAt, want, grant, now);
  }
  if (row.open.size === 0) requests.asks.delete(id);
}

function applyGrant<Waiter>(
  requests: TokenRequests<Waiter>,
  context: RequestContext,
  row: TenantRow<Waiter>,
  from: InstanceId,
  askedAt: Millis,
  want: TokenWant,
  grant: TokenGrant,
  now: Millis,
): void {
  endWant(row, want);
  const granted = now - askedAt < GRANT_MS ? grant.granted : 0;
  const served = row.waiting.splice(0, granted);
  for (const { waiter } of served) admit(requests, row, waiter, now);
  if (granted > served.length)
    row.held.push({ count: granted - served.length, until: askedAt + GRANT_MS });
  const missing = Math.min(row.waiting.length, want.waiting - grant.granted);
  if (missing > 0) {
    // While shares move to this home, its wait says nothing about the cap.
    const isSettled = context.lending.slices[row.slice]?.lentTo === from;
    if (grant.waitMs < 0 || !isSettled) decideAllWithoutHome(requests, context, row, missing, now);
    else applyWait(requests, context, row, missing, grant.waitMs, now);
  }
  if (row.waiting.length === 0) requests.withWaiting.delete(row);
}

/** Lets operations wait for a short time, and refuses them if the home's wait is long. */
function applyWait<Waiter>(
  requests: TokenRequests<Waiter>,
  context: RequestContext,
  row: TenantRow<Waiter>,
  missing: number,
  waitMs: Millis,
  now: Millis,
): void {
  if (waitMs <= SHORT_WAIT_MS) {
    row.askAfter = now + Math.max(BATCH_MS, waitMs);
    requests.toAsk.add(row);
    return;
  }
  row.opensAt = now + waitMs;
  row.closedUntil = now + Math.min(CLOSED_MS.max, Math.max(CLOSED_MS.min, waitMs / 2));
  for (const { waiter } of row.waiting.splice(0, missing))
    refuse(requests, context, row, waiter, 'cap', waitMs);
}

function endWant<Waiter>(row: TenantRow<Waiter>, want: TokenWant): void {
  row.covered = Math.max(0, row.covered - want.waiting);
  row.aheadOpen = Math.max(0, row.aheadOpen - want.ahead);
}

function admit<Waiter>(
  requests: TokenRequests<Waiter>,
  row: TenantRow<Waiter>,
  waiter: Waiter,
  now: Millis,
): void {
  recordUse(row.usage, now);
  requests.decisions.push({ kind: 'admitted', waiter });
}

function refuse<Waiter>(
  requests: TokenRequests<Waiter>,
  context: RequestContext,
  row: TenantRow<Waiter>,
  waiter: Waiter,
  reason: RefusalReason,
  waitMs: Millis,
): void {
  row.usage.refused += 1;
  requests.decisions.push({
    kind: 'refused',
    waiter,
    tenant: row.tenant.name,
    reason,
    waitMs: Math.max(CLOSED_MS.min, waitMs) * (1 + WAIT_JITTER * context.random()),
  });
}

/**
 * Decides about the oldest waiting operations without a home. Those of a new process wait on: the first
 * loans are under way.
 */
function decideAllWithoutHome<Waiter>(
  requests: TokenRequests<Waiter>,
  context: RequestContext,
  row: TenantRow<Waiter>,
  count: number,
  now: Millis,
): void {
  const isNew = isStarting(context.lending, row.slice, now);
  const oldest = row.waiting.splice(0, Math.max(0, count));
  const rest = oldest.filter(({ waiter, since }) => {
    if (admitWithoutHome(requests, context, row, waiter, now)) return false;
    if (isNew && now - since < MAX_TOKEN_WAIT_MS) return true;
    refuseWithoutHome(requests, context, row, waiter, now);
    return false;
  });
  row.waiting.unshift(...rest);
  if (rest.length > 0) {
    row.askAfter = now + START_RETRY_MS;
    requests.toAsk.add(row);
  }
  if (row.waiting.length === 0) requests.withWaiting.delete(row);
}

/** Admits an operation by the own share if no home counts it, else by the allowance, where it can. */
function admitWithoutHome<Waiter>(
  requests: TokenRequests<Waiter>,
  { lending, random }: RequestContext,
  row: TenantRow<Waiter>,
  waiter: Waiter,
  now: Millis,
): boolean {
  const own = findOwnPool(lending, row.slice);
  const isAdmitted = own
    ? takeOwnToken(own, row.tenant.name, now, random).granted > 0
    : takeAllowance(row.allowance, row.tenant, lending.fleetSize, now, random);
  if (isAdmitted) admit(requests, row, waiter, now);
  return isAdmitted;
}

/** Refuses an operation that `admitWithoutHome` has not admitted. */
function refuseWithoutHome<Waiter>(
  requests: TokenRequests<Waiter>,
  context: RequestContext,
  row: TenantRow<Waiter>,
  waiter: Waiter,
  now: Millis,
): void {
  const { lending } = context;
  const own = findOwnPool(lending, row.slice);
  if (own) {
    refuse(requests, context, row, waiter, 'cap', ownWaitMs(own, row.tenant.name, now));
    return;
  }
  const backMs = untilTakenBackMs(lending, row.slice, now);
  const hasHome = electHome(lending, row.slice, now) !== undefined;
  const waitMs = hasHome ? Math.min(NO_HOME_WAIT_MS, backMs) : backMs;
  refuse(requests, context, row, waiter, 'no_home', Math.max(NO_HOME_WAIT_MS, waitMs));
}

/** Sends requests again, gives up those without a reply, and ends waits that are too long. */
export function reviewRequests<Waiter>(
  requests: TokenRequests<Waiter>,
  context: RequestContext,
  now: Millis,
): void {
  const hasStalled = now - requests.reviewedAt > STALL_MS;
  requests.reviewedAt = now;
  for (const row of requests.asks.values()) {
    if (now - row.sentAt >= ASK_TIMEOUT_MS && !hasStalled) giveUp(requests, context, row, now);
    else if (now - row.resentAt >= RESEND_MS) {
      row.resentAt = now;
      context.send(row.home, { kind: 'ask', id: row.id, wants: row.wants });
    }
  }
  for (const row of requests.withWaiting) {
    while (!hasStalled && row.waiting[0] && now - row.waiting[0].since >= MAX_TOKEN_WAIT_MS) {
      const oldest = row.waiting.shift();
      const waitMs = Math.max(SHORT_WAIT_MS, row.askAfter - now);
      if (!oldest) break;
      if (!isStarting(context.lending, row.slice, now))
        refuse(requests, context, row, oldest.waiter, 'wait', waitMs);
      else if (!admitWithoutHome(requests, context, row, oldest.waiter, now))
        refuseWithoutHome(requests, context, row, oldest.waiter, now);
    }
    if (row.waiting.length === 0) requests.withWaiting.delete(row);
  }
  sendRequests(requests, context, now);
}

function giveUp<Waiter>(
  requests: TokenRequests<Waiter>,
  context: RequestContext,
  row: AskRow,
  now: Millis,
): void {
  requests.asks.delete(row.id);
  markSilent(context.lending, row.home, now, context.send);
  for (const want of row.open.values()) {
    const tenant = requests.tenants.get(want.tenant);
    if (!tenant) continue;
    endWant(tenant, want);
    decideAllWithoutHome(requests, context, tenant, want.waiting, now);
  }
}

/** Removes the waiting operations that have ended, so that they take no tokens. */
export function dropEnded<Waiter>(
  row: TenantRow<Waiter>,
  hasEnded: (waiter: Waiter) => boolean,
): void {
  for (let at = row.waiting.length - 1; at >= 0; at -= 1) {
    const one = row.waiting[at];
    if (one && hasEnded(one.waiter)) row.waiting.splice(at, 1);
  }
}

/** Forgets grants and requests under way after a time jump; waiting operations ask again. */
export function forgetGrants<Waiter>(requests: TokenRequests<Waiter>): void {
  requests.asks.clear();
  requests.askedAt.clear();
  for (const row of requests.tenants.values()) {
    row.held = [];
    row.covered = 0;
    row.aheadOpen = 0;
    row.askAfter = -Infinity;
    row.closedUntil = -Infinity;
    if (row.waiting.length > 0) requests.toAsk.add(row);
  }
}

import { createManualClock } from '@rosedeck/shared';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createQuotas, findFast, rankHomes, sliceOf, SLICES } from '../src/index';
import type { HomeStamp, QuotaMessage, Quotas, Tenant } from '../src/index';
import { allowancePart, createAllowance, takeAllowance } from '../src/quotas/allowance';
import { createPool, setShare, setTenants, takeOwnToken } from '../src/quotas/tokenBuckets';
import { directoryOf } from './quotaFleet';
import { createRandom } from './rig';

const AMBER: Tenant = { name: 'amber', ratePerS: 100, burst: 100 };
const NAMES = ['d0', 'd1', 'd2', 'd3'];

/** The home of the tenant among four daemons, and the others. */
const HOME = rankHomes(NAMES)[sliceOf(AMBER.name)]?.[0] ?? '';
const OTHERS = NAMES.filter((name) => name !== HOME);
const [FIRST = ''] = OTHERS;

/** One daemon of four with a manual clock; `sent` are its messages. */
interface Single {
  readonly quotas: Quotas<string>;
  readonly sent: { readonly to: string; readonly message: QuotaMessage }[];
  readonly verdicts: string[];
  run: (ms: number) => void;
  /** Passes time in which the process is stopped. */
  skip: (ms: number) => void;
  now: () => number;
}

function createSingle(self: string): Single {
  const clock = createManualClock(10_000);
  const sent: { to: string; message: QuotaMessage }[] = [];
  const verdicts: string[] = [];
  const quotas = createQuotas<string>({
    clock,
    random: createRandom(3),
    self,
    startedAt: clock.now(),
    send: (to, message) => sent.push({ to, message }),
    onMoved: () => undefined,
    hasEnded: () => false,
  });
  quotas.applyTenants(directoryOf([AMBER]));
  quotas.applyFleet({ listed: NAMES, stableCount: 4, isIsolated: false });
  const run = (ms: number): void => {
    for (let at = 0; at < ms; at += 5) {
      clock.advance(5);
      quotas.review();
      for (const { kind, waiter } of quotas.takeDecisions()) verdicts.push(`${waiter} ${kind}`);
    }
  };
  return { quotas, sent, verdicts, run, skip: clock.advance, now: clock.now };
}

/** The newest stamp that a home has sent. */
function lastStamp({ sent }: Single): HomeStamp {
  const last = sent.findLast(({ message }) => message.kind === 'stamp')?.message;
  if (last?.kind !== 'stamp') throw new Error('no stamp');
  return last.stamp;
}

function lend(home: Single, from: string, stamp: HomeStamp | undefined): void {
  const slices = [sliceOf(AMBER.name)];
  home.quotas.received(from, { kind: 'lend', stamp, fleetSize: 4, slices });
}

/** Asks a home for more tokens than it can have, and returns what it grants. */
function drain(home: Single, id = 1): number {
  const wants = [{ tenant: AMBER.name, waiting: 1_000, ahead: 0 }];
  home.quotas.received('asker', { kind: 'ask', id, wants });
  const last = home.sent.at(-1)?.message;
  return last?.kind === 'grant' ? (last.grants[0]?.granted ?? 0) : -1;
}

/** Lets the other daemons lend their shares for a time. */
function lendAll(home: Single, ms: number): void {
  for (let at = 0; at < ms; at += 200) {
    for (const from of OTHERS) {
      lend(home, from, undefined);
      lend(home, from, lastStamp(home));
    }
    home.run(200);
  }
}

test('homes are spread over the daemons, and few change when one leaves', () => {
  const names = Array.from({ length: 60 }, (_, at) => `d${at}`);
  const before = rankHomes(names);
  assert.is(before.length, SLICES);
  const gone = before[0]?.[0] ?? '';
  const after = rankHomes(names.filter((name) => name !== gone));
  assert.is(after[0]?.[0], before[0]?.[1]);
  for (const [slice, ranked] of before.entries())
    if (ranked[0] !== gone) assert.is(after[slice]?.[0], ranked[0]);
});

test('the fastest daemons become homes first, if there are enough of them', () => {
  const daemons = Array.from({ length: 72 }, (_, at) => ({
    name: `d${at}`,
    cores: at < 6 ? 1.35 : 0.324,
  }));
  const names = daemons.map(({ name }) => name);
  const fast = findFast(daemons);
  assert.equal([...fast], names.slice(0, 6));
  for (const ranked of rankHomes(names, fast)) {
    assert.ok(ranked.slice(0, 6).every((name) => fast.has(name)));
    assert.is(ranked.length, 8);
  }
  assert.is(findFast(daemons.slice(3)).size, 0);
  assert.is(findFast(names.map((name) => ({ name }))).size, 0);
});

test('a home that has counted an earlier loan of a daemon adds only the time since', () => {
  const home = createSingle(HOME);
  const slices = [sliceOf(AMBER.name)];
  const ask = (): HomeStamp => {
    lend(home, FIRST, undefined);
    return lastStamp(home);
  };
  lend(home, FIRST, ask());
  home.run(300);
  drain(home, 90);
  // The daemon is killed and starts again; its new process knows of no earlier loan.
  home.run(900);
  drain(home, 91);
  home.quotas.received(FIRST, {
    kind: 'lend',
    stamp: ask(),
    fleetSize: 4,
    slices,
    unusedMs: 1_100,
  });
  // 25 tokens a second for the 200 ms since the end of the earlier loan.
  const granted = drain(home, 92);
  assert.ok(granted <= 6, `${granted}`);
});

test('a home without lent shares has no tokens, and one with all has those of the cap', () => {
  const home = createSingle(HOME);
  home.run(3_000);
  const alone = drain(home);
  assert.ok(alone >= 20 && alone <= 30, `${alone} of its own quarter`);
  lendAll(home, 3_000);
  const all = drain(home, 2);
  assert.ok(all >= 95 && all <= 110, `${all} of all quarters`);
});

// A home that was stopped for seconds finds old loans in its socket, which are taken back by then.
test('loans that lay unread do not count, whether or not the clock stood still', () => {
  const home = createSingle(HOME);
  lendAll(home, 3_000);
  const stamp = lastStamp(home);
  drain(home, 1);
  home.run(1_100);
  for (const from of OTHERS) lend(home, from, stamp);
  home.run(900);
  const late = drain(home, 2);
  assert.ok(late <= 30, `${late} after a stop with a running clock`);

  const jumped = createSingle(HOME);
  lendAll(jumped, 3_000);
  const old = lastStamp(jumped);
  jumped.quotas.timeJumped();
  for (const from of OTHERS) lend(jumped, from, old);
  jumped.run(500);
  const granted = drain(jumped, 2);
  assert.ok(granted <= 30, `${granted} after a time jump`);
});

test('loans end without a renewal, also when the home was stopped meanwhile', () => {
  const home = createSingle(HOME);
  lendAll(home, 3_000);
  drain(home, 1);
  home.skip(1_500);
  const stopped = drain(home, 2);
  assert.ok(stopped <= 30, `${stopped}`);
  home.run(900);
  const alone = drain(home, 3);
  assert.ok(alone <= 30, `${alone}`);
});

test('a loan that overtakes its release does not count', () => {
  const home = createSingle(HOME);
  lendAll(home, 1_000);
  const stamp = lastStamp(home);
  drain(home, 1);
  const slices = [sliceOf(AMBER.name)];
  for (const from of OTHERS) {
    home.quotas.received(from, { kind: 'release', sentAt: 5, slices });
    assert.equal(home.sent.at(-1)?.message, { kind: 'released', sentAt: 5, slices });
    lend(home, from, stamp);
  }
  home.run(500);
  const granted = drain(home, 2);
  assert.ok(granted <= 14, `${granted}`);
});

// The reply to a request may be lost: the request that is sent again must not take tokens twice.
test('a repeated request gets the same reply', () => {
  const home = createSingle(HOME);
  lendAll(home, 2_000);
  const first = drain(home, 7);
  home.run(40);
  assert.is(drain(home, 7), first);
  assert.ok(drain(home, 8) < 10);
});

test('a request is sent again after 40 ms, and its wait ends without a reply', () => {
  const daemon = createSingle(FIRST);
  daemon.run(5);
  assert.not(daemon.quotas.request(AMBER.name, 'op'));
  const asks = (): number => daemon.sent.filter(({ message }) => message.kind === 'ask').length;
  assert.is(asks(), 1);
  daemon.run(50);
  assert.is(asks(), 2);
  assert.equal(daemon.verdicts, []);
  daemon.run(90);
  assert.is(daemon.verdicts.length, 1);
});

/** Tokens for an operation of a daemon, granted `afterMs` after the request. */
function grantLate(daemon: Single, granted: number, afterMs: number): void {
  const ask = daemon.sent.findLast(({ message }) => message.kind === 'ask')?.message;
  if (ask?.kind !== 'ask') throw new Error('no request');
  daemon.run(afterMs);
  const grants = [{ tenant: AMBER.name, granted, waitMs: 0 }];
  daemon.quotas.received(HOME, { kind: 'grant', id: ask.id, grants });
  daemon.run(5);
}

test('granted tokens lapse 500 ms after their request', () => {
  const daemon = createSingle(FIRST);
  daemon.run(5);
  daemon.quotas.request(AMBER.name, 'first');
  grantLate(daemon, 4, 10);
  assert.equal(daemon.verdicts, ['first admitted']);
  assert.ok(daemon.quotas.request(AMBER.name, 'second'));
  daemon.run(500);
  assert.not(daemon.quotas.request(AMBER.name, 'third'));
});

// A stopped process finds replies in its socket whose tokens belong to a window that is over.
test('a grant that is read 500 ms after its request admits nothing', () => {
  const daemon = createSingle(FIRST);
  daemon.run(5);
  daemon.quotas.request(AMBER.name, 'first');
  const ask = daemon.sent.findLast(({ message }) => message.kind === 'ask')?.message;
  if (ask?.kind !== 'ask') throw new Error('no request');
  daemon.skip(600);
  const grants = [{ tenant: AMBER.name, granted: 3, waitMs: 0 }];
  daemon.quotas.received(HOME, { kind: 'grant', id: ask.id, grants });
  assert.equal(daemon.quotas.takeDecisions(), []);
  assert.not(daemon.quotas.request(AMBER.name, 'second'));
});

// After a restart of all daemons each would else begin with the whole burst.
test('buckets start empty', () => {
  const home = createSingle(HOME);
  lendAll(home, 200);
  const granted = drain(home);
  assert.ok(granted <= 21, `${granted}`);
  home.quotas.applyTenants(directoryOf([]));
  home.quotas.applyTenants(directoryOf([AMBER]));
  const again = drain(home, 2);
  assert.is(again, 0, 'a tenant that is new in the configuration');
});

test('a share follows the larger of the listed and the stable count', () => {
  for (const [stableCount, expected] of [
    [undefined, 4],
    [3, 4],
    [89, 89],
  ] as const) {
    const daemon = createSingle(FIRST);
    daemon.quotas.applyFleet({ listed: NAMES, stableCount, isIsolated: false });
    daemon.run(5);
    const { message } = daemon.sent.at(-1) ?? {};
    assert.ok(message?.kind === 'lend' && message.fleetSize === expected);
  }
});

test('a daemon that is alone for long, or not listed yet, lends and uses no share', () => {
  for (const fleet of [
    { listed: NAMES, stableCount: 4, isIsolated: true },
    { listed: ['d7', 'd8'], isIsolated: false },
  ]) {
    const daemon = createSingle(FIRST);
    daemon.quotas.applyFleet(fleet);
    daemon.run(5);
    daemon.quotas.received(HOME, { kind: 'stamp', stamp: { epoch: 1, at: 1 } });
    daemon.run(3_000);
    const lent = daemon.sent.filter(
      ({ message }) => message.kind === 'lend' && message.slices.length > 0,
    );
    assert.is(lent.length, 0);
    // Stamps and requests for them must not follow each other without a pause.
    assert.ok(daemon.sent.length < 200, `${daemon.sent.length} messages`);
    assert.is(daemon.quotas.listUse()[0]?.tokens, 0);
  }
});

// Grants that lay in the socket of a stopped process belong to a window that is over.
test('a time jump makes granted tokens and replies under way void', () => {
  const daemon = createSingle(FIRST);
  daemon.run(5);
  daemon.quotas.request(AMBER.name, 'first');
  grantLate(daemon, 4, 10);
  daemon.quotas.timeJumped();
  assert.not(daemon.quotas.request(AMBER.name, 'second'));
  const before = [...daemon.verdicts];
  const asked = daemon.sent.length;
  daemon.quotas.timeJumped();
  grantLate(daemon, 4, 0);
  assert.equal(daemon.verdicts, before);
  assert.ok(
    daemon.sent.slice(asked).some(({ message }) => message.kind === 'ask'),
    'it asks again',
  );
});

test('a refusal names when the home will have a token, and callers are not asked for meanwhile', () => {
  const daemon = createSingle(FIRST);
  daemon.run(5);
  daemon.sent.push({ to: '', message: { kind: 'stamp', stamp: { epoch: 1, at: 1 } } });
  daemon.quotas.received(HOME, { kind: 'stamp', stamp: { epoch: 1, at: 1 } });
  daemon.quotas.request(AMBER.name, 'op');
  const ask = daemon.sent.findLast(({ message }) => message.kind === 'ask')?.message;
  if (ask?.kind !== 'ask') throw new Error('no request');
  const grants = [{ tenant: AMBER.name, granted: 0, waitMs: 700 }];
  daemon.quotas.received(HOME, { kind: 'grant', id: ask.id, grants });
  const [decision] = daemon.quotas.takeDecisions();
  assert.ok(decision?.kind === 'refused' && decision.reason === 'cap');
  assert.ok(decision.waitMs >= 700 && decision.waitMs <= 900, `${decision.waitMs}`);
  const count = daemon.sent.length;
  assert.not(daemon.quotas.request(AMBER.name, 'next'));
  assert.is(daemon.quotas.takeDecisions()[0]?.kind, 'refused');
  assert.is(daemon.sent.length, count);
});

test('a share is used here only once no home can count it any more', () => {
  const daemon = createSingle(FIRST);
  daemon.run(5);
  daemon.quotas.received(HOME, { kind: 'stamp', stamp: { epoch: 1, at: 1 } });
  const lentAt = daemon.now();
  let ownAt = Infinity;
  while (daemon.now() - lentAt < 3_000 && ownAt === Infinity) {
    daemon.run(25);
    const use = daemon.quotas.listUse()[0];
    if ((use?.tokens ?? 0) > 0) ownAt = daemon.now();
  }
  assert.ok(ownAt - lentAt >= 1_150 && ownAt - lentAt < 1_400, `${ownAt - lentAt} ms`);
});

test('the allowance admits its part in any window, and on average where it is under one', () => {
  const small: Tenant = { name: 'birch', ratePerS: 3, burst: 3 };
  const part = allowancePart(small, 89);
  assert.ok(Math.abs(part - (0.6 * (0.1 * 18 + 20)) / 89) < 1e-9);
  const random = createRandom(11);
  let admitted = 0;
  for (let daemon = 0; daemon < 2_000; daemon += 1) {
    const allowance = createAllowance();
    for (let now = 0; now < 5_000; now += 100)
      if (takeAllowance(allowance, small, 89, now, random)) admitted += 1;
  }
  assert.ok(Math.abs(admitted / 2_000 - part) < 0.03, `${admitted / 2_000} of ${part}`);

  const allowance = createAllowance();
  const times: number[] = [];
  for (let now = 0; now < 60_000; now += 70)
    if (takeAllowance(allowance, AMBER, 4, now, random)) times.push(now);
  for (const at of times) {
    const inWindow = times.filter((time) => time >= at && time < at + 5_000).length;
    assert.ok(inWindow <= Math.ceil(allowancePart(AMBER, 4)), `${inWindow}`);
  }
});

test('a share of under one token is used as a probability', () => {
  const pool = createPool();
  setTenants(pool, [{ name: 'birch', ratePerS: 3, burst: 3 }], 0);
  setShare(pool, 1 / 89, 0);
  const random = createRandom(2);
  let admitted = 0;
  for (let now = 0; now < 2_000_000; now += 200)
    admitted += takeOwnToken(pool, 'birch', now, random).granted;
  const expected = (2_000 * 3) / 89;
  assert.ok(admitted > expected * 0.7 && admitted < expected * 1.3, `${admitted} of ${expected}`);
});

test.run();

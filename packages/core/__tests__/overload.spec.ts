import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Policies } from '../src/index';
import { OK, createHarness, failureOf, reportAt, written } from './harness';

const SERVICE_MS = 10;
const DEADLINE_MS = 400;

/** Number of answers by outcome. */
interface Tally {
  ok: number;
  /** Refused without having run, within a few milliseconds. */
  refusedAtOnce: number;
  /** Refused without having run, but later. */
  refusedLate: number;
  unknown: number;
}

interface Overload {
  readonly high: Tally;
  readonly low: Tally;
}

/**
 * Simulates 3 s with a first-class write each 8 ms and a lowest-class write each 2 ms, on three
 * slots.
 */
function simulateOverload(policies: Partial<Policies>): Overload {
  const h = createHarness({}, policies);
  const tallies = { high: createTally(), low: createTally() };
  const arrivals = new Map<string, number>();
  const started = new Map<string, number>();
  let countedAnswers = 0;
  for (let ms = 0; ms < 3_000; ms += 1) {
    const arrive = (id: string, cls: string): void => {
      arrivals.set(id, ms);
      h.request({ id, cls, deadlineMs: DEADLINE_MS });
    };
    if (ms % 2 === 0) arrive(`low-${ms}`, 'check');
    if (ms % 8 === 0) arrive(`high-${ms}`, 'order');
    h.run(1);
    for (const connection of h.core.world.connections.values()) {
      const { request } = connection;
      if (request === undefined) continue;
      const since = started.get(request) ?? ms;
      started.set(request, since);
      if (ms - since >= SERVICE_MS - 1) h.execute(request, written(0));
    }
    const answers = h.sent('answer_peer');
    for (const one of answers.slice(countedAnswers)) {
      const tally = one.request.startsWith('high') ? tallies.high : tallies.low;
      const waited = ms - (arrivals.get(one.request) ?? 0);
      const kind = failureOf(one.answer)?.kind;
      if (kind === undefined) tally.ok += 1;
      else if (kind === 'outcome_unknown' || kind === 'write_unconfirmed') tally.unknown += 1;
      else if (waited <= 5) tally.refusedAtOnce += 1;
      else tally.refusedLate += 1;
    }
    countedAnswers = answers.length;
  }
  return tallies;
}

function createTally(): Tally {
  return { ok: 0, refusedAtOnce: 0, refusedLate: 0, unknown: 0 };
}

test('under overload no first-class request is refused or unknown, and lower classes are refused at once', () => {
  const { high, low } = simulateOverload({});
  assert.is(high.refusedAtOnce + high.refusedLate + high.unknown, 0);
  assert.is(low.unknown, 0);
  const refused = low.refusedAtOnce + low.refusedLate;
  assert.ok(low.refusedAtOnce > 0.9 * refused, JSON.stringify(low));
});

test('without admission control the lowest class is refused at its deadline or left unknown', () => {
  const { low } = simulateOverload({ canServeInTime: () => true });
  assert.ok(low.refusedLate + low.unknown > low.refusedAtOnce, JSON.stringify(low));
});

test('waits for a fresh replica do not raise the wait estimate, so later reads are not refused', () => {
  const h = createHarness();
  h.reports.set('t1', { ...reportAt(1, 'primary', 5), applied: { term: 1, index: 5 } });
  h.run(50);
  const read = (id: string): void => {
    h.request({ id, op: 'read', minPosition: { term: 1, index: 5 }, deadlineMs: 1_000 });
  };
  for (let index = 0; index < 20; index += 1) {
    read(`one-${index}`);
    h.run(40);
    h.execute(`one-${index}`, OK);
  }
  for (let index = 0; index < 40; index += 1) read(`many-${index}`);
  assert.is(h.sent('answer_peer').filter((one) => one.answer.kind === 'failure').length, 0);
});

test.run();

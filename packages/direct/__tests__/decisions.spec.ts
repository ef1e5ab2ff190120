import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  addSample,
  admit,
  baseShare,
  chooseCandidate,
  chooseReadTarget,
  chooseTargetToOpen,
  currentShare,
  expectedWaitMs,
  findPromotionReason,
  findSample,
  measureLag,
  recordResponseTime,
  promotionDelayMs,
  queueKey,
  retryAfterMs,
  checkCapacity,
  latencyRatioAt,
} from '../src/index';
import type {
  PlacementCandidate,
  PrimaryHealth,
  AdmissionInputs,
  SampleHistory,
} from '../src/index';
import { createRandom } from './rig';

const target = (id: string, change: Partial<PlacementCandidate> = {}): PlacementCandidate => ({
  id,
  isPrimary: false,
  sameDomain: true,
  slots: 3,
  ownInFlight: 0,
  otherInFlight: 0,
  latencyRatio: 1,
  idle: 2,
  ...change,
});

/** Counts how often each target is chosen in 200 draws. */
function countChoices(candidates: readonly PlacementCandidate[]): Record<string, number> {
  const random = createRandom(3);
  const counts: Record<string, number> = {};
  for (let at = 0; at < 200; at += 1) {
    const id = chooseReadTarget(candidates, 1.15, random)?.id ?? 'none';
    counts[id] = (counts[id] ?? 0) + 1;
  }
  return counts;
}

test('a slow target gets no reads while others are free', () => {
  assert.equal(countChoices([target('slow', { latencyRatio: 5 }), target('free')]), { free: 200 });
});

test('targets loaded by other daemons get no reads while others are free', () => {
  assert.equal(countChoices([target('crowded', { otherInFlight: 6 }), target('free')]), {
    free: 200,
  });
});

test('equal targets share the reads, those in the same failure domain first', () => {
  const even = countChoices([target('a'), target('b')]);
  assert.ok((even.a ?? 0) > 60 && (even.b ?? 0) > 60);
  assert.equal(countChoices([target('near'), target('far', { sameDomain: false })]), { near: 200 });
  assert.equal(
    countChoices([target('near', { ownInFlight: 2 }), target('far', { sameDomain: false })]),
    {
      far: 200,
    },
  );
});

test('reads never take the last idle connection to the primary', () => {
  assert.equal(countChoices([target('p', { isPrimary: true, idle: 1 })]), { none: 200 });
  assert.equal(countChoices([target('p', { isPrimary: true, idle: 2 })]), { p: 200 });
});

test('a target gets a limited number of statements per slot, from all daemons together', () => {
  const inputs = {
    ownInFlight: 1,
    otherInFlight: 2,
    inFlightLimit: 4.5,
    sinceDoneMs: 100,
    usualMs: 24,
  };
  assert.equal(checkCapacity(inputs), { kind: 'free' });
  assert.equal(checkCapacity({ ...inputs, otherInFlight: 4 }), { kind: 'full' });
});

test('a daemon whose share is below one statement pauses between them', () => {
  const inputs = {
    ownInFlight: 0,
    otherInFlight: 8,
    inFlightLimit: 4.5,
    sinceDoneMs: 4,
    usualMs: 24,
  };
  assert.equal(checkCapacity(inputs), { kind: 'pause', forMs: 20 });
  assert.equal(checkCapacity({ ...inputs, sinceDoneMs: 24 }), { kind: 'free' });
});

test('the latency ratio rises with slow responses and decays without any', () => {
  const rating = { latencyRatio: 1, at: 0 };
  for (let at = 0; at < 20; at += 1) recordResponseTime(rating, 5, at * 10, 3_000);
  assert.ok(latencyRatioAt(rating, 200, 3_000) > 4);
  assert.ok(latencyRatioAt(rating, 15_000, 3_000) < 1.1);
});

const admissionInputs: AdmissionInputs = {
  ahead: 0,
  connections: 2,
  occupancyMs: 40,
  primaryWaitMs: 0,
  latencyObjectiveMs: 400,
  remainingMs: 1_000,
};

test('a request is queued when its expected wait is within its share of the objective', () => {
  assert.equal(admit(admissionInputs, 0.75), { kind: 'queue' });
  assert.is(expectedWaitMs({ ...admissionInputs, ahead: 9 }), 200);
  assert.equal(admit({ ...admissionInputs, ahead: 9 }, 0.75), { kind: 'queue' });
});

test('a request whose expected wait is too long is refused with that wait', () => {
  const admission = admit({ ...admissionInputs, ahead: 19 }, 0.75);
  assert.equal(admission, { kind: 'refuse', reason: 'overloaded', waitMs: 400 });
});

test('a request is refused at once while no primary is expected in time', () => {
  const admission = admit({ ...admissionInputs, primaryWaitMs: 1_500 }, 0.75);
  assert.equal(admission, { kind: 'refuse', reason: 'group_unavailable', waitMs: 1_500 });
  assert.equal(admit({ ...admissionInputs, primaryWaitMs: 100 }, 0.75), { kind: 'queue' });
});

test('retry-after times differ between refused callers', () => {
  const random = createRandom(5);
  const times = Array.from({ length: 50 }, () => retryAfterMs(200, random));
  assert.ok(Math.min(...times) >= 200 && Math.max(...times) <= 300);
  assert.ok(new Set(times).size > 25);
});

test('urgent and cheap statements are served first, and no class starves', () => {
  const booking = queueKey(100, 200, 1, 0.4);
  const beat = queueKey(0, 400, 2, 1);
  const loop = queueKey(0, 600, 2, 1.7);
  assert.ok(booking < beat && beat < loop);
  assert.ok(loop < queueKey(10_000, 200, 1, 0.4));
});

test('unused connections may be borrowed, and the base share is always allowed', () => {
  const inputs = { limit: 21, daemons: 8, planShare: 0.9 };
  assert.is(baseShare(inputs), 2);
  assert.is(currentShare(inputs), 2);
  assert.is(currentShare({ ...inputs, heldByOthers: 4 }), 8);
  assert.is(currentShare({ ...inputs, heldByOthers: 21 }), 2);
  assert.is(baseShare({ ...inputs, daemons: 90 }), 1);
});

test('a read uses the oldest sample that is recent enough', () => {
  const history: SampleHistory = [];
  for (let at = 0; at < 10; at += 1)
    addSample(history, { position: { term: 1, index: at }, sentAt: at * 100 });
  assert.is(findSample(history, 250)?.position.index, 3);
  assert.is(findSample(history, 901), undefined);
});

test('samples of an older term are dropped, and late ones are ignored', () => {
  const history: SampleHistory = [];
  addSample(history, { position: { term: 1, index: 50 }, sentAt: 100 });
  addSample(history, { position: { term: 2, index: 45 }, sentAt: 200 });
  addSample(history, { position: { term: 1, index: 60 }, sentAt: 300 });
  assert.equal(
    history.map((sample) => sample.position),
    [{ term: 2, index: 45 }],
  );
});

test('the lag of a replica is the age of the newest sample that it covers', () => {
  const history: SampleHistory = [];
  for (let at = 0; at < 10; at += 1)
    addSample(history, { position: { term: 1, index: at }, sentAt: at * 100 });
  assert.is(measureLag(history, { term: 1, index: 9 }, 1_000), 0);
  assert.is(measureLag(history, { term: 1, index: 4 }, 1_000), 600);
  assert.is(measureLag(history, { term: 0, index: 99 }, 1_000), undefined);
});

const health: PrimaryHealth = {
  known: true,
  leaving: false,
  unlisted: false,
  suspected: true,
  primaryDownMs: 1_000,
  storeAgeMs: 0,
  replicasLaggingMs: 0,
  hasPeers: true,
  proven: true,
  suspecting: 0,
  trusting: 0,
  elsewhere: 0,
  logLost: false,
};

test('connections for reads are opened where the load is low, at the primary last', () => {
  const counts = new Map<string, number>();
  const random = createRandom(1);
  // The loads are those of half a second ago: each of hundreds of daemons chooses for itself.
  for (let daemon = 0; daemon < 300; daemon += 1) {
    const targets = [
      target('p', { otherInFlight: 1, isPrimary: true }),
      target('a', { otherInFlight: 2 }),
      target('b', { otherInFlight: 2.1 }),
    ];
    const id = chooseTargetToOpen(targets, 1.15, random)?.id ?? '';
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  const meanCount = 300 / 2;
  assert.ok((counts.get('a') ?? 0) < 2 * meanCount && (counts.get('b') ?? 0) > meanCount / 2);
  assert.is(counts.get('p') ?? 0, 0);
  const busy = [
    target('p', { isPrimary: true }),
    target('a', { otherInFlight: 5 }),
    target('b', { otherInFlight: 5 }),
  ];
  assert.is(chooseTargetToOpen(busy, 1.15, random)?.id, 'p');
  assert.is(chooseTargetToOpen([], 1.15, random), undefined);
});

test('a primary is replaced when most daemons cannot reach it', () => {
  assert.is(findPromotionReason({ ...health, suspecting: 4, trusting: 3 }), 'unreachable');
  assert.is(findPromotionReason({ ...health, suspecting: 2, trusting: 5 }), undefined);
  assert.is(findPromotionReason(health), undefined);
  assert.is(findPromotionReason({ ...health, hasPeers: false }), 'unreachable');
  assert.is(findPromotionReason({ ...health, primaryDownMs: 5_000 }), 'unreachable');
  assert.is(findPromotionReason({ ...health, suspected: false, suspecting: 7 }), undefined);
  assert.is(findPromotionReason({ ...health, unlisted: true, trusting: 3 }), 'gone');
  assert.is(findPromotionReason({ ...health, suspected: false, leaving: true }), 'leaving');
  for (const change of [
    { leaving: true },
    { known: false, primaryDownMs: 9_000 },
    { unlisted: true },
  ])
    assert.is(
      findPromotionReason({ ...health, ...change, suspecting: 3, elsewhere: 1 }),
      undefined,
    );
  const lagging = { ...health, suspected: false, replicasLaggingMs: 1_500 };
  assert.is(findPromotionReason(lagging), 'replicas_behind');
  assert.is(findPromotionReason({ ...lagging, replicasLaggingMs: 500 }), undefined);
  assert.is(findPromotionReason({ ...health, known: false, primaryDownMs: 300 }), undefined);
  assert.is(findPromotionReason({ ...health, known: false, primaryDownMs: 2_000 }), undefined);
  assert.is(findPromotionReason({ ...health, known: false, primaryDownMs: 5_000 }), 'nobody_leads');
  const leaderless = { ...health, known: false, primaryDownMs: 5_000 };
  assert.is(findPromotionReason({ ...leaderless, storeAgeMs: 5_500 }), undefined);
  assert.is(findPromotionReason({ ...leaderless, storeAgeMs: 5_500, trusting: 1 }), 'nobody_leads');
  const claimed = { ...health, proven: false, primaryDownMs: 9_000 };
  assert.is(findPromotionReason(claimed), undefined);
  assert.is(findPromotionReason({ ...claimed, suspecting: 2 }), 'unreachable');
  assert.is(findPromotionReason({ ...claimed, unlisted: true }), 'gone');
  const last = { ...health, known: false, hasPeers: false, primaryDownMs: 2_000 };
  assert.is(findPromotionReason(last), 'nobody_leads');
});

test('the candidate with the newest log is promoted, a leaving one only without others', () => {
  const candidate = (id: string, index: number, leaving = false, failing = false) => ({
    id,
    leaving,
    failing,
    reply: 'status' as const,
    received: { term: 3, index },
  });
  assert.is(chooseCandidate([candidate('a', 7), candidate('b', 9), candidate('c', 8)])?.id, 'b');
  assert.is(chooseCandidate([candidate('a', 7), candidate('b', 9, true)])?.id, 'a');
  assert.is(chooseCandidate([candidate('a', 7, false, true), candidate('b', 9, true)])?.id, 'b');
  const unheard = { ...candidate('c', 9), reply: undefined };
  assert.is(chooseCandidate([candidate('a', 7), unheard])?.id, 'a');
  assert.is(chooseCandidate([]), undefined);
});

test('each daemon has its own rank in the promotion stagger', () => {
  const names = ['d1', 'd2', 'd3', 'd4'];
  assert.equal(delaysOf(names).toSorted(), [0, 1, 2, 3]);
});

test('the last daemon of a large fleet waits no longer than that of a small one', () => {
  const names = Array.from({ length: 90 }, (_, at) => `d${at}`);
  assert.ok(Math.max(...delaysOf(names)) <= 8);
  assert.is(Math.min(...delaysOf(names)), 0);
});

/** Promotion delays of the daemons in one group, in multiples of the stagger. */
function delaysOf(names: readonly string[]): number[] {
  return names.map((name) => {
    const others = names.filter((other) => other !== name);
    return promotionDelayMs(name, others, 'g', 1);
  });
}

test.run();

import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { SETTLE_MS, createFleet, entryOf } from './configFleet';
import type { Fleet } from './configFleet';

const SEEDS = 40;
const STEPS = 160;
const STEP_MS = 100;
const LIMIT_MS = 3_000;
const IDS = ['d1', 'd2', 'd3', 'd4', 'd5'];

/** A change that is being propagated; its operator has no answer yet. */
interface Propagation {
  readonly revision: number;
  readonly committer: string;
  readonly acknowledged: Set<string>;
  readonly startedAt: number;
  majorityAt?: number;
}

interface History {
  /** Highest revision reported to an operator as in force. */
  answered: number;
  /** Daemons that took work under an earlier revision, with the step. */
  violations: string[];
}

function createRandom(seed: number): () => number {
  let state = (seed * 2_654_435_761) % 2_147_483_647 || 1;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

function pick<T>(random: () => number, items: readonly T[]): T {
  const item = items[Math.floor(random() * items.length)];
  if (item === undefined) throw new Error('nothing to pick');
  return item;
}

/** Starts or ends one random fault; one kind in six does nothing. */
function injectFault(fleet: Fleet, random: () => number): void {
  const kind = Math.floor(random() * 6);
  const subset = IDS.filter(() => random() < 0.5);
  if (kind === 0) fleet.store.down = !fleet.store.down;
  else if (kind === 1) fleet.cut.clear();
  else if (kind === 2) {
    fleet.cutLinks(
      subset,
      IDS.filter((id) => !subset.includes(id)),
    );
  } else if (kind === 3) fleet.cutLinks(subset, ['store']);
  else if (kind === 4) {
    const id = pick(random, IDS);
    fleet.stop(id);
    fleet.start(id);
  }
}

/** Commits a change at a random daemon, if it is up to date and reaches the store. */
function commitChange(fleet: Fleet, random: () => number, propagations: Propagation[]): void {
  const committer = pick(random, IDS);
  const head = fleet.store.entries.size;
  const canReach = !fleet.store.down && !fleet.cut.has(`${committer}/store`);
  if (!canReach || fleet.revisionOf(committer) !== head) return;
  const entry = entryOf(head + 1);
  fleet.store.entries.set(entry.revision, entry);
  fleet.coreOf(committer).post({ type: 'config_entry', entry });
  // The store may fail right after the commit; `injectFault` may restart the committer.
  if (random() < 0.3) fleet.store.down = true;
  propagations.push({
    revision: entry.revision,
    committer,
    acknowledged: new Set([committer]),
    startedAt: fleet.clock.now(),
  });
}

function propagateChanges(fleet: Fleet, propagations: Propagation[], history: History): void {
  for (const propagation of [...propagations]) {
    const { revision, committer, acknowledged } = propagation;
    const end = (): void => {
      propagations.splice(propagations.indexOf(propagation), 1);
    };
    if (fleet.revisionOf(committer) < revision) {
      end();
      continue;
    }
    for (const id of IDS) {
      if (fleet.push(committer, id, entryOf(revision))) acknowledged.add(id);
    }
    const now = fleet.clock.now();
    const isInTime = now < propagation.startedAt + LIMIT_MS;
    if (isInTime && acknowledged.size >= 3) propagation.majorityAt ??= now;
    if (!isInTime && propagation.majorityAt === undefined) {
      end();
      continue;
    }
    const hasWaited =
      propagation.majorityAt !== undefined && now >= propagation.majorityAt + LIMIT_MS;
    if (acknowledged.size < IDS.length && !hasWaited) continue;
    history.answered = Math.max(history.answered, revision);
    end();
  }
}

function simulate(seed: number, configLimitMs: number): History {
  const random = createRandom(seed);
  const fleet = createFleet(IDS.length, { configLimitMs });
  const propagations: Propagation[] = [];
  const history: History = { answered: 0, violations: [] };
  fleet.run(SETTLE_MS);
  for (let step = 0; step < STEPS; step += 1) {
    if (random() < 0.15) injectFault(fleet, random);
    if (random() < 0.15) commitChange(fleet, random, propagations);
    propagateChanges(fleet, propagations, history);
    for (const id of IDS) {
      const isOutdated = fleet.revisionOf(id) < history.answered;
      if (isOutdated && !fleet.isStale(id)) history.violations.push(`${id} at step ${step}`);
    }
    fleet.run(STEP_MS);
  }
  for (const [id, revisions] of fleet.applied) {
    const sorted = [...revisions].sort((a, b) => a - b);
    assert.equal(revisions, sorted, `seed ${seed}: ${id} went back`);
  }
  fleet.cut.clear();
  fleet.store.down = false;
  fleet.run(4_000);
  for (const id of IDS) {
    assert.is(fleet.revisionOf(id), fleet.store.entries.size, `seed ${seed}: ${id} is behind`);
    assert.is(fleet.isStale(id), false, `seed ${seed}: ${id} is stale`);
  }
  return history;
}

test('no daemon takes work under a revision older than one reported as in force', () => {
  const firstSeed = Number(process.env.SEED ?? 1);
  const seeds = Number(process.env.SEEDS ?? SEEDS);
  let failuresWithoutLimit = 0;
  let answered = 0;
  for (let seed = firstSeed; seed < firstSeed + seeds; seed += 1) {
    failuresWithoutLimit += simulate(seed, Infinity).violations.length > 0 ? 1 : 0;
    const history = simulate(seed, LIMIT_MS);
    answered += history.answered;
    assert.equal(history.violations, [], `replay with SEED=${seed} SEEDS=1`);
  }
  process.stdout.write(
    `seeds ${firstSeed} to ${firstSeed + seeds - 1}: ${failuresWithoutLimit} fail without a configuration limit\n`,
  );
  assert.ok(failuresWithoutLimit > 0, 'the check detects daemons that never become stale');
  assert.ok(answered > 0);
});

test.run();

import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { OPERATION_KINDS } from './modelCallers';
import { createReadModel } from './readModel';
import type { ReadModel } from './readModel';

/** One event of a play; the label names it in a counterexample. */
interface Step {
  readonly label: string;
  readonly apply: (model: ReadModel) => void;
}

const daemon = fc.nat(1);
const target = fc.nat(2);

function step<Args extends unknown[]>(
  name: string,
  args: fc.Arbitrary<Args>,
  apply: (model: ReadModel, ...args: Args) => void,
): fc.Arbitrary<Step> {
  return args.map((chosen) => ({
    label: `${name} ${JSON.stringify(chosen)}`,
    apply: (model) => {
      apply(model, ...chosen);
    },
  }));
}

/** Each idle session starts an operation, or none, chosen by one number for each. */
const work = step(
  'work',
  fc.array(fc.nat(5), { minLength: 8, maxLength: 8 }),
  (model, ...picks) => {
    for (const [at, session] of model.callers.idle().entries()) {
      const kind = OPERATION_KINDS[picks[at] ?? 0];
      if (kind !== undefined) model.callers.start(session, kind);
    }
  },
);
const wait = step('wait', fc.tuple(fc.integer({ min: 5, max: 400 })), (model, ms) => {
  model.run(ms);
});
const promote = step('promote', fc.tuple(target), (model, at) => {
  model.promote(at);
});
const split = step('split', fc.tuple(daemon, target), (model, from, to) => {
  model.split(from, to);
});
const heal = step('heal', fc.tuple(), (model) => {
  model.heal();
});
const cut = step('cut', fc.tuple(daemon, target, fc.boolean()), (model, from, to, isCut) => {
  model.cut(from, to, isCut);
});
const lag = step('lag', fc.tuple(target, fc.constantFrom(10, 550, 700, 1_200)), (model, at, ms) => {
  const one = model.group.targets[at];
  if (one) one.lagMs = ms;
});
const isolate = step('isolate', fc.tuple(target, fc.boolean()), (model, at, isIsolated) => {
  const one = model.group.targets[at];
  if (one) one.isolated = isIsolated;
});
const suspend = step(
  'suspend',
  fc.tuple(daemon, fc.boolean(), fc.integer({ min: 50, max: 1_500 })),
  (model, at, countsTime, ms) => {
    model.daemons[at]?.suspend(countsTime);
    model.run(ms);
    model.daemons[at]?.resume();
  },
);
const stepTime = step('stepTime', fc.tuple(daemon), (model, at) => {
  model.daemons[at]?.stepTimeOfDay();
});
const restart = step('restart', fc.tuple(daemon), (model, at) => {
  model.daemons[at]?.restart();
  model.callers.reopen(at);
});
const replace = step('replace', fc.tuple(target), (model, at) => {
  const one = model.group.targets[at];
  if (one?.role === 'replica') model.group.replaceReplica(one);
});

const steps = fc.array(
  fc.oneof(
    { weight: 4, arbitrary: work },
    { weight: 10, arbitrary: wait },
    { weight: 2, arbitrary: promote },
    { weight: 2, arbitrary: split },
    { weight: 1, arbitrary: heal },
    { weight: 3, arbitrary: cut },
    { weight: 5, arbitrary: lag },
    { weight: 2, arbitrary: isolate },
    { weight: 3, arbitrary: suspend },
    { weight: 1, arbitrary: stepTime },
    { weight: 1, arbitrary: restart },
    { weight: 1, arbitrary: replace },
  ),
  { minLength: 20, maxLength: 80 },
);

/** Overrides of the runs, for a search by hand. */
const seed = Number(process.env.READ_RULE_SEED ?? 20_261_204);
const numRuns = Number(process.env.READ_RULE_RUNS ?? 60);

/** Plays the steps and fails with the first reads that lacked a commit. */
function play(model: ReadModel, chosen: readonly Step[]): void {
  model.run(300);
  for (const { apply } of chosen) apply(model);
  model.run(1_500);
  const stale = model.staleReads();
  assert.is(stale.length, 0, JSON.stringify(stale.slice(0, 3)));
}

test('no read lacks a commit that its route demands, whatever happens to the group', () => {
  const counts = { reads: 0, commits: 0, discarded: 0 };
  fc.assert(
    fc.property(steps, fc.nat(), fc.boolean(), fc.boolean(), (chosen, random, isScarce, isSync) => {
      const model = createReadModel({ seed: random, isScarce, isSync });
      play(model, chosen);
      counts.reads += model.readCount();
      counts.commits += model.group.entries.length;
      counts.discarded += model.group.entries.filter((entry) => entry.discarded).length;
    }),
    { seed, numRuns },
  );
  const text = JSON.stringify(counts);
  assert.ok(counts.reads > 50 * numRuns && counts.discarded > numRuns, text);
  if (process.env.READ_RULE_RUNS !== undefined) console.log(text);
});

test('every session reads again once the group is whole, also without a further commit', () => {
  fc.assert(
    fc.property(steps, fc.nat(), fc.boolean(), fc.boolean(), (chosen, random, isScarce, isSync) => {
      const model = createReadModel({ seed: random, isScarce, isSync });
      play(model, chosen);
      model.heal();
      model.calm();
      model.run(5_000);
      for (const session of model.callers.idle()) {
        // The first one may only show that a target replies again.
        for (let tries = 0; tries < 4; tries += 1) {
          model.callers.start(session, 'read');
          model.run(1_500);
          if (model.callers.lastOf(session)?.isDone) break;
        }
        assert.ok(model.callers.lastOf(session)?.isDone, `${session} at ${model.now()}`);
      }
    }),
    { seed, numRuns },
  );
});

test.run();

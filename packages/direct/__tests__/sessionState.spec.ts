import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { CallerStatement } from '../src/index';
import { createPoolRig } from './poolRig';
import { createRig, openSession } from './rig';
import type { Rig } from './rig';

const SEED = 45;

/** What a statement has to run with. */
interface Expected {
  readonly values: readonly string[];
  readonly shape?: string;
  /** The transaction of its session, if one is open. */
  readonly transaction?: string;
}

/** A caller that sends a statement only once the one before has been answered. */
interface Caller {
  id: string;
  request?: string;
  readonly values: Map<string, string>;
  readonly shapes: Map<string, string>;
  transaction?: string;
}

const ACTS = [
  'set',
  'prepare',
  'close',
  'read',
  'read',
  'write',
  'write',
  'execute',
  'execute',
  'execute',
  'begin',
  'commit',
  'rollback',
  'leave',
] as const;

const FAULTS = [
  'reset',
  'silent',
  'dropsReplies',
  'repliesBusy',
  'refusesSetup',
  'forgetsPrepared',
  'slow',
  'promote',
  'none',
  'none',
  'none',
  'none',
  'none',
] as const;

const STEP = fc.record({
  caller: fc.nat(5),
  act: fc.constantFrom(...ACTS),
  name: fc.constantFrom('s1', 's2'),
  shape: fc.constantFrom('q1', 'q2', 'q2 WRITE df', ' '),
  access: fc.constantFrom('read' as const, 'write' as const),
  fault: fc.constantFrom(...FAULTS),
  target: fc.nat(2),
  pauseMs: fc.constantFrom(0, 0, 1, 5, 20, 30, 60, 200),
});

type Step = typeof STEP extends fc.Arbitrary<infer Value> ? Value : never;

function statementOf({ act, name, shape, access }: Step, at: number): CallerStatement {
  switch (act) {
    case 'set':
      return { kind: 'set', name, value: `${at}` };
    case 'prepare':
      return { kind: 'prepare', name, access, shape };
    case 'close':
      return { kind: 'close', name };
    case 'execute':
      return { kind: 'execute', name, args: `k ${at}` };
    case 'begin':
      return { kind: 'begin', readOnly: access === 'read' };
    case 'commit':
      return { kind: 'commit', text: 'COMMIT' };
    case 'rollback':
      return { kind: 'rollback' };
    case 'write':
      return { kind: 'write', text: `WRITE k ${at}` };
    default:
      return { kind: 'read', text: `READ ${at}` };
  }
}

/** Causes a fault at one target; those of the step before end. */
function applyFault(rig: Rig, { fault, target: at }: Step): void {
  for (const [index, target] of rig.targets.entries()) {
    const isHit = index === at;
    target.silent = isHit && fault === 'silent';
    target.dropsReplies = isHit && fault === 'dropsReplies';
    target.repliesBusy = isHit && fault === 'repliesBusy';
    target.refusesSetup ||= isHit && fault === 'refusesSetup';
    target.forgetsPrepared ||= isHit && fault === 'forgetsPrepared';
    target.runMs = isHit && fault === 'slow' ? 150 : 20;
    if (isHit && fault === 'reset') rig.reset(target);
    if (isHit && fault === 'promote') rig.promote(target);
  }
}

/** Applies an answered statement to what its caller may rely on. */
function recordAnswer(rig: Rig, caller: Caller, statement: CallerStatement, id: string): void {
  const received = rig.answerOf(id);
  if (received?.state === 'idle') caller.transaction = undefined;
  if (received?.answer.kind !== 'done') return;
  if (statement.kind === 'set') caller.values.set(statement.name, statement.value);
  if (statement.kind === 'prepare') caller.shapes.set(statement.name, statement.shape);
  if (statement.kind === 'close') caller.shapes.delete(statement.name);
  if (statement.kind === 'begin') caller.transaction = id;
}

/** Runs the steps; returns what each statement that needs a target has to run with. */
function play(
  rig: Rig,
  databases: readonly string[],
  steps: readonly Step[],
): Map<string, Expected> {
  const expected = new Map<string, Expected>();
  const open = (at: number, id: string): Caller => ({
    id: openSession(rig, id, databases[at % databases.length] ?? ''),
    values: new Map(),
    shapes: new Map(),
  });
  const callers = Array.from({ length: 6 }, (_, at) => open(at, `c${at}`));
  for (const [at, step] of steps.entries()) {
    applyFault(rig, step);
    const caller = callers[step.caller];
    if (caller && step.act === 'leave') {
      rig.engine.closeSession(caller.id);
      callers[step.caller] = open(step.caller, `${caller.id}-${at}`);
    } else if (caller && (caller.request === undefined || rig.answerOf(caller.request))) {
      if (caller.request !== undefined && rig.answerOf(caller.request)?.state === 'idle')
        caller.transaction = undefined;
      const statement = statementOf(step, at);
      const before: Expected = {
        values: [...caller.values].map(([name, value]) => `${name}=${value}`).sort(),
        shape: statement.kind === 'execute' ? caller.shapes.get(step.name) : undefined,
        transaction: caller.transaction,
      };
      caller.request = rig.submit(caller.id, statement);
      expected.set(caller.request, before);
      recordAnswer(rig, caller, statement, caller.request);
    }
    rig.run(step.pauseMs);
  }
  rig.run(1_500);
  return expected;
}

function check(rig: Rig, expected: ReadonlyMap<string, Expected>): number {
  let runs = 0;
  /** Transaction of the caller, or single statement, by transaction of a target. */
  const owners = new Map<string, string>();
  /** Transaction of a target by transaction of a caller. */
  const used = new Map<string, string>();
  for (const target of rig.targets)
    for (const { id, shape, values, transaction } of target.executed) {
      const wanted = expected.get(id);
      if (!wanted) continue;
      runs += 1;
      assert.equal([...values].sort(), wanted.values, id);
      assert.is(shape, wanted.shape, id);
      const name = transaction === undefined ? undefined : `${target.id} ${transaction}`;
      const owner = wanted.transaction ?? id;
      if (wanted.transaction !== undefined) {
        assert.is.not(name, undefined, `${id} ran outside of its transaction`);
        assert.is(used.get(owner) ?? name, name, `${id} ran in another transaction`);
        if (name !== undefined) used.set(owner, name);
      }
      if (name === undefined) continue;
      assert.is(owners.get(name) ?? owner, owner, `${id} ran in a transaction of another`);
      owners.set(name, owner);
    }
  return runs;
}

function checkSteps(createOne: () => Rig, databases: readonly string[]): void {
  let runs = 0;
  fc.assert(
    fc.property(fc.array(STEP, { maxLength: 120, size: 'max' }), (steps) => {
      const rig = createOne();
      rig.run(300);
      runs += check(rig, play(rig, databases, steps));
    }),
    { seed: SEED, numRuns: 150 },
  );
  assert.ok(runs > 1_000, `only ${runs} statements ran`);
}

test('a statement ran with other values, in another shape or transaction after faults', () => {
  checkSteps(() => createRig({}, 4), ['bookings', 'loops', 'beats']);
});

test('a statement over a lease ran with other values, in another shape or transaction', () => {
  checkSteps(createPoolRig, ['bookings', 'quick', 'browse']);
});

test.run();

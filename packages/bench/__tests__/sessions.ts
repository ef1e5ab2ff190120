import type { OwnerRequest } from '@rosedeck/core';
import type { Step } from '../src/check/callers';
import type { Fault, FaultKind } from '../src/check/faults';
import { runSeed } from '../src/check/run';
import type { RunOptions } from '../src/check/run';

/** Session of one caller whose transcript is compared with a golden file. */
interface Session {
  readonly seed: number;
  readonly steps: readonly (Step | Step['op'])[];
  readonly faults?: readonly Fault[];
  readonly posts?: RunOptions['posts'];
}

/** Default time between two steps. */
const STEP_MS = 50;
const END_MS = 2_500;

const fault = (kind: FaultKind, at: number, forMs: number): Fault => ({ kind, at, forMs });

const request = (changed: Partial<OwnerRequest>): OwnerRequest => ({
  id: 'r',
  entry: 'd1',
  group: 'g',
  customer: 'c',
  cls: 'normal',
  op: 'write',
  sql: 'WRITE r',
  deadlineMs: 500,
  idempotent: false,
  tries: 0,
  forwards: 0,
  ...changed,
});

const repeat = (count: number, step: Step): Step[] => Array.from({ length: count }, () => step);

/** Sessions, by the name of their golden file. */
export const SESSIONS: Readonly<Record<string, Session>> = {
  failover: {
    seed: 1,
    steps: ['write', 'read', ...repeat(12, { op: 'write', idempotent: true }), 'read'],
    faults: [fault('kill_primary', 620, 900)],
  },
  roam: {
    seed: 2,
    steps: [
      'write',
      { op: 'reconnect', withToken: false },
      'read',
      'write',
      { op: 'reconnect', withToken: true },
      'read',
      { op: 'read', maxAgeMs: 1_000 },
    ],
  },
  switchover: {
    seed: 3,
    steps: [
      'begin',
      'write',
      { op: 'commit', afterMs: 700 },
      ...repeat(6, { op: 'write' }),
      'read',
    ],
    faults: [fault('leave_primary', 450, 1)],
  },
  transaction: {
    seed: 4,
    steps: ['begin', 'read', 'write', 'commit', 'read', 'begin', 'write', 'rollback', 'read'],
  },
  'promoter-dies': {
    seed: 5,
    steps: repeat(14, { op: 'write', idempotent: true }),
    faults: [fault('kill_promoter', 600, 700)],
  },
  'refused-group-unavailable': {
    seed: 6,
    steps: [
      'write',
      { op: 'write', afterMs: 500, deadlineMs: 2_500 },
      { op: 'write', afterMs: 800 },
    ],
    faults: [fault('kill_primary', 250, 2_000), fault('kill_replica', 251, 2_000)],
  },
  'refused-outcome-unknown': {
    seed: 7,
    steps: ['write', 'write', 'read'],
    faults: [fault('kill_primary', 236.5, 500)],
  },
  'refused-write-unconfirmed': {
    seed: 8,
    steps: ['write', { op: 'write', afterMs: 80 }, 'read'],
    faults: [fault('cut_primary', 268.5, 700)],
  },
  'refused-transaction-lost': {
    seed: 9,
    steps: ['begin', 'write', { op: 'commit', afterMs: 200 }, 'rollback', 'write'],
    faults: [fault('kill_primary', 300, 700)],
  },
  'refused-deadline-exceeded': {
    seed: 10,
    steps: ['write', { op: 'read', maxAgeMs: 0, deadlineMs: 120, afterMs: 100 }],
    faults: [fault('freeze_primary', 280, 300), fault('freeze_replica', 280, 300)],
  },
  'refused-target-error': { seed: 11, steps: [{ op: 'write', sql: 'WRIET x' }, 'write'] },
  'refused-unsupported': {
    seed: 12,
    steps: ['begin', { op: 'begin', sql: 'BEGIN again' }, 'rollback'],
  },
  'refused-by-the-owner': {
    seed: 13,
    steps: ['write'],
    posts: [
      { at: 600, daemon: 'd1', event: { type: 'request', request: request({ group: 'x' }) } },
      { at: 610, daemon: 'd1', event: { type: 'request', request: request({ id: 'p' }) } },
      {
        at: 620,
        daemon: 'd2',
        event: { type: 'request', request: request({ id: 'q', sql: 'WRITE q' }) },
      },
      {
        at: 700,
        daemon: 'd2',
        event: { type: 'request', request: request({ id: 'q', sql: 'WRITE q again' }) },
      },
      ...Array.from({ length: 6 }, (_, index) => ({
        at: 800,
        daemon: 'd2',
        event: {
          type: 'request',
          request: request({ id: `o${index}`, sql: `WRITE o${index}`, deadlineMs: 4 }),
        } as const,
      })),
    ],
  },
};

/** Runs a session and returns its transcript, with violations at the end. */
export function transcribe(session: Session): string {
  const steps = session.steps.map((step): Step => (typeof step === 'string' ? { op: step } : step));
  const lines: string[] = [];
  const next = steps.values();
  const script = (): Step | undefined => {
    const { value, done } = next.next();
    return done ? undefined : { afterMs: STEP_MS, ...value };
  };
  const { violations } = runSeed({
    seed: session.seed,
    faults: session.faults ?? [],
    posts: session.posts,
    scripts: [script],
    endMs: END_MS,
    trace: (at, line) => lines.push(`${at.toFixed(2).padStart(8)} ${line}`),
  });
  for (const { kind, detail } of violations) {
    if (kind !== 'no_service') lines.push(`broken: ${kind}: ${detail}`);
  }
  return `${lines.join('\n')}\n`;
}

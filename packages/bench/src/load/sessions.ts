import type { Millis } from '@rosedeck/shared';
import type { Traffic } from '../topology';
import { createCaller } from './caller';
import type { CallResult, Caller } from './caller';
import type { Figures } from './figures';
import type { AckTimes, History } from './history';
import type { LoadPlan } from './plan';

/** Key of the row that a group's steady writer increments. */
export const STEADY_ROW_KEY = 'clock';

/** One session of a stream of traffic; runs one operation at a time. */
export interface Session {
  /** Runs the next operation; its latency counts from `intendedAt`. */
  run: (intendedAt: Millis, done: () => void) => void;
  close: () => void;
}

/** State that all sessions of a load process share. */
export interface LoadContext {
  readonly plan: LoadPlan;
  readonly figures: Figures;
  readonly history: History;
  /** Times of acknowledged writes outside transactions, per group. */
  readonly ackTimes: ReadonlyMap<string, AckTimes>;
  /** Times of the steady writers only; aged reads are checked against them. */
  readonly steadyAckTimes: ReadonlyMap<string, AckTimes>;
}

/** A session of kind `session` writes in one of this many operations, the first included, and reads in the others. */
const WRITE_EVERY = 10;

/** Builds the statement that increments the counter of a row. */
export function buildIncrement(key: string): string {
  return `INSERT INTO records (id, n, note) VALUES ('${key}', 1, 'x') ON DUPLICATE KEY UPDATE n = n + 1`;
}

/** Creates a session; it connects to the daemon with index `firstDaemon` first. */
export function createSession(
  ctx: LoadContext,
  traffic: Traffic,
  name: string,
  firstDaemon: number,
): Session {
  const { plan, figures, history } = ctx;
  const { class: cls, group, kind } = traffic;
  const caller = openCaller(plan, traffic, firstDaemon);
  const mark = `/* rosedeck idempotent=${kind === 'heartbeat' ? 1 : 0} */ `;
  let count = 0;

  const finish = (result: CallResult, intendedAt: Millis, done: () => void): void => {
    figures.recordResult(cls, result, performance.now() - intendedAt);
    done();
  };

  const write = (key: string, intendedAt: Millis, done: () => void): void => {
    caller.run(mark + buildIncrement(key), (result) => {
      if (result.kind === 'ok') ctx.ackTimes.get(group)?.record(performance.now());
      history.recordWrite(group, key, kind === 'heartbeat', result);
      finish(result, intendedAt, done);
    });
  };

  const transact = (intendedAt: Millis, done: () => void): void => {
    const keys = [`${name}-${count}-a`, `${name}-${count}-b`] as const;
    runTransaction(caller, keys, (result) => {
      history.recordWrite(group, keys[0], false, result, keys[1]);
      history.recordWrite(group, keys[1], false, result, keys[0]);
      finish(result, intendedAt, done);
    });
  };

  const readOwnRow = (intendedAt: Millis, done: () => void): void => {
    const minCount = history.acknowledged(group, name);
    read(name, minCount, intendedAt, done);
  };

  const readAged = (intendedAt: Millis, done: () => void): void => {
    const asOf = performance.now() - (traffic.max_age_ms ?? 0);
    const minCount = ctx.steadyAckTimes.get(group)?.countBefore(asOf) ?? 0;
    read(STEADY_ROW_KEY, minCount, intendedAt, done);
  };

  const read = (key: string, minCount: number, intendedAt: Millis, done: () => void): void => {
    caller.run(`SELECT id, n FROM records WHERE id = '${key}'`, (result) => {
      if (result.kind === 'rows') checkRow(history, result.rows, key, minCount);
      finish(result, intendedAt, done);
    });
  };

  return {
    run: (intendedAt, done) => {
      count += 1;
      figures.recordSent(cls);
      if (kind === 'transaction') transact(intendedAt, done);
      else if (kind === 'aged_read') readAged(intendedAt, done);
      else if (kind === 'insert') write(`${name}-${count}`, intendedAt, done);
      else if (kind === 'heartbeat' || count % WRITE_EVERY === 1) write(name, intendedAt, done);
      else readOwnRow(intendedAt, done);
    },
    close: caller.close,
  };
}

/** Creates a caller with the session variables of its traffic; it starts at the daemon with index `firstDaemon`. */
export function openCaller(
  plan: LoadPlan,
  traffic: Pick<Traffic, 'group' | 'max_age_ms' | 'deadline_ms'> & { readonly class?: string },
  firstDaemon: number,
): Caller {
  const { user, password, ports } = plan;
  const addresses = ports.map((_, index) => ({
    port: ports[(firstDaemon + index) % ports.length] ?? 0,
    user,
    password,
    database: traffic.group,
  }));
  const setup: string[] = [];
  if (traffic.class !== undefined) setup.push(`SET rosedeck_class = '${traffic.class}'`);
  if (traffic.max_age_ms !== undefined)
    setup.push(`SET rosedeck_max_age_ms = ${traffic.max_age_ms}`);
  if (traffic.deadline_ms !== undefined)
    setup.push(`SET rosedeck_deadline_ms = ${traffic.deadline_ms}`);
  return createCaller(addresses, setup, plan.callerMs);
}

function runTransaction(
  caller: Caller,
  keys: readonly [string, string],
  done: (result: CallResult) => void,
): void {
  const rollBack = (result: CallResult): void => {
    caller.run('ROLLBACK', () => {
      // Without a COMMIT the transaction cannot have taken effect.
      done(result.kind === 'unknown' ? { kind: 'refused', message: result.message } : result);
    });
  };
  caller.run('BEGIN', (begun) => {
    if (begun.kind !== 'ok') {
      rollBack(begun);
      return;
    }
    caller.runOnSame(buildIncrement(keys[0]), (first) => {
      if (first.kind !== 'ok') {
        rollBack(first);
        return;
      }
      caller.runOnSame(buildIncrement(keys[1]), (second) => {
        if (second.kind === 'ok') caller.runOnSame('COMMIT', done);
        else rollBack(second);
      });
    });
  });
}

function checkRow(
  history: History,
  rows: readonly Readonly<Record<string, unknown>>[],
  key: string,
  minCount: number,
): void {
  const [row] = rows;
  if (row && row.id !== key) history.violations.mixed += 1;
  if (Number(row?.n ?? 0) < minCount) history.violations.stale += 1;
}

import { build } from 'hdr-histogram-js';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Millis } from '@rosedeck/shared';
import type { Caller } from './caller';
import type { LoadPlan } from './plan';
import { openCaller, buildIncrement } from './sessions';

/** Plan of a process whose sessions move to other daemons, passed as JSON on its command line. */
export interface RoamPlan extends LoadPlan {
  readonly sessions: number;
  /** Prefix of row keys, different for each process. */
  readonly name: string;
}

/** Results of the moved sessions. */
export interface RoamResult {
  /** Sessions that got an answer at their new daemon. */
  readonly arrived: number;
  readonly refused: number;
  readonly failed: number;
  /** Sessions that did not find their own write. */
  readonly stale: number;
  /** Percentiles and maximum of the time from the move to the answer. */
  readonly p50: Millis;
  readonly p99: Millis;
  readonly last: Millis;
}

/** One session in this many writes a row of its own before it moves. */
const WRITER_EVERY = 10;
const OPEN_BATCH = 100;
const READ_TRIES = 20;
const RETRY_MS = 500;
const ARRIVAL_DEADLINE_MS = 20_000;

interface RoamingSession {
  caller: Caller;
  readonly daemonIndex: number;
  readonly group: string;
  readonly key?: string;
}

/** Opens all sessions in batches; some of them write a row of their own. */
export async function openRoamingSessions(plan: RoamPlan): Promise<RoamingSession[]> {
  const sessions: RoamingSession[] = [];
  while (sessions.length < plan.sessions) {
    const batch = Array.from({ length: OPEN_BATCH }, (_, n) =>
      openRoamingSession(plan, sessions.length + n),
    );
    sessions.push(...(await Promise.all(batch)));
  }
  return sessions;
}

/** Moves all sessions to another daemon at once; each reads there without a session token. */
export async function roam(
  plan: RoamPlan,
  sessions: readonly RoamingSession[],
): Promise<RoamResult> {
  const counts = { arrived: 0, refused: 0, failed: 0, stale: 0 };
  const times = build();
  const random = xoroshiro128plus(plan.seed);
  const retryMs = (): Millis => uniformInt(random, RETRY_MS, 2 * RETRY_MS);
  const startAt = performance.now();
  await Promise.all(
    sessions.map(async (session) => {
      session.caller.close();
      session.caller = openCallerAt(plan, session.group, session.daemonIndex + 1);
      const key = session.key ?? 'nobody';
      const found = await readWithRetry(session.caller, key, retryMs, counts);
      if (found === undefined) return;
      counts.arrived += 1;
      if (session.key !== undefined && found === 0) counts.stale += 1;
      times.recordValue(Math.max(1, Math.round(performance.now() - startAt)));
    }),
  );
  for (const session of sessions) session.caller.close();
  return {
    ...counts,
    p50: times.getValueAtPercentile(50),
    p99: times.getValueAtPercentile(99),
    last: times.maxValue,
  };
}

async function openRoamingSession(plan: RoamPlan, index: number): Promise<RoamingSession> {
  const group = plan.groups[index % plan.groups.length] ?? '';
  const caller = openCallerAt(plan, group, index);
  const key = `${plan.name}-${index}`;
  const isWriter = index % WRITER_EVERY === 0;
  const sql = isWriter ? buildIncrement(key) : "SELECT id FROM records WHERE id = 'nobody'";
  const isAcknowledged = await new Promise<boolean>((resolve) => {
    caller.run(sql, (result) => {
      resolve(result.kind === 'ok');
    });
  });
  return { caller, daemonIndex: index, group, key: isWriter && isAcknowledged ? key : undefined };
}

function openCallerAt(plan: RoamPlan, group: string, daemonIndex: number): Caller {
  const traffic = { group, deadline_ms: ARRIVAL_DEADLINE_MS };
  return openCaller(plan, traffic, daemonIndex);
}

async function readWithRetry(
  caller: Caller,
  key: string,
  retryMs: () => Millis,
  counts: { refused: number; failed: number },
): Promise<number | undefined> {
  for (let tries = 0; tries < READ_TRIES; tries += 1) {
    const found = await readRow(caller, key, counts);
    if (found.rows !== undefined) return found.rows;
    await new Promise((resolve) => setTimeout(resolve, found.retryAfterMs ?? retryMs()));
  }
  return undefined;
}

interface ReadOutcome {
  readonly rows?: number;
  readonly retryAfterMs?: Millis;
}

function readRow(
  caller: Caller,
  key: string,
  counts: { refused: number; failed: number },
): Promise<ReadOutcome> {
  return new Promise((resolve) => {
    caller.run(`SELECT id FROM records WHERE id = '${key}'`, (result) => {
      if (result.kind === 'refused') counts.refused += 1;
      else if (result.kind !== 'rows') counts.failed += 1;
      if (result.kind === 'rows') resolve({ rows: result.rows.length });
      else
        resolve({
          retryAfterMs: 'message' in result ? parseRetryAfter(result.message) : undefined,
        });
    });
  });
}

/** Reads the retry delay from the text of a refusal. */
function parseRetryAfter(message: string): Millis | undefined {
  const match = /retry after (\d+) ms/.exec(message);
  return match ? Number(match[1]) : undefined;
}

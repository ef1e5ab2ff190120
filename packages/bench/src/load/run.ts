import type { Millis } from '@rosedeck/shared';
import type { Traffic } from '../topology';
import { runArrivals } from './arrivals';
import type { CallResult, Caller } from './caller';
import { createFigures } from './figures';
import { createAckTimes, createHistory } from './history';
import type { AckTimes, History } from './history';
import type { LoadPlan, LoadProgress, LoadResult } from './plan';
import { STEADY_ROW_KEY, createSession, openCaller, buildIncrement } from './sessions';
import type { Session, LoadContext } from './sessions';

const PROGRESS_INTERVAL_MS = 1_000;
/** Pause between two writes of a group's steady writer. */
const STEADY_WRITE_INTERVAL_MS = 5;
/** Time for open operations to end after the last arrival. */
const DRAIN_MS = 4_000;
const VERIFY_TRIES = 40;
const VERIFY_RETRY_MS = 250;

/** Runs the planned load, then compares the outcomes that callers received with the rows of the groups. */
export async function runLoad(
  plan: LoadPlan,
  onProgress: (progress: LoadProgress) => void,
): Promise<LoadResult> {
  const timesPerGroup = (): Map<string, AckTimes> =>
    new Map(plan.groups.map((group) => [group, createAckTimes()]));
  const ctx: LoadContext = {
    plan,
    figures: createFigures(),
    history: createHistory(),
    ackTimes: timesPerGroup(),
    steadyAckTimes: timesPerGroup(),
  };
  const startAt = performance.now();
  const endAt = startAt + plan.durationMs;
  const timer = setInterval(() => {
    onProgress(ctx.figures.progress(performance.now() - startAt));
  }, PROGRESS_INTERVAL_MS);
  await Promise.all([
    ...plan.groups.map((group, index) => runSteadyWriter(ctx, group, index, endAt)),
    ...plan.traffic.map((traffic, index) => runTraffic(ctx, traffic, index, startAt, endAt)),
  ]);
  clearInterval(timer);
  for (const group of plan.groups) await verifyGroup(plan, group, ctx.history);
  return summarise(ctx);
}

function summarise(ctx: LoadContext): LoadResult {
  const { figures, history, ackTimes } = ctx;
  return {
    classes: figures.summarise(),
    gaps: Object.fromEntries([...ackTimes].map(([group, times]) => [group, times.longestGap()])),
    violations: history.violations,
    acknowledgedWrites: history.totals.acknowledged,
    foundWrites: history.totals.found,
    errors: figures.errors,
  };
}

async function runTraffic(
  ctx: LoadContext,
  traffic: Traffic,
  index: number,
  startAt: Millis,
  endAt: Millis,
): Promise<void> {
  const sessions = Array.from({ length: traffic.sessions }, (_, n) =>
    createSession(ctx, traffic, `${traffic.kind}${index}-${n}`, n),
  );
  const idle = [...sessions];
  const waiting: Millis[] = [];
  let running = 0;
  const serve = (session: Session, intendedAt: Millis): void => {
    running += 1;
    session.run(intendedAt, () => {
      running -= 1;
      const next = waiting.shift();
      if (next === undefined) idle.push(session);
      else serve(session, next);
    });
  };
  await runArrivals(traffic.rate_per_s, ctx.plan.seed + index, startAt, endAt, (intendedAt) => {
    const session = idle.shift();
    if (session) serve(session, intendedAt);
    else waiting.push(intendedAt);
  });
  const drainDeadline = performance.now() + DRAIN_MS;
  while (running > 0 && performance.now() < drainDeadline) await sleep(PROGRESS_INTERVAL_MS / 20);
  for (const session of sessions) session.close();
}

/** Increments one row of a group until `endAt`, one write after the other. */
async function runSteadyWriter(
  ctx: LoadContext,
  group: string,
  index: number,
  endAt: Millis,
): Promise<void> {
  const caller = openCaller(ctx.plan, { group }, index);
  const recordAck = (): void => {
    const now = performance.now();
    ctx.ackTimes.get(group)?.record(now);
    ctx.steadyAckTimes.get(group)?.record(now);
  };
  while (performance.now() < endAt) {
    await new Promise<void>((resolve) => {
      caller.run(buildIncrement(STEADY_ROW_KEY), (result) => {
        if (result.kind === 'ok') recordAck();
        ctx.history.recordWrite(group, STEADY_ROW_KEY, false, result);
        resolve();
      });
    });
    await sleep(STEADY_WRITE_INTERVAL_MS);
  }
  caller.close();
}

async function verifyGroup(plan: LoadPlan, group: string, history: History): Promise<void> {
  const caller = openCaller(plan, { group, deadline_ms: 10_000 }, 0);
  let lastError = '';
  for (let tries = 0; tries < VERIFY_TRIES; tries += 1) {
    const result = await readAll(caller);
    if (result.kind === 'rows') {
      history.verify(group, indexRows(result.rows));
      caller.close();
      return;
    }
    lastError = 'message' in result ? result.message : result.kind;
    await sleep(VERIFY_RETRY_MS);
  }
  throw new Error(`the final read of group ${group} failed in every try, last with: ${lastError}`);
}

function readAll(caller: Caller): Promise<CallResult> {
  return new Promise((resolve) => {
    caller.run('SELECT id, n FROM records', resolve);
  });
}

function indexRows(rows: Extract<CallResult, { kind: 'rows' }>['rows']): Map<string, number> {
  return new Map(rows.map((row) => [String(row.id), Number(row.n)]));
}

function sleep(ms: Millis): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

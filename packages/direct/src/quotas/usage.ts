import type { Millis } from '@rosedeck/shared';

/** Counts of the last seconds, and sums since the start. */
export interface Usage {
  /** Operations per second of the window, by second modulo its length. */
  readonly perSecond: number[];
  /** The second of the newest count. */
  second: number;
  /** Operations admitted since the start. */
  used: number;
  /** Operations refused for the cap since the start. */
  refused: number;
  /** Operations per step of the window of needs; the newest is last. */
  readonly needs: number[];
  step: number;
}

const MS_PER_SECOND = 1_000;
const WINDOW_S = 5;

/** Window of needs: operations in it are expected again, so that tokens are requested ahead. */
const NEEDS_STEP_MS: Millis = 50;
const NEEDS_STEPS = 4;

/** Creates counts of zero. */
export function createUsage(): Usage {
  return {
    perSecond: Array.from({ length: WINDOW_S }, () => 0),
    second: -1,
    used: 0,
    refused: 0,
    needs: Array.from({ length: NEEDS_STEPS }, () => 0),
    step: -1,
  };
}

/** Counts an admitted operation. */
export function recordUse(usage: Usage, now: Millis): void {
  usage.used += 1;
  advanceSeconds(usage, now);
  const at = usage.second % WINDOW_S;
  usage.perSecond[at] = (usage.perSecond[at] ?? 0) + 1;
}

/** Operations admitted in the last 5 s, by whole seconds. */
export function usedLately(usage: Usage, now: Millis): number {
  advanceSeconds(usage, now);
  return usage.perSecond.reduce((sum, count) => sum + count, 0);
}

function advanceSeconds(usage: Usage, now: Millis): void {
  const second = Math.floor(now / MS_PER_SECOND);
  const passed = Math.min(WINDOW_S, second - usage.second);
  for (let at = 0; at < passed; at += 1) usage.perSecond[(second - at) % WINDOW_S] = 0;
  usage.second = Math.max(usage.second, second);
}

/** Counts an operation that needs a token. */
export function recordNeed(usage: Usage, now: Millis): void {
  advanceSteps(usage, now);
  usage.needs[NEEDS_STEPS - 1] = (usage.needs[NEEDS_STEPS - 1] ?? 0) + 1;
}

/** Operations of the last 200 ms that needed a token. */
export function recentNeeds(usage: Usage, now: Millis): number {
  advanceSteps(usage, now);
  return usage.needs.reduce((sum, count) => sum + count, 0);
}

function advanceSteps(usage: Usage, now: Millis): void {
  const step = Math.floor(now / NEEDS_STEP_MS);
  const passed = Math.min(NEEDS_STEPS, step - usage.step);
  for (let at = 0; at < passed; at += 1) {
    usage.needs.shift();
    usage.needs.push(0);
  }
  usage.step = Math.max(usage.step, step);
}

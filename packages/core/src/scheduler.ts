import type { GroupId, Millis } from '@rosedeck/shared';
import { createTimerQueue } from './timerQueue';

/** The systems, in the order in which one flush runs them. */
export const SYSTEM_ORDER = [
  'rounds',
  'confirmation',
  'detection',
  'promotion',
  'dispatch',
] as const;

/** Name of a system. */
export type SystemName = (typeof SYSTEM_ORDER)[number];

/** Queues jobs without duplicates and runs those of a flush in the order of the systems. */
export interface Scheduler {
  /** Runs `system` for `group` in the next flush. */
  queueJob: (system: SystemName, group: GroupId) => void;
  /** Runs `system` for `group` once the clock reaches `at`; an earlier time already queued stays. */
  queueJobAt: (system: SystemName, group: GroupId, at: Millis) => void;
  /** Runs all jobs that are due, and the jobs that these queue, up to `MAX_PASSES`. */
  flushJobs: (now: Millis, run: (system: SystemName, group: GroupId) => void) => void;
  /** When the next flush is due, 0 for at once; undefined when nothing is queued. */
  nextDueAt: () => Millis | undefined;
}

interface DelayedJob {
  readonly key: string;
  readonly system: SystemName;
  readonly group: GroupId;
  readonly at: Millis;
}

/** Passes over all systems in one flush; jobs queued in the last pass wait for the next flush. */
const MAX_PASSES = 8;

/** Creates a scheduler without jobs. */
export function createScheduler(): Scheduler {
  const due = new Map<SystemName, Set<GroupId>>(SYSTEM_ORDER.map((name) => [name, new Set()]));
  const delayed = new Map<string, DelayedJob>();
  const timers = createTimerQueue<DelayedJob>();

  const queueJob = (system: SystemName, group: GroupId): void => {
    due.get(system)?.add(group);
  };

  const queueJobAt = (system: SystemName, group: GroupId, at: Millis): void => {
    const key = `${system}/${group}`;
    const existing = delayed.get(key);
    if (existing && existing.at <= at) return;
    const job: DelayedJob = { key, system, group, at };
    delayed.set(key, job);
    timers.push(at, job);
  };

  /** Returns the earliest delayed job; drops timers whose job has been moved to an earlier time. */
  const peekDelayed = (): DelayedJob | undefined => {
    for (let next = timers.peek(); next; next = timers.peek()) {
      if (delayed.get(next.value.key) === next.value) return next.value;
      timers.pop();
    }
    return undefined;
  };

  const queueDueJobs = (now: Millis): void => {
    for (let job = peekDelayed(); job && job.at <= now; job = peekDelayed()) {
      timers.pop();
      delayed.delete(job.key);
      queueJob(job.system, job.group);
    }
  };

  const runPass = (run: (system: SystemName, group: GroupId) => void): boolean => {
    let hasRun = false;
    for (const system of SYSTEM_ORDER) {
      const groups = due.get(system);
      if (!groups || groups.size === 0) continue;
      due.set(system, new Set());
      for (const group of groups) run(system, group);
      hasRun = true;
    }
    return hasRun;
  };

  return {
    queueJob,
    queueJobAt,
    flushJobs: (now, run) => {
      queueDueJobs(now);
      for (let pass = 0; pass < MAX_PASSES; pass += 1) {
        if (!runPass(run)) return;
      }
    },
    nextDueAt: () => {
      for (const groups of due.values()) if (groups.size > 0) return 0;
      return peekDelayed()?.at;
    },
  };
}

import type { GroupId, Millis } from '@rosedeck/shared';
import { createTimerQueue } from './timerQueue';

/** The systems (functions run for one group at a time), in the order in which a flush runs them. */
export const SYSTEM_ORDER = [
  'rounds',
  'confirmation',
  'detection',
  'promotion',
  'dispatch',
] as const;

/** System that a job runs for its group. */
export type SystemName = (typeof SYSTEM_ORDER)[number];

/** Queues jobs (a system and a group) without duplicates and runs them in the order of the systems. */
export interface Scheduler {
  /** Runs `system` for `group` in the next flush. */
  queueJob: (system: SystemName, group: GroupId) => void;
  /** Runs `system` for `group` in the first flush from `at` on; an earlier time already queued is kept. */
  queueJobAt: (system: SystemName, group: GroupId, at: Millis) => void;
  /** Runs all due jobs, then the jobs that they queue, in at most `MAX_PASSES` passes. */
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
  const dueGroups = new Map<SystemName, Set<GroupId>>(
    SYSTEM_ORDER.map((name) => [name, new Set()]),
  );
  const delayedJobs = new Map<string, DelayedJob>();
  const timers = createTimerQueue<DelayedJob>();

  const queueJob = (system: SystemName, group: GroupId): void => {
    dueGroups.get(system)?.add(group);
  };

  const queueJobAt = (system: SystemName, group: GroupId, at: Millis): void => {
    const key = `${system}/${group}`;
    const existing = delayedJobs.get(key);
    if (existing && existing.at <= at) return;
    const job: DelayedJob = { key, system, group, at };
    delayedJobs.set(key, job);
    timers.push(at, job);
  };

  /** Returns the earliest delayed job; drops timers whose job has been moved to an earlier time. */
  const peekDelayed = (): DelayedJob | undefined => {
    for (let next = timers.peek(); next; next = timers.peek()) {
      if (delayedJobs.get(next.value.key) === next.value) return next.value;
      timers.pop();
    }
    return undefined;
  };

  const queueDueJobs = (now: Millis): void => {
    for (let job = peekDelayed(); job && job.at <= now; job = peekDelayed()) {
      timers.pop();
      delayedJobs.delete(job.key);
      queueJob(job.system, job.group);
    }
  };

  const runPass = (run: (system: SystemName, group: GroupId) => void): boolean => {
    let hasRun = false;
    for (const system of SYSTEM_ORDER) {
      const groups = dueGroups.get(system);
      if (!groups || groups.size === 0) continue;
      dueGroups.set(system, new Set());
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
      for (const groups of dueGroups.values()) if (groups.size > 0) return 0;
      return peekDelayed()?.at;
    },
  };
}

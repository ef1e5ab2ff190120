import type { Millis } from '@rosedeck/shared';
import type { Traffic } from '../topology';

/** Plan of a load process, passed as JSON on its command line. */
export interface LoadPlan {
  readonly seed: number;
  readonly durationMs: Millis;
  /** Ports that callers connect to. */
  readonly ports: readonly number[];
  readonly user: string;
  readonly password: string;
  /** One-way network time between a caller and its daemon. */
  readonly callerMs: Millis;
  readonly traffic: readonly Traffic[];
  /** Groups with a steady writer, which serves to measure gaps between writes and the age of reads. */
  readonly groups: readonly string[];
}

/** Outcomes and latencies of the operations of one class. */
export interface ClassFigures {
  sent: number;
  acknowledged: number;
  refused: number;
  /** The caller cannot tell whether the operation ran. */
  unknown: number;
  /** Errors of the target itself, such as a lock conflict. */
  failed: number;
  p50: Millis;
  p99: Millis;
  p999: Millis;
  /** 99th percentile of the time to a refusal. */
  refusalP99: Millis;
}

/** Violations of the guarantees; each count has to be 0. */
export interface Violations {
  /** Acknowledged writes that are missing at the end. */
  lost: number;
  /** Writes that ran more than once. */
  doubled: number;
  /** Reads of data older than the session or its maximum age allows. */
  stale: number;
  /** Writes that ran although their error stated that they did not. */
  falselyRefused: number;
  /** Transactions that took effect in part, and reads that returned the row of another key. */
  mixed: number;
}

/** Result of a load process; `--json` writes it out. */
export interface LoadResult {
  readonly classes: Readonly<Record<string, ClassFigures>>;
  /** Longest time between two consecutive acknowledged writes outside transactions, per group. */
  readonly gaps: Readonly<Record<string, Millis>>;
  readonly violations: Violations;
  /** Acknowledged writes, and how many of them are in the tables at the end. */
  readonly acknowledgedWrites: number;
  readonly foundWrites: number;
  /** Number of errors by the start of their text, with digits replaced by `N`. */
  readonly errors: Readonly<Record<string, number>>;
}

/** Counts of a load process so far, reported once a second. */
export interface LoadProgress {
  readonly atMs: Millis;
  readonly sent: number;
  readonly acknowledged: number;
  readonly refused: number;
  readonly unknown: number;
}

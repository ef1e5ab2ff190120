import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { Millis } from '@rosedeck/shared';
import type { CallResult } from './caller';
import type { ClassFigures, LoadProgress } from './plan';

interface Counts {
  sent: number;
  acknowledged: number;
  refused: number;
  unknown: number;
  failed: number;
  readonly latencies: Histogram;
  readonly refusals: Histogram;
}

/** Collects counts and latencies per class. */
export interface Figures {
  recordSent: (cls: string) => void;
  recordResult: (cls: string, result: CallResult, latencyMs: Millis) => void;
  /** Number of errors by the start of their text. */
  readonly errors: Record<string, number>;
  progress: (atMs: Millis) => LoadProgress;
  summarise: () => Record<string, ClassFigures>;
}

const MICROS_PER_MILLI = 1_000;
const ERROR_TEXT_LENGTH = 60;

/** Creates figures without operations. */
export function createFigures(): Figures {
  const classes = new Map<string, Counts>();
  const errors: Record<string, number> = {};
  const getCounts = (cls: string): Counts => {
    const existing = classes.get(cls);
    if (existing) return existing;
    const created: Counts = {
      sent: 0,
      acknowledged: 0,
      refused: 0,
      unknown: 0,
      failed: 0,
      latencies: build(),
      refusals: build(),
    };
    classes.set(cls, created);
    return created;
  };
  const sum = (field: 'sent' | 'acknowledged' | 'refused' | 'unknown'): number =>
    [...classes.values()].reduce((total, counts) => total + counts[field], 0);
  return {
    errors,
    recordSent: (cls) => {
      getCounts(cls).sent += 1;
    },
    recordResult: (cls, result, latencyMs) => {
      const counts = getCounts(cls);
      const micros = Math.max(1, Math.round(latencyMs * MICROS_PER_MILLI));
      if (result.kind === 'ok' || result.kind === 'rows') {
        counts.acknowledged += 1;
        counts.latencies.recordValue(micros);
        return;
      }
      counts[result.kind] += 1;
      if (result.kind === 'refused') counts.refusals.recordValue(micros);
      const text = result.message.slice(0, ERROR_TEXT_LENGTH).replace(/\d+/g, 'N');
      errors[text] = (errors[text] ?? 0) + 1;
    },
    progress: (atMs) => ({
      atMs,
      sent: sum('sent'),
      acknowledged: sum('acknowledged'),
      refused: sum('refused'),
      unknown: sum('unknown'),
    }),
    summarise: () =>
      Object.fromEntries([...classes].map(([cls, counts]) => [cls, summariseClass(counts)])),
  };
}

function summariseClass(counts: Counts): ClassFigures {
  const { latencies, refusals, ...rest } = counts;
  const percentileMs = (histogram: Histogram, percentile: number): Millis =>
    histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  return {
    ...rest,
    p50: percentileMs(latencies, 50),
    p99: percentileMs(latencies, 99),
    p999: percentileMs(latencies, 99.9),
    refusalP99: percentileMs(refusals, 99),
  };
}

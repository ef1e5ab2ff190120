import { build } from 'hdr-histogram-js';
import type { Millis } from '@rosedeck/shared';
import type { LoadPlan } from './plan';
import { openCaller, buildIncrement } from './sessions';

/** Plan of a saturating process, passed as JSON on its command line. */
export interface SaturatePlan extends LoadPlan {
  readonly sessions: number;
  readonly kind: 'read' | 'write';
  /** Statements sent in this time are not counted. */
  readonly warmUpMs: Millis;
}

/** Throughput and latency of a saturated path. */
export interface SaturateResult {
  /** Answered statements per second. */
  readonly perS: number;
  readonly failed: number;
  readonly p50: Millis;
  readonly p99: Millis;
}

/** Runs closed-loop sessions: each sends its next statement as soon as the last one is answered. */
export async function saturate(plan: SaturatePlan): Promise<SaturateResult> {
  const countFrom = performance.now() + plan.warmUpMs;
  const endAt = countFrom + plan.durationMs;
  const times = build();
  let failed = 0;
  const runSession = async (index: number): Promise<void> => {
    const [group = ''] = plan.groups;
    const caller = openCaller(plan, { group, max_age_ms: 5_000 }, index);
    const sql =
      plan.kind === 'read'
        ? "SELECT id, n FROM records WHERE id = 'row'"
        : buildIncrement(`row-${index}`);
    while (performance.now() < endAt) {
      const sentAt = performance.now();
      const kind = await new Promise<string>((resolve) => {
        caller.run(sql, (result) => {
          resolve(result.kind);
        });
      });
      if (sentAt < countFrom) continue;
      if (kind === 'ok' || kind === 'rows') times.recordValue((performance.now() - sentAt) * 1_000);
      else failed += 1;
    }
    caller.close();
  };
  await Promise.all(Array.from({ length: plan.sessions }, (_, index) => runSession(index)));
  return {
    perS: times.totalCount / (plan.durationMs / 1_000),
    failed,
    p50: times.getValueAtPercentile(50) / 1_000,
    p99: times.getValueAtPercentile(99) / 1_000,
  };
}

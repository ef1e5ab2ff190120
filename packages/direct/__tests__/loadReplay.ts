import type { CallerStatement, DirectSettings } from '../src/index';
import { createRandom, createRig, openSession, ROUTES } from './rig';
import type { Rig } from './rig';

/** Arrival rate of one kind of statement. */
export interface Stream {
  readonly database: string;
  readonly perSecond: number;
  readonly statement: CallerStatement;
}

/** Counts of how the requests of one database ended. */
export interface Tally {
  submitted: number;
  inTime: number;
  late: number;
  refused: number;
  /** Longest time from a request to its refusal. */
  slowestRefusalMs: number;
}

/** A read of one item. */
export const READ: CallerStatement = { kind: 'read', text: 'READ 1' };
/** A write of one item. */
export const WRITE: CallerStatement = { kind: 'write', text: 'WRITE 1 x' };

/** Generates random arrivals, each in its own session, and counts how they end, by database. */
export function runLoad(
  rig: Rig,
  streams: readonly Stream[],
  ms: number,
  seed = 11,
): Record<string, Tally> {
  const random = createRandom(seed);
  const submitted = new Map<string, { database: string; at: number }>();
  let next = rig.now();
  const end = next + ms;
  const total = streams.reduce((sum, stream) => sum + stream.perSecond, 0);
  while (rig.now() < end) {
    rig.run(1);
    while (next <= rig.now()) {
      next += (-Math.log(1 - random()) * 1_000) / total;
      let pick = random() * total;
      const stream = streams.find((one) => (pick -= one.perSecond) < 0) ?? streams[0];
      if (!stream) break;
      const session = openSession(rig, `load-${submitted.size}`, stream.database);
      const id = rig.submit(session, stream.statement);
      submitted.set(id, { database: stream.database, at: rig.now() });
    }
  }
  rig.run(1_500);
  return tally(rig, submitted);
}

function tally(
  rig: Rig,
  submitted: ReadonlyMap<string, { database: string; at: number }>,
): Record<string, Tally> {
  const tallies: Record<string, Tally> = {};
  const answers = new Map(rig.answers.map((received) => [received.request, received]));
  for (const [id, { database, at }] of submitted) {
    const own = (tallies[database] ??= {
      submitted: 0,
      inTime: 0,
      late: 0,
      refused: 0,
      slowestRefusalMs: 0,
    });
    const received = answers.get(id);
    const objectiveMs =
      ROUTES.find((route) => route.database === database)?.latencyObjectiveMs ?? 0;
    own.submitted += 1;
    if (received?.answer.kind === 'done') {
      if (received.at - at <= objectiveMs) own.inTime += 1;
      else own.late += 1;
    } else {
      own.refused += 1;
      own.slowestRefusalMs = Math.max(own.slowestRefusalMs, (received?.at ?? Infinity) - at);
    }
  }
  return tallies;
}

/** A count as a share of the submitted requests. */
export function share(part: number, tally: Tally | undefined): number {
  return part / (tally?.submitted ?? 1);
}

/** A rig with samples, so that replicas serve reads. */
export function createWarmRig(settings: Partial<DirectSettings> = {}): Rig {
  const rig = createRig(settings);
  rig.run(200);
  openSession(rig, 'warm', 'loops');
  rig.submit('warm', READ);
  rig.run(2_000);
  return rig;
}

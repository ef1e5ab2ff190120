import { createConsola } from 'consola';
import type { DirectSettings } from '@rosedeck/direct';
import { createWarmRig, READ, runLoad, WRITE } from '../packages/direct/__tests__/loadReplay';
import type { Stream, Tally } from '../packages/direct/__tests__/loadReplay';
import type { Rig } from '../packages/direct/__tests__/rig';

/**
 * Prints what each mechanism of the direct engine is worth: replayed loads with the mechanism switched
 * off by the settings, beside the same loads and seeds with all of them.
 */

const SEEDS = [11, 12, 13];
const DURATION_MS = 5_000;

/** The settings that switch a mechanism off. */
const MECHANISMS: Readonly<Record<string, Partial<DirectSettings>>> = {
  'all mechanisms': {},
  'no placement by latency': { latencyDecayMs: Number.MIN_VALUE },
  'no limit of statements in flight': { inFlightPerSlot: Infinity },
  'no refusal before the deadline': { queueTimeShare: Infinity },
  'hedges only at half of the objective': { hedgeMinMs: Infinity },
};

/** A load, and what happens to the targets while it lasts. */
interface Load {
  readonly streams: readonly Stream[];
  readonly prepare: (rig: Rig) => void;
}

const BOOKINGS: Stream = { database: 'bookings', perSecond: 30, statement: WRITE };

const LOADS: Readonly<Record<string, Load>> = {
  'usual load': {
    streams: [BOOKINGS, { database: 'beats', perSecond: 270, statement: READ }],
    prepare: () => undefined,
  },
  'one of three targets five times slower': {
    streams: [BOOKINGS, { database: 'beats', perSecond: 270, statement: READ }],
    prepare: (rig) => {
      if (rig.targets[1]) rig.targets[1].runMs *= 5;
    },
  },
  'one of three targets silent': {
    streams: [BOOKINGS, { database: 'beats', perSecond: 270, statement: READ }],
    prepare: (rig) => {
      if (rig.targets[1]) rig.targets[1].silent = true;
    },
  },
  'three times the capacity': {
    streams: [BOOKINGS, { database: 'beats', perSecond: 1_300, statement: READ }],
    prepare: () => undefined,
  },
};

function formatTally({ submitted, inTime, late, refused }: Tally): string {
  const percent = (count: number): string => ((100 * count) / submitted).toFixed(1).padStart(5);
  return `${percent(inTime)} in time ${percent(late)} late ${percent(refused)} refused`;
}

function addTallies(sum: Tally | undefined, tally: Tally): Tally {
  if (!sum) return tally;
  return {
    submitted: sum.submitted + tally.submitted,
    inTime: sum.inTime + tally.inTime,
    late: sum.late + tally.late,
    refused: sum.refused + tally.refused,
    slowestRefusalMs: Math.max(sum.slowestRefusalMs, tally.slowestRefusalMs),
  };
}

const console = createConsola({ level: 3 });
for (const [loadName, { streams, prepare }] of Object.entries(LOADS)) {
  const lines = [loadName];
  for (const [mechanism, settings] of Object.entries(MECHANISMS)) {
    const sums: Record<string, Tally> = {};
    for (const seed of SEEDS) {
      const rig = createWarmRig(settings);
      prepare(rig);
      for (const [database, tally] of Object.entries(runLoad(rig, streams, DURATION_MS, seed)))
        sums[database] = addTallies(sums[database], tally);
    }
    for (const [database, tally] of Object.entries(sums).sort())
      lines.push(`  ${mechanism.padEnd(38)} ${database.padEnd(9)} ${formatTally(tally)}`);
  }
  console.log(lines.join('\n'));
}

import net from 'node:net';
import path from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { startFleet } from '../lib-2/fleet';
import type { Machine } from '../lib-2/fleet';
import { HOST } from '../lib-2/links';
import { createLineSplitter, splitWord } from '../lib-2/lines';
import { createManifest, DATABASES, SERVICE } from '../lib-2/manifest';
import { startRecord } from '../lib-2/record';
import { startService } from '../lib-2/servers';
import { startStore } from '../lib-2/store';

const ZONES = ['ernakulam', 'kakkanad', 'aluva'] as const;

/** An answer of four rows within the limit of a message, over a link of 14 Mbit/s. */
const ROW_BYTES = 1_048_000;
const BYTES_PER_MS = 1_750;

/** Time from SIGTERM to the requests, in milliseconds. */
const SENT_AFTER_MS = [1_950, 2_000, 2_050, 2_100] as const;

interface Reading {
  readonly id: string;
  readonly sentMs: number;
  /** When the connection ended or the answer was complete. */
  endedMs?: number;
  bytes: number;
  isComplete: boolean;
}

const hasTrouble = process.env.TROUBLE !== '0';
const record = startRecord(path.join(process.argv[2] ?? '.', 'record.txt'));

/** Opens a session, and later reads one item over a slow link. */
function openReader(
  { daemon }: Machine,
  id: string,
): Promise<{ read: () => Promise<Reading>; close: () => void }> {
  return new Promise((resolve, reject) => {
    const socket = net.connect({ port: daemon.frontPort, host: HOST, noDelay: true });
    let reading: Reading | undefined;
    let finish: ((reading: Reading) => void) | undefined;
    const settle = (): void => {
      if (!reading || reading.endedMs !== undefined) return;
      reading.endedMs = record.now();
      finish?.(reading);
    };
    const split = createLineSplitter((line) => {
      const [word] = splitWord(line);
      if (word !== 'READY') return;
      if (reading) {
        reading.isComplete = true;
        settle();
        return;
      }
      resolve({
        read: () =>
          new Promise((done) => {
            finish = done;
            reading = { id, sentMs: record.now(), bytes: 0, isComplete: false };
            record.note(`${daemon.name}: ${id} READ board, sent`);
            socket.write(`QUERY ${id} READ board\r\n`);
          }),
        close: () => {
          socket.destroy();
        },
      });
    });
    socket.on('data', (chunk) => {
      if (reading) reading.bytes += chunk.length;
      split(chunk);
      socket.pause();
      setTimeout(() => socket.resume(), chunk.length / BYTES_PER_MS);
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      settle();
      reject(new Error('the session did not open'));
    });
    socket.write(`STARTUP ${DATABASES.bounded} review\r\n`);
  });
}

async function main(): Promise<number> {
  const store = startStore();
  const service = await startService(store, {
    name: SERVICE,
    zones: ZONES,
    syncReplicas: 0,
    isFenced: true,
    promoteMs: 1_000,
    lagMs: 60,
    slots: 3,
    beatMs: 1_200,
    extraRows: () => ['w', 'x', 'y', 'z'].map((letter) => letter.repeat(ROW_BYTES)),
    now: record.now,
    note: record.note,
  });
  store.put('op/config', createManifest(7, 0));
  const fleet = await startFleet({
    store,
    service,
    zones: ZONES,
    isFenced: true,
    hasLinks: false,
    promote: ({ id }) => service.promote(id),
  });
  try {
    const [machine] = fleet.machines;
    if (!machine || !(await fleet.waitUntilReady())) {
      record.note('not all daemons are ready');
      return 2;
    }
    await pause(3_000);
    const readers = await Promise.all(SENT_AFTER_MS.map((_, at) => openReader(machine, `r${at}`)));
    if (hasTrouble) {
      record.note(`SIGTERM of ${machine.daemon.name}`);
      machine.daemon.process.kill('SIGTERM');
    }
    const readings = await Promise.all(
      readers.map(async (reader, at) => {
        await pause(SENT_AFTER_MS[at] ?? 0);
        return reader.read();
      }),
    );
    for (const reader of readers) reader.close();
    let lost = 0;
    for (const { id, sentMs, endedMs = 0, bytes, isComplete } of readings) {
      const run = service.runs.find((one) => one.id === id);
      const state = isComplete ? 'complete' : 'cut off';
      record.note(
        `${id}: ${run ? `run at ${run.server}` : 'not run'}, ${bytes} bytes, ${state} ${Math.round(endedMs - sentMs)} ms after it was sent`,
      );
      if (!isComplete && run) lost += 1;
    }
    const result = `${readings.length} answers, ${lost} of them cut off`;
    record.note(result);
    process.stdout.write(`${result}\n`);
    return lost > 0 ? 1 : 0;
  } finally {
    await fleet.close();
    service.close();
    store.close();
  }
}

void main()
  .catch((error: unknown) => {
    record.note(`the case could not run: ${String(error)}`);
    return 2;
  })
  .then((code) => {
    record.flush();
    process.exit(code);
  });

import path from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { openSession } from '../6/lib/consumer';
import type { Answer, Session } from '../6/lib/consumer';
import { startFleet } from '../6/lib/fleet';
import type { Machine } from '../6/lib/fleet';
import { createManifest, DATABASES, SERVICE } from '../6/lib/manifest';
import { startRecord } from '../6/lib/record';
import { runCase } from '../6/lib/runCase';
import { startService } from '../6/lib/servers';
import { startStore } from '../6/lib/store';

const ZONES = ['bole', 'akaki', 'kality'] as const;

/** The primary is the server of the first zone. */
const SERVER_IDS = ['i-31b174c273', 'i-9046ff59e0', 'i-fc002de080'] as const;

const CALM_MS = 10_000;

/** The primary is dark for this time. */
const DARK_MS = 5_500;

/** The promotion call is cut off for this time, from the same moment on. */
const CLOUD_MS = 6_600;

/** Time from the end of the disruptions until the final fault, and in which the machines are down. */
const FINAL_FAULT_MS = 6_000;
const DOWN_MS = 1_100;

const RECOVERY_MS = 12_000;
const AFTER_MS = 15_000;

interface Statement {
  readonly id: string;
  readonly answer: Answer;
}

const hasTrouble = process.env.TROUBLE !== '0';
const record = startRecord(path.join(process.argv[2] ?? '.', 'record.txt'));
const statements: Statement[] = [];
let isStopping = false;

/** A consumer that writes again and again, with a new session where the last one has ended. */
async function runConsumer(machine: Machine, name: string): Promise<void> {
  let session: Session | undefined;
  for (let count = 0; !isStopping; count += 1) {
    await pause(100);
    const { daemon } = machine;
    const id = `${name}.${count}`;
    const triedMs = record.now();
    if (!session?.isOpen())
      session = await openSession(daemon.frontPort, DATABASES.primary, record.now);
    const answer = (await session?.query(id, `WRITE kit ${id}`, 4_000)) ?? {
      outcome: 'no session',
      rows: [],
      sentMs: triedMs,
      answeredMs: record.now(),
    };
    statements.push({ id, answer });
    record.note(`${daemon.name}: ${id} WRITE kit ${id}: ${answer.outcome}`);
  }
  session?.close();
}

async function main(): Promise<number> {
  const store = startStore();
  const service = await startService(store, {
    name: SERVICE,
    zones: ZONES,
    ids: SERVER_IDS,
    syncReplicas: 0,
    isFenced: false,
    promoteMs: 1_000,
    lagMs: 8,
    slots: 5,
    beatMs: 1_200,
    now: record.now,
    note: record.note,
  });
  const [primary] = service.servers;
  if (!primary) return 2;
  store.put('op/config', createManifest(7, 0));
  const fleet = await startFleet({
    store,
    service,
    zones: ZONES,
    isFenced: false,
    hasLinks: false,
    promote: (order) => {
      record.note(`platform: order of ${order.holder}: ${order.id}, token ${order.token}`);
      return service.promote(order.id);
    },
  });
  try {
    if (!(await fleet.waitUntilReady())) {
      record.note('not all daemons are ready');
      return 2;
    }
    const consumers = fleet.machines.map((machine, at) => runConsumer(machine, `w${at}`));
    await pause(CALM_MS);
    if (hasTrouble) {
      record.note(`srv_crash, dark: ${primary.id}`);
      service.darken(primary, DARK_MS);
      record.note('the promotion call is cut off');
      for (const { cloudDoor } of fleet.machines) cloudDoor.setCut(true);
      await pause(DARK_MS);
      record.note(`${primary.id} is back`);
      await pause(CLOUD_MS - DARK_MS);
      for (const { cloudDoor } of fleet.machines) cloudDoor.setCut(false);
      record.note('the promotion call is back');
    }
    await pause(FINAL_FAULT_MS);
    const finalFaultAt = record.now();
    store.put('op/config', createManifest(11, 0));
    record.note('final fault: all daemons are killed right after a manifest');
    await fleet.killAll(DOWN_MS);
    if (!(await fleet.waitUntilReady())) record.note('not all daemons are ready again');
    const backAt = record.now();
    record.note('all daemons are back');
    await pause(RECOVERY_MS + AFTER_MS);
    isStopping = true;
    await Promise.all(consumers);
    const before = statements.filter(({ answer }) => answer.answeredMs < finalFaultAt);
    const after = statements.filter(({ answer }) => answer.sentMs > backAt + RECOVERY_MS);
    const result = `before the final fault ${countServed(before)} of ${before.length} statements served; later than ${RECOVERY_MS} ms after the machines are back ${countServed(after)} of ${after.length}`;
    record.note(result);
    process.stdout.write(`${result}\n`);
    if (countServed(before) * 4 < before.length || after.length < 50) return 2;
    return countServed(after) * 4 < after.length ? 1 : 0;
  } finally {
    await fleet.close();
    service.close();
    store.close();
  }
}

function countServed(all: readonly Statement[]): number {
  return all.filter(({ answer }) => answer.outcome === 'COMPLETE').length;
}

runCase(record, main);

import path from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { openSession } from '../6/lib/consumer';
import type { Answer, Session } from '../6/lib/consumer';
import { startFleet } from '../6/lib/fleet';
import type { Machine } from '../6/lib/fleet';
import { createManifest, DATABASES, SERVICE } from '../6/lib/manifest';
import { startRecord } from '../6/lib/record';
import { runCase } from '../6/lib/runCase';
import { positionOf, startService } from '../6/lib/servers';
import { startStore } from '../6/lib/store';

/** Zones of kpdna-signage; the primary is the server of the first one. */
const ZONES = ['ernakulam', 'kakkanad', 'aluva'] as const;

const CALM_MS = 5_000;

/** Time from the start of the release until a replica goes deaf, and from then to the crash. */
const DRAIN_FIRST_MS = 500;
const DEAF_MS = 2_000;

const AFTER_MS = 5_000;

interface Write {
  readonly id: string;
  readonly daemon: string;
  readonly answer: Answer;
}

const hasTrouble = process.env.TROUBLE !== '0';
const record = startRecord(path.join(process.argv[2] ?? '.', 'record.txt'));
const writes: Write[] = [];
let isStopping = false;

/** A consumer that writes again and again. */
async function runConsumer({ daemon }: Machine, name: string): Promise<void> {
  let session: Session | undefined;
  for (let count = 0; !isStopping; count += 1) {
    await pause(100);
    if (!session?.isOpen())
      session = await openSession(daemon.frontPort, DATABASES.primary, record.now);
    if (!session) continue;
    const id = `${name}.${count}`;
    const answer = await session.query(id, `WRITE slot ${id}`, 4_000);
    writes.push({ id, daemon: daemon.name, answer });
    record.note(`${daemon.name}: ${id} WRITE slot ${id}: ${answer.outcome}`);
  }
  session?.close();
}

async function main(): Promise<number> {
  const store = startStore();
  const service = await startService(store, {
    name: SERVICE,
    zones: ZONES,
    syncReplicas: 1,
    isFenced: true,
    promoteMs: 1_000,
    lagMs: 60,
    slots: 3,
    beatMs: 1_200,
    now: record.now,
    note: record.note,
  });
  const [primary, staying, leaving] = service.servers;
  if (!primary || !staying || !leaving) return 2;
  store.put('op/config', createManifest(7, 1));
  const fleet = await startFleet({
    store,
    service,
    zones: ZONES,
    isFenced: true,
    hasLinks: false,
    promote: (order) => {
      record.note(
        `platform: order of ${order.holder}: ${order.id}, token ${order.token}; logs received: ${service.servers.map(({ id, log, isUp }) => `${id} ${isUp ? positionOf(log) : 'down'}`).join(', ')}`,
      );
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
      record.note(`release: ${leaving.id} reports draining`);
      service.drain(leaving);
      await pause(DRAIN_FIRST_MS);
      record.note(`replica_lag: ${staying.id} receives nothing`);
      staying.isDeaf = true;
      await pause(DEAF_MS);
      record.note(`replica_lag: ${primary.id} crashes; its log ends at ${positionOf(primary.log)}`);
      service.crash(primary);
    }
    await pause(AFTER_MS);
    isStopping = true;
    await Promise.all(consumers);
    return judge();
  } finally {
    await fleet.close();
    service.close();
    store.close();
  }

  /** LOST: an acknowledged commit is not in the log of the server that is promoted. */
  function judge(): number {
    const acknowledged = writes.filter(({ answer }) => answer.outcome === 'COMPLETE');
    const [promotion] = service.promotions;
    const kept = new Set(promotion?.log.flatMap(({ ids }) => ids));
    const lost = promotion
      ? acknowledged.filter(({ id, answer }) => answer.answeredMs < promotion.atMs && !kept.has(id))
      : [];
    for (const { id, daemon, answer } of lost)
      record.note(
        `LOST: ${id} of ${daemon}, acknowledged at ${answer.answeredMs.toFixed(1)}, is not in the log of ${promotion?.server.id ?? ''}`,
      );
    const result = `${acknowledged.length} writes acknowledged, ${service.promotions.length} promotions, ${lost.length} acknowledged writes not in the log of the promoted server`;
    record.note(result);
    process.stdout.write(`${result}\n`);
    if (acknowledged.length < 50) return 2;
    return lost.length > 0 ? 1 : 0;
  }
}

runCase(record, main);

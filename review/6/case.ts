import path from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { openSession } from './lib/consumer';
import type { Answer, Session } from './lib/consumer';
import { splitNetwork, startFleet } from './lib/fleet';
import type { Machine } from './lib/fleet';
import { createManifest, DATABASES, SERVICE } from './lib/manifest';
import { startRecord } from './lib/record';
import { runCase } from './lib/runCase';
import { containsCommit, startService } from './lib/servers';
import type { Commit } from './lib/servers';
import { startStore } from './lib/store';

/** Zones of abay-smt, with its eight daemons and one server in each zone. */
const ZONES = ['bole', 'bole', 'bole', 'akaki', 'akaki', 'akaki', 'kality', 'kality'] as const;

/** The primary is the server of the first zone; the store is in the zone of the second side. */
const SERVER_ZONES = ['bole', 'akaki', 'kality'] as const;
const SECOND_SIDE = 'akaki';

const CALM_MS = 14_000;

/** The store is silent for this time, and all leases run out meanwhile. */
const DOWN_MS = 4_500;

/** Pause from the end of the outage to the split. */
const PAUSE_MS = 50;

const CUT_MS = 7_000;
const AFTER_MS = 3_000;

/** A read of the one item, or a write to it, as its consumer saw it. */
interface Statement {
  readonly kind: 'read' | 'write';
  readonly id: string;
  readonly daemon: string;
  readonly answer: Answer;
}

const hasTrouble = process.env.TROUBLE !== '0';
const record = startRecord(path.join(process.argv[2] ?? '.', 'record.txt'));
const statements: Statement[] = [];
let isStopping = false;

/** A consumer that reads or writes the item of the primary route again and again. */
async function runConsumer(machine: Machine, kind: Statement['kind'], name: string): Promise<void> {
  let session: Session | undefined;
  for (let count = 0; !isStopping; count += 1) {
    await pause(kind === 'read' ? 40 : 60);
    if (!session?.isOpen())
      session = await openSession(machine.daemon.frontPort, DATABASES.primary, record.now);
    if (!session) continue;
    const id = `${name}.${count}`;
    const text = kind === 'read' ? 'READ stock' : `WRITE stock ${id}`;
    const answer = await session.query(id, text, 4_000);
    statements.push({ kind, id, daemon: machine.daemon.name, answer });
    record.note(
      `${machine.daemon.name}: ${id} ${text}, sent at ${answer.sentMs.toFixed(1)}: ${answer.outcome} ${answer.rows.join(' ')}`,
    );
  }
  session?.close();
}

async function main(): Promise<number> {
  const store = startStore();
  const service = await startService(store, {
    name: SERVICE,
    zones: SERVER_ZONES,
    syncReplicas: 0,
    isFenced: false,
    promoteMs: 1_000,
    lagMs: 8,
    slots: 5,
    beatMs: 1_200,
    now: record.now,
    note: record.note,
  });
  store.put('op/config', createManifest(7, 0));
  const fleet = await startFleet({
    store,
    service,
    zones: ZONES,
    isFenced: false,
    hasLinks: true,
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
    record.note('all daemons are ready');
    const consumers = fleet.machines.flatMap((machine, at) => [
      runConsumer(machine, 'read', `r${at}`),
      runConsumer(machine, 'write', `w${at}`),
    ]);
    await pause(CALM_MS);
    const isFirstSide = (zone: string): boolean => zone !== SECOND_SIDE;
    if (hasTrouble) {
      record.note('platform_down, silent lapse');
      for (const { storeDoor } of fleet.machines) storeDoor.setCut(true);
      service.setStoreReach(() => false);
      store.lapse();
      await pause(DOWN_MS);
      record.note('the store is back');
      for (const { storeDoor } of fleet.machines) storeDoor.setCut(false);
      service.setStoreReach(() => true);
      await pause(PAUSE_MS);
      record.note(`the zone ${SECOND_SIDE} and the store lose the other zones`);
      splitNetwork(fleet, service, isFirstSide, true);
    }
    await pause(CUT_MS);
    isStopping = true;
    await Promise.all(consumers);
    if (hasTrouble) {
      splitNetwork(fleet, service, isFirstSide, false);
      record.note('the zones reach each other again');
    }
    await pause(AFTER_MS);
    const ended = fleet.machines.filter(({ daemon }) => daemon.ended() !== undefined);
    for (const { daemon } of ended) record.note(`${daemon.name} ended: ${daemon.ended() ?? ''}`);
    return judge();
  } finally {
    await fleet.close();
    service.close();
    store.close();
  }

  /** STALE: a read on a primary route whose log lacks a commit that was acknowledged before it. */
  function judge(): number {
    const commitOf = new Map<string, Commit>();
    for (const server of service.servers)
      for (const commit of server.log) for (const id of commit.ids) commitOf.set(id, commit);
    const lastLog = service.promotions.at(-1)?.server.log ?? service.servers[0]?.log ?? [];
    const written = statements.flatMap(({ kind, id, daemon, answer }) => {
      const commit = commitOf.get(id);
      // Commits that a promotion has rolled back don't count.
      const counts = kind === 'write' && answer.outcome === 'COMPLETE' && commit;
      return counts && lastLog.includes(commit) ? [{ id, daemon, commit, answer }] : [];
    });
    let reads = 0;
    let stale = 0;
    for (const { kind, id, daemon, answer } of statements) {
      if (kind !== 'read' || answer.outcome !== 'COMPLETE') continue;
      reads += 1;
      const run = service.runs.find(({ digest }) => digest === answer.digest);
      const missed = written.findLast(({ answer: { answeredMs } }) => answeredMs < answer.sentMs);
      if (!run || !missed || containsCommit(run.log, missed.commit)) continue;
      stale += 1;
      if (stale <= 5)
        record.note(
          `STALE: ${id} of ${daemon}, sent at ${answer.sentMs.toFixed(1)}, ran at ${run.server}, whose log lacks ${missed.id} of ${missed.daemon}, acknowledged at ${missed.answer.answeredMs.toFixed(1)}`,
        );
    }
    const promotion = service.promotions[0];
    const late = statements.filter(({ kind, answer }) => {
      if (kind !== 'write' || answer.outcome !== 'COMPLETE' || !promotion) return false;
      const run = service.runs.find(({ digest }) => digest === answer.digest);
      return run !== undefined && run.atMs > promotion.atMs && run.server !== promotion.server.id;
    });
    const result = `${reads} reads answered, ${stale} of them stale; ${written.length} writes acknowledged that stand; ${service.promotions.length} promotions; ${late.length} writes acknowledged by the old primary after it`;
    record.note(result);
    process.stdout.write(`${result}\n`);
    if (reads < 100 || written.length < 20) return 2;
    return stale > 0 ? 1 : 0;
  }
}

runCase(record, main);

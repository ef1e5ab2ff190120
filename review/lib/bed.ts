import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { Daemon } from './daemons';
import type { Answer } from './consumer';
import { DbGroup } from './group';
import type { GroupOptions } from './group';
import { Links } from './links';
import { Platform } from './store';
import { sleep } from './wire';

/** False with TROUBLE=0: the case runs without its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** A route of the manifest. */
export interface RouteOptions {
  readonly Name: string;
  readonly Host: string;
  readonly RouteType: 'primary' | 'bounded_staleness' | 'read_your_writes';
  readonly TimeoutMs?: number;
  readonly TargetLatencyMs?: number;
  readonly MaxStalenessMs?: number;
}

/** The small deployment of SYSTEM.md, as far as a case needs it. */
export interface BedOptions {
  readonly daemons: number;
  readonly routes: readonly RouteOptions[];
  readonly group?: Partial<GroupOptions>;
  readonly isFenced?: boolean;
  /** Whether the case cuts links: relays stand in front of servers and daemons then. */
  readonly hasLinks?: boolean;
}

const SERVICE = 'content-core-1';

/** Longest time of a case. */
const TIME_LIMIT_MS = 110_000;

/** A test bed: the platform, one service, and daemons as separate processes. */
export class Bed {
  readonly daemons: Daemon[] = [];
  readonly folder = mkdtempSync(path.join(tmpdir(), 'rosedeck-review-'));
  private readonly lines: string[] = [];
  private readonly startedAt = performance.now();
  private version = 3;

  private constructor(
    readonly group: DbGroup,
    readonly platform: Platform,
    readonly links: Links | undefined,
  ) {}

  static async start(options: BedOptions): Promise<Bed> {
    const platform = new Platform();
    const links = options.hasLinks === true ? new Links() : undefined;
    const groupOptions = {
      name: SERVICE,
      zones: ['ernakulam-hall', 'kakkanad-hall', 'aluva-hall'],
      slots: 3,
      maxConns: 21,
      workMs: 8,
      lagMs: 60,
      promoteMs: 1_000,
      beatMs: 1_200,
      ...options.group,
    };
    const group = new DbGroup(platform, groupOptions, links);
    const bed = new Bed(group, platform, links);
    bed.guard();
    platform.isFenced = options.isFenced ?? true;
    platform.promote = (service, id) => service === SERVICE && group.promote(id);
    bed.writeManifest(options.routes);
    await group.start();
    const relayPorts = new Map<string, number>();
    platform.translate = (key, value) => {
      const port = relayPorts.get(key);
      if (port === undefined) return value;
      const entry = JSON.parse(Buffer.from(value, 'base64').toString()) as object;
      return Buffer.from(JSON.stringify({ ...entry, port })).toString('base64');
    };
    const cloudPort = await platform.openCloud();
    for (let index = 0; index < options.daemons; index += 1) {
      const storePort = await platform.openStore(`front-${index}`);
      const { folder } = bed;
      const daemon = await Daemon.create({
        folder,
        index,
        storePort,
        cloudPort,
        isFenced: options.isFenced,
      });
      daemon.start();
      bed.daemons.push(daemon);
      const { name, inner } = daemon;
      const port = await links?.addDaemon({ name, inner, pid: () => daemon.pid });
      if (port !== undefined) relayPorts.set(`rosedeck/daemons/${name}`, port);
    }
    for (const daemon of bed.daemons)
      if (!(await daemon.untilReady())) {
        bed.note(`${daemon.name} is not ready`);
        await bed.finish(2);
      }
    bed.note(`${options.daemons} daemons are ready`);
    return bed;
  }

  writeManifest(routes: readonly RouteOptions[], limits: object = { TxIdleMs: 3_000 }): void {
    this.version += 2;
    this.platform.put('op/config', {
      Version: this.version,
      Routes: routes.map((route) => ({
        Service: SERVICE,
        TimeoutMs: 1_000,
        TargetLatencyMs: 200,
        Priority: 1,
        ...route,
      })),
      Services: [{ Name: SERVICE, MaxConns: this.group.options.maxConns, SyncReplicas: 0 }],
      Limits: limits,
    });
  }

  /** Adds what was sent and answered to record.txt. */
  noteAnswer(who: string, { id, text, sentAt, at, kind, rows, detail }: Answer): void {
    const took = (at - sentAt).toFixed(0);
    const shown = JSON.stringify(text);
    this.note(`${who} sent ${id} ${shown}: ${kind} [${rows.join(' | ')}] ${detail} (${took} ms)`);
  }

  /** Adds answers and runs in short lines, for cases with thousands of them. */
  noteAll(answers: readonly Answer[]): void {
    const since = (at: number): string => (at - this.startedAt).toFixed(0);
    this.lines.push('sent (ms): id "text", answer, rows, digest or error, answered (ms)');
    for (const { id, text, kind, rows, detail, sentAt, at } of answers)
      this.lines.push(
        `${since(sentAt)}: ${id} "${text}" ${kind} [${rows.join()}] ${detail} ${since(at)}`,
      );
    this.lines.push('run (ms): server, id "text", digest');
    for (const { at, server, id, text, digest } of this.group.runs)
      this.lines.push(`${since(at)}: ${server} ${id} "${text}" ${digest}`);
  }

  /** Adds what the servers have run to record.txt. */
  noteRuns(): void {
    for (const { server, id, text, digest, row } of this.group.runs)
      this.note(`${server} ran ${id} ${JSON.stringify(text)}: [${row ?? ''}] ${digest}`);
  }

  /** Adds a line to record.txt. */
  note(text: string): void {
    const at = ((performance.now() - this.startedAt) / 1_000).toFixed(3);
    this.lines.push(`${at.padStart(8)} s  ${text}`);
    if (process.env.SHOW === '1') console.log(this.lines.at(-1));
  }

  /** A fault of the script itself, a signal or the time limit ends the case without a result. */
  private guard(): void {
    const giveUp = (cause: string): void => {
      this.note(cause);
      void this.finish(2);
    };
    process.on('uncaughtException', (error) => {
      giveUp(error.stack ?? error.message);
    });
    process.on('unhandledRejection', (reason) => {
      giveUp(String(reason));
    });
    for (const signal of ['SIGINT', 'SIGTERM'] as const)
      process.on(signal, () => {
        giveUp(signal);
      });
    process.on('exit', () => {
      for (const daemon of this.daemons) daemon.kill();
    });
    setTimeout(() => {
      giveUp('the time limit is reached');
    }, TIME_LIMIT_MS).unref();
  }

  /** Ends all processes, writes record.txt and exits: 0 held, 1 broken, 2 could not run. */
  async finish(status: 0 | 1 | 2): Promise<never> {
    for (const daemon of this.daemons) daemon.kill();
    this.group.close();
    this.platform.close();
    this.links?.close();
    await sleep(200);
    this.note(['the rule held', 'THE RULE WAS BROKEN', 'the case could not run'][status] ?? '');
    const target = process.env.RECORD;
    if (target !== undefined) writeFileSync(target, `${this.lines.join('\n')}\n`);
    if (process.env.KEEP !== '1') rmSync(this.folder, { recursive: true, force: true });
    else console.log(this.folder);
    return process.exit(status);
  }
}

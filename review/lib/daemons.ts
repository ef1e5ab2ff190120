import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import dgram from 'node:dgram';
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import path from 'node:path';
import { sleep } from './wire';

const HOST = '127.0.0.1';
const ZONES = ['ernakulam-hall', 'kakkanad-hall', 'aluva-hall'];

/** The command of the deploy file. */
function deployCommand(): string[] {
  const text = readFileSync('deploy/system.toml', 'utf8');
  return (/^run = "(.*)"$/m.exec(text)?.[1] ?? '').split(' ');
}

/** Below the ports that the system gives to outgoing connections, which could take one meanwhile. */
const PORTS = { first: 20_000, count: 12_000 } as const;
let nextPort = Math.floor(Math.random() * PORTS.count);

function isTcpFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, HOST, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}

/** A port that is free for TCP and UDP and has not been given out before. */
async function freePort(): Promise<number> {
  for (;;) {
    const port = PORTS.first + (nextPort % PORTS.count);
    nextPort += 1;
    if ((await isTcpFree(port)) && (await isUdpFree(port))) return port;
  }
}

function isUdpFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = dgram.createSocket('udp4');
    socket.once('error', () => {
      socket.close();
      resolve(false);
    });
    socket.bind(port, HOST, () => {
      socket.close();
      resolve(true);
    });
  });
}

/** Bounds as the site file of a small deployment has them. */
export interface DaemonOptions {
  readonly folder: string;
  readonly index: number;
  readonly storePort: number;
  readonly cloudPort: number;
  readonly isFenced?: boolean;
}

/** One daemon, started as the platform starts it. */
export class Daemon {
  /** How often the process ended by itself, with the exit code or signal. */
  readonly ends: { readonly at: number; readonly how: string }[] = [];
  restartMs?: number;
  front = 0;
  ready = 0;
  /** First inner port. */
  inner = 0;
  private child?: ChildProcess;
  private isWanted = false;

  private constructor(
    readonly name: string,
    readonly file: string,
    private readonly log: string,
  ) {}

  static async create(options: DaemonOptions): Promise<Daemon> {
    const zone = ZONES[options.index % ZONES.length] ?? '';
    const name = `front-${zone}-${options.index}`;
    const daemon = new Daemon(
      name,
      path.join(options.folder, `${name}.json`),
      path.join(options.folder, `${name}.log`),
    );
    daemon.front = await freePort();
    daemon.ready = await freePort();
    const [inner = 0, pool = 0] = [await freePort(), await freePort()].sort((x, y) => x - y);
    daemon.inner = inner;
    const settings = {
      NodeName: name,
      Role: 'daemon',
      MachineClass: 'front',
      Serves: ['front'],
      Ip: HOST,
      Zone: zone,
      Region: 'kochi',
      Zones: Object.fromEntries(ZONES.map((one) => [one, 'kochi'])),
      Listen: { Front: `${HOST}:${daemon.front}`, Ready: `${HOST}:${daemon.ready}` },
      PortRange: [inner, pool],
      Seeds: [],
      FirstStart: true,
      LossCounts: false,
      Limits: {
        CpuShare: 0.675,
        Cores: 1,
        MemoryMb: 350,
        MaxFds: 4200,
        LinkMbps: 1000,
        DiskMb: 0,
      },
      DataDir: null,
      Discovery: 'platform',
      Entry: 'vip',
      HeartbeatMs: 1200,
      Contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sql', 'platform'],
      FaultTolerance: { Machines: 1, Zones: 0, Regions: 0 },
      Bounds: {
        SeedLagS: 3,
        AddrReuseS: 2,
        StableWindowMs: 4000,
        AckMs: 5000,
        CatchUpS: 4,
        DrainMs: 7000,
        GraceS: 6,
        LossSlackMs: 200,
        ConfigApplyMs: 3000,
        RollbackSlackMs: 250,
        OuterMs: 12000,
        RecoveryS: 12,
        FencingRequired: options.isFenced ?? true,
        ThawMs: 300,
      },
      platform: {
        Address: `${HOST}:${options.storePort}`,
        form: 'kv',
        WritesPerS: 400,
        ReadsPerS: 2000,
        HistoryS: 20,
        MaxValueBytes: 1048576,
        MinTtlMs: 1000,
      },
      Cloud: {
        Address: `${HOST}:${options.cloudPort}`,
        RatePerS: 50,
        Duties: ['promotion'],
        DutyPerS: 50,
      },
    };
    writeFileSync(daemon.file, JSON.stringify(settings));
    return daemon;
  }

  get pid(): number | undefined {
    return this.child?.pid;
  }

  start(): void {
    const [program, ...args] = deployCommand();
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program === 'node' ? process.execPath : (program ?? ''), args, {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { PATH, HOME, LANG, ROSEDECK_NODE_FILE: this.file },
    });
    const log = createWriteStream(this.log, { flags: 'a' });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    this.child = child;
    this.isWanted = true;
    child.once('exit', (code, signal) => {
      if (this.child !== child || !this.isWanted) return;
      this.ends.push({ at: performance.now(), how: signal ?? `exit ${code ?? '?'}` });
      this.child = undefined;
      if (this.restartMs !== undefined)
        setTimeout(() => {
          if (this.isWanted) this.start();
        }, this.restartMs);
    });
  }

  signal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Sends SIGTERM; resolves with the time until the process has ended. */
  terminate(): Promise<number> {
    const sentAt = performance.now();
    this.isWanted = false;
    return new Promise((resolve) => {
      this.child?.once('exit', () => {
        resolve(performance.now() - sentAt);
      });
      this.child?.kill('SIGTERM');
    });
  }

  /** Ends the process at once. */
  kill(): void {
    this.isWanted = false;
    this.child?.kill('SIGKILL');
  }

  /** Resident memory in MB, or 0. */
  memoryMb(): number {
    try {
      const text = readFileSync(`/proc/${this.pid ?? 0}/status`, 'utf8');
      return Number(/VmRSS:\s+(\d+)/.exec(text)?.[1] ?? 0) / 1024;
    } catch {
      return 0;
    }
  }

  logText(): string {
    try {
      return readFileSync(this.log, 'utf8');
    } catch {
      return '';
    }
  }

  /** Asks the readiness check once. */
  async isReady(): Promise<boolean> {
    try {
      const reply = await fetch(`http://${HOST}:${this.ready}/rosedeck/readiness`, {
        signal: AbortSignal.timeout(1_000),
      });
      return reply.status === 200;
    } catch {
      return false;
    }
  }

  async untilReady(limitMs = 15_000): Promise<boolean> {
    const endsAt = performance.now() + limitMs;
    while (performance.now() < endsAt) {
      if (await this.isReady()) return true;
      await sleep(100);
    }
    return false;
  }
}

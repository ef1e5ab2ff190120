import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import net from 'node:net';

const READY_TIMEOUT_MS = 20_000;

/** Child processes that are stopped together. */
export interface ProcessGroup {
  /** Starts a Node.js program and waits until it prints `ready`. */
  start: (args: readonly string[]) => Promise<ChildProcess>;
  /** Kills all processes that were started. */
  stop: () => Promise<void>;
}

/** Creates a process group without processes. */
export function createProcessGroup(): ProcessGroup {
  const children: ChildProcess[] = [];
  return {
    start: (args) => {
      const child = spawn(process.execPath, [...args], { stdio: ['ignore', 'pipe', 'inherit'] });
      children.push(child);
      return waitUntilReady(child, args);
    },
    stop: async () => {
      await Promise.all(children.map(killChild));
    },
  };
}

function waitUntilReady(child: ChildProcess, args: readonly string[]): Promise<ChildProcess> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => {
      reject(new Error(`process was not ready in time: ${args.join(' ')}`));
    }, READY_TIMEOUT_MS);
    child.stdout?.on('data', (chunk: Buffer) => {
      if (!chunk.toString().includes('ready')) return;
      clearTimeout(timer);
      resolve(child);
    });
    child.once('exit', (code) => {
      clearTimeout(timer);
      reject(
        new Error(
          `process exited with ${code ?? 'a signal'} before it was ready: ${args.join(' ')}`,
        ),
      );
    });
  });
}

/** Sends SIGKILL to a child process and waits for its exit. */
export function killChild(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return Promise.resolve();
  return new Promise((resolve) => {
    child.once('exit', () => {
      resolve();
    });
    child.kill('SIGKILL');
  });
}

/** Finds free TCP ports on the loopback interface; they are not reserved. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({ length: count }, listenOnFreePort));
  const ports = servers.map((server) => (server.address() as net.AddressInfo).port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

function listenOnFreePort(): Promise<net.Server> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.listen(0, '127.0.0.1', () => {
      resolve(server);
    });
  });
}

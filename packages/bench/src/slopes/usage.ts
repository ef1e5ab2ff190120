import { readFile, readdir } from 'node:fs/promises';
import type { Millis } from '@rosedeck/shared';

/** CPU time and I/O of a process since its start, and its resident memory now. */
export interface Usage {
  readonly cpuMs: Millis;
  readonly residentMb: number;
  /** Bytes read and written by system calls; almost all are socket I/O, without packet headers. */
  readonly ioBytes: number;
  readonly at: Millis;
}

/** CPU time and I/O of a process per second, and its resident memory at the end. */
export interface UsageRate {
  readonly cpuMsPerS: number;
  readonly residentMb: number;
  readonly ioBytesPerS: number;
}

const NANOS_PER_MILLI = 1_000_000;

/** Reads the usage of a process from the proc file system. */
export async function readUsage(pid: number): Promise<Usage> {
  const [cpuMs, status, io] = await Promise.all([
    readCpuMs(pid),
    readFile(`/proc/${pid}/status`, 'utf8'),
    readFile(`/proc/${pid}/io`, 'utf8'),
  ]);
  return {
    cpuMs,
    residentMb: readField(status, 'VmRSS') / 1_024,
    ioBytes: readField(io, 'rchar') + readField(io, 'wchar'),
    at: performance.now(),
  };
}

/** CPU time of all threads. */
async function readCpuMs(pid: number): Promise<Millis> {
  const threads = await readdir(`/proc/${pid}/task`);
  const texts = await Promise.all(
    threads.map((id) => readFile(`/proc/${pid}/task/${id}/schedstat`, 'utf8')),
  );
  const nanos = texts.reduce((sum, text) => sum + Number(text.split(' ')[0]), 0);
  return nanos / NANOS_PER_MILLI;
}

/** Measures the resource use of a process over `forMs`. */
export async function measureUsage(pid: number, forMs: Millis): Promise<UsageRate> {
  const before = await readUsage(pid);
  await new Promise((resolve) => setTimeout(resolve, forMs));
  return computeRate(before, await readUsage(pid));
}

/** Computes the rates between two readings. */
export function computeRate(before: Usage, after: Usage): UsageRate {
  const seconds = (after.at - before.at) / 1_000;
  return {
    cpuMsPerS: (after.cpuMs - before.cpuMs) / seconds,
    residentMb: after.residentMb,
    ioBytesPerS: (after.ioBytes - before.ioBytes) / seconds,
  };
}

function readField(text: string, name: string): number {
  const match = new RegExp(`^${name}:\\s+(\\d+)`, 'm').exec(text);
  return Number(match?.[1] ?? 0);
}

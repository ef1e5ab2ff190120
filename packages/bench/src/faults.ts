import { requestStandin, injectFault } from './cluster';
import type { Cluster, RunningTarget } from './cluster';

/** Ways in which the bench makes a primary fail. */
export const FAILURE_MODES = ['kill', 'cut', 'freeze'] as const;

/** `kill` ends the process, `cut` separates it from its group, `freeze` suspends it. */
export type FailureMode = (typeof FAILURE_MODES)[number];

/** Finds the primary of the latest term in a group; undefined when no target reports this role. */
export async function findPrimary(
  cluster: Cluster,
  group: string,
): Promise<RunningTarget | undefined> {
  let latest: { target: RunningTarget; term: number } | undefined;
  for (const target of cluster.targets) {
    if (target.group !== group) continue;
    const stats = await readStats(target);
    if (stats?.role !== 'primary') continue;
    if (!latest || stats.term > latest.term) latest = { target, term: stats.term };
  }
  return latest?.target;
}

/** Makes a target fail. After `cut`, the daemons still reach it, but its group does not. */
export async function failTarget(
  cluster: Cluster,
  target: RunningTarget,
  mode: FailureMode,
): Promise<void> {
  if (mode === 'kill') target.process.kill('SIGKILL');
  else if (mode === 'freeze') target.process.kill('SIGSTOP');
  else await injectFault(target, { cut: listOtherTargets(cluster, target) });
}

/** Ends a fault; a killed target stays down. */
export async function healTarget(target: RunningTarget, mode: FailureMode): Promise<void> {
  if (mode === 'freeze') target.process.kill('SIGCONT');
  if (mode === 'cut') await injectFault(target, { cut: [] });
}

function listOtherTargets(cluster: Cluster, target: RunningTarget): string[] {
  return cluster.targets
    .filter((other) => other.group === target.group && other.id !== target.id)
    .map((other) => other.id);
}

async function readStats(
  target: RunningTarget,
): Promise<{ role: string; term: number } | undefined> {
  try {
    return (await requestStandin(target.controlPort, '/stats')) as { role: string; term: number };
  } catch {
    return undefined;
  }
}

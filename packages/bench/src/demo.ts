import { Command, Option, runExit } from 'clipanion';
import { hasNoViolations, runExperiment } from './experiment';
import { failTarget, findPrimary } from './faults';
import type { Cluster } from './cluster';
import type { LoadProgress } from './load/plan';
import { formatResult } from './report';
import { PROFILE_NAMES, readProfile } from './topology';

const DURATION_MS = 20_000;
const EXIT_VIOLATION = 1;

/** Runs a deployment with its usual traffic and kills a primary halfway through. */
class DemoCommand extends Command {
  static override usage = Command.Usage({
    description: 'Start a deployment, run its traffic, kill a primary, check all guarantees.',
    examples: [['The other deployment', 'npm run demo -- --profile baharat']],
  });

  profile = Option.String('--profile', 'authority', {
    description: `deployment: ${PROFILE_NAMES.join(' or ')}`,
  });

  seed = Option.String('--seed', '1', { description: 'seed of the traffic' });

  async execute(): Promise<number> {
    const { stdout } = this.context;
    const print = (text: string): void => {
      stdout.write(`${text}\n`);
    };
    const profile = readProfile(this.profile);
    const [group = ''] = Object.keys(profile.groups);
    print(`starting ${profile.name}: ${profile.daemons} daemons, seed ${this.seed}`);
    const result = await runExperiment({
      profile,
      seed: Number(this.seed),
      durationMs: DURATION_MS,
      traffic: profile.traffic,
      injectFaults: (cluster) => killPrimaryHalfway(cluster, group, print),
      onProgress: (progress) => {
        print(formatProgress(progress));
      },
    });
    print(`\n${formatResult(result)}\n`);
    const hasPassed = hasNoViolations(result.load.violations);
    print(hasPassed ? 'every promise held' : 'a promise was broken');
    return hasPassed ? 0 : EXIT_VIOLATION;
  }
}

async function killPrimaryHalfway(
  cluster: Cluster,
  group: string,
  print: (text: string) => void,
): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, DURATION_MS / 2));
  const primary = await findPrimary(cluster, group);
  if (!primary) throw new Error(`no primary found in ${group}`);
  print(`killing ${primary.id}, the primary of ${group}`);
  await failTarget(cluster, primary, 'kill');
}

function formatProgress(progress: LoadProgress): string {
  const seconds = (progress.atMs / 1_000).toFixed(0).padStart(3);
  const { sent, acknowledged, refused, unknown } = progress;
  return `${seconds} s: ${sent} sent, ${acknowledged} acknowledged, ${refused} refused, ${unknown} unknown`;
}

await runExit(DemoCommand);

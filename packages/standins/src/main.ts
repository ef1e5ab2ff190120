import { startList } from './listServer';
import { startStore } from './storeServer';
import { startTarget } from './targetServer';
import type { TargetOptions } from './targetServer';
import type { ListedInstance, ListedTarget } from '@rosedeck/core';

/** Options of a stand-in process; its first argument holds them as JSON. */
export type StandinOptions =
  | { readonly role: 'store'; readonly port: number }
  | {
      readonly role: 'list';
      readonly port: number;
      readonly lagMs: number;
      readonly instances: readonly ListedInstance[];
      readonly targets: readonly ListedTarget[];
    }
  | { readonly role: 'targets'; readonly targets: readonly TargetOptions[] };

async function start(options: StandinOptions): Promise<void> {
  if (options.role === 'store') await startStore(options.port);
  else if (options.role === 'list') {
    await startList(options.port, options.lagMs, options.instances, options.targets);
  } else await Promise.all(options.targets.map(startTarget));
  process.stdout.write('ready\n');
}

await start(JSON.parse(process.argv[2] ?? '{}') as StandinOptions);

import {
  applyConfigAnswer,
  applyConfigPush,
  applyEntries,
  applyStoreFailure,
  applyStoreSnapshot,
  applyWatch,
  applyConfigPoll,
} from './configuration';
import type { ConfigEvent } from './events';
import { recordLogEvent } from './world';
import type { World } from './world';

/** Applies an event of the configuration to the tables. */
export function applyConfigEvent(world: World, event: ConfigEvent): void {
  switch (event.type) {
    case 'config_started':
      world.config.enabled = true;
      world.config.startedAt = world.clock.now();
      world.config.reportedStale = true;
      return;
    case 'config_loaded':
      applyStoreSnapshot(world, event.snapshot);
      return;
    case 'config_load_failed':
      applyStoreFailure(world);
      return;
    case 'config_watched':
      applyWatch(world, event.revision, event.result);
      return;
    case 'config_answered':
      applyConfigAnswer(world, event.peer, event.answer);
      return;
    case 'config_asked':
      applyConfigPoll(world, event.ask);
      return;
    case 'config_pushed':
      applyConfigPush(world, event.push);
      return;
    case 'config_entry':
      applyEntries(world, [event.entry]);
      return;
    case 'config_rejected':
      if (event.revision !== world.config.revision) return;
      world.config.rejected = true;
      recordLogEvent(world, { type: 'config_rejected', revision: event.revision });
  }
}

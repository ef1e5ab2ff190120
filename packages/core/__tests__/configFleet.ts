import { createManualClock } from '@rosedeck/shared';
import type { ManualClock, Millis } from '@rosedeck/shared';
import { DEFAULT_CORE_SETTINGS, createCore, createConfigAnswer, isConfigStale } from '../src/index';
import type { Command, ConfigEntry, ConfigSnapshot, Core, CoreSettings } from '../src/index';

const STEP_MS = 10;
const PEER_TIMEOUT_MS = 400;

/** State of the store that the daemons of a fleet share. */
export interface FakeStore {
  readonly entries: Map<number, ConfigEntry>;
  snapshot?: ConfigSnapshot;
  down: boolean;
}

/** Time after which the daemons of a fleet may vote. */
export const SETTLE_MS = 6_000;

/** Daemon cores that share a store and a clock, with links that can be cut. */
export interface Fleet {
  readonly clock: ManualClock;
  readonly store: FakeStore;
  /** Cut links as `a/b`, where each end is a daemon or `store`; either order cuts both ways. */
  readonly cut: Set<string>;
  readonly calls: { store: number; peer: number };
  /** Revisions that each daemon put in force, in order. */
  readonly applied: Map<string, number[]>;
  coreOf: (id: string) => Core;
  revisionOf: (id: string) => number;
  isStale: (id: string) => boolean;
  /** Starts a daemon with an empty configuration. */
  start: (id: string) => void;
  stop: (id: string) => void;
  /** Cuts the link between each of `one` and each of `others`. */
  cutLinks: (one: readonly string[], others: readonly string[]) => void;
  run: (ms: Millis) => void;
  push: (from: string, to: string, entry: ConfigEntry) => boolean;
}

/** An entry that sets `x` to its revision. */
export function entryOf(revision: number, id = `c${revision}`): ConfigEntry {
  return { revision, id, who: 'op', at: '', patch: { x: revision } };
}

/** Creates a fleet of daemons `d1` to `dN`, all started. */
export function createFleet(count: number, settings: Partial<CoreSettings> = {}): Fleet {
  const clock = createManualClock(1_000);
  const store: FakeStore = { entries: new Map(), down: false };
  const cut = new Set<string>();
  const calls = { store: 0, peer: 0 };
  const ids = Array.from({ length: count }, (_, index) => `d${index + 1}`);
  const cores = new Map<string, Core>();
  const applied = new Map<string, number[]>();
  let pending: { at: Millis; daemon: string; run: () => boolean }[] = [];
  let seed = 7;
  const random = (): number => {
    seed = (seed * 48_271) % 2_147_483_647;
    return seed / 2_147_483_647;
  };

  const canReach = (a: string, b: string): boolean =>
    !cut.has(`${a}/${b}`) && !cut.has(`${b}/${a}`);
  const isStoreReachable = (id: string): boolean => !store.down && canReach(id, 'store');

  /** Runs `act` at each step until it returns true or `daemon` stops. */
  const runUntilDone = (daemon: string, act: () => boolean): void => {
    pending.push({ at: clock.now() + STEP_MS, daemon, run: act });
  };

  const watch = (id: string, core: Core, revision: number, waitMs: Millis): void => {
    calls.store += 1;
    const endsAt = clock.now() + waitMs;
    runUntilDone(id, () => {
      const entry = store.entries.get(revision);
      const hasEnded = clock.now() >= endsAt;
      if (!isStoreReachable(id))
        core.post({ type: 'config_watched', revision, result: { kind: 'failed' } });
      else if (entry)
        core.post({ type: 'config_watched', revision, result: { kind: 'entry', entry } });
      else if (hasEnded) core.post({ type: 'config_watched', revision, result: { kind: 'none' } });
      return !isStoreReachable(id) || entry !== undefined || hasEnded;
    });
  };

  const pollPeer = (id: string, core: Core, peer: string): void => {
    calls.peer += 1;
    const other = cores.get(peer);
    const { revision } = core.world.config;
    const leaving = core.world.draining;
    const failsAt = clock.now() + PEER_TIMEOUT_MS;
    runUntilDone(id, () => {
      if (other && canReach(id, peer)) {
        other.post({ type: 'config_asked', ask: { from: id, revision, leaving } });
        const answer = createConfigAnswer(other.world, revision);
        core.post({ type: 'config_answered', peer, answer });
        return true;
      }
      if (clock.now() < failsAt) return false;
      core.post({ type: 'config_answered', peer });
      return true;
    });
  };

  const perform = (id: string, core: Core, command: Command): void => {
    if (command.type === 'config_watch') watch(id, core, command.revision, command.waitMs);
    else if (command.type === 'config_ask') pollPeer(id, core, command.to);
    else if (command.type === 'config_apply') applied.get(id)?.push(command.revision);
    else if (command.type === 'config_load') {
      calls.store += 1;
      runUntilDone(id, () => {
        if (isStoreReachable(id)) core.post({ type: 'config_loaded', snapshot: store.snapshot });
        else core.post({ type: 'config_load_failed' });
        return true;
      });
    }
  };

  const step = (): void => {
    clock.advance(STEP_MS);
    const due = pending.filter((one) => one.at <= clock.now() && cores.has(one.daemon));
    pending = pending.filter((one) => !due.includes(one));
    for (const one of due) if (!one.run()) pending.push({ ...one, at: clock.now() + STEP_MS });
    for (const [id, core] of cores) {
      for (const command of core.tick().commands) perform(id, core, command);
    }
  };

  const start = (id: string): void => {
    const core = createCore({
      self: id,
      failureDomain: 'a',
      clock,
      random,
      settings: { ...DEFAULT_CORE_SETTINGS, ...settings },
    });
    cores.set(id, core);
    applied.set(id, []);
    const instances = ids.map((one, index) => ({
      id: one,
      failureDomain: `fd-${index % 3}`,
      host: '127.0.0.1',
      peerPort: index + 1,
      leaving: false,
    }));
    core.post({ type: 'list', instances, targets: [] });
    core.post({ type: 'config_started' });
  };

  const coreOf = (id: string): Core => {
    const core = cores.get(id);
    if (!core) throw new Error(`${id} is not running`);
    return core;
  };

  for (const id of ids) start(id);
  return {
    clock,
    store,
    cut,
    calls,
    applied,
    coreOf,
    revisionOf: (id) => coreOf(id).world.config.revision,
    isStale: (id) => isConfigStale(coreOf(id).world, clock.now()),
    start,
    stop: (id) => {
      cores.delete(id);
      pending = pending.filter((one) => one.daemon !== id);
    },
    cutLinks: (one, others) => {
      for (const a of one) for (const b of others) cut.add(`${a}/${b}`);
    },
    run: (ms) => {
      for (let passed = 0; passed < ms; passed += STEP_MS) step();
    },
    push: (from, to, entry) => {
      const core = cores.get(to);
      if (!core || !canReach(from, to)) return false;
      core.post({ type: 'config_pushed', push: { from, entry } });
      return core.world.config.revision >= entry.revision;
    },
  };
}

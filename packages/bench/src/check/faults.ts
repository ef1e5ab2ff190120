import type { Millis } from '@rosedeck/shared';
import type { FakeDaemon } from './fakeDaemon';
import type { FakeGroup } from './fakeGroup';
import type { FakeStore } from './fakeStore';
import type { History } from './history';
import type { Network } from './network';
import type { Sim } from './sim';

/** State and actions that faults use. */
export interface FaultContext {
  readonly sim: Sim;
  readonly network: Network;
  readonly group: FakeGroup;
  readonly store: FakeStore;
  readonly history: History;
  readonly daemons: Map<string, FakeDaemon>;
  /** Sends the list to all daemons, to each after a delay of its own. */
  readonly publishList: () => void;
  /** Sends each daemon a list without the other daemons. */
  readonly publishSplitList: () => void;
  /** Kills the next daemon that starts a promotion, and restarts it later. */
  readonly armPromoterKill: (restartMs: Millis) => void;
}

/** Context of one fault, with the processes that it may affect. */
interface FaultScope extends FaultContext {
  readonly primary: string;
  readonly replica: string;
  readonly owner: string;
  readonly entry: string;
  readonly forMs: Millis;
}

type Undo = () => void;
const noUndo: Undo = () => undefined;

const FAULTS = {
  kill_primary: (s: FaultScope) => killTarget(s, s.primary),
  kill_replica: (s: FaultScope) => killTarget(s, s.replica),
  freeze_primary: (s: FaultScope) => s.network.freeze(s.primary),
  freeze_replica: (s: FaultScope) => s.network.freeze(s.replica),
  freeze_owner: (s: FaultScope) => s.network.freeze(s.owner),
  kill_owner: (s: FaultScope) => killDaemon(s, s.owner),
  kill_entry: (s: FaultScope) => killDaemon(s, s.entry),
  kill_promoter: (s: FaultScope) => {
    s.armPromoterKill(s.forMs);
    return killTarget(s, s.primary);
  },
  cut_primary: (s: FaultScope) => s.network.cut(s.primary, others(s, s.primary)),
  cut_replica: (s: FaultScope) => s.network.cut(s.replica, others(s, s.replica)),
  cut_owner_from_targets: (s: FaultScope) => s.network.cut(s.owner, s.group.ids),
  cut_owner_from_primary: (s: FaultScope) => s.network.cut(s.owner, [s.primary]),
  cut_peers: (s: FaultScope) => s.network.cut(s.owner, [s.entry]),
  partition: (s: FaultScope) => partition(s, [s.primary, s.owner]),
  lag_apply: (s: FaultScope) => {
    for (const id of s.group.ids) s.group.getTarget(id).setApplyLag(s.sim.drawBetween(20, 400));
    return () => {
      for (const id of s.group.ids) s.group.getTarget(id).setApplyLag(0);
    };
  },
  lag_receive: (s: FaultScope) => {
    s.group.setReceiveLag(s.replica, s.sim.drawBetween(20, 400));
    return () => {
      s.group.setReceiveLag(s.replica, 0);
    };
  },
  store_down: (s: FaultScope) => setStore(s, 'down'),
  store_slow: (s: FaultScope) => setStore(s, 'slow'),
  store_lossy: (s: FaultScope) => setStore(s, 'lossy'),
  split_list: (s: FaultScope) => {
    s.publishSplitList();
    return s.publishList;
  },
  fence_minority: (s: FaultScope) => {
    const target = s.group.getTarget(s.replica);
    target.adopt(target.report().term + 1, 'stray');
    return noUndo;
  },
  leave_primary: (s: FaultScope) => setLeaving(s, s.primary),
  leave_replica: (s: FaultScope) => setLeaving(s, s.replica),
  late_messages: (s: FaultScope) => {
    s.network.setExtraDelay(0.05, 300);
    return () => {
      s.network.setExtraDelay(0, 0);
    };
  },
} satisfies Record<string, (scope: FaultScope) => Undo>;

/** Kind of a fault. */
export type FaultKind = keyof typeof FAULTS;

/** All kinds of faults, in the order from which seeds draw them. */
export const FAULT_KINDS = Object.keys(FAULTS) as FaultKind[];

/** Fault of a run, with its start and duration. */
export interface Fault {
  readonly kind: FaultKind;
  readonly at: Millis;
  readonly forMs: Millis;
}

/** Faults start between these times. */
const FIRST_FAULT_MS = 600;
const LAST_FAULT_MS = 2_600;
/** Time by which all faults have ended. */
export const HEALED_MS = 4_500;

/** Draws the faults of a run: one, the same kind twice, two close together, or three. */
export function drawFaults(sim: Sim, kinds: readonly FaultKind[] = []): Fault[] {
  const draw = (kind: FaultKind): Fault => ({
    kind,
    at: sim.drawBetween(FIRST_FAULT_MS, LAST_FAULT_MS),
    forMs: sim.drawBetween(50, 1_800),
  });
  if (kinds.length > 0) return kinds.map(draw);
  const shape = sim.random();
  const first = draw(sim.pick(FAULT_KINDS));
  if (shape < 0.35) return [first];
  if (shape < 0.5) return [first, draw(first.kind)];
  const overlapping = { ...draw(sim.pick(FAULT_KINDS)), at: first.at + sim.drawBetween(0, 400) };
  return shape < 0.85 ? [first, overlapping] : [first, overlapping, draw(sim.pick(FAULT_KINDS))];
}

/** Schedules the start and the end of a fault; a leaving target stays so until all faults end. */
export function scheduleFault(ctx: FaultContext, fault: Fault): void {
  const { sim, group } = ctx;
  sim.schedule(fault.at, () => {
    const primary = group.findPrimary() ?? group.ids[0] ?? '';
    const owner = findOwner(ctx);
    const replica = sim.pick(group.ids.filter((id) => id !== primary));
    const entry = sim.pick([...ctx.daemons.keys()].filter((id) => id !== owner));
    const undo = FAULTS[fault.kind]({
      ...ctx,
      primary,
      replica,
      owner,
      entry,
      forMs: fault.forMs,
    });
    const forMs = fault.kind.startsWith('leave') ? Infinity : fault.forMs;
    sim.schedule(Math.min(forMs, HEALED_MS - fault.at), undo);
  });
}

/** Returns the running daemon with the most connections; it is the one that works as owner. */
function findOwner({ daemons, network }: FaultContext): string {
  const up = [...daemons.values()].filter((daemon) => network.find(daemon.id).isUp);
  up.sort((a, b) => b.core().world.connections.size - a.core().world.connections.size);
  return up[0]?.id ?? 'd1';
}

function others({ group }: FaultScope, id: string): string[] {
  return group.ids.filter((other) => other !== id);
}

function killTarget({ network, group, daemons }: FaultScope, id: string): Undo {
  if (!network.find(id).isUp) return noUndo;
  network.kill(id);
  for (const daemon of daemons.values()) daemon.breakConnections(id);
  return () => {
    group.demote(id);
    network.find(id).isUp = true;
  };
}

function killDaemon({ daemons, network, publishList }: FaultScope, id: string): Undo {
  const daemon = daemons.get(id);
  if (!daemon || !network.find(id).isUp) return noUndo;
  daemon.kill();
  publishList();
  return () => {
    daemon.restart();
    publishList();
  };
}

function partition({ network }: FaultScope, side: readonly string[]): Undo {
  const rest = [...network.processes.keys()].filter((id) => !side.includes(id));
  const undo = side.map((id) => network.cut(id, rest));
  return () => {
    for (const heal of undo) heal();
  };
}

function setStore({ store }: FaultScope, mode: 'down' | 'slow' | 'lossy'): Undo {
  store.setMode(mode);
  return () => {
    store.setMode('up');
  };
}

function setLeaving({ history, sim, publishList }: FaultScope, id: string): Undo {
  history.leavingSince.set(id, sim.clock.now());
  publishList();
  return () => {
    history.leavingSince.delete(id);
    publishList();
  };
}

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
  kill_primary: (scope: FaultScope) => killTarget(scope, scope.primary),
  kill_replica: (scope: FaultScope) => killTarget(scope, scope.replica),
  freeze_primary: (scope: FaultScope) => scope.network.freeze(scope.primary),
  freeze_replica: (scope: FaultScope) => scope.network.freeze(scope.replica),
  freeze_owner: (scope: FaultScope) => scope.network.freeze(scope.owner),
  kill_owner: (scope: FaultScope) => killDaemon(scope, scope.owner),
  kill_entry: (scope: FaultScope) => killDaemon(scope, scope.entry),
  kill_promoter: (scope: FaultScope) => {
    scope.armPromoterKill(scope.forMs);
    return killTarget(scope, scope.primary);
  },
  cut_primary: (scope: FaultScope) =>
    scope.network.cut(scope.primary, listOtherTargets(scope, scope.primary)),
  cut_replica: (scope: FaultScope) =>
    scope.network.cut(scope.replica, listOtherTargets(scope, scope.replica)),
  cut_owner_from_targets: (scope: FaultScope) => scope.network.cut(scope.owner, scope.group.ids),
  cut_owner_from_primary: (scope: FaultScope) => scope.network.cut(scope.owner, [scope.primary]),
  cut_peers: (scope: FaultScope) => scope.network.cut(scope.owner, [scope.entry]),
  partition: (scope: FaultScope) => partition(scope, [scope.primary, scope.owner]),
  lag_apply: (scope: FaultScope) => {
    for (const id of scope.group.ids)
      scope.group.getTarget(id).setApplyLag(scope.sim.drawBetween(20, 400));
    return () => {
      for (const id of scope.group.ids) scope.group.getTarget(id).setApplyLag(0);
    };
  },
  lag_receive: (scope: FaultScope) => {
    scope.group.setReceiveLag(scope.replica, scope.sim.drawBetween(20, 400));
    return () => {
      scope.group.setReceiveLag(scope.replica, 0);
    };
  },
  store_down: (scope: FaultScope) => setStore(scope, 'down'),
  store_slow: (scope: FaultScope) => setStore(scope, 'slow'),
  store_lossy: (scope: FaultScope) => setStore(scope, 'lossy'),
  split_list: (scope: FaultScope) => {
    scope.publishSplitList();
    return scope.publishList;
  },
  fence_minority: (scope: FaultScope) => {
    const target = scope.group.getTarget(scope.replica);
    target.adopt(target.report().term + 1, 'stray');
    return noUndo;
  },
  leave_primary: (scope: FaultScope) => setLeaving(scope, scope.primary),
  leave_replica: (scope: FaultScope) => setLeaving(scope, scope.replica),
  late_messages: (scope: FaultScope) => {
    scope.network.setExtraDelay(0.05, 300);
    return () => {
      scope.network.setExtraDelay(0, 0);
    };
  },
} satisfies Record<string, (scope: FaultScope) => Undo>;

/** Kind of a fault. */
export type FaultKind = keyof typeof FAULTS;

/** All kinds of faults. Runs draw from this list by index, so its order determines the faults of a seed. */
export const FAULT_KINDS = Object.keys(FAULTS) as FaultKind[];

/** Fault of a run, with its start and duration. */
export interface Fault {
  readonly kind: FaultKind;
  readonly at: Millis;
  readonly forMs: Millis;
}

/** Faults start between these times; an overlapping one starts up to 400 ms after the first. */
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
  const random = sim.random();
  const first = draw(sim.pick(FAULT_KINDS));
  if (random < 0.35) return [first];
  if (random < 0.5) return [first, draw(first.kind)];
  const overlapping = { ...draw(sim.pick(FAULT_KINDS)), at: first.at + sim.drawBetween(0, 400) };
  return random < 0.85 ? [first, overlapping] : [first, overlapping, draw(sim.pick(FAULT_KINDS))];
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

function listOtherTargets({ group }: FaultScope, id: string): string[] {
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

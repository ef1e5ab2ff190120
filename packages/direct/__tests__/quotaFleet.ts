import { createQuotas } from '../src/index';
import type { QuotaMessage, Quotas, QuotasOptions, Tenant, TenantDirectory } from '../src/index';
import { createRandom } from './rig';

/** An operation of the model. */
export interface Op {
  readonly tenant: string;
  readonly node: number;
}

/** What the model needs of a policy. */
export type Policy = Pick<
  Quotas<Op>,
  | 'applyTenants'
  | 'applyFleet'
  | 'request'
  | 'received'
  | 'review'
  | 'timeJumped'
  | 'takeDecisions'
  | 'dueInMs'
>;

/** Creates the policy of one daemon. */
export type CreatePolicy = (options: QuotasOptions<Op>) => Policy;

/** One daemon of the model. */
interface Node {
  readonly name: string;
  policy: Policy;
  state: 'up' | 'down' | 'frozen';
  /** Time that its clock has missed. */
  lostMs: number;
  frozenAt: number;
  clockStops: boolean;
  inbox: { from: string; message: QuotaMessage }[];
  /** Daemons of other sides are out of reach. */
  side: number;
  /** Out of touch with the store: its list of daemons is not renewed. */
  hasStore: boolean;
  listed: readonly string[];
  /** When its entry in the store was last renewed. */
  renewedAt: number;
}

/** Settings of a model. */
export interface FleetOptions {
  readonly daemons: number;
  readonly tenants: readonly Tenant[];
  readonly seed?: number;
  /** Share of lost messages. */
  readonly loss?: number;
  /** Longest delay of a message. */
  readonly delayMs?: number;
  readonly create?: CreatePolicy;
}

/** Traffic of one tenant. */
export interface Traffic {
  readonly tenant: string;
  /** Operations per second over all daemons. */
  readonly ratePerS: number;
  /** Daemons that get them; absent: all. */
  readonly nodes?: readonly number[];
}

/** Window of the cap, and its overage and slack. */
const WINDOW_MS = 5_000;
const OVERAGE = 0.1;
const SLACK = 20;

const TICK_MS = 25;
const ENTRY_TTL_MS = 10_000;
const STABLE_RAISE_MS = 3_000;
const STABLE_LOWER_MS = 15_000;

/** A fleet of daemons on one clock of milliseconds, with messages that are delayed and lost. */
export interface QuotaFleetModel {
  now: () => number;
  run: (ms: number, traffic: readonly Traffic[]) => void;
  kill: (node: number) => void;
  /** Starts a daemon again, unless it runs. */
  startIfDown: (node: number) => void;
  /** Starts a daemon whose process takes `bootMs` from its start until it serves. */
  start: (node: number, bootMs?: number) => void;
  /** Stops a daemon; its clock stands still, or runs on. */
  freeze: (node: number, clockStops: boolean) => void;
  thaw: (node: number) => void;
  /** Puts daemons on a side that reaches no other side. */
  partition: (nodes: readonly number[], side: number) => void;
  setStore: (nodes: readonly number[], hasStore: boolean) => void;
  setTenants: (tenants: readonly Tenant[]) => void;
  readonly admitted: ReadonlyMap<string, readonly number[]>;
  readonly refused: ReadonlyMap<
    string,
    readonly { readonly at: number; readonly waitMs: number }[]
  >;
  /** Times from the request to the decision. */
  readonly waits: readonly number[];
  readonly sent: { messages: number; bytes: number };
  homeOf: (tenant: string) => number;
}

/** Tenants by name, without keys. */
export function directoryOf(tenants: readonly Tenant[]): TenantDirectory {
  return { tenants: new Map(tenants.map((one) => [one.name, one])), byKey: new Map() };
}

/** Creates a fleet whose daemons are all up and listed, before the first message. */
export function createFleetModel(options: FleetOptions): QuotaFleetModel {
  const { daemons, loss = 0.01, delayMs = 2, create = createQuotas<Op> } = options;
  const random = createRandom(options.seed ?? 1);
  let now = 1_000;
  let tenants = options.tenants;
  const admitted = new Map<string, number[]>();
  const refused = new Map<string, { at: number; waitMs: number }[]>();
  const waits: number[] = [];
  const sent = { messages: 0, bytes: 0 };
  const startedAt = new Map<Op, number>();
  /** Messages by the time of their arrival. */
  const pending = new Map<number, { from: number; to: string; message: QuotaMessage }[]>();
  const nodes: Node[] = [];
  const byName = new Map<string, number>();
  let listed: readonly string[] = [];
  let stableCount: number | undefined;
  let countSince = now;

  const record = <Value>(map: Map<string, Value[]>, key: string, value: Value): void => {
    const list = map.get(key);
    if (list) list.push(value);
    else map.set(key, [value]);
  };
  const createNodePolicy = (at: number, bootMs = 0): Policy =>
    create({
      startedAt: now - bootMs,
      clock: { now: () => now - (nodes[at]?.lostMs ?? 0) },
      random,
      self: `d${at}`,
      send: (to, message) => {
        sent.messages += 1;
        sent.bytes += JSON.stringify(message).length;
        if (random() < loss) return;
        const dueAt = now + 1 + Math.floor(random() * delayMs);
        const list = pending.get(dueAt) ?? [];
        list.push({ from: at, to, message });
        pending.set(dueAt, list);
      },
      onMoved: () => undefined,
      hasEnded: () => false,
    });
  const collect = (node: Node): void => {
    for (const decision of node.policy.takeDecisions()) {
      const { waiter } = decision;
      waits.push(now - (startedAt.get(waiter) ?? now));
      startedAt.delete(waiter);
      if (decision.kind === 'admitted') record(admitted, waiter.tenant, now);
      else record(refused, waiter.tenant, { at: now, waitMs: decision.waitMs });
    }
  };
  const applyFleet = (node: Node): void => {
    const isFilling = node.listed.length < (stableCount ?? 0) * 0.8;
    node.policy.applyFleet({ listed: node.listed, stableCount, isFilling, isIsolated: false });
  };
  const relist = (): void => {
    for (const node of nodes) if (node.state === 'up' && node.hasStore) node.renewedAt = now;
    const next = nodes
      .filter(({ renewedAt }) => now - renewedAt < ENTRY_TTL_MS)
      .map(({ name }) => name);
    if (next.join(' ') === listed.join(' ')) return;
    if (next.length !== listed.length) countSince = now;
    listed = next;
  };
  const reviewStore = (): void => {
    relist();
    const isHigher = listed.length > (stableCount ?? 0);
    const isLower = listed.length < (stableCount ?? 0);
    const unchangedMs = now - countSince;
    if (isHigher && unchangedMs >= STABLE_RAISE_MS) stableCount = listed.length;
    if (isLower && unchangedMs >= STABLE_LOWER_MS) stableCount = listed.length;
    for (const node of nodes) {
      if (node.state !== 'up' || !node.hasStore || random() < 0.5) continue;
      node.listed = listed;
      applyFleet(node);
    }
  };
  const deliver = (): void => {
    const due = pending.get(now);
    if (!due) return;
    pending.delete(now);
    for (const { from, to, message } of due) {
      const node = nodes[byName.get(to) ?? -1];
      const sender = nodes[from];
      if (!node || !sender || node.state === 'down' || node.side !== sender.side) continue;
      if (node.state === 'frozen') {
        node.inbox.push({ from: sender.name, message });
        continue;
      }
      node.policy.received(sender.name, message);
      collect(node);
    }
  };
  const arrive = (tenant: string, at: number): void => {
    const node = nodes[at];
    if (node?.state !== 'up') return;
    const op = { tenant, node: at };
    startedAt.set(op, now);
    if (node.policy.request(tenant, op)) {
      startedAt.delete(op);
      waits.push(0);
      record(admitted, tenant, now);
    }
    collect(node);
  };
  const step = (traffic: readonly Traffic[]): void => {
    now += 1;
    deliver();
    if (now % 250 === 0) reviewStore();
    for (const one of traffic) {
      let expected = one.ratePerS / 1_000;
      for (; expected > 0; expected -= 1) {
        if (random() >= expected) continue;
        const choice = one.nodes ?? nodes.map((_, at) => at);
        arrive(one.tenant, choice[Math.floor(random() * choice.length)] ?? 0);
      }
    }
    for (const [at, node] of nodes.entries()) {
      if (node.state !== 'up') continue;
      const dueInMs = node.policy.dueInMs();
      const isDue = dueInMs !== undefined && now % dueInMs === 0;
      if (!isDue && (now + at) % TICK_MS !== 0) continue;
      node.policy.review();
      collect(node);
    }
  };
  const start = (at: number, bootMs = 0): void => {
    const node = nodes[at];
    if (!node) return;
    node.policy = createNodePolicy(at, bootMs);
    node.inbox = [];
    node.state = 'up';
    node.lostMs = 0;
    node.listed = listed;
    node.policy.applyTenants(directoryOf(tenants));
    relist();
    node.listed = node.hasStore ? listed : [];
    applyFleet(node);
  };
  for (let at = 0; at < daemons; at += 1) {
    const name = `d${at}`;
    byName.set(name, at);
    nodes.push({
      name,
      policy: createNodePolicy(at),
      state: 'up',
      lostMs: 0,
      frozenAt: 0,
      clockStops: false,
      inbox: [],
      side: 0,
      hasStore: true,
      listed: [],
      renewedAt: now,
    });
  }
  relist();
  stableCount = daemons;
  for (const node of nodes) {
    node.listed = listed;
    node.policy.applyTenants(directoryOf(tenants));
    applyFleet(node);
  }
  return {
    now: () => now,
    run: (ms, traffic) => {
      for (let at = 0; at < ms; at += 1) step(traffic);
    },
    kill: (at) => {
      const node = nodes[at];
      if (!node || node.state === 'down') return;
      node.state = 'down';
    },
    start,
    startIfDown: (at) => {
      if (nodes[at]?.state === 'down') start(at);
    },
    freeze: (at, clockStops) => {
      const node = nodes[at];
      if (node?.state !== 'up') return;
      node.state = 'frozen';
      node.frozenAt = now;
      node.clockStops = clockStops;
    },
    thaw: (at) => {
      const node = nodes[at];
      if (node?.state !== 'frozen') return;
      node.state = 'up';
      if (node.clockStops) {
        node.lostMs += now - node.frozenAt;
        node.policy.timeJumped();
      }
      for (const { from, message } of node.inbox.splice(0)) node.policy.received(from, message);
      collect(node);
    },
    partition: (chosen, side) => {
      for (const at of chosen) {
        const node = nodes[at];
        if (node) node.side = side;
      }
    },
    setStore: (chosen, hasStore) => {
      for (const at of chosen) {
        const node = nodes[at];
        if (node) node.hasStore = hasStore;
      }
    },
    setTenants: (next) => {
      tenants = next;
      for (const node of nodes)
        if (node.state === 'up') node.policy.applyTenants(directoryOf(tenants));
    },
    admitted,
    refused,
    waits,
    sent,
    homeOf: (tenant) => {
      const policy = nodes.find(({ state }) => state === 'up')?.policy as Quotas<Op> | undefined;
      const home = policy?.listUse().find((one) => one.tenant === tenant)?.home;
      return byName.get(home ?? '') ?? -1;
    },
  };
}

/** Most operations that a cap allows in a window. */
export function windowLimit(tenant: Tenant): number {
  return ((tenant.ratePerS * WINDOW_MS) / 1_000 + tenant.burst) * (1 + OVERAGE) + SLACK;
}

/** Most operations in any window that starts at `from` or later. */
export function largestWindow(times: readonly number[], from = 0): number {
  let first = times.findIndex((at) => at >= from);
  if (first === -1) return 0;
  let largest = 0;
  for (let last = first; last < times.length; last += 1) {
    while ((times[last] ?? 0) - (times[first] ?? 0) >= WINDOW_MS) first += 1;
    largest = Math.max(largest, last - first + 1);
  }
  return largest;
}

/** Operations of a time span over those that the rate of a cap allows in it. */
export function usedShare(
  times: readonly number[],
  tenant: Tenant,
  from: number,
  to: number,
): number {
  const count = times.filter((at) => at >= from && at < to).length;
  return count / ((tenant.ratePerS * (to - from)) / 1_000);
}

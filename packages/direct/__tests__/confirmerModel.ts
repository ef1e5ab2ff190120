import { createManualClock } from '@rosedeck/shared';
import { createDirectEngine, DEFAULT_DIRECT_SETTINGS, mayOrder, orderProgress } from '../src/index';
import type { ConfirmerSet, DirectEngine, GroupLeadership, PeerReport } from '../src/index';
import { hasLease, mayClaim } from '../src/fencing';
import { createRandom, ROUTES } from './rig';

const STEP_MS = 50;
const REPORT_MS = 350;
const STORE_POLL_MS = 250;

/** Time after which the entry of a daemon that does not reach the store expires. */
const ENTRY_TTL_MS = 10_000;

/** The shortest time from an order until the new primary leads. */
const PROMOTE_MS = 300;

/** Mean intervals of the disruptions, by seed: some outlast the validity of a set. */
const DISTURB_EVERY_MS = [1_000, 4_000, 25_000] as const;

/** What a read of the store shows. */
interface Snapshot {
  readonly at: number;
  readonly directory: readonly string[];
  readonly set?: ConfirmerSet;
  readonly claim?: GroupLeadership;
}

interface Claiming {
  readonly claim: GroupLeadership;
  readonly setVersion?: number;
  readonly startedAt: number;
  readonly acknowledgedAt: Map<string, number>;
}

interface ModelledDaemon {
  readonly name: string;
  engine: DirectEngine;
  /** The newest snapshot that it has, its own or another's. */
  view?: Snapshot;
  side: 'store' | 'other';
  startedAt: number;
  /** When it last reached the store. */
  reachedAt: number;
  claiming?: Claiming;
}

/** What a run of the model has brought about. */
export interface ModelResult {
  /** A daemon could use an older primary after a newer one has begun to lead. */
  readonly violations: readonly string[];
  readonly orders: number;
  readonly splits: number;
}

/** Where the daemons take their confirmers from: the set in the store, or the directory as they read it. */
export type ConfirmerSource = 'set' | 'directory';

/**
 * Plays splits, lapses of the directory, replacements and restarts on a fleet of engines whose platform does
 * not fence promotions. Claims of promotions come at any moment.
 */
export function playConfirmers(seed: number, source: ConfirmerSource, ms = 120_000): ModelResult {
  const random = createRandom(seed);
  const disturbEveryMs = DISTURB_EVERY_MS[seed % DISTURB_EVERY_MS.length] ?? 0;
  const clock = createManualClock(1_000);
  const violations: string[] = [];
  let orders = 0;
  let splits = 0;
  let created = 0;
  let store: Snapshot = { at: 0, directory: [] };
  /** When each daemon's entry is written again after a lapse. */
  const entryDueAt = new Map<string, number>();
  const led: { readonly term: number; readonly from: number }[] = [];
  let isStoreDown = false;

  const createEngine = (name: string): DirectEngine => {
    const engine: DirectEngine = createDirectEngine({
      clock,
      settings: { ...DEFAULT_DIRECT_SETTINGS, promotionsFenced: false },
      random,
      name,
      failureDomain: 'a',
      io: {
        openConnection: () => undefined,
        leaseConnection: () => undefined,
        closeConnection: () => undefined,
        send: () => undefined,
        answer: () => undefined,
        closeSession: () => undefined,
        readClaimBasis: () => ({ era: 0, revision: 0, ageMs: 0 }),
        viewAgeMs: () => {
          const daemon = daemons.find((one) => one.name === name);
          return clock.now() - (daemon?.view?.at ?? -Infinity);
        },
        promote: () => undefined,
        requestSamples: () => undefined,
        sendQuotaMessage: () => undefined,
        wakeAfter: () => undefined,
        log: () => undefined,
      },
    });
    const routes = new Map(ROUTES.map((route) => [route.database, route]));
    const groups = new Map([['g', { connectionLimit: 20 }]]);
    engine.applyConfig({ version: 1, routes, groups, transactionIdleMs: 3_000 }, 'model');
    const listed = { id: 't1', group: 'g', address: '127.0.0.1:1', failureDomain: 'a' } as const;
    const entry = { ...listed, slots: 1, leaving: false, incarnation: 1, revision: 1 };
    engine.applyTargets([{ ...entry, role: 'primary' }], 'model');
    return engine;
  };
  const createDaemon = (): ModelledDaemon => {
    created += 1;
    const name = `d${created}`;
    entryDueAt.set(name, clock.now() + random() * 2_000);
    const startedAt = clock.now();
    const engine = createEngine(name);
    return { name, engine, side: 'store', startedAt, reachedAt: startedAt };
  };
  const daemons: ModelledDaemon[] = [];
  const count = 3 + Math.floor(random() * 7);
  while (daemons.length < count) daemons.push(createDaemon());
  const reachesStore = ({ side }: ModelledDaemon): boolean => side === 'store' && !isStoreDown;

  const applyView = (daemon: ModelledDaemon, snapshot: Snapshot, isOwn: boolean): void => {
    if (!isOwn && snapshot.at <= (daemon.view?.at ?? -Infinity)) return;
    const { engine } = daemon;
    const version = (engine.world.fleet.confirmers?.set.version ?? 0) + 1;
    daemon.view = snapshot;
    engine.applyDirectory(snapshot.directory.map((name) => ({ name, failureDomain: 'a' })));
    if (snapshot.claim) engine.leadershipsSeen([snapshot.claim]);
    if (source === 'directory') {
      engine.confirmersSeen({ version, members: snapshot.directory });
      engine.world.fleet.knowsClaims = true;
    } else if (snapshot.set) engine.confirmersSeen(snapshot.set);
    if (!isOwn) return;
    engine.storeRead(snapshot.at);
    if (engine.needsClaims() || clock.now() - daemon.startedAt < 1_000)
      engine.claimsRead(snapshot.at);
  };
  const pollStore = (daemon: ModelledDaemon): void => {
    if (!reachesStore(daemon)) {
      if (isStoreDown || clock.now() - daemon.reachedAt < ENTRY_TTL_MS) return;
      store = { ...store, directory: store.directory.filter((name) => name !== daemon.name) };
      return;
    }
    daemon.reachedAt = clock.now();
    if (!store.directory.includes(daemon.name) && clock.now() >= (entryDueAt.get(daemon.name) ?? 0))
      store = { ...store, directory: [...store.directory, daemon.name] };
    applyView(daemon, { ...store, at: clock.now() }, true);
    if (source === 'directory') return;
    const known = daemon.engine.world.fleet.confirmers?.set;
    const members = daemon.engine.proposeMembers(0);
    if (!members || known?.version !== store.set?.version) return;
    store = {
      ...store,
      set: { version: (known?.version ?? 0) + 1, members, previous: known?.members },
    };
  };
  const sendReports = (from: ModelledDaemon): void => {
    const own = from.engine.report(1, 0);
    const report: PeerReport = source === 'set' ? own : { ...own, confirms: 1 };
    for (const to of daemons) {
      if (to === from || to.side !== from.side || random() < 0.1) continue;
      to.engine.applyPeer(report);
      if (from.view && random() < 0.2) applyView(to, from.view, false);
    }
  };
  const startClaim = (daemon: ModelledDaemon): void => {
    const { engine } = daemon;
    const group = engine.world.groups.get('g');
    if (!group || daemon.claiming || !reachesStore(daemon)) return;
    if (!mayClaim(engine.world, group, clock.now())) return;
    const token = (store.claim?.token ?? 0) + 1;
    const claim = { group: 'g', term: token + 1, token, target: `t${token + 1}` };
    const setVersion = engine.world.fleet.confirmers?.set.version;
    store = { ...store, claim };
    engine.leadershipsSeen([claim]);
    const startedAt = clock.now();
    daemon.claiming = {
      claim,
      setVersion,
      startedAt,
      acknowledgedAt: new Map([[daemon.name, startedAt]]),
    };
  };
  const continueClaim = (daemon: ModelledDaemon): void => {
    const { claiming, engine } = daemon;
    if (!claiming) return;
    const now = clock.now();
    const { claim, acknowledgedAt } = claiming;
    for (const to of daemons) {
      if (to.side !== daemon.side || acknowledgedAt.has(to.name) || random() < 0.3) continue;
      to.engine.leadershipsSeen([claim]);
      acknowledgedAt.set(to.name, now);
    }
    const progress = orderProgress(engine.world, 'g', new Set(acknowledgedAt.keys()));
    const members = engine.world.fleet.confirmers?.set.members ?? [];
    const times = members.flatMap((name) => acknowledgedAt.get(name) ?? []).sort((a, b) => a - b);
    const quorumAt = times[progress.confirmersNeeded - 1];
    const sinceQuorumMs = quorumAt === undefined ? 0 : now - quorumAt;
    const { fenceWaitMs } = engine.world.settings;
    const isReady = mayOrder({ ...progress, sinceQuorumMs, fenceWaitMs });
    if (!isReady && now - claiming.startedAt < 2_000) return;
    daemon.claiming = undefined;
    if (!isReady || !reachesStore(daemon) || store.claim !== claim) return;
    if (source === 'set' && store.set?.version !== claiming.setVersion) return;
    orders += 1;
    led.push({ term: claim.term, from: now + PROMOTE_MS });
  };
  const restart = (daemon: ModelledDaemon): void => {
    daemon.engine = createEngine(daemon.name);
    daemon.view = undefined;
    daemon.claiming = undefined;
    daemon.startedAt = clock.now();
  };
  const lapse = (): void => {
    store = { ...store, directory: [] };
    for (const { name } of daemons) entryDueAt.set(name, clock.now() + random() * 3_000);
  };
  const disturb = (): void => {
    const kind = random();
    const any = daemons[Math.floor(random() * daemons.length)];
    if (!any) return;
    if (kind < 0.3) {
      splits += 1;
      const share = random();
      const restarting = random() < 0.5 ? 0 : random() / 2;
      for (const daemon of daemons) {
        daemon.side = random() < share ? 'store' : 'other';
        if (random() < restarting) restart(daemon);
      }
    } else if (kind < 0.5) for (const daemon of daemons) daemon.side = 'store';
    else if (kind < 0.65) {
      isStoreDown = !isStoreDown;
      if (isStoreDown && random() < 0.5) lapse();
    } else if (kind < 0.85) restart(any);
    else {
      daemons[daemons.indexOf(any)] = createDaemon();
      store = { ...store, directory: store.directory.filter((name) => name !== any.name) };
    }
  };
  const check = (): void => {
    const now = clock.now();
    const newest = Math.max(0, ...led.filter(({ from }) => from <= now).map(({ term }) => term));
    for (const { name, engine } of daemons) {
      const term = engine.world.groups.get('g')?.newest?.term ?? 1;
      if (term >= newest || !hasLease(engine.world, now)) continue;
      violations.push(`${now}: ${name} may use term ${term} while ${newest} leads`);
    }
  };

  for (let at = 0; at < ms; at += STEP_MS) {
    clock.advance(STEP_MS);
    for (const [index, daemon] of daemons.entries()) {
      const phase = at + index * STEP_MS;
      if (phase % STORE_POLL_MS === 0) pollStore(daemon);
      if (phase % REPORT_MS === 0) sendReports(daemon);
      daemon.engine.tick();
      if (random() < 0.01) startClaim(daemon);
      continueClaim(daemon);
    }
    if (at > 6_000 && random() < STEP_MS / disturbEveryMs) disturb();
    check();
  }
  return { violations, orders, splits };
}

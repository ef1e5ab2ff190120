import type { InstanceId, Millis } from '@rosedeck/shared';
import {
  confirmRevision,
  confirmationAge,
  confirmerMajority,
  countVote,
  isConfirmer,
  mayVote,
  reportFreshness,
} from './configFreshness';
import { applyPatch } from './configPatch';
import type {
  ConfigAnswer,
  ConfigAsk,
  ConfigEntry,
  ConfigPush,
  ConfigSnapshot,
  Revision,
  WatchResult,
} from './configTable';
import { clearSuspicion, noticeLeaving, suspectPeer } from './membership';
import { queueCommand, recordLogEvent } from './world';
import type { World } from './world';

/** Changes kept for peers; a peer further behind gets a snapshot. */
const ENTRIES_KEPT = 64;

/** Spread of the times between questions, as a share. */
const ASK_JITTER = 0.1;

/** Share of the time between questions by which a suspected peer is asked before its suspicion ends. */
const SUSPECT_ASK_LEAD = 1.5;

/** Asks the store and peers for what is due. */
export function runConfiguration(world: World): void {
  if (!world.config.enabled) return;
  const now = world.clock.now();
  reportFreshness(world, now);
  askStore(world, now);
  askPeers(world, now);
}

/** When the configuration next has something to do. */
export function nextConfigAt(world: World): Millis | undefined {
  const { config } = world;
  if (!config.enabled) return undefined;
  const storeOpen = config.watch !== undefined || config.loading || !isConfirmer(world);
  const storeAt = storeOpen ? Infinity : config.storeRetryAt;
  return Math.min(config.nextAskAt, storeAt);
}

/** Takes in the snapshot in the store; undefined when there is none. */
export function applyStoreSnapshot(world: World, snapshot: ConfigSnapshot | undefined): void {
  world.config.loading = false;
  world.config.loaded = true;
  if (snapshot) applySnapshot(world, snapshot);
}

/** Takes in that the store did not answer. */
export function applyStoreFailure(world: World): void {
  const { config } = world;
  config.loading = false;
  config.watch = undefined;
  config.storeRetryAt = world.clock.now() + jitter(world, world.settings.configRetryMs);
}

/** Takes in the end of a wait for the next revision. */
export function applyWatch(world: World, revision: Revision, result: WatchResult): void {
  const { config } = world;
  if (config.watch?.revision !== revision) return;
  const { sentAt } = config.watch;
  config.watch = undefined;
  if (result.kind === 'failed') applyStoreFailure(world);
  else if (result.kind === 'entry') applyEntries(world, [result.entry]);
  else confirmRevision(world, revision - 1, sentAt);
}

/** Takes in a peer's account; undefined when it did not answer. */
export function applyConfigAnswer(
  world: World,
  peer: InstanceId,
  answer: ConfigAnswer | undefined,
): void {
  const { config } = world;
  const sentAt = config.asks.get(peer);
  config.asks.delete(peer);
  if (sentAt === undefined) return;
  if (!answer) {
    config.confirmerOffset += 1;
    if (!isConfirmer(world)) config.nextAskAt = world.clock.now();
    if ((world.peers.get(peer)?.suspectedUntil ?? 0) > 0) suspectPeer(world, peer);
    return;
  }
  clearSuspicion(world, peer);
  if (answer.snapshot) applySnapshot(world, answer.snapshot);
  applyEntries(world, answer.entries ?? []);
  if (answer.revision > config.revision) return;
  if (answer.ageMs !== undefined) confirmRevision(world, answer.revision, sentAt - answer.ageMs);
  if (answer.mayVote && answer.quorum === config.quorum)
    countVote(world, peer, sentAt, world.clock.now());
}

/** Takes in a change from the daemon that took it. */
export function applyConfigPush(world: World, push: ConfigPush): void {
  applyEntries(world, [push.entry]);
  const behind = world.config.revision < push.entry.revision;
  if (behind) askPeer(world, push.from, world.clock.now());
}

/** Takes in that a peer has asked; one that is ahead is asked in turn. */
export function noticeAsk(world: World, ask: ConfigAsk): void {
  noticeLeaving(world, ask.from, ask.leaving);
  const suspected = (world.peers.get(ask.from)?.suspectedUntil ?? 0) > 0;
  if (suspected || ask.revision > world.config.revision)
    askPeer(world, ask.from, world.clock.now());
}

/** This daemon's account of its configuration, for a peer at `revision`. */
export function describeConfig(world: World, revision: Revision): ConfigAnswer {
  const { config } = world;
  const age = confirmationAge(world, world.clock.now());
  const answer: ConfigAnswer = {
    revision: config.revision,
    ageMs: Number.isFinite(age) ? age : undefined,
    quorum: config.quorum,
    mayVote: mayVote(world),
  };
  if (revision >= config.revision) return answer;
  const missing = config.entries.filter((entry) => entry.revision > revision);
  if (missing[0]?.revision === revision + 1) return { ...answer, entries: missing };
  return { ...answer, snapshot: { revision: config.revision, tree: config.tree } };
}

/** Applies changes in order: upwards only, and none is skipped. */
export function applyEntries(world: World, entries: readonly ConfigEntry[]): void {
  const { config } = world;
  const before = config.revision;
  for (const entry of entries) {
    if (entry.revision !== config.revision + 1) continue;
    config.tree = applyPatch(config.tree, entry.patch);
    config.revision = entry.revision;
    config.entries.push(entry);
  }
  if (config.entries.length > ENTRIES_KEPT) {
    config.entries.splice(0, config.entries.length - ENTRIES_KEPT);
  }
  if (config.revision > before) putInForce(world);
}

/** Asks a peer for its revision, unless a question to it is open. */
export function askPeer(world: World, peer: InstanceId, now: Millis): void {
  const { config } = world;
  if (peer === world.self || config.asks.has(peer) || !world.peers.has(peer)) return;
  config.asks.set(peer, now);
  queueCommand(world, { type: 'config_ask', to: peer });
}

function applySnapshot(world: World, snapshot: ConfigSnapshot): void {
  const { config } = world;
  if (snapshot.revision <= config.revision) return;
  config.revision = snapshot.revision;
  config.tree = snapshot.tree;
  config.entries = [];
  putInForce(world);
}

function putInForce(world: World): void {
  const { config } = world;
  config.loaded = true;
  config.rejected = false;
  queueCommand(world, { type: 'config_apply', revision: config.revision, tree: config.tree });
  recordLogEvent(world, { type: 'config_applied', revision: config.revision });
}

function askStore(world: World, now: Millis): void {
  const { config, settings } = world;
  if (config.watch || config.loading || now < config.storeRetryAt || !isConfirmer(world)) return;
  if (!config.loaded) {
    config.loading = true;
    queueCommand(world, { type: 'config_load' });
    return;
  }
  const revision = config.revision + 1;
  config.watch = { revision, sentAt: now };
  // A daemon that lacks a confirmation wants the answer now, not when the next revision comes.
  const urgent = confirmationAge(world, now) > settings.configQuorumAfterMs;
  const waitMs = urgent ? 0 : settings.configWatchMs;
  queueCommand(world, { type: 'config_watch', revision, waitMs });
}

function askPeers(world: World, now: Millis): void {
  const { config, settings } = world;
  if (now < config.nextAskAt) return;
  const confirms = isConfirmer(world);
  const periodMs = confirms ? settings.configRetryMs : settings.configAskMs;
  config.nextAskAt = now + jitter(world, periodMs);
  askSuspects(world, now);
  if (!confirms) {
    const peer = preferredConfirmer(world);
    if (peer !== undefined) askPeer(world, peer, now);
    return;
  }
  const overdueMs = confirmationAge(world, now) - settings.configQuorumAfterMs;
  if (overdueMs <= 0) return;
  // One more than a majority needs is asked first, and all of them when that was not enough.
  const others = otherConfirmers(world);
  const first = overdueMs <= 2 * settings.configRetryMs ? confirmerMajority(world) : others.length;
  for (const peer of others.slice(0, first)) askPeer(world, peer, now);
}

/** The other confirmers; each daemon begins at another place, and moves on when one fails. */
function otherConfirmers(world: World): InstanceId[] {
  const { confirmers, confirmerOffset: preference } = world.config;
  const start = confirmers.indexOf(world.self) + 1 + preference;
  const turned = confirmers.map((_, index) => confirmers[(start + index) % confirmers.length]);
  return turned.filter((id) => id !== undefined && id !== world.self) as InstanceId[];
}

/** Asks a suspected peer again before the suspicion ends, so that no request has to try it first. */
function askSuspects(world: World, now: Millis): void {
  const soon = now + SUSPECT_ASK_LEAD * world.settings.configAskMs;
  for (const peer of world.peers.values()) {
    if (peer.suspectedUntil > 0 && peer.suspectedUntil <= soon) askPeer(world, peer.id, now);
  }
}

/** The confirmer that this daemon asks; different daemons prefer different ones. */
function preferredConfirmer(world: World): InstanceId | undefined {
  const { config } = world;
  const usable = config.confirmers.filter((id) => !config.asks.has(id));
  if (usable.length === 0) return undefined;
  const place = [...world.peers.keys()].indexOf(world.self);
  return usable[(Math.max(0, place) + config.confirmerOffset) % usable.length];
}

function jitter(world: World, ms: Millis): Millis {
  return ms * (1 + ASK_JITTER * (2 * world.random() - 1));
}

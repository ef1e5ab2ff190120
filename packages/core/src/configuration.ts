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
  ConfigPoll,
  ConfigEntry,
  ConfigPush,
  ConfigSnapshot,
  Revision,
  WatchResult,
} from './configTable';
import { clearSuspicion, applyPeerLeaving, suspectPeer } from './membership';
import { queueCommand, recordLogEvent } from './world';
import type { World } from './world';

/** Changes kept for peers; a peer further behind gets a snapshot. */
const ENTRIES_KEPT = 64;

/** Greatest jitter of the time between polls, as a share of it. */
const POLL_JITTER = 0.1;

/** A suspected peer is polled again this many poll intervals before its suspicion ends. */
const SUSPECT_POLL_LEAD = 1.5;

/** Sends the polls of the store and of peers that are due; called at each tick. */
export function runConfiguration(world: World): void {
  if (!world.config.enabled) return;
  const now = world.clock.now();
  reportFreshness(world, now);
  pollStore(world, now);
  pollPeers(world, now);
}

/** When the next poll is due; undefined without a configuration service. */
export function nextConfigAt(world: World): Millis | undefined {
  const { config } = world;
  if (!config.enabled) return undefined;
  const isStoreBusy = config.watch !== undefined || config.loading || !isConfirmer(world);
  const storeAt = isStoreBusy ? Infinity : config.storeRetryAt;
  return Math.min(config.nextPollAt, storeAt);
}

/** Applies the store's snapshot; undefined when the store has none. */
export function applyStoreSnapshot(world: World, snapshot: ConfigSnapshot | undefined): void {
  world.config.loading = false;
  world.config.loaded = true;
  if (snapshot) applySnapshot(world, snapshot);
}

/** Schedules a retry after the store did not answer. */
export function applyStoreFailure(world: World): void {
  const { config } = world;
  config.loading = false;
  config.watch = undefined;
  config.storeRetryAt = world.clock.now() + addPollJitter(world, world.settings.configRetryMs);
}

/** Applies the result of a long poll for the next revision. */
export function applyWatch(world: World, revision: Revision, result: WatchResult): void {
  const { config } = world;
  if (config.watch?.revision !== revision) return;
  const { sentAt } = config.watch;
  config.watch = undefined;
  if (result.kind === 'failed') applyStoreFailure(world);
  else if (result.kind === 'entry') applyEntries(world, [result.entry]);
  else confirmRevision(world, revision - 1, sentAt);
}

/** Applies a peer's answer to a poll; undefined when it did not answer. */
export function applyConfigAnswer(
  world: World,
  peer: InstanceId,
  answer: ConfigAnswer | undefined,
): void {
  const { config } = world;
  const sentAt = config.pendingPolls.get(peer);
  config.pendingPolls.delete(peer);
  if (sentAt === undefined) return;
  if (!answer) {
    config.confirmerOffset += 1;
    if (!isConfirmer(world)) config.nextPollAt = world.clock.now();
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

/**
 * Applies a change pushed by the daemon that committed it; polls that daemon if earlier ones are
 * missing.
 */
export function applyConfigPush(world: World, push: ConfigPush): void {
  applyEntries(world, [push.entry]);
  const isBehind = world.config.revision < push.entry.revision;
  if (isBehind) pollPeer(world, push.from, world.clock.now());
}

/** Handles the poll of a peer; polls the peer too if it has a later revision or is suspected. */
export function applyConfigPoll(world: World, poll: ConfigPoll): void {
  applyPeerLeaving(world, poll.from, poll.leaving);
  const isSuspected = (world.peers.get(poll.from)?.suspectedUntil ?? 0) > 0;
  if (isSuspected || poll.revision > world.config.revision)
    pollPeer(world, poll.from, world.clock.now());
}

/** Creates the answer to a poll by a peer at `revision`. */
export function createConfigAnswer(world: World, revision: Revision): ConfigAnswer {
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

/** Applies changes in order of revision; skips those already applied and those after a missing one. */
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
  if (config.revision > before) activateRevision(world);
}

/** Polls a peer for its revision, unless a poll of it is pending. */
export function pollPeer(world: World, peer: InstanceId, now: Millis): void {
  const { config } = world;
  if (peer === world.self || config.pendingPolls.has(peer) || !world.peers.has(peer)) return;
  config.pendingPolls.set(peer, now);
  queueCommand(world, { type: 'config_ask', to: peer });
}

function applySnapshot(world: World, snapshot: ConfigSnapshot): void {
  const { config } = world;
  if (snapshot.revision <= config.revision) return;
  config.revision = snapshot.revision;
  config.tree = snapshot.tree;
  config.entries = [];
  activateRevision(world);
}

function activateRevision(world: World): void {
  const { config } = world;
  config.loaded = true;
  config.rejected = false;
  queueCommand(world, { type: 'config_apply', revision: config.revision, tree: config.tree });
  recordLogEvent(world, { type: 'config_applied', revision: config.revision });
}

function pollStore(world: World, now: Millis): void {
  const { config, settings } = world;
  if (config.watch || config.loading || now < config.storeRetryAt || !isConfirmer(world)) return;
  if (!config.loaded) {
    config.loading = true;
    queueCommand(world, { type: 'config_load' });
    return;
  }
  const revision = config.revision + 1;
  config.watch = { revision, sentAt: now };
  // A daemon without a recent confirmation needs an answer at once, not with the next revision.
  const isUrgent = confirmationAge(world, now) > settings.configQuorumAfterMs;
  const waitMs = isUrgent ? 0 : settings.configWatchMs;
  queueCommand(world, { type: 'config_watch', revision, waitMs });
}

function pollPeers(world: World, now: Millis): void {
  const { config, settings } = world;
  if (now < config.nextPollAt) return;
  const isSelfConfirmer = isConfirmer(world);
  const periodMs = isSelfConfirmer ? settings.configRetryMs : settings.configAskMs;
  config.nextPollAt = now + addPollJitter(world, periodMs);
  pollSuspectedPeers(world, now);
  if (!isSelfConfirmer) {
    const peer = chooseConfirmer(world);
    if (peer !== undefined) pollPeer(world, peer, now);
    return;
  }
  const overdueMs = confirmationAge(world, now) - settings.configQuorumAfterMs;
  if (overdueMs <= 0) return;
  // First polls one peer more than a majority needs, then all of them if that was not enough.
  const others = listOtherConfirmers(world);
  const pollCount =
    overdueMs <= 2 * settings.configRetryMs ? confirmerMajority(world) : others.length;
  for (const peer of others.slice(0, pollCount)) pollPeer(world, peer, now);
}

/** The other confirmers, in an order that differs by daemon and advances when one fails to answer. */
function listOtherConfirmers(world: World): InstanceId[] {
  const { confirmers, confirmerOffset: offset } = world.config;
  const start = confirmers.indexOf(world.self) + 1 + offset;
  const rotated = confirmers.map((_, index) => confirmers[(start + index) % confirmers.length]);
  return rotated.filter((id) => id !== undefined && id !== world.self) as InstanceId[];
}

/** Polls suspected peers before their suspicion ends, so that no request has to try them first. */
function pollSuspectedPeers(world: World, now: Millis): void {
  const latestEnd = now + SUSPECT_POLL_LEAD * world.settings.configAskMs;
  for (const peer of world.peers.values()) {
    if (peer.suspectedUntil > 0 && peer.suspectedUntil <= latestEnd) pollPeer(world, peer.id, now);
  }
}

/** The confirmer that this daemon polls; different daemons prefer different ones. */
function chooseConfirmer(world: World): InstanceId | undefined {
  const { config } = world;
  const usable = config.confirmers.filter((id) => !config.pendingPolls.has(id));
  if (usable.length === 0) return undefined;
  const ownIndex = [...world.peers.keys()].indexOf(world.self);
  return usable[(Math.max(0, ownIndex) + config.confirmerOffset) % usable.length];
}

function addPollJitter(world: World, ms: Millis): Millis {
  return ms * (1 + POLL_JITTER * (2 * world.random() - 1));
}

import type { InstanceId, Millis } from '@rosedeck/shared';
import murmurhash from 'murmurhash';
import type { Revision } from './configTable';
import { rankOwners } from './ownership';
import { recordLogEvent } from './world';
import type { World } from './world';

/** Up to this many daemons all of them are confirmers. */
const ALL_CONFIRM_LIMIT = 9;

/** Confirmers per square root of the number of daemons, in larger fleets. */
const CONFIRMERS_PER_ROOT = Math.SQRT2;

/** Number of confirmers in a fleet; it grows with the square root, so that store calls do too. */
export function confirmerCount(daemons: number): number {
  if (daemons <= ALL_CONFIRM_LIMIT) return daemons;
  const count = Math.ceil(CONFIRMERS_PER_ROOT * Math.sqrt(daemons));
  return Math.max(ALL_CONFIRM_LIMIT, count | 1);
}

/** Chooses the confirmers from the listed daemons; equal lists give equal choices everywhere. */
export function updateConfirmers(world: World): void {
  const listed = [...world.peers.values()];
  const staying = listed.filter((peer) => !peer.leaving);
  const candidates = staying.length > 0 ? staying : listed;
  const { config } = world;
  config.confirmers = rankOwners('configuration', candidates).slice(
    0,
    confirmerCount(candidates.length),
  );
  const quorum = murmurhash.v3([...config.confirmers].sort().join()).toString(36);
  if (quorum !== config.quorum) config.votes.clear();
  config.quorum = quorum;
}

/** True when this daemon confirms revisions with the store; without a list each daemon does. */
export function isConfirmer(world: World): boolean {
  const { confirmers } = world.config;
  return confirmers.length === 0 || confirmers.includes(world.self);
}

/** Takes in that no revision above `revision` was in force at `at`. */
export function confirmRevision(world: World, revision: Revision, at: Millis): void {
  const { config } = world;
  if (revision > config.revision) return;
  config.confirmedAt = Math.max(config.confirmedAt, at);
  reportFreshness(world, world.clock.now());
}

/**
 * Counts a confirmer that knows no later revision. The daemon that took a change answers its
 * operator only after a majority of the confirmers has it, so a majority without it rules it out.
 */
export function countVote(world: World, confirmer: InstanceId, sentAt: Millis, now: Millis): void {
  const { config } = world;
  if (!config.confirmers.includes(confirmer)) return;
  config.votes.set(confirmer, sentAt);
  const ownVote = mayVote(world) ? now : -Infinity;
  const times = config.confirmers.map((id) =>
    id === world.self ? ownVote : (config.votes.get(id) ?? -Infinity),
  );
  times.sort((a, b) => b - a);
  const decisive = times[confirmerMajority(world) - 1];
  if (decisive !== undefined) confirmRevision(world, config.revision, decisive);
}

/**
 * True once this daemon was confirmed long enough after its start. It has forgotten what it
 * acknowledged before, and whoever still counts on such an acknowledgement must have finished.
 */
export function mayVote(world: World): boolean {
  const { config, settings } = world;
  return config.confirmedAt >= config.startedAt + settings.configVoteAfterMs;
}

/** Number of confirmers that makes a majority. */
export function confirmerMajority(world: World): number {
  return Math.floor(world.config.confirmers.length / 2) + 1;
}

/** Time since the configuration was last confirmed. */
export function confirmationAge(world: World, now: Millis): Millis {
  return now - world.config.confirmedAt;
}

/** True when this daemon must not take new work, since a later revision may be in force. */
export function isConfigStale(world: World, now: Millis): boolean {
  const { config } = world;
  if (!config.enabled) return false;
  return config.rejected || confirmationAge(world, now) > world.settings.configLimitMs;
}

/** Notes when the daemon becomes stale or fresh. */
export function reportFreshness(world: World, now: Millis): void {
  const { config } = world;
  const stale = isConfigStale(world, now);
  if (stale === config.reportedStale) return;
  config.reportedStale = stale;
  recordLogEvent(world, {
    type: stale ? 'config_stale' : 'config_fresh',
    revision: config.revision,
  });
}

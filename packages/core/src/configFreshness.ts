import type { InstanceId, Millis } from '@rosedeck/shared';
import murmurhash from 'murmurhash';
import type { Revision } from './configTable';
import { rankOwners } from './ownership';
import { recordLogEvent } from './world';
import type { World } from './world';

/** In a fleet of up to this many daemons, all are confirmers. */
const ALL_CONFIRM_LIMIT = 9;

/** Confirmers per square root of the number of daemons, in larger fleets. */
const CONFIRMERS_PER_ROOT = Math.SQRT2;

/** Number of confirmers in a fleet; grows with the square root of its size, and so do store calls. */
export function confirmerCount(daemons: number): number {
  if (daemons <= ALL_CONFIRM_LIMIT) return daemons;
  const count = Math.ceil(CONFIRMERS_PER_ROOT * Math.sqrt(daemons));
  return Math.max(ALL_CONFIRM_LIMIT, count | 1);
}

/** Chooses the confirmers from the listed daemons; equal lists give equal choices at each daemon. */
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

/** Records that no revision above `revision` was in force at `at`. */
export function confirmRevision(world: World, revision: Revision, at: Millis): void {
  const { config } = world;
  if (revision > config.revision) return;
  config.confirmedAt = Math.max(config.confirmedAt, at);
  reportFreshness(world, world.clock.now());
}

/**
 * Counts the vote of a confirmer that has no later revision. The daemon that commits a change
 * answers its operator only after a majority of the confirmers has it, so a majority of votes
 * without it proves that it is not in force.
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
  const majorityAt = times[confirmerMajority(world) - 1];
  if (majorityAt !== undefined) confirmRevision(world, config.revision, majorityAt);
}

/**
 * True once this daemon was confirmed long enough after its start. A restart loses what it has
 * acknowledged before, so its votes count only after every propagation that relies on such an
 * acknowledgement has ended.
 */
export function mayVote(world: World): boolean {
  const { config, settings } = world;
  return config.confirmedAt >= config.startedAt + settings.configVoteAfterMs;
}

/** Number of confirmers that makes a majority. */
export function confirmerMajority(world: World): number {
  return Math.floor(world.config.confirmers.length / 2) + 1;
}

/** Time since the configuration was last confirmed; Infinity when it never was. */
export function confirmationAge(world: World, now: Millis): Millis {
  return now - world.config.confirmedAt;
}

/** True when this daemon must refuse new work, since a later revision may be in force. */
export function isConfigStale(world: World, now: Millis): boolean {
  const { config } = world;
  if (!config.enabled) return false;
  return config.rejected || confirmationAge(world, now) > world.settings.configLimitMs;
}

/** Logs when the configuration becomes stale or fresh. */
export function reportFreshness(world: World, now: Millis): void {
  const { config } = world;
  const isStale = isConfigStale(world, now);
  if (isStale === config.reportedStale) return;
  config.reportedStale = isStale;
  recordLogEvent(world, {
    type: isStale ? 'config_stale' : 'config_fresh',
    revision: config.revision,
  });
}

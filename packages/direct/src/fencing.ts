import murmurhash from 'murmurhash';
import type { GroupId, InstanceId, Millis, TargetId } from '@rosedeck/shared';
import {
  mayOpen,
  openConnection,
  releaseConnection,
  sendOps,
  takeAnyConnection,
} from './connections';
import { confirmersToReplace, isCurrent, quorumOf, supersedes } from './leadership';
import type { Leadership, OrderInputs } from './leadership';
import type { GroupLeadership, ListedDaemon } from './peerReport';
import type { GroupRow, TargetRow, World } from './tables';

/** Confirmers of a large fleet; all daemons are confirmers of a fleet of at most this size. */
const MAX_CONFIRMERS = 9;

/** Interval at which a replaced primary is asked to step down until it does. */
const STEP_DOWN_RETRY_MS: Millis = 100;

/** A primary that has not stepped down by then is taken for unreachable. */
const STEP_DOWN_LIMIT_MS: Millis = 5_000;

/** The daemons whose reports confirm to the others that no newer claim stands. */
export function confirmersOf(daemons: readonly ListedDaemon[]): readonly ListedDaemon[] {
  if (daemons.length <= MAX_CONFIRMERS) return daemons;
  const ranked = daemons.map((daemon) => ({ daemon, hash: murmurhash.v3(daemon.name) }));
  ranked.sort((a, b) => a.hash - b.hash);
  return ranked.slice(0, MAX_CONFIRMERS).map(({ daemon }) => daemon);
}

/** True when this daemon's reports go to every other daemon. */
export function isConfirmer(world: World): boolean {
  return world.fleet.confirmers.some(({ name }) => name === world.self.name);
}

/** True when a quorum of confirmers has reported within the time of a lease, this daemon included. */
export function hasQuorum(world: World, now: Millis): boolean {
  const { confirmers } = world.fleet;
  return confirmers.length > 0 && countHeard(world, now) >= quorumOf(confirmers.length);
}

/**
 * Confirmers that have reported within the time of a lease, this daemon included. One without a
 * configuration has just started and keeps no claims.
 */
function countHeard(world: World, now: Millis): number {
  const { confirmers, peers } = world.fleet;
  const heard = confirmers.filter(({ name }) => {
    if (name === world.self.name) return true;
    const peer = peers.get(name);
    if (!peer || peer.report.config === 0) return false;
    return now - peer.at < world.settings.leadershipLeaseMs;
  });
  return heard.length;
}

/** Confirmers that may replace the primary of a group; see `confirmersToReplace`. */
function confirmersNeeded(world: World, group: GroupRow, now: Millis): number {
  const { confirmers, namesSince, storeReadAt } = world.fleet;
  const primary = group.primary === undefined ? undefined : group.targets.get(group.primary);
  return confirmersToReplace({
    confirmers: confirmers.length,
    sameDirectoryMs: storeReadAt - Math.max(namesSince, world.timeJumpedAt),
    unrenewedMs: storeReadAt - (primary?.renewedAt ?? storeReadAt),
    renewalMs: group.renewalMs.value,
    storeReadAgeMs: now - storeReadAt,
  });
}

/**
 * Whether this daemon may claim a promotion. Without a fence of the platform a claim stops all
 * daemons that learn of it, and its order needs as many confirmers. Load pattern: a network partition in which
 * the side without a quorum still reaches the store, and the other side uses the old primary.
 */
export function mayClaim(world: World, group: GroupRow, now: Millis): boolean {
  if (world.settings.promotionsFenced) return true;
  if (world.fleet.confirmers.length === 0) return false;
  return countHeard(world, now) >= confirmersNeeded(world, group, now);
}

/**
 * True while this daemon would have learned of a newer claim: from a quorum of confirmers, or from
 * the store, which a claim reaches before its promotion is ordered.
 */
export function hasLease(world: World, now: Millis): boolean {
  if (now - world.claimsReadAt < world.settings.leadershipLeaseMs) return true;
  return hasQuorum(world, now);
}

/**
 * Whether a target that proves to lead in `term` can be trusted. Where promotions are fenced by the
 * platform the proof is enough; elsewhere an older primary continues after a promotion.
 */
export function isTrusted(
  world: World,
  group: GroupRow,
  target: TargetId,
  term: number,
  now: Millis,
): boolean {
  if (world.settings.promotionsFenced) return true;
  return isCurrent(group.newest, term, target) && hasLease(world, now);
}

/** True when the group's primary may be sent work. */
export function mayUsePrimary(world: World, group: GroupRow, now: Millis): boolean {
  if (world.settings.promotionsFenced) return true;
  if (group.primary === undefined) return false;
  if (group.primaryProvenAt === undefined && group.primaryLearnedAt === undefined) return false;
  return isTrusted(world, group, group.primary, group.leaderTerm, now);
}

/** Records a leadership, unless a newer one is known; the primary of an older one gets no work. */
export function recordLeadership(world: World, group: GroupRow, leadership: Leadership): void {
  if (world.settings.promotionsFenced || !supersedes(leadership, group.newest)) return;
  const ledNewest = isProvenNewest(group);
  group.newest = leadership;
  if (isCurrent(leadership, group.leaderTerm, group.primary)) return;
  world.io.log({
    type: 'primary_fenced',
    group: group.id,
    primary: group.primary,
    term: group.leaderTerm,
    next: leadership.target,
    nextTerm: leadership.term,
    token: leadership.token,
  });
  group.primaryProvenAt = undefined;
  group.primaryLearnedAt = undefined;
  const { primary } = group;
  const since = world.clock.now();
  group.replaced =
    primary === undefined || primary === leadership.target
      ? undefined
      : { target: primary, since, askedAt: -Infinity, steppedDown: false, ledNewest };
  world.groupsToDispatch.add(group);
  driveStepDown(world, group, world.clock.now());
}

/** Whether the primary has proven to lead, and no newer leadership is known. */
function isProvenNewest(group: GroupRow): boolean {
  const { primary, newest, targets } = group;
  const ledTerm = primary === undefined ? undefined : targets.get(primary)?.ledTerm;
  return ledTerm !== undefined && isCurrent(newest, ledTerm, primary);
}

/** Asks the replaced primary of a group to step down, until it does or the time is over. */
export function driveStepDown(world: World, group: GroupRow, now: Millis): void {
  const { replaced, newest } = group;
  if (!replaced || !newest || replaced.steppedDown) return;
  if (now - replaced.since > STEP_DOWN_LIMIT_MS) {
    group.replaced = undefined;
    return;
  }
  const target = group.targets.get(replaced.target);
  if (!target || now - replaced.askedAt < STEP_DOWN_RETRY_MS) return;
  if (sendStepDown(world, target, newest.term, now)) replaced.askedAt = now;
}

function sendStepDown(world: World, target: TargetRow, term: number, now: Millis): boolean {
  const connection = takeAnyConnection(target, now);
  if (!connection) {
    if (mayOpen(world, target, now)) openConnection(world, target, now);
    return false;
  }
  sendOps(world, connection, [
    [
      { op: 'stepDown', term },
      (reply) => {
        const { group } = target;
        const stopped = reply.kind === 'done' && reply.status?.role === 'replica';
        if (stopped && group.replaced?.target === target.listed.id)
          group.replaced.steppedDown = true;
        if (stopped)
          world.io.log({ type: 'primary_stepped_down', group: group.id, target: target.listed.id });
        releaseConnection(world, connection, world.clock.now());
      },
    ],
  ]);
  return true;
}

/** The newest leadership of each group, for the other daemons. */
export function listLeaderships(world: World): GroupLeadership[] {
  if (world.settings.promotionsFenced) return [];
  return [...world.groups.values()].flatMap(({ id, newest }) =>
    newest === undefined ? [] : [{ group: id, ...newest }],
  );
}

/** Applies the leaderships that another daemon or a claim in the store names. */
export function applyLeaderships(world: World, leaderships: readonly GroupLeadership[]): void {
  for (const { group: id, ...leadership } of leaderships) {
    const group = world.groups.get(id);
    if (!group) continue;
    if (leadership.token > (group.knownClaim?.token ?? -Infinity))
      group.knownClaim = { token: leadership.token, since: world.clock.now() };
    recordLeadership(world, group, leadership);
  }
}

/**
 * Progress of a claimed promotion towards its order. A daemon that reports counts although its entry
 * in the directory is lost: it still serves callers.
 */
export function orderProgress(
  world: World,
  group: GroupId,
  acknowledgedBy: ReadonlySet<InstanceId>,
): Pick<
  OrderInputs,
  | 'steppedDown'
  | 'daemons'
  | 'acknowledged'
  | 'confirmers'
  | 'acknowledgedConfirmers'
  | 'confirmersNeeded'
> {
  const { listed, confirmers, peers } = world.fleet;
  const row = world.groups.get(group);
  const names = new Set([...listed.map(({ name }) => name), ...peers.keys()]);
  const hasAcknowledged = (name: InstanceId): boolean =>
    name === world.self.name || acknowledgedBy.has(name);
  return {
    steppedDown: row?.replaced?.ledNewest === true && row.replaced.steppedDown,
    daemons: names.size,
    acknowledged: [...names].filter(hasAcknowledged).length,
    confirmers: confirmers.length,
    acknowledgedConfirmers: confirmers.filter(({ name }) => hasAcknowledged(name)).length,
    confirmersNeeded: row
      ? confirmersNeeded(world, row, world.clock.now())
      : quorumOf(confirmers.length),
  };
}

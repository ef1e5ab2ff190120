import type { GroupId, InstanceId, Millis, TargetId } from '@rosedeck/shared';
import { hasSettled, nextMembers, quorumOf, SET_VALID_MS } from './confirmers';
import type { ConfirmerSet } from './confirmers';
import { listLateDaemons } from './fleet';
import { confirmersToReplace, isCurrent, supersedes } from './leadership';
import type { Leadership, OrderInputs } from './leadership';
import type { PrimaryBlock } from './logEvents';
import { keepStatus, sendOwnOp } from './ownOps';
import type { GroupLeadership } from './peerReport';
import type { GroupRow, TargetRow, World } from './tables';

/** Interval at which a replaced primary is asked to step down until it does. */
const STEP_DOWN_RETRY_MS: Millis = 100;

/** A primary that has not stepped down by then is taken for unreachable. */
const STEP_DOWN_LIMIT_MS: Millis = 5_000;

/** Applies the set of confirmers of a complete view of the store, unless a newer one is known. */
export function applyConfirmers(world: World, set: ConfirmerSet): void {
  const { fleet, clock } = world;
  if (set.version <= (fleet.confirmers?.set.version ?? 0)) return;
  fleet.confirmers = { set, since: clock.now(), isSettled: set.previous === undefined };
  const { version, members } = set;
  world.io.log({ type: 'confirmers_changed', version, members: members.join(' ') });
}

/** True when this daemon's reports go to every other daemon. */
export function isConfirmer(world: World): boolean {
  return world.fleet.confirmers?.set.members.includes(world.self.name) ?? false;
}

/**
 * Reviews what this daemon knows of the confirmers; called each tick. A process that has just started
 * may have acknowledged claims in its earlier life. It knows them once it has read the claims in the
 * store, or has heard a quorum without itself: one of that quorum has acknowledged each of them, too.
 */
export function reviewConfirmers(world: World, now: Millis): void {
  const { fleet, self } = world;
  const known = fleet.confirmers;
  if (!known) return;
  const { set, since } = known;
  const others = set.members.filter((name) => name !== self.name);
  if (!fleet.knowsClaims && countConfirming(world, others, now) >= quorumOf(set.members.length))
    fleet.knowsClaims = true;
  if (known.isSettled) return;
  const consenting = (set.previous ?? []).filter((name) => {
    if (name === self.name) return fleet.knowsClaims;
    return (fleet.peers.get(name)?.report.confirms ?? 0) >= set.version;
  });
  known.isSettled = hasSettled({ set, consenting: consenting.length, knownMs: now - since });
}

/** The version of the set that this daemon's reports name; undefined while they confirm nothing. */
export function confirmedVersion({ fleet }: World): number | undefined {
  return fleet.knowsClaims ? fleet.confirmers?.set.version : undefined;
}

/** The members that the set of confirmers has to get now, if this daemon is to change it. */
export function proposeMembers(
  world: World,
  place: number,
  now: Millis,
): readonly InstanceId[] | undefined {
  const { confirmers, listed, namesSince, peers, unlistedSince } = world.fleet;
  const names = new Set(listed.map(({ name }) => name));
  return nextMembers({
    known: confirmers,
    listed: [...names],
    unchangedMs: now - namesSince,
    viewAgeMs: world.io.viewAgeMs(),
    missingMs: (name) => {
      if (names.has(name) || peers.has(name)) return 0;
      return now - Math.max(unlistedSince.get(name) ?? 0, confirmers?.since ?? 0);
    },
    place,
  });
}

/** True when a quorum of confirmers has reported within the time of a lease, this daemon included. */
export function hasQuorum(world: World, now: Millis): boolean {
  const members = membersInForce(world);
  return members !== undefined && countConfirming(world, members, now) >= quorumOf(members.length);
}

/** The confirmers; undefined while none are known, or others may have replaced them unnoticed. */
function membersInForce(world: World): readonly InstanceId[] | undefined {
  const { confirmers } = world.fleet;
  return confirmers && world.io.viewAgeMs() < SET_VALID_MS ? confirmers.set.members : undefined;
}

/**
 * Daemons among `names` that have reported within the time of a lease and know the claims, this one
 * included. A report of a newer set does not count: its sender may have confirmed a claim by that set.
 */
function countConfirming(world: World, names: readonly InstanceId[], now: Millis): number {
  const { peers, confirmers, knowsClaims } = world.fleet;
  const version = confirmers?.set.version ?? 0;
  const heard = names.filter((name) => {
    if (name === world.self.name) return knowsClaims;
    const peer = peers.get(name);
    if (!peer || peer.report.config === 0) return false;
    const { confirms = 0 } = peer.report;
    if (confirms === 0 || confirms > version) return false;
    return now - peer.at < world.settings.leadershipLeaseMs;
  });
  return heard.length;
}

/** Confirmers that may replace the primary of a group; see `confirmersToReplace`. */
function confirmersNeeded(world: World, group: GroupRow, confirmers: number, now: Millis): number {
  const { storeReadAt } = world.fleet;
  const primary = group.primary === undefined ? undefined : group.targets.get(group.primary);
  return confirmersToReplace({
    confirmers,
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
  const members = membersInForce(world);
  if (members === undefined || world.fleet.confirmers?.isSettled !== true) return false;
  return (
    countConfirming(world, members, now) >= confirmersNeeded(world, group, members.length, now)
  );
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

/** Why the group's primary may be sent no work; undefined when it may be. */
export function findPrimaryBlock(
  world: World,
  group: GroupRow,
  now: Millis,
): PrimaryBlock | undefined {
  const { primary, primaryProvenAt, primaryLearnedAt, newest, leaderTerm } = group;
  const target = primary === undefined ? undefined : group.targets.get(primary);
  if (target?.logLoss) return 'log_lost';
  if (target?.logState === 'doubted') return 'log_doubted';
  if (world.settings.promotionsFenced) return undefined;
  if (primary === undefined) return 'unknown';
  if (primaryProvenAt === undefined && primaryLearnedAt === undefined) return 'unproven';
  if (!isCurrent(newest, leaderTerm, primary)) return 'replaced';
  return hasLease(world, now) ? undefined : 'no_lease';
}

/** True when the group's primary may be sent work. */
export function mayUsePrimary(world: World, group: GroupRow, now: Millis): boolean {
  return findPrimaryBlock(world, group, now) === undefined;
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

/**
 * Asks targets that lead an older term than the newest leadership to step down. No daemon uses them,
 * and an order for one that still leads changes nothing, so that the newest term would never begin.
 */
export function demoteOutdated(world: World, group: GroupRow, now: Millis): void {
  const { newest } = group;
  if (!newest) return;
  for (const target of group.targets.values()) {
    if (!leadsOutdatedTerm(target) || now - target.stepDownAskedAt < STEP_DOWN_RETRY_MS) continue;
    if (sendStepDown(world, target, newest.term, now)) target.stepDownAskedAt = now;
  }
}

/** Whether a target reports that it leads, in a term that a newer leadership has ended. */
export function leadsOutdatedTerm({ status, group, listed }: TargetRow): boolean {
  if (group.newest === undefined || status?.report.role !== 'primary') return false;
  return !isCurrent(group.newest, status.report.term, listed.id);
}

function sendStepDown(world: World, target: TargetRow, term: number, now: Millis): boolean {
  return sendOwnOp(world, target, { op: 'stepDown', term }, now, (reply, sent) => {
    const { group } = target;
    keepStatus(world, target, reply, sent);
    if (reply.kind !== 'done' || reply.status?.role !== 'replica') return;
    if (group.replaced?.target === target.listed.id) group.replaced.steppedDown = true;
    world.io.log({ type: 'primary_stepped_down', group: group.id, target: target.listed.id });
  });
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

/** Time after a change of the set in which the members before it count among all daemons. */
const PREVIOUS_SET_MS: Millis = 20_000;

/**
 * Progress of a claimed promotion towards its order. A daemon that reports counts although its entry
 * in the directory is lost, and so does one that was listed of late: it may still serve callers.
 */
export function orderProgress(
  world: World,
  group: GroupId,
  acknowledgedBy: ReadonlySet<InstanceId>,
): Omit<OrderInputs, 'sinceQuorumMs' | 'fenceWaitMs'> {
  const { confirmers, listed, peers } = world.fleet;
  const now = world.clock.now();
  const row = world.groups.get(group);
  const members = membersInForce(world) ?? [];
  const listedNames = listed.map(({ name }) => name);
  const late = listLateDaemons(world.fleet, now);
  const names = new Set([...members, ...listedNames, ...late, ...peers.keys()]);
  // Those that still use the previous set have leases of its last reports.
  if (confirmers && now - confirmers.since < PREVIOUS_SET_MS)
    for (const name of confirmers.set.previous ?? []) names.add(name);
  const hasAcknowledged = (name: InstanceId): boolean =>
    name === world.self.name || acknowledgedBy.has(name);
  return {
    steppedDown: row?.replaced?.ledNewest === true && row.replaced.steppedDown,
    daemons: names.size,
    acknowledged: [...names].filter(hasAcknowledged).length,
    confirmers: members.length,
    acknowledgedConfirmers: members.filter(hasAcknowledged).length,
    confirmersNeeded: row
      ? confirmersNeeded(world, row, members.length, now)
      : quorumOf(members.length),
    isSetSettled: confirmers?.isSettled === true,
  };
}

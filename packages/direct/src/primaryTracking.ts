import { ORIGIN } from '@rosedeck/shared';
import type { Millis, Position, TargetId } from '@rosedeck/shared';
import type { ListedTarget } from './configuration';
import { isTrusted, recordLeadership } from './fencing';
import { isLogDoubted, reviewLogEnd, reviewStatus } from './logLoss';
import type { PeerSample } from './peerReport';
import { dropSamples, mayBeNewest, recordSample } from './readBounds';
import type { TargetReply } from './statements';
import type { GroupRow, SentOp, TargetRow, World } from './tables';
import { updateAverage } from './tables';

/**
 * Records proof that a target was the primary when it handled an operation. A reply without a position
 * proves it all the same; it gives no bound for reads.
 */
export function recordPrimaryProof(
  world: World,
  target: TargetRow,
  position: Position | undefined,
  sent: SentOp,
): void {
  if (sent.epoch !== world.epoch || !reviewLogEnd(world, target, position, sent)) return;
  acceptProof(world, target, position, sent);
}

function acceptProof(
  world: World,
  target: TargetRow,
  position: Position | undefined,
  sent: SentOp,
): void {
  const { group } = target;
  if (!recordLead(world, target, position)) return;
  if (!mayBeNewest(world, group, position?.term, sent.sentAt)) return;
  if (sent.sentAt < target.notPrimaryAt && (position ?? ORIGIN).term <= group.term) return;
  if (position) recordSample(world, group, { position, sentAt: sent.sentAt, of: target.listed.id });
  group.lastProof = { target: target.listed.id, sentAt: sent.sentAt };
  group.primaryProvenAt = Math.max(group.primaryProvenAt ?? -Infinity, sent.sentAt);
  const expected = group.expectedPrimary;
  if (expected?.target === target.listed.id) {
    if (!expected.isMissed) updateAverage(group.promotionMs, sent.sentAt - expected.since);
    group.expectedPrimary = undefined;
  }
  if (group.primary !== target.listed.id) setPrimary(world, group, target.listed.id, 'it leads');
  group.primaryDownSince = undefined;
}

/**
 * Records the term in which a target leads, where promotions are not fenced; false when it may have
 * been replaced. A log's last entry may be of an older term than the one in which its target leads. A
 * newer term begins with the first position that is told in it.
 */
function recordLead(world: World, target: TargetRow, position: Position | undefined): boolean {
  if (world.settings.promotionsFenced) return true;
  const { group, ledTerm } = target;
  const id = target.listed.id;
  if (ledTerm === undefined || !isTrusted(world, group, id, ledTerm, world.clock.now()))
    return false;
  if (position) beginTerm(world, target, ledTerm, position);
  return ledTerm <= group.leaderTerm;
}

/** Begins a newer term of a group. Its primary's log may lack entries that older samples cover. */
function beginTerm(world: World, target: TargetRow, term: number, position: Position): void {
  const { group, listed } = target;
  if (term <= group.leaderTerm) return;
  group.leaderTerm = term;
  dropSamples(world, group, term);
  group.term = position.term;
  recordLeadership(world, group, { term, token: 0, target: listed.id });
}

/** Records the status that a target reports of itself. */
export function recordStatus(
  world: World,
  target: TargetRow,
  reply: TargetReply,
  sent: SentOp,
): void {
  if (reply.kind !== 'done' || !reply.status) return;
  target.status = { report: reply.status, at: sent.sentAt, heardAt: world.clock.now() };
  reviewStatus(world, target, reply.status, sent);
  if (world.settings.promotionsFenced) return;
  target.ledTerm = reply.status.role === 'primary' ? reply.status.term : undefined;
  proveByStatus(world, target, reply, sent);
}

/** Takes a status for proof that a target leads, unless it may have lost its log. */
function proveByStatus(
  world: World,
  target: TargetRow,
  { status, position }: Extract<TargetReply, { kind: 'done' }>,
  sent: SentOp,
): void {
  if (status?.role !== 'primary' || sent.epoch !== world.epoch || isLogDoubted(target)) return;
  acceptProof(world, target, position ?? status.received, sent);
}

/**
 * Records the status of a target that tells no position elsewhere. With a fence the role in a status
 * proves a primary, as it does without one.
 */
export function recordProbeStatus(
  world: World,
  target: TargetRow,
  reply: TargetReply,
  sent: SentOp,
): void {
  recordStatus(world, target, reply, sent);
  if (world.settings.promotionsFenced && reply.kind === 'done')
    proveByStatus(world, target, reply, sent);
}

/**
 * Adopts the primary that another daemon has proven at `provenAt`, unless this daemon knows better.
 * In a large fleet only samplers probe, so that the others would keep a primary that went silent.
 */
export function adoptPrimary(
  world: World,
  target: TargetRow,
  { leaderTerm, position }: Pick<PeerSample, 'leaderTerm' | 'position'>,
  provenAt: Millis,
): void {
  const { group } = target;
  if (provenAt <= Math.max(group.primaryProvenAt ?? 0, group.primaryLearnedAt ?? 0)) return;
  if (provenAt <= target.notPrimaryAt) return;
  if (!isTrusted(world, group, target.listed.id, leaderTerm, world.clock.now())) return;
  if (world.settings.promotionsFenced) {
    if (!mayBeNewest(world, group, position?.term, provenAt)) return;
  } else {
    if (!position && leaderTerm > group.leaderTerm) return;
    target.ledTerm = leaderTerm;
    if (position) beginTerm(world, target, leaderTerm, position);
  }
  // The other daemon has asked it for its log since.
  if (provenAt > (target.logLoss?.at ?? Infinity)) target.logLoss = undefined;
  if (group.primary !== target.listed.id)
    setPrimary(world, group, target.listed.id, 'a sample of another daemon');
  group.primaryLearnedAt = provenAt;
  const expected = group.expectedPrimary;
  if (expected?.target === target.listed.id && provenAt >= expected.since)
    group.expectedPrimary = undefined;
}

/**
 * Takes a claimed primary for the primary although it has not proven it. This daemon may be cut
 * off from it, and must not restore the commits that the promotion has discarded.
 */
export function presumePrimary(world: World, group: GroupRow, target: TargetId): void {
  if (group.primary !== target) setPrimary(world, group, target, 'a claim');
}

/** Records that a target refused an operation because it is not the primary. */
export function recordNotPrimary(world: World, target: TargetRow, sent: SentOp): void {
  const { group } = target;
  target.notPrimaryAt = world.clock.now();
  target.ledTerm = undefined;
  if (group.primary !== target.listed.id) return;
  if (group.primaryProvenAt !== undefined && sent.sentAt < group.primaryProvenAt) return;
  setPrimary(world, group, guessPrimary(world, group), 'it reports that it is not the primary');
}

/** Guesses a primary when none is known or the known one has been removed. */
export function reviewPrimary(world: World, group: GroupRow): void {
  const current = group.primary === undefined ? undefined : group.targets.get(group.primary);
  if (current) return;
  const guess = guessPrimary(world, group);
  if (guess !== group.primary) setPrimary(world, group, guess, 'the list');
}

function setPrimary(
  world: World,
  group: GroupRow,
  to: TargetId | undefined,
  evidence: string,
): void {
  const now = world.clock.now();
  const from = group.primary;
  group.primary = to;
  if (evidence !== 'it leads') group.primaryProvenAt = undefined;
  group.primaryLearnedAt = undefined;
  world.groupsToDispatch.add(group);
  if (from === to) return;
  group.primaryChangedAt = now;
  world.io.log({
    type: 'primary_changed',
    group: group.id,
    from,
    to,
    term: group.term,
    evidence,
    troubledMs: group.primaryDownSince === undefined ? 0 : Math.round(now - group.primaryDownSince),
  });
}

/**
 * The expected primary; else the listed primary with the highest revision, without targets that
 * recently replied that they are not the primary.
 */
function guessPrimary(world: World, group: GroupRow): TargetId | undefined {
  if (group.expectedPrimary && group.targets.has(group.expectedPrimary.target))
    return group.expectedPrimary.target;
  let best: TargetRow | undefined;
  const now = world.clock.now();
  for (const target of group.targets.values()) {
    if (target.listed.role !== 'primary') continue;
    if (now - target.notPrimaryAt < NOT_PRIMARY_MS) continue;
    if (!best || isListedLater(target.listed, best.listed)) best = target;
  }
  return best?.listed.id;
}

/** Time for which a target that replied that it is not the primary is not guessed again. */
const NOT_PRIMARY_MS: Millis = 150;

/** A store that was restored from a copy gives revisions out again: its era is compared first. */
function isListedLater(a: ListedTarget, b: ListedTarget): boolean {
  const [era, otherEra] = [a.era ?? 0, b.era ?? 0];
  return era === otherEra ? a.revision > b.revision : era > otherEra;
}

import { covers } from '@rosedeck/shared';
import type { Millis } from '@rosedeck/shared';
import type { TargetReport } from './messages';
import { needsNewerReports } from './groupQueue';
import { isOwner } from './ownership';
import type { GroupRow, PositionSample, TargetRow } from './tables';
import { regularRoundInterval } from './probeInterval';
import { majorityOf, queueCommand, recordLogEvent, targetsOf } from './world';
import type { World } from './world';

/** Samples kept per group at most; enough for replicas that lag by seconds. */
const MAX_SAMPLES = 1_024;

/** Starts a probe round of a group when it is due, and schedules the next one. */
export function runProbeRounds(world: World, group: GroupRow, now: Millis): void {
  expireProbes(world, group, now);
  if (!needsProbes(world, group)) return;
  const isUrgent = awaitsProbeReplies(group);
  const intervalMs = isUrgent
    ? world.settings.urgentRoundMs
    : regularRoundInterval(world, group, now);
  const dueAt = group.lastRoundAt + intervalMs;
  if (dueAt > now) {
    world.scheduler.queueJobAt('rounds', group.spec.id, dueAt);
    return;
  }
  startProbeRound(world, group, now);
  world.scheduler.queueJobAt('rounds', group.spec.id, now + intervalMs);
}

/** Applies the reply to a probe; without a report, the probe has failed. */
export function applyProbeReply(
  world: World,
  group: GroupRow,
  target: TargetRow,
  round: number,
  report: TargetReport | undefined,
): void {
  const probe = target.probe;
  if (probe?.round !== round) return;
  target.probe = undefined;
  if (!report) {
    target.failedProbes += 1;
    queueFollowUps(world, group);
    return;
  }
  target.silentSince = undefined;
  target.failedProbes = 0;
  applyReport(world, group, target, report, probe.sentAt);
}

/** Applies a target's report; `sentAt` is when its request was sent. */
export function applyReport(
  world: World,
  group: GroupRow,
  target: TargetRow,
  report: TargetReport,
  sentAt: Millis,
): void {
  // A restart or a cut log takes back what the target had applied.
  if (target.report && !covers(report.applied, target.report.applied)) target.dataAsOf = undefined;
  target.report = report;
  target.reportAt = world.policies.reportValidAt(sentAt, world.clock.now());
  refreshPrimary(world, group);
  confirmSamples(world, group);
  refreshDataAsOf(group, target);
  queueFollowUps(world, group);
}

/** Discards everything observed about the targets of a group, after a pause of this daemon. */
export function discardReports(world: World, group: GroupRow): void {
  group.samples = [];
  group.pendingSample = undefined;
  for (const target of targetsOf(world, group)) {
    target.report = undefined;
    target.dataAsOf = undefined;
    target.silentSince = undefined;
    target.failedProbes = 0;
    target.probe = undefined;
  }
}

/** The newest confirmed sample of a group; undefined before the first one. */
export function newestSample(group: GroupRow): PositionSample | undefined {
  return group.samples.at(-1);
}

function needsProbes(world: World, group: GroupRow): boolean {
  if (awaitsProbeReplies(group) || group.queue.length > 0 || group.promotion) return true;
  return isOwner(world, group.spec.id);
}

function awaitsProbeReplies(group: GroupRow): boolean {
  if (group.promotion?.stage === 'holding') return true;
  return group.confirming.length > 0 || needsNewerReports(group.queue) || awaitsPrimary(group);
}

function awaitsPrimary(group: GroupRow): boolean {
  return group.primaryGap.since !== undefined && group.queue.length > 0;
}

function startProbeRound(world: World, group: GroupRow, now: Millis): void {
  const round = group.nextRoundId;
  group.nextRoundId += 1;
  group.lastRoundAt = now;
  for (const target of targetsOf(world, group)) {
    if (target.probe) continue;
    target.probe = { round, sentAt: now };
    target.silentSince ??= now;
    queueCommand(world, { type: 'probe', group: group.spec.id, target: target.spec.id, round });
  }
  // A probe without a reply by then shortens the probe interval.
  world.scheduler.queueJobAt('rounds', group.spec.id, now + world.settings.alertAfterMs);
}

function expireProbes(world: World, group: GroupRow, now: Millis): void {
  for (const target of targetsOf(world, group)) {
    if (!target.probe) continue;
    if (now - target.probe.sentAt < world.settings.probeTimeoutMs) continue;
    target.probe = undefined;
    target.failedProbes += 1;
    world.scheduler.queueJob('detection', group.spec.id);
    world.scheduler.queueJob('dispatch', group.spec.id);
  }
}

function refreshPrimary(world: World, group: GroupRow): void {
  const targets = targetsOf(world, group);
  const primary = findPrimary(group, targets);
  group.term = primary?.report?.term ?? Math.max(group.term, majorityTerm(group, targets));
  group.highestSeenTerm = Math.max(group.highestSeenTerm, highestTerm(targets));
  const next = primary?.spec.id;
  if (next === group.primary) return;
  group.primary = next;
  group.pendingSample = undefined;
  if (next === undefined) return;
  group.primarySince = world.clock.now();
  recordLogEvent(world, {
    type: 'primary_changed',
    group: group.spec.id,
    primary: next,
    term: group.term,
  });
}

/** The primary of the highest term, unless a majority has adopted a later term since. */
function findPrimary(group: GroupRow, targets: readonly TargetRow[]): TargetRow | undefined {
  let primary: TargetRow | undefined;
  for (const target of targets) {
    if (target.report?.role !== 'primary') continue;
    if (!primary?.report || target.report.term > primary.report.term) primary = target;
  }
  const term = primary?.report?.term;
  if (term === undefined || term < group.term) return undefined;
  return majorityTerm(group, targets) > term ? undefined : primary;
}

function highestTerm(targets: readonly TargetRow[]): number {
  return targets.reduce((term, target) => Math.max(term, target.report?.term ?? 0), 0);
}

/** The highest term that a majority has reached: one target in a later term does not replace a primary. */
function majorityTerm(group: GroupRow, targets: readonly TargetRow[]): number {
  const terms = targets.map((target) => target.report?.term ?? 0);
  terms.sort((a, b) => b - a);
  return terms[majorityOf(group) - 1] ?? 0;
}

function confirmSamples(world: World, group: GroupRow): void {
  const primary = group.primary === undefined ? undefined : world.targets.get(group.primary);
  const report = primary?.report;
  if (!primary || !report) return;
  if (group.pendingSample && group.pendingSample.term !== report.term)
    group.pendingSample = undefined;
  group.pendingSample ??= {
    position: report.received,
    term: report.term,
    sentAt: primary.reportAt,
  };
  if (!hasMajorityInTerm(world, group, group.pendingSample)) return;
  addSample(group, group.pendingSample);
  const isNewer = primary.reportAt > group.pendingSample.sentAt;
  group.pendingSample = isNewer
    ? { position: report.received, term: report.term, sentAt: primary.reportAt }
    : undefined;
  for (const target of targetsOf(world, group)) refreshDataAsOf(group, target);
}

function hasMajorityInTerm(world: World, group: GroupRow, sample: PositionSample): boolean {
  let count = 0;
  for (const target of targetsOf(world, group)) {
    const isInTerm = target.report?.term === sample.term;
    if (isInTerm && target.reportAt >= sample.sentAt) count += 1;
  }
  return world.policies.isSampleConfirmed(count, majorityOf(group));
}

function addSample(group: GroupRow, sample: PositionSample): void {
  const last = group.samples.at(-1);
  if (last && last.sentAt >= sample.sentAt) return;
  const isUnchanged = last?.term === sample.term && covers(last.position, sample.position);
  if (isUnchanged) group.samples.pop();
  group.samples.push(sample);
  if (group.samples.length > MAX_SAMPLES) group.samples.splice(0, MAX_SAMPLES / 2);
}

function refreshDataAsOf(group: GroupRow, target: TargetRow): void {
  const report = target.report;
  if (report?.term !== group.term) return;
  for (let index = group.samples.length - 1; index >= 0; index -= 1) {
    const sample = group.samples[index];
    if (!sample || sample.term > report.term) continue;
    if (target.dataAsOf !== undefined && sample.sentAt <= target.dataAsOf) return;
    if (!covers(report.applied, sample.position)) continue;
    target.dataAsOf = sample.sentAt;
    return;
  }
}

function queueFollowUps(world: World, group: GroupRow): void {
  const id = group.spec.id;
  world.scheduler.queueJob('confirmation', id);
  world.scheduler.queueJob('detection', id);
  world.scheduler.queueJob('dispatch', id);
  if (group.promotion) world.scheduler.queueJob('promotion', id);
  // The result may shorten the probe interval.
  world.scheduler.queueJob('rounds', id);
}

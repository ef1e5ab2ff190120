import type { Millis } from '@rosedeck/shared';
import {
  mayOpen,
  openConnection,
  releaseConnection,
  sendOps,
  takeAnyConnection,
} from './connections';
import { isUsable } from './eligibility';
import { isCurrent } from './leadership';
import { sendOwnOp } from './ownOps';
import {
  recordNotPrimary,
  recordPrimaryProof,
  recordProbeStatus,
  recordStatus,
} from './primaryTracking';
import { rollbackStep } from './rollback';
import type { Step } from './rollback';
import { isSampler, isScarce } from './samplers';
import type { ConnectionRow, GroupRow, TargetRow, World } from './tables';

/**
 * Probes for proof of the primary: the primary itself when its last proof is old, all targets when
 * the primary is unconfirmed.
 */
export function probeTargets(
  world: World,
  group: GroupRow,
  primary: TargetRow | undefined,
  now: Millis,
): void {
  const { settings } = world;
  if (isScarce(world, group) && !isSampler(world, group)) return;
  const provenAt = group.primaryProvenAt;
  const isConfirmed = primary !== undefined && provenAt !== undefined && !group.expectedPrimary;
  if (isConfirmed) {
    const isIdle = now - group.lastRequestAt > settings.sampleIdleMs;
    // A sample ends the wait for the logs of targets that are gone.
    const isAwaited = group.syncReplicas > 0 && group.missingLogs.logs.size > 0;
    if (isIdle && !isAwaited) return;
    // A primary whose replies tell no position is proven without a sample.
    const sampledAt = Math.min(provenAt, group.samples.at(-1)?.sentAt ?? -Infinity);
    if (now - sampledAt >= settings.sampleEveryMs) sendProbe(world, primary, now);
    return;
  }
  for (const target of group.targets.values())
    if (isUsable(world, target, now)) sendProbe(world, target, now);
}

function sendProbe(world: World, target: TargetRow, now: Millis): void {
  if (now - target.probedAt < world.settings.probeEveryMs) return;
  const connection = takeAnyConnection(target, now);
  if (!connection) {
    if (target.connections.size === 0 && mayOpen(world, target, now))
      openConnection(world, target, now);
    return;
  }
  target.probedAt = now;
  if (!world.settings.promotionsFenced && isTermUnknown(target)) {
    sendStatus(world, target, connection);
    return;
  }
  const steps: Step[] = [
    [
      { op: 'begin', readOnly: false },
      (reply, sent) => {
        if (reply.kind === 'done') recordPrimaryProof(world, target, reply.position, sent);
        else if (reply.code === 'read_only') recordNotPrimary(world, target, sent);
      },
    ],
    rollbackStep(world, connection),
  ];
  if (target.logState !== 'told' || target.logLoss) steps.unshift(statusStep(world, target));
  sendOps(world, connection, steps);
}

/** Step that asks a target for the end of its log, which its other replies do not tell. */
function statusStep(world: World, target: TargetRow): Step {
  return [
    { op: 'status' },
    (reply, sent) => {
      recordProbeStatus(world, target, reply, sent);
    },
  ];
}

/** True when only a status can show whether the target leads the newest term. */
function isTermUnknown({ group, ledTerm, listed }: TargetRow): boolean {
  return ledTerm === undefined || !isCurrent(group.newest, ledTerm, listed.id);
}

/** Requests the status of a target if a connection to it is idle; else opens one. */
export function requestStatus(world: World, target: TargetRow, now: Millis): void {
  if (now - target.statusRequestedAt < world.settings.probeEveryMs) return;
  const isSent = sendOwnOp(world, target, { op: 'status' }, now, (reply, sent) => {
    recordStatus(world, target, reply, sent);
  });
  if (isSent) target.statusRequestedAt = now;
}

function sendStatus(world: World, target: TargetRow, connection: ConnectionRow): void {
  sendOps(world, connection, [
    [
      { op: 'status' },
      (reply, sent) => {
        recordStatus(world, target, reply, sent);
        releaseConnection(world, connection, world.clock.now());
      },
    ],
  ]);
}

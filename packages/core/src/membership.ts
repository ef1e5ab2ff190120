import type { InstanceId, Millis } from '@rosedeck/shared';
import { updateConfirmers } from './configFreshness';
import type { ListedInstance, ListedTarget } from './events';
import { invalidateOwners } from './ownership';
import type { PeerRow } from './tables';
import { queueCommand, recordLogEvent } from './world';
import type { World } from './world';

/** Applies the platform's list of instances and targets to the tables. */
export function applyList(
  world: World,
  instances: readonly ListedInstance[],
  targets: readonly ListedTarget[],
): void {
  world.hasList = true;
  applyInstances(world, instances);
  invalidateOwners(world);
  updateConfirmers(world);
  applyTargets(world, targets);
  queueAllRounds(world);
}

/** Suspects a peer that failed to answer: it owns no group for `forMs`, by default a growing time. */
export function suspectPeer(world: World, id: InstanceId, forMs?: Millis): void {
  const peer = world.peers.get(id);
  if (!peer) return;
  const lengthMs = forMs ?? lengthenSuspicion(world, peer);
  peer.suspectedUntil = world.clock.now() + lengthMs;
  recordLogEvent(world, { type: 'peer_suspected', peer: id, forMs: lengthMs });
  invalidateOwners(world);
  queueAllRounds(world);
}

/** Doubles the length with each further failure; jitter keeps daemons from returning to the peer together. */
function lengthenSuspicion(world: World, peer: PeerRow): Millis {
  const { suspicionMs, suspicionLimitMs } = world.settings;
  const next = peer.suspicionMs === 0 ? suspicionMs : peer.suspicionMs * 2;
  peer.suspicionMs = Math.min(suspicionLimitMs, next);
  return peer.suspicionMs * (1 + world.random() / 2);
}

/** Ends the suspicion of a peer that has answered. */
export function clearSuspicion(world: World, id: InstanceId): void {
  const peer = world.peers.get(id);
  if (!peer || peer.suspectedUntil === 0) return;
  peer.suspectedUntil = 0;
  peer.suspicionMs = 0;
  invalidateOwners(world);
  recordLogEvent(world, { type: 'peer_cleared', peer: id });
}

/** Applies a peer's announcement that it is or is not leaving; the list may show the change later. */
export function applyPeerLeaving(world: World, id: InstanceId, leaving: boolean): void {
  const peer = world.peers.get(id);
  if (!peer) return;
  const now = world.clock.now();
  const wasLeaving = peer.leavingUntil > now;
  peer.leavingUntil = leaving ? now + world.settings.leavingHoldMs : 0;
  if (wasLeaving === leaving) return;
  invalidateOwners(world);
  if (leaving) recordLogEvent(world, { type: 'peer_leaving', peer: id });
  queueAllRounds(world);
}

/** Starts to drain: gives up the owner roles and announces this to all peers at once, by `config_ask`. */
export function startDrain(world: World): void {
  if (world.draining) return;
  world.draining = true;
  invalidateOwners(world);
  recordLogEvent(world, { type: 'drain_started' });
  for (const peer of world.peers.keys()) {
    if (peer !== world.self) queueCommand(world, { type: 'config_ask', to: peer });
  }
  queueAllRounds(world);
}

function applyInstances(world: World, instances: readonly ListedInstance[]): void {
  const listed = new Set(instances.map((one) => one.id));
  for (const id of world.peers.keys()) if (!listed.has(id)) world.peers.delete(id);
  for (const instance of instances) {
    const existing = world.peers.get(instance.id);
    const hasMoved = existing?.host !== instance.host || existing.peerPort !== instance.peerPort;
    if (existing && !hasMoved) existing.leaving = instance.leaving;
    else
      world.peers.set(instance.id, {
        ...instance,
        suspectedUntil: 0,
        suspicionMs: 0,
        leavingUntil: 0,
      });
  }
}

function applyTargets(world: World, targets: readonly ListedTarget[]): void {
  const leaving = targets.filter((one) => one.leaving).map((one) => one.id);
  world.leavingTargets = new Set(leaving);
  for (const target of world.targets.values()) {
    const isLeaving = world.leavingTargets.has(target.spec.id);
    if (target.leaving === isLeaving) continue;
    target.leaving = isLeaving;
    target.leavingSince = isLeaving ? world.clock.now() : undefined;
    if (isLeaving) recordLogEvent(world, { type: 'target_leaving', target: target.spec.id });
    world.scheduler.queueJob('dispatch', target.group);
    world.scheduler.queueJob('detection', target.group);
  }
}

function queueAllRounds(world: World): void {
  for (const id of world.groups.keys()) world.scheduler.queueJob('rounds', id);
}

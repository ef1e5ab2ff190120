import type { Millis } from '@rosedeck/shared';
import { addConnectionRow } from './connectionRows';
import { currentShare, scarceIdleTimeoutMs } from './connectionShare';
import type { ShareInputs } from './connectionShare';
import { daemonCount } from './fleet';
import { connectionsOfOthers, othersInFlight } from './otherLoads';
import { acceptLease, forgetLease, recordLeaseLoss } from './leaseTable';
import { isSampler, isScarce, keepsOwnConnection } from './samplers';
import { NO_DIGEST } from './statements';
import type { LossReason, TargetOp, TargetReply } from './statements';
import type { ConnectionRow, ReplyHandler, TargetRow, World } from './tables';
import type { TenantName } from './tenants';

/**
 * Connections to a target that stay open without work. After a power loss a daemon's connections
 * count against the limit for seconds, so that more idle ones would lock out its successor.
 */
const MIN_POOL_SIZE = 1;

function shareInputs(world: World, target: TargetRow): ShareInputs {
  return {
    limit: target.group.connectionLimit,
    daemons: daemonCount(world),
    heldByOthers: connectionsOfOthers(world, target),
    planShare: world.settings.connectionPlanShare,
  };
}

/** Connections to the target that this daemon may hold now. */
export function allowedConnections(world: World, target: TargetRow): number {
  return currentShare(shareInputs(world, target));
}

/** True when one more connection to the target may be opened now. */
export function mayOpen(world: World, target: TargetRow, now: Millis): boolean {
  if (now < target.openBlockedUntil) return false;
  return target.connections.size < allowedConnections(world, target);
}

/** True when a connection for a tenant may be opened, if need be in place of an idle one of another. */
export function mayOpenFor(
  world: World,
  target: TargetRow,
  tenant: TenantName | undefined,
  now: Millis,
): boolean {
  if (mayOpen(world, target, now)) return true;
  return now >= target.openBlockedUntil && findOtherIdle(target, tenant) !== undefined;
}

/** Closes the longest idle connection of another tenant where one for `tenant` needs its room. */
export function makeRoom(
  world: World,
  target: TargetRow,
  tenant: TenantName | undefined,
  now: Millis,
): void {
  if (now < target.openBlockedUntil || mayOpen(world, target, now)) return;
  const other = findOtherIdle(target, tenant);
  if (other) dropConnection(world, other);
}

function findOtherIdle(
  target: TargetRow,
  tenant: TenantName | undefined,
): ConnectionRow | undefined {
  return target.idle.find((row) => row.tenant !== tenant);
}

/** Opens a connection to a target, once `mayOpen` allows it. */
export function openConnection(
  world: World,
  target: TargetRow,
  now: Millis,
  tenant?: TenantName,
): void {
  const row = addConnectionRow(world, target, now, tenant);
  target.connections.add(row);
  world.io.openConnection(row.id, target.listed, tenant);
}

/** Makes a newly opened connection available. */
export function handleOpened(world: World, row: ConnectionRow, now: Millis): void {
  if (row.state !== 'opening') return;
  const { target, lease } = row;
  if (lease) {
    acceptLease(world, row, lease, now);
    makeIdle(world, row, now);
    return;
  }
  recordContact(world, target, now);
  target.idleTimeoutMs = Math.min(IDLE_TIMEOUT_MS.max, target.idleTimeoutMs * IDLE_TIMEOUT_GROWTH);
  row.lastReplyAt = now;
  makeIdle(world, row, now);
}

/** Returns a connection to the idle ones of its target. */
export function releaseConnection(world: World, row: ConnectionRow, now: Millis): void {
  if (!world.connections.has(row.id)) return;
  row.onLost = undefined;
  makeIdle(world, row, now);
}

function makeIdle(world: World, row: ConnectionRow, now: Millis): void {
  row.state = 'idle';
  row.idleSince = now;
  if (row.lease) row.target.group.idleLeases.push(row);
  else row.target.idle.push(row);
  world.groupsToDispatch.add(row.target.group);
}

/** Idle connections to a target that statements of a tenant, or those without one, may use. */
export function countIdle(target: TargetRow, tenant: TenantName | undefined): number {
  let count = 0;
  for (const row of target.idle) if (row.tenant === tenant) count += 1;
  return count;
}

/**
 * Takes an idle connection in the name of a tenant, or of none, if possible one with the same session
 * variables.
 */
export function takeConnection(
  target: TargetRow,
  now: Millis,
  variables: ReadonlyMap<string, string>,
  tenant: TenantName | undefined,
): ConnectionRow | undefined {
  const { idle } = target;
  const matching = idle.findLastIndex(
    (row) => row.tenant === tenant && hasVariables(row, variables),
  );
  const index = matching === -1 ? idle.findLastIndex((row) => row.tenant === tenant) : matching;
  return index === -1 ? undefined : takeAt(target, index, now);
}

/** Takes the most recently used idle connection for an operation of rosedeck's own. */
export function takeAnyConnection(target: TargetRow, now: Millis): ConnectionRow | undefined {
  const { idle } = target;
  return idle.length === 0 ? undefined : takeAt(target, idle.length - 1, now);
}

function takeAt(target: TargetRow, index: number, now: Millis): ConnectionRow | undefined {
  const [row] = target.idle.splice(index, 1);
  if (!row) return undefined;
  row.state = 'busy';
  row.takenAt = now;
  return row;
}

function hasVariables(row: ConnectionRow, variables: ReadonlyMap<string, string>): boolean {
  if (row.variables.size !== variables.size) return false;
  for (const [name, value] of variables) if (row.variables.get(name) !== value) return false;
  return true;
}

/** Sends operations on a connection, each with the handler of its reply. */
export function sendOps(
  world: World,
  row: ConnectionRow,
  ops: readonly (readonly [TargetOp, ReplyHandler])[],
): void {
  const sentAt = world.clock.now();
  for (const [op, handle] of ops)
    row.pending.push({ op: op.op, sentAt, epoch: world.epoch, handle });
  world.io.send(
    row.id,
    ops.map(([op]) => op),
  );
}

/** Passes a reply to the handler of the oldest pending operation. */
export function applyReply(
  world: World,
  row: ConnectionRow,
  reply: TargetReply,
  now: Millis,
): void {
  const sent = row.pending.shift();
  if (!sent) {
    loseConnection(world, row, 'protocol', now);
    return;
  }
  if (!canAnswer(reply, sent.op)) {
    // The reply to this operation was lost; nothing tells which later one has been answered.
    row.pending.unshift(sent);
    loseConnection(world, row, 'protocol', now);
    return;
  }
  row.lastReplyAt = now;
  // A reply over a lease says nothing about a connection that this daemon keeps for probes.
  if (!row.lease || !keepsOwnConnection(world, row.target)) recordContact(world, row.target, now);
  if (reply.position && sent.sentAt >= (row.target.lastPosition?.sentAt ?? -Infinity))
    row.target.lastPosition = { position: reply.position, sentAt: sent.sentAt, heardAt: now };
  sent.handle(reply, sent);
}

/** False for a success that is certainly not the reply to an operation, as after a lost reply. */
function canAnswer(reply: TargetReply, op: TargetOp['op']): boolean {
  if (reply.kind === 'failed') return true;
  // The row of a target whose log is empty is no status, since it names no position.
  if (op === 'status' || op === 'stepDown' || op === 'pause' || op === 'resume')
    return reply.status !== undefined || reply.rows.length > 0;
  if (op === 'begin' && !reply.inTransaction) return false;
  return (op === 'run') === (reply.digest !== NO_DIGEST);
}

/** Closes a connection that broke or whose state is unclear, and records the loss. */
export function loseConnection(
  world: World,
  row: ConnectionRow,
  reason: LossReason,
  now: Millis,
): void {
  if (!removeConnection(world, row)) return;
  if (reason === 'protocol')
    world.io.log({
      type: 'replies_mismatched',
      target: row.target.listed.id,
      connection: row.id,
      op: row.pending[0]?.op,
    });
  if (row.lease) recordLeaseLoss(world, row, row.lease, reason, now);
  else recordLoss(world, row, reason, now);
  if (row.state !== 'idle') row.onLost?.(reason);
}

/** Closes a connection on purpose; this does not count as a failure of its target. */
export function dropConnection(world: World, row: ConnectionRow): void {
  removeConnection(world, row);
}

/** Closes a connection and removes it from all tables; false when it was already removed. */
function removeConnection(world: World, row: ConnectionRow): boolean {
  if (!world.connections.delete(row.id)) return false;
  const { target } = row;
  if (row.lease) forgetLease(row, row.lease);
  target.connections.delete(row);
  const index = target.idle.indexOf(row);
  if (index !== -1) target.idle.splice(index, 1);
  world.io.closeConnection(row.id);
  world.groupsToDispatch.add(target.group);
  return true;
}

/**
 * Pause before a daemon that keeps no connection to a failing target tries it again. Up to as much is
 * added at random, since hundreds of daemons may lose a target at the same moment.
 */
const RECHECK_MS: Millis = 500;

function recordLoss(world: World, row: ConnectionRow, reason: LossReason, now: Millis): void {
  const { target } = row;
  if (reason === 'limit') {
    target.openBlockedUntil = now + world.settings.limitBackoffMs * (1 + world.random());
    target.idleTimeoutMs = Math.max(IDLE_TIMEOUT_MS.min, target.idleTimeoutMs / 2);
    recordContact(world, target, now);
    world.io.log({
      type: 'target_full',
      target: target.listed.id,
      own: target.connections.size,
      limit: target.group.connectionLimit,
    });
    return;
  }
  const since = reason === 'silent' ? (row.pending[0]?.sentAt ?? row.openedAt) : now;
  // A reset of an open connection alone does not show that its target has failed.
  const countsAsFailure =
    row.state === 'opening' || reason === 'silent' || reason === 'wrong_target';
  if (countsAsFailure) {
    target.openBlockedUntil = now + world.settings.reopenDelayMs;
    target.recheckAt = now + RECHECK_MS * (1 + world.random());
    target.failures += 1;
    target.lastFailure = reason;
    if (target.failingSince === undefined) {
      target.failingSince = Math.max(since, target.lastReplyAt);
      world.io.log({
        type: 'target_lost',
        target: target.listed.id,
        reason,
        sinceReplyMs: Math.round(now - target.lastReplyAt),
      });
    }
  }
}

function recordContact(world: World, target: TargetRow, now: Millis): void {
  target.lastReplyAt = now;
  if (target.failingSince === undefined) return;
  world.io.log({
    type: 'target_regained',
    target: target.listed.id,
    afterMs: Math.round(now - target.failingSince),
  });
  target.failingSince = undefined;
  target.failures = 0;
  target.lastFailure = undefined;
}

/**
 * Whether an idle connection is closed. Where there are more daemons than connections, the idle
 * timeout adapts to the target's limit: it is halved when the target refuses a connection for its
 * limit, and grows with each connection that the target accepts; it is cut as the target fills up.
 */
function isSurplus(world: World, row: ConnectionRow, now: Millis): boolean {
  const { target } = row;
  const idleMs = now - row.idleSince;
  if (!isScarce(world, target.group))
    return idleMs > world.settings.surplusIdleMs && target.connections.size > MIN_POOL_SIZE;
  const isSampling = target.group.primary === target.listed.id && isSampler(world, target.group);
  if (isSampling && target.connections.size === 1) return false;
  const others = connectionsOfOthers(world, target);
  const held = others === undefined ? undefined : others + target.connections.size;
  const { connectionLimit: limit } = target.group;
  const saturated = othersInFlight(world, target) + target.smoothedInFlight > target.listed.slots;
  const adaptedMs = target.idleTimeoutMs;
  return idleMs > scarceIdleTimeoutMs({ adaptedMs, limit, held, saturated });
}

/** Bounds of the idle timeout of scarce connections, in milliseconds. */
const IDLE_TIMEOUT_MS = { min: 20, max: 2_000 } as const;

/** Factor by which the idle timeout grows with each connection that a target accepts. */
const IDLE_TIMEOUT_GROWTH = 1.05;

/** When a connection whose target owes it a reply counts as silent; undefined if none is owed. */
export function timeoutAt(world: World, row: ConnectionRow): Millis | undefined {
  const { settings } = world;
  if (row.state === 'opening') return row.lease ? undefined : row.openedAt + settings.openTimeoutMs;
  const [oldest] = row.pending;
  if (!oldest) return undefined;
  if (oldest.op === 'run') return row.statementDeadlineAt + settings.setupTimeoutMs;
  const limitMs = oldest.op === 'status' ? settings.statusWaitMs * 2 : settings.setupTimeoutMs;
  return Math.max(oldest.sentAt, row.lastReplyAt) + limitMs;
}

/**
 * Closes connections whose opening or set-up is overdue, and surplus idle ones. `expireRunning`
 * applies the deadline of a running request; here it is that of a statement whose request another
 * target has answered.
 */
export function reapConnections(world: World, now: Millis): void {
  for (const row of [...world.connections.values()]) {
    if (row.state === 'opening' && row.lease) {
      // The pool owner orders leases; only the deadline of the request ends the wait here.
      if (now > row.lease.askedFor.deadlineAt) dropConnection(world, row);
      continue;
    }
    const dueAt = timeoutAt(world, row);
    if (dueAt !== undefined) {
      if (now > dueAt) loseConnection(world, row, 'silent', now);
      continue;
    }
    if (row.state === 'idle' && !row.lease && isSurplus(world, row, now))
      dropConnection(world, row);
  }
}

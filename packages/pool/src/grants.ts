import type { Millis } from '@rosedeck/shared';
import {
  closeConnection,
  enterState,
  findIdle,
  makeIdle,
  mayOpen,
  needsValidation,
  openConnection,
  setInFlight,
  validateConnection,
} from './connectionSet';
import { endLease, refuse } from './requests';
import type { CanServe, ConnectionRow, LeaseRow, TargetRow, Tenant, World } from './tables';
import { anyWaitMs } from './waitEstimate';

/** Grants what can be granted at one target, and opens connections for requests that need one. */
export function dispatch(world: World, target: TargetRow, now: Millis): void {
  // An io that reports a result at once calls the pool again from within the loop below.
  target.needsDispatch = true;
  if (target.isDispatching) return;
  target.isDispatching = true;
  while (target.needsDispatch) {
    target.needsDispatch = false;
    expireReservations(world, target, now);
    if (target.queue.size() > 0) dispatchQueue(world, target, now);
  }
  target.isDispatching = false;
}

function dispatchQueue(world: World, target: TargetRow, now: Millis): void {
  const canServe: CanServe = ({ tenant, exceedsShare }) => {
    // What exceeds a tenant's share may use the slots, but not queue at the target before the others.
    if (exceedsShare && target.inFlight >= target.slots) return false;
    const idle = findIdle(target, tenant);
    if (idle && !needsValidation(world, idle, now)) return true;
    if (!needsConnection(target, tenant)) return false;
    return idle !== undefined || mayOpen(world, target, tenant, now);
  };
  while (target.inFlight < target.limit.value()) {
    // Requests of other tenants go on while one waits for a connection in its tenant's name.
    const lease = target.queue.first(now, canServe);
    if (!lease) return;
    const idle = findIdle(target, lease.tenant);
    if (lease.deadlineAt <= now) refuse(world, lease, 'overloaded', anyWaitMs(target, now), now);
    else if (idle && needsValidation(world, idle, now)) validateConnection(world, idle, now);
    else if (idle) grant(world, lease, idle, now);
    else openConnection(world, target, lease.tenant, now);
  }
}

/** Whether more requests of a tenant wait than connections in its name are being prepared. */
function needsConnection(target: TargetRow, tenant: Tenant): boolean {
  return (target.pendingByTenant.get(tenant) ?? 0) < target.queue.queuedOf(tenant);
}

function grant(world: World, lease: LeaseRow, connection: ConnectionRow, now: Millis): void {
  const { target } = lease;
  target.queue.take(lease, now);
  lease.state = 'granted';
  lease.connection = connection;
  connection.lease = lease;
  connection.wasLent = true;
  enterState(connection, 'leased', now);
  setInFlight(connection, true, now);
  target.reserved.push({ connection, since: now, at: now });
  const waitedMs = now - lease.arrivedAt;
  world.leased += 1;
  world.counts.granted += 1;
  world.counts.waitedMs += waitedMs;
  const queued = target.queue.size();
  world.log({ type: 'lease_granted', lease: lease.id, target: target.id, waitedMs, queued });
  world.io.grant(lease.id, connection.id, { queued, waitMs: anyWaitMs(target, now) });
}

/** A lease that has not been used for a while after its grant gives its place in flight to others. */
function expireReservations(world: World, target: TargetRow, now: Millis): void {
  const { reserved } = target;
  for (;;) {
    const [oldest] = reserved;
    if (!oldest || now - oldest.at < world.settings.reservedMs) return;
    reserved.shift();
    const { connection, since } = oldest;
    const isSameLease = connection.state === 'leased' && connection.since === since;
    if (isSameLease && connection.pending === 0) setInFlight(connection, false, now);
  }
}

/** Ends a granted lease by its holder's wish, and makes its connection available once it is clean. */
export function takeBack(world: World, lease: LeaseRow, now: Millis): void {
  const { connection, target } = lease;
  if (!connection) return;
  const { pending, inTransaction } = connection;
  if (pending > 0) lease.usedMs += now - connection.busySince;
  endLease(world, lease);
  connection.lease = undefined;
  const { service } = target.queue.classOf(lease.priority);
  // An abandoned statement took at least its time so far: a slow target must not look fast because
  // only the statements that it answers are counted.
  if (pending === 0 ? lease.usedMs > 0 : lease.usedMs > service.valueMs())
    service.add(lease.usedMs);
  if (pending > 0 || inTransaction) {
    world.log({ type: 'connection_unclean', target: target.id, pending, inTransaction });
    closeConnection(world, connection, now);
    return;
  }
  if (!connection.hasTraces) {
    makeIdle(world, connection, now);
    return;
  }
  setInFlight(connection, false, now);
  enterState(connection, 'clearing', now);
  world.io.clear(connection.id);
}

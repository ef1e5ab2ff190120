import type { InstanceId, Millis } from '@rosedeck/shared';
import { addConnectionRow } from './connectionRows';
import { dropConnection } from './connections';
import { termsOf } from './leaseTerms';
import type { LeaseWait, RequestRow, TargetRow, World } from './tables';

/** What a request awaits of pool owners; empty before its first lease is requested. */
export function leaseWaitOf(row: RequestRow): LeaseWait {
  row.leaseWait ??= { waiting: [], refusals: new Map(), reviewAt: Infinity, usesOwn: false };
  return row.leaseWait;
}

/**
 * Requests a lease for a request; the result arrives as an event of the connection. A probe shows
 * whether a lost owner can be reached again, and the request does not wait for it.
 */
export function requestLease(
  world: World,
  row: RequestRow,
  target: TargetRow,
  owner: InstanceId,
  now: Millis,
  isProbe = false,
): void {
  const lease = { owner, askedFor: row, request: row, isProbe, isUsed: false };
  const connection = addConnectionRow(world, target, now, row.tenant, lease);
  target.leases.add(connection);
  if (!isProbe) leaseWaitOf(row).waiting.push(connection);
  world.io.leaseConnection(connection.id, target.listed, owner, termsOf(row, now));
}

/** Withdraws the requests for leases that a request still waits for. */
export function withdrawLeases(world: World, row: RequestRow): void {
  const waiting = row.leaseWait?.waiting;
  if (!waiting || waiting.length === 0) return;
  for (const connection of [...waiting]) dropConnection(world, connection);
}

/**
 * Gives the lease that `taker` waits for at a target to the request whose lease it takes, so that one
 * lease for each waiting request remains.
 */
export function exchangeLeases(taker: RequestRow, asker: RequestRow, target: TargetRow): void {
  const waiting = taker.leaseWait?.waiting;
  if (!waiting || taker === asker || asker.stage !== 'queued') return;
  const index = waiting.findIndex((one) => one.target === target);
  const [connection] = index === -1 ? [] : waiting.splice(index, 1);
  if (!connection?.lease) return;
  connection.lease.request = asker;
  leaseWaitOf(asker).waiting.push(connection);
}

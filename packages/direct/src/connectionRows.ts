import type { Millis } from '@rosedeck/shared';
import { createPreparedNames } from './preparedNames';
import type { ConnectionRow, Lease, TargetRow, World } from './tables';
import type { TenantName } from './tenants';

/** Adds the row of a connection that is about to be opened, or leased. */
export function addConnectionRow(
  world: World,
  target: TargetRow,
  now: Millis,
  tenant: TenantName | undefined,
  lease?: Lease,
): ConnectionRow {
  const id = world.nextConnectionId;
  world.nextConnectionId += 1;
  const row: ConnectionRow = {
    id,
    target,
    tenant,
    lease,
    state: 'opening',
    openedAt: now,
    lastReplyAt: now,
    idleSince: now,
    takenAt: now,
    statementDeadlineAt: now,
    pending: [],
    variables: new Map(),
    prepared: createPreparedNames(),
    mustDiscard: false,
  };
  world.connections.set(id, row);
  return row;
}

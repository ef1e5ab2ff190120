import type { Millis } from '@rosedeck/shared';
import { failExecution } from './execution';
import { abandonTransaction } from './transactions';
import { silenceOf } from './silence';
import type { ConnectionRow, GroupRow, RequestRow, TargetRow } from './tables';
import { targetsOf } from './world';
import type { World } from './world';

/** True when a target has left probes unanswered for so long that it gets no reads. */
export function isSilent(world: World, target: TargetRow, now: Millis): boolean {
  if (target.silentSince === undefined) return false;
  return target.failedProbes >= 2 || silenceOf(target, now) >= world.settings.suspectAfterMs;
}

/** Ends executions whose target is silent, or is no longer the primary that must confirm them. */
export function endOutdatedWork(world: World, group: GroupRow, now: Millis): void {
  const hasNewTerm = group.primary !== undefined && group.term !== group.cleanedUpTerm;
  if (hasNewTerm) group.cleanedUpTerm = group.term;
  for (const target of targetsOf(world, group)) {
    if (hasNewTerm && target.spec.id !== group.primary)
      endReplacedPrimaryWork(world, group, target);
    if (target.inFlight > 0 && isSilent(world, target, now)) endSilentReads(world, group, target);
  }
}

/** Fails the work on a replaced primary at once, because no majority will confirm it. */
function endReplacedPrimaryWork(world: World, group: GroupRow, target: TargetRow): void {
  const detail = `target ${target.spec.id} is no longer the primary`;
  for (const connection of connectionsOf(world, target)) {
    const row = requestOn(world, connection);
    if (row && row.req.op !== 'read' && (row.term ?? 0) < group.term)
      failExecution(world, row, detail);
    else if (connection.transaction !== undefined)
      abandonTransaction(world, connection.transaction, detail);
  }
}

/** Retries reads at other targets while the retry budget lasts; the remaining reads keep waiting. */
function endSilentReads(world: World, group: GroupRow, target: TargetRow): void {
  for (const connection of connectionsOf(world, target)) {
    const row = requestOn(world, connection);
    if (row?.req.op !== 'read' || row.tries >= world.settings.maxTries) continue;
    if (group.ownerRetryBudget.tokens < 1) return;
    failExecution(world, row, `target ${target.spec.id} is silent`);
  }
}

function connectionsOf(world: World, target: TargetRow): ConnectionRow[] {
  const rows: ConnectionRow[] = [];
  for (const id of target.connections) {
    const row = world.connections.get(id);
    if (row) rows.push(row);
  }
  return rows;
}

function requestOn(world: World, connection: ConnectionRow): RequestRow | undefined {
  return connection.request === undefined ? undefined : world.requests.get(connection.request);
}

import { createFailure } from '@rosedeck/shared';
import type { ErrorKind, Millis } from '@rosedeck/shared';
import { estimatesFor, updateEstimate } from './estimates';
import { dequeueRequest } from './groupQueue';
import type { Answer } from './messages';
import { consistentErrorKind } from './outcomeRules';
import type { RequestRow } from './tables';
import { queueCommand, recordLogEvent, jitter } from './world';
import type { World } from './world';

/**
 * Answers a request and its outcome waiters; keeps the outcome of a write or COMMIT. Later calls do
 * nothing.
 */
export function finishRequest(world: World, row: RequestRow, answer: Answer): void {
  if (row.stage === 'done') return;
  if (row.stage === 'queued') leaveQueue(world, row);
  row.stage = 'done';
  row.answer = answer;
  row.finishedAt = world.clock.now();
  if (answer.kind !== 'failure') recordResponseTime(world, row, row.finishedAt);
  else {
    recordLogEvent(world, {
      type: 'request_refused',
      group: row.req.group,
      request: row.req.id,
      kind: answer.failure.kind,
    });
  }
  queueCommand(world, { type: 'answer_peer', request: row.req.id, entry: row.req.entry, answer });
  if (world.requests.get(row.req.id) === row) {
    world.requests.delete(row.req.id);
    const isKept = row.req.op === 'write' || row.req.op === 'commit';
    if (isKept) world.outcomes.keep(row.req.id, row.req, answer, row.finishedAt);
  }
  for (const waiter of row.outcomeWaiters) finishRequest(world, waiter, answer);
}

/** Ends a request with a failure; retryable kinds carry a retry-after with jitter. */
export function refuse(
  world: World,
  row: RequestRow,
  kind: ErrorKind,
  detail: string,
  retryAfterMs?: Millis,
): void {
  const consistentKind = consistentErrorKind(kind, row.req.op, row.mayHaveRun);
  finishRequest(world, row, createFailureAnswer(world, consistentKind, detail, retryAfterMs));
}

/** Creates a failure answer; retryable kinds carry a retry-after with jitter around `middleMs`. */
export function createFailureAnswer(
  world: World,
  kind: ErrorKind,
  detail: string,
  middleMs: Millis = world.settings.retryAfterMs,
): Answer {
  const isRetryable = RETRYABLE.has(kind);
  const retryAfterMs = isRetryable ? jitter(world, middleMs) : undefined;
  return { kind: 'failure', failure: createFailure(kind, detail, retryAfterMs) };
}

const RETRYABLE: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  'not_owner',
  'group_unavailable',
  'overloaded',
  'draining',
  'stale_configuration',
  'transaction_lost',
]);

function recordResponseTime(world: World, row: RequestRow, now: Millis): void {
  const group = world.groups.get(row.req.group);
  if (!group || row.sentAt === undefined) return;
  updateEstimate(estimatesFor(group.estimates, row).responseTime, now - row.sentAt);
}

function leaveQueue(world: World, row: RequestRow): void {
  const group = world.groups.get(row.req.group);
  if (group) dequeueRequest(group.queue, row, false);
}

import { createFailure } from '@rosedeck/shared';
import type { ErrorKind, Millis } from '@rosedeck/shared';
import { laneTimesOf, noteSample } from './estimates';
import { dequeueRequest } from './groupQueue';
import type { Answer } from './messages';
import { truthfulKind } from './outcomeRules';
import type { RequestRow } from './tables';
import { queueCommand, recordNote, spreadAround } from './world';
import type { World } from './world';

/** Ends a request with its one answer. */
export function finishRequest(world: World, row: RequestRow, answer: Answer): void {
  if (row.stage === 'done') return;
  if (row.stage === 'queued') leaveQueue(world, row);
  row.stage = 'done';
  row.answer = answer;
  row.finishedAt = world.clock.now();
  if (answer.kind !== 'failure') noteFinish(world, row, row.finishedAt);
  else {
    recordNote(world, {
      type: 'request_refused',
      group: row.req.group,
      request: row.req.id,
      kind: answer.failure.kind,
    });
  }
  queueCommand(world, { type: 'answer_peer', request: row.req.id, entry: row.req.entry, answer });
  if (world.requests.get(row.req.id) === row) {
    world.requests.delete(row.req.id);
    const keeps = row.req.op === 'write' || row.req.op === 'commit';
    if (keeps) world.outcomes.keep(row.req.id, row.req, answer, row.finishedAt);
  }
  for (const watcher of row.watchers) finishRequest(world, watcher, answer);
}

/** Ends a request with a failure; retryable kinds carry a spread time to come back after. */
export function refuse(
  world: World,
  row: RequestRow,
  kind: ErrorKind,
  detail: string,
  retryAfterMs?: Millis,
): void {
  const told = truthfulKind(kind, row.req.op, row.maybeRun);
  finishRequest(world, row, failureAnswer(world, told, detail, retryAfterMs));
}

/** A failure answer; kinds that may succeed later carry a retry-after, spread around its middle. */
export function failureAnswer(
  world: World,
  kind: ErrorKind,
  detail: string,
  middleMs: Millis = world.settings.retryAfterMs,
): Answer {
  const retries = RETRYABLE.has(kind);
  const retryAfterMs = retries ? spreadAround(world, middleMs) : undefined;
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

function noteFinish(world: World, row: RequestRow, now: Millis): void {
  const group = world.groups.get(row.req.group);
  if (!group || row.sentAt === undefined) return;
  noteSample(laneTimesOf(group.times, row).finish, now - row.sentAt);
}

function leaveQueue(world: World, row: RequestRow): void {
  const group = world.groups.get(row.req.group);
  if (group) dequeueRequest(group.queue, row, false);
}

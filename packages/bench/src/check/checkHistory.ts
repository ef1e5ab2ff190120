import { formatPosition, parsePosition, runStateOf } from '@rosedeck/shared';
import type { Millis, Position } from '@rosedeck/shared';
import { contains } from './history';
import type { Call, Entry, History } from './history';

/** Greatest age of the target reports on which an acknowledgement is based: one probe, and the tick after it. */
const MAX_REPORT_AGE_MS = 300;

interface FinishedRun {
  readonly history: History;
  /** Log of the final primary, in order. */
  readonly log: readonly Entry[];
  /** Entries of all logs, by request. */
  readonly entriesByRequest: Map<string, Entry[]>;
  /** Entries of the final log, by request. */
  readonly finalEntries: Map<string, Entry>;
}

/** Checks a finished run against the guarantees; adds each violation to the history. */
export function checkHistory(history: History, finalEnd: Position): void {
  const log: Entry[] = [];
  let last = history.entries.get(formatPosition(finalEnd));
  for (; last; last = history.entries.get(formatPosition(last.parent))) log.unshift(last);
  const finalEntries = new Map<string, Entry>();
  for (const entry of log) for (const request of entry.requests) finalEntries.set(request, entry);
  const entriesByRequest = new Map<string, Entry[]>();
  for (const entry of history.entries.values()) {
    for (const id of entry.requests)
      entriesByRequest.set(id, [...(entriesByRequest.get(id) ?? []), entry]);
  }
  for (const call of history.calls.values())
    checkCall({ history, log, entriesByRequest, finalEntries }, call);
}

function checkCall(run: FinishedRun, call: Call): void {
  const { history, entriesByRequest } = run;
  const { answer, op } = call;
  const endsTransaction = op === 'commit' || op === 'rollback';
  const written = endsTransaction ? call.commits : [call.id];
  for (const id of written) {
    const count = entriesByRequest.get(id)?.length ?? 0;
    if (!call.idempotent && count > 1)
      history.recordViolation('ran_twice', `${id} ran ${count} times`);
    const mustBeAbsent =
      answer?.kind === 'failure' ? runStateOf(answer.failure) === 'not_run' : op === 'rollback';
    if (answer && mustBeAbsent && count > 0)
      history.recordViolation('ran_not_run', `${id} ran, see ${call.id}`);
  }
  if (!answer || answer.kind === 'failure') return;
  if (op === 'commit' || (op === 'write' && !call.inTransaction)) {
    for (const id of written) checkAcknowledged(run, call, id);
  }
  if (op === 'read') checkRead(run, call, answer);
}

function checkAcknowledged(run: FinishedRun, call: Call, id: string): void {
  const { history } = run;
  const entries = run.entriesByRequest.get(id) ?? [];
  const entry = run.finalEntries.get(id);
  if (!entry) {
    const kind = entries.length === 0 ? 'acknowledged_not_once' : 'lost_write';
    history.recordViolation(kind, `${id} was acknowledged at ${call.answeredAt ?? 0}`);
    return;
  }
  const { term } = entry.position;
  if (!entries.some((candidate) => candidate.confirmedAt !== undefined)) {
    history.recordViolation(
      'wrong_term',
      `${id} had ${entry.holders.size} holders in term ${term}`,
    );
  }
  const laterTerms = [...history.termStarts].filter(([otherTerm]) => otherTerm > term);
  const replacedAt = Math.min(...laterTerms.map(([, start]) => start.at));
  if (replacedAt + MAX_REPORT_AGE_MS < (call.decidedAt ?? 0)) {
    history.recordViolation('replaced_primary', `${id} of term ${term}`);
  }
}

function checkRead(run: FinishedRun, call: Call, answer: NonNullable<Call['answer']>): void {
  const { history } = run;
  const rows = answer.kind === 'rows' ? answer.rows : [];
  const seen = parsePosition(rows[1]?.[0] ?? '');
  if (rows.length !== 2 || rows[0]?.[0] !== call.id || !seen) {
    history.recordViolation('foreign_answer', `${call.id} got ${JSON.stringify(rows)}`);
    return;
  }
  for (const id of call.mustSee) {
    const entries = run.entriesByRequest.get(id) ?? [];
    if (entries.some((entry) => contains(history, seen, entry.position))) continue;
    history.recordViolation(
      'own_write_unread',
      `${call.id} saw ${formatPosition(seen)} without ${id}`,
    );
  }
  if (call.maxAgeMs !== undefined) checkAge(run, call, seen, call.at - call.maxAgeMs);
}

/** Checks that a read reflects all entries that a majority held by `before`; the others may appear later. */
function checkAge(run: FinishedRun, call: Call, seen: Position, before: Millis): void {
  const due = run.log.findLast((entry) => (entry.confirmedAt ?? Infinity) <= before);
  if (!due || contains(run.history, seen, due.position)) return;
  const wanted = formatPosition(due.position);
  run.history.recordViolation('too_old', `${call.id} saw ${formatPosition(seen)}, not ${wanted}`);
}

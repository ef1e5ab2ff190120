import type { Millis } from '@rosedeck/shared';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { readLeadingComments } from './leadingComments';

/** Request marks: options of one statement, which a caller writes into a leading comment. */
export interface Marks {
  readonly maxAgeMs?: Millis;
  readonly deadlineMs?: Millis;
  readonly idempotent?: boolean;
  /** Request class. */
  readonly cls?: string;
  readonly requestId?: string;
}

const TRAILING_MARKS = /\/\*\s*rosedeck\s[^*]*\*\/[\s;]*$/;
/** Length of the end of a statement that is searched for misplaced marks, which are refused. */
const TRAILING_CHARS = 512;

/** Parses the marks in a statement's leading comments; the error message names the invalid mark. */
export function parseMarks(sql: string): Result<Marks, string> {
  const { marks: body } = readLeadingComments(sql);
  if (body === undefined) {
    const isMisplaced = TRAILING_MARKS.test(sql.slice(-TRAILING_CHARS));
    return isMisplaced ? err('marks must stand before the statement') : ok({});
  }
  let marks: Marks = {};
  for (const part of body.split(',')) {
    const text = part.trim();
    if (text === '') continue;
    const separator = text.indexOf('=');
    const name = text.slice(0, Math.max(0, separator)).trim();
    const mark = parseMark(name, text.slice(separator + 1).trim());
    if (mark.isErr()) return err(mark.error);
    marks = { ...marks, ...mark.value };
  }
  return ok(marks);
}

/** Parses one mark, given in a comment or as a session variable. */
export function parseMark(name: string, value: string): Result<Marks, string> {
  switch (name) {
    case 'max_age_ms':
      return parseMillis(name, value).map((maxAgeMs) => ({ maxAgeMs }));
    case 'deadline_ms':
      return parseDeadline(name, value).map((deadlineMs) => ({ deadlineMs }));
    case 'idempotent':
      if (value !== '0' && value !== '1') return err(`${name} must be 0 or 1, found ${value}`);
      return ok({ idempotent: value === '1' });
    case 'class':
      return /^[\w-]{1,64}$/.test(value) ? ok({ cls: value }) : err(`class is malformed: ${value}`);
    case 'request_id':
      return /^[\w.:-]{1,128}$/.test(value)
        ? ok({ requestId: value })
        : err(`request_id is malformed: ${value}`);
    default:
      return err(
        `unknown mark ${name}; known are max_age_ms, deadline_ms, idempotent, class, request_id`,
      );
  }
}

function parseMillis(name: string, value: string): Result<Millis, string> {
  if (!/^\d{1,9}$/.test(value)) return err(`${name} must be whole milliseconds, found ${value}`);
  return ok(Number(value));
}

function parseDeadline(name: string, value: string): Result<Millis, string> {
  return parseMillis(name, value).andThen((deadlineMs) =>
    deadlineMs > 0 ? ok(deadlineMs) : err(`${name} must be at least 1, found ${value}`),
  );
}

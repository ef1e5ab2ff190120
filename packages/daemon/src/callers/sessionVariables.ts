import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { encodingOfCharset, parseMark } from '@rosedeck/mysql';
import type { Marks, TextEncoding } from '@rosedeck/mysql';
import { createFailure } from '@rosedeck/shared';
import type { Failure } from '@rosedeck/shared';

/** Effect of a SET statement; `none` is answered with OK and ignored. */
export type SetAction =
  | { readonly type: 'present_token'; readonly token: string }
  | { readonly type: 'set_default'; readonly marks: Marks }
  | { readonly type: 'clear_default'; readonly mark: keyof Marks }
  | { readonly type: 'set_encoding'; readonly encoding: TextEncoding }
  /** Without a value, the target's default applies again. */
  | {
      readonly type: 'set_variable';
      readonly name: string;
      readonly value?: string;
      readonly encoding?: TextEncoding;
    }
  | { readonly type: 'none' };

const SET_ROSEDECK =
  /^SET\s+(?:SESSION\s+|@@SESSION\.|@@)?rosedeck_(\w+)\s*:?=\s*(?:'([^']*)'|"([^"]*)"|([\w.:=-]+))\s*(?:;\s*)?$/i;
const READ_ROSEDECK = /^\s*SELECT\s+@@(?:SESSION\.)?(rosedeck_\w+)\s*(?:;\s*)?$/i;
const READ_LAST_INSERT_ID = /^\s*SELECT\s+(LAST_INSERT_ID\s*\(\s*\))\s*(?:;\s*)?$/i;

const SET_NAMES =
  /^SET\s+(?:NAMES|CHARACTER\s+SET|CHARSET)\s+(?:'(\w+)'|"(\w+)"|(\w+))(?:\s+COLLATE\s+['"]?(\w+)['"]?)?\s*(?:;\s*)?$/i;

/** Statements that change no result on a connection with autocommit and UTF-8. */
const IGNORED_STATEMENTS: readonly RegExp[] = [
  /^SET\s+(?:SESSION\s+|@@SESSION\.|@@)?autocommit\s*:?=\s*(?:1|ON|TRUE)\s*(?:;\s*)?$/i,
  /^SET\s+(?:SESSION\s+|@@SESSION\.|@@)?character_set_results\s*=\s*(?:NULL|'?utf8(?:mb3|mb4)?'?)\s*(?:;\s*)?$/i,
  /^SET\s+(?:SESSION\s+|@@SESSION\.|@@)?(?:wait_timeout|interactive_timeout|net_read_timeout|net_write_timeout)\s*:?=\s*\d+\s*(?:;\s*)?$/i,
];

/** Target variables that change results; they are sent with each statement of the session. */
const FORWARDED_VARIABLES: ReadonlySet<string> = new Set([
  'collation_connection',
  'div_precision_increment',
  'foreign_key_checks',
  'group_concat_max_len',
  'innodb_lock_wait_timeout',
  'lc_time_names',
  'lock_wait_timeout',
  'max_execution_time',
  'optimizer_switch',
  'sql_auto_is_null',
  'sql_mode',
  'sql_safe_updates',
  'sql_select_limit',
  'time_zone',
  'transaction_isolation',
  'unique_checks',
]);

/** A single assignment of a literal without escapes. */
const SET_VARIABLE =
  /^SET\s+(?:SESSION\s+|LOCAL\s+|@@SESSION\.|@@LOCAL\.|@@)?([a-z_]+)\s*:?=\s*('[^'\\]*'|"[^"\\]*"|-?\d+|[a-z]+)\s*(?:;\s*)?$/i;

const SET_ISOLATION =
  /^SET\s+SESSION\s+TRANSACTION\s+ISOLATION\s+LEVEL\s+(READ\s+UNCOMMITTED|READ\s+COMMITTED|REPEATABLE\s+READ|SERIALIZABLE)\s*(?:;\s*)?$/i;

const AUTOCOMMIT_OFF =
  /^SET\s+(?:SESSION\s+|@@SESSION\.|@@)?autocommit\s*:?=\s*(?:0|OFF|FALSE)\s*(?:;\s*)?$/i;

const MARK_KEYS: Readonly<Record<string, keyof Marks>> = {
  max_age_ms: 'maxAgeMs',
  deadline_ms: 'deadlineMs',
  idempotent: 'idempotent',
  class: 'cls',
};

/** Parses a SET statement without leading comments; fails for an unsupported variable or form. */
export function parseSet(sql: string): Result<SetAction, Failure> {
  const rosedeck = SET_ROSEDECK.exec(sql);
  if (rosedeck)
    return parseRosedeckVariable(
      (rosedeck[1] ?? '').toLowerCase(),
      rosedeck[2] ?? rosedeck[3] ?? rosedeck[4] ?? '',
    );
  const names = SET_NAMES.exec(sql);
  if (names) return parseSetNames(names[1] ?? names[2] ?? names[3] ?? '', names[4]);
  if (IGNORED_STATEMENTS.some((pattern) => pattern.test(sql))) return ok({ type: 'none' });
  const variable = parseForwardedVariable(sql);
  if (variable) return ok(variable);
  const detail = AUTOCOMMIT_OFF.test(sql)
    ? 'SET autocommit = 0; use START TRANSACTION'
    : 'SET of this variable or form; statements run on shared connections';
  return err(createFailure('unsupported', detail));
}

function parseForwardedVariable(sql: string): SetAction | undefined {
  const isolation = SET_ISOLATION.exec(sql)?.[1];
  if (isolation !== undefined) {
    const value = `'${isolation.toUpperCase().replaceAll(/\s+/g, '-')}'`;
    return { type: 'set_variable', name: 'transaction_isolation', value };
  }
  const [, given = '', literal = ''] = SET_VARIABLE.exec(sql) ?? [];
  const name = given.toLowerCase();
  if (!FORWARDED_VARIABLES.has(name)) return undefined;
  if (literal.toUpperCase() === 'DEFAULT') return { type: 'set_variable', name };
  return { type: 'set_variable', name, value: literal };
}

function parseRosedeckVariable(name: string, value: string): Result<SetAction, Failure> {
  if (name === 'token') return ok({ type: 'present_token', token: value });
  const mark = MARK_KEYS[name];
  if (mark !== undefined && value.toUpperCase() === 'DEFAULT') {
    return ok({ type: 'clear_default', mark });
  }
  if (name === 'request_id') {
    return err(createFailure('bad_mark', 'request_id belongs to one statement, not to a session'));
  }
  return parseMark(name, value)
    .map((marks): SetAction => ({ type: 'set_default', marks }))
    .mapErr((detail) => createFailure('bad_mark', detail));
}

/** Connections to targets use utf8mb4, so only its collations are supported. */
function parseSetNames(charset: string, collation: string | undefined): Result<SetAction, Failure> {
  const encoding = encodingOfCharset(charset.toUpperCase() === 'DEFAULT' ? 'utf8mb4' : charset);
  if (encoding && collation !== undefined) {
    if (!collation.toLowerCase().startsWith('utf8mb4_')) {
      return err(createFailure('unsupported', `the collation ${collation}`));
    }
    const value = `'${collation}'`;
    return ok({ type: 'set_variable', name: 'collation_connection', value, encoding });
  }
  if (encoding) return ok({ type: 'set_encoding', encoding });
  return err(createFailure('unsupported', `the character set ${charset}`));
}

/** A SELECT of one value that the entry answers itself. */
export interface VariableRead {
  /** Column name of the result. */
  readonly column: string;
  readonly variable: 'token' | 'last_insert_id' | keyof Marks;
}

/** Parses a SELECT of one value that only the entry holds; undefined for any other statement. */
export function parseVariableRead(sql: string): VariableRead | undefined {
  const name = READ_ROSEDECK.exec(sql)?.[1]?.toLowerCase();
  if (name === 'rosedeck_token') return { column: '@@rosedeck_token', variable: 'token' };
  const mark = name === undefined ? undefined : MARK_KEYS[name.slice('rosedeck_'.length)];
  if (name !== undefined && mark) return { column: `@@${name}`, variable: mark };
  const insertId = READ_LAST_INSERT_ID.exec(sql)?.[1];
  if (insertId !== undefined) return { column: insertId, variable: 'last_insert_id' };
  return undefined;
}

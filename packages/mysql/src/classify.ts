import { readLeadingComments } from './leadingComments';

/** Kind of a statement for routing, mostly by its leading keyword. */
export type StatementKind = 'read' | 'write' | 'begin' | 'commit' | 'rollback' | 'set' | 'use';

/** Classification of a statement. */
export interface StatementClass {
  readonly kind: StatementKind;
  /** True if MySQL commits an open transaction before the statement (implicit commit). */
  readonly commitsImplicitly: boolean;
  /**
   * Unsupported feature, for the error text; most refused statements need a connection of their
   * own, which no caller has.
   */
  readonly refusal?: string;
}

const KIND_BY_KEYWORD: Readonly<Record<string, StatementKind>> = {
  SELECT: 'read',
  SHOW: 'read',
  DESC: 'read',
  DESCRIBE: 'read',
  EXPLAIN: 'read',
  SET: 'set',
  USE: 'use',
};

/**
 * Words that let a SELECT lock, write or depend on its connection. They are matched inside strings
 * too, to be safe.
 */
const NEEDS_PRIMARY =
  /\b(?:FOR|INTO|LOCK|GET_LOCK|RELEASE_LOCK|LAST_INSERT_ID|FOUND_ROWS|ROW_COUNT|CALL)\b|:=/i;

const TRANSACTION_KINDS: readonly (readonly [RegExp, StatementKind])[] = [
  [/^BEGIN(?:\s+WORK)?\s*(?:;\s*)?$/i, 'begin'],
  [/^START\s+TRANSACTION\b/i, 'begin'],
  [/^COMMIT(?:\s+WORK)?\s*(?:;\s*)?$/i, 'commit'],
  [/^ROLLBACK(?:\s+WORK)?\s*(?:;\s*)?$/i, 'rollback'],
  [/^ROLLBACK\s+(?:WORK\s+)?TO\b/i, 'write'],
];

/** Statements that cause an implicit commit. */
const IMPLICIT_COMMIT =
  /^(?:ALTER|CREATE|DROP|RENAME|TRUNCATE|GRANT|REVOKE|ANALYZE|OPTIMIZE|REPAIR|CHECK|CACHE|FLUSH|INSTALL|UNINSTALL)\b/i;

const REFUSALS: readonly (readonly [RegExp, string])[] = [
  [/^\/\*!/, 'a statement inside an executable comment'],
  [/^(?:BEGIN|COMMIT|ROLLBACK)\b/i, 'options of BEGIN, COMMIT or ROLLBACK'],
  [/^(?:LOCK|UNLOCK)\b/i, 'LOCK TABLES'],
  [/^(?:PREPARE|EXECUTE|DEALLOCATE)\b/i, 'PREPARE as text; use the protocol'],
  [/^(?:HANDLER|XA|KILL|LOAD|SHUTDOWN|RESTART)\b/i, 'this statement through a proxy'],
  [/^(?:CREATE|DROP)\s+TEMPORARY\b/i, 'temporary tables'],
  [/^SHOW\s+(?:COUNT\s*\(\s*\*\s*\)\s+)?(?:WARNINGS|ERRORS)\b/i, 'SHOW WARNINGS'],
  [/\b(?:GET_LOCK|RELEASE_LOCK|RELEASE_ALL_LOCKS)\s*\(/i, 'named locks'],
  [/@\w+\s*:=|\bINTO\s+@/i, 'user variables'],
];

const NEEDS_SAME_CONNECTION = /\b(?:LAST_INSERT_ID|FOUND_ROWS|ROW_COUNT)\s*\(\s*\)/i;

/** Classifies a statement. A statement that is not known to be a read counts as a write. */
export function classifyStatement(sql: string, inTransaction = false): StatementClass {
  const text = stripComments(sql);
  const transactionKind = TRANSACTION_KINDS.find(([pattern]) => pattern.test(text))?.[1];
  if (transactionKind)
    return { kind: transactionKind, commitsImplicitly: transactionKind === 'begin' };
  const refusal = REFUSALS.find(([pattern]) => pattern.test(text))?.[1];
  if (refusal !== undefined) return { kind: 'write', commitsImplicitly: false, refusal };
  if (!inTransaction && NEEDS_SAME_CONNECTION.test(text)) {
    const detail = 'LAST_INSERT_ID(), FOUND_ROWS() or ROW_COUNT() outside a transaction';
    return { kind: 'write', commitsImplicitly: false, refusal: detail };
  }
  return { kind: kindOf(text), commitsImplicitly: IMPLICIT_COMMIT.test(text) };
}

function kindOf(text: string): StatementKind {
  const keyword = (/^[a-z]+/i.exec(text)?.[0] ?? '').toUpperCase();
  const kind = KIND_BY_KEYWORD[keyword] ?? 'write';
  if (kind === 'read' && NEEDS_PRIMARY.test(text)) return 'write';
  return kind;
}

/** Returns the statement without its leading comments. */
export function stripComments(sql: string): string {
  return readLeadingComments(sql).statement;
}

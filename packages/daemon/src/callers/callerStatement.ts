import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CallerStatement } from '@rosedeck/core';
import { parseMarks } from '@rosedeck/mysql';
import type { Marks } from '@rosedeck/mysql';
import type { RequestId } from '@rosedeck/shared';
import type { CallerState } from './callerState';

/** A statement of a caller before its marks are resolved. */
export interface StatementInput {
  readonly sql: string;
  readonly params?: CallerStatement['params'];
  readonly op: CallerStatement['op'];
}

/** Merges the marks of a statement over those of its session; an error names the bad mark. */
export function resolveMarks(state: CallerState, sql: string): Result<Marks, string> {
  return parseMarks(sql).andThen((own) => {
    const marks = { ...state.sessionMarks, ...own };
    const classes = state.callerDefaults().classesOf(state.group);
    if (marks.cls === undefined || classes.includes(marks.cls)) return ok(marks);
    return err(`unknown class ${marks.cls}; known are ${classes.join(', ')}`);
  });
}

/** Creates a statement for the core; the settings of the group fill in missing marks. */
export function createStatement(
  state: CallerState,
  { sql, params, op }: StatementInput,
  marks: Marks,
): CallerStatement {
  const defaults = state.callerDefaults().statementDefaults(state.group, marks.cls);
  state.statementCount += 1;
  return {
    id: createRequestId(state, marks.requestId),
    session: state.session,
    cls: defaults.cls,
    op,
    sql,
    params,
    variables: variablesOf(state),
    deadlineMs: marks.deadlineMs ?? defaults.deadlineMs,
    maxAgeMs: marks.maxAgeMs ?? defaults.maxAgeMs,
    idempotent: marks.idempotent ?? (op === 'read' || defaults.idempotent),
  };
}

/** Prefixes a caller's request id with user and group, so ids of others cannot collide with it. */
function createRequestId(state: CallerState, id: string | undefined): RequestId {
  if (id === undefined) return `${state.session}/${state.statementCount}`;
  return `${state.connection.user}/${state.group}/${id}`;
}

/** Variables of the next statement; undefined when there are none. */
function variablesOf(state: CallerState): CallerStatement['variables'] {
  const variables = state.pendingVariables ?? state.variables;
  return variables.length === 0 ? undefined : variables;
}

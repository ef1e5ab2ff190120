import type { CallerStatement, CoreEvent } from '@rosedeck/core';
import { createFailure, formatPosition, parsePosition } from '@rosedeck/shared';
import type { Failure, Position } from '@rosedeck/shared';
import { classifyStatement, stripComments } from '@rosedeck/mysql';
import type { ServerCommand } from '@rosedeck/mysql';
import type { Tree } from '../tree';
import { sendDone, sendFailure, sendValue } from './answers';
import type { CallerState } from './callerState';
import { createStatement, resolveMarks } from './callerStatement';
import type { StatementInput } from './callerStatement';
import { groupOfUse, refuseGroup } from './groupAccess';
import { readSet, readVariable } from './sessionVariables';
import type { ReadVariable, SetAction } from './sessionVariables';

/** What the commands of a caller need. */
export interface CommandContext {
  readonly tree: () => Tree | undefined;
  readonly post: (event: CoreEvent) => void;
  readonly transactionOf: (state: CallerState) => { readonly broken: boolean } | undefined;
  readonly positionOf: (state: CallerState) => Position | undefined;
  /** Sends a statement to the core. */
  readonly send: (state: CallerState, statement: CallerStatement) => void;
  /** Begins a new session that keeps what the old one has read and written. */
  readonly renewSession: (state: CallerState) => void;
}

/** Runs a command: answers it at once, or sends a statement whose answer comes later. */
export function runCommand(
  around: CommandContext,
  state: CallerState,
  command: ServerCommand,
): void {
  switch (command.type) {
    case 'query':
      runQuery(around, state, command.sql, command.params);
      return;
    case 'ping':
      done(around, state);
      return;
    case 'use':
      useGroup(around, state, command.database);
      return;
    case 'reset':
      state.defaults = {};
      state.variables = [];
      state.lastInsertId = 0;
      around.renewSession(state);
      done(around, state);
      return;
    case 'unsupported':
      fail(state, 'unsupported', `command ${command.code}`);
  }
}

function done(around: CommandContext, state: CallerState): void {
  sendDone(state.connection, around.transactionOf(state) !== undefined);
}

function fail(state: CallerState, kind: Failure['kind'], detail: string): void {
  sendFailure(state.connection, createFailure(kind, detail));
}

function useGroup(around: CommandContext, state: CallerState, group: string): void {
  const fault = refuseGroup(around.tree(), state.customerId, group);
  if (fault) {
    state.connection.sendError(fault.code, fault.sqlState, fault.message);
    return;
  }
  if (group !== state.group) {
    if (around.transactionOf(state)) {
      fail(state, 'unsupported', 'USE of another database group inside a transaction');
      return;
    }
    state.group = group;
    around.renewSession(state);
  }
  done(around, state);
}

function runQuery(
  around: CommandContext,
  state: CallerState,
  sql: string,
  params: CallerStatement['params'],
): void {
  const variable = readVariable(sql);
  if (variable) {
    sendVariable(around, state, variable);
    return;
  }
  const inTransaction = around.transactionOf(state) !== undefined;
  const { kind, commitsImplicitly, refusal } = classifyStatement(sql, inTransaction);
  if (refusal !== undefined) fail(state, 'unsupported', refusal);
  else if (kind === 'set') runSet(around, state, stripComments(sql));
  else if (kind === 'use') useGroup(around, state, groupOfUse(stripComments(sql)));
  else runStatement(around, state, { sql, params, op: kind }, commitsImplicitly);
}

const COMMIT: StatementInput = { sql: 'COMMIT', op: 'commit' };
const PROBE: StatementInput = { sql: 'SELECT 1', op: 'read' };

/**
 * Tells a caller that has no group, or whose access to it has ended; an open transaction may finish.
 */
function isServed(around: CommandContext, state: CallerState): boolean {
  if (state.group === '') {
    state.connection.sendError(1046, '3D000', 'No database selected');
    return false;
  }
  if (around.transactionOf(state)) return true;
  const fault = refuseGroup(around.tree(), state.customerId, state.group);
  if (fault) state.connection.sendError(fault.code, fault.sqlState, fault.message);
  return fault === undefined;
}

function runStatement(
  around: CommandContext,
  state: CallerState,
  input: StatementInput,
  commitsImplicitly: boolean,
): void {
  if (!isServed(around, state)) return;
  const marks = resolveMarks(state, input.sql);
  if (marks.isErr()) {
    fail(state, 'bad_mark', marks.error);
    return;
  }
  const statement = createStatement(state, input, marks.value);
  const transaction = around.transactionOf(state);
  const mustCommit = commitsImplicitly && transaction && !transaction.broken;
  state.next = mustCommit ? statement : undefined;
  around.send(state, mustCommit ? createStatement(state, COMMIT, {}) : statement);
}

function runSet(around: CommandContext, state: CallerState, sql: string): void {
  readSet(sql).match(
    (action) => {
      applySet(around, state, action);
    },
    (failure) => {
      sendFailure(state.connection, failure);
    },
  );
}

function applySet(around: CommandContext, state: CallerState, action: SetAction): void {
  switch (action.type) {
    case 'present_token':
      presentToken(around, state, action.token);
      return;
    case 'set_default':
      state.defaults = { ...state.defaults, ...action.marks };
      break;
    case 'clear_default':
      state.defaults = { ...state.defaults, [action.mark]: undefined };
      break;
    case 'set_encoding':
      state.connection.setEncoding(action.encoding);
      break;
    case 'set_variable':
      if (action.encoding) state.connection.setEncoding(action.encoding);
      tryVariable(around, state, action.name, action.value);
      return;
    case 'none':
      break;
  }
  done(around, state);
}

/** A statement under the new value shows whether the target takes it. */
function tryVariable(
  around: CommandContext,
  state: CallerState,
  name: string,
  value: string | undefined,
): void {
  if (!isServed(around, state)) return;
  const others = state.variables.filter((one) => one.name !== name);
  const trial = value === undefined ? others : [...others, { name, value }];
  state.trial = [...trial].sort((a, b) => (a.name < b.name ? -1 : 1));
  around.send(state, createStatement(state, PROBE, state.defaults));
}

function presentToken(around: CommandContext, state: CallerState, token: string): void {
  const separator = token.indexOf('=');
  const group = token.slice(0, Math.max(0, separator));
  const position = parsePosition(token.slice(separator + 1));
  if (!position || group !== state.group) {
    fail(state, 'bad_token', `expected ${state.group}=TERM:INDEX`);
    return;
  }
  around.post({ type: 'session_token', session: state.session, group, position });
  done(around, state);
}

function sendVariable(
  around: CommandContext,
  state: CallerState,
  { column, variable }: ReadVariable,
): void {
  const inTransaction = around.transactionOf(state) !== undefined;
  sendValue(state.connection, column, valueOf(around, state, variable), inTransaction);
}

function valueOf(
  around: CommandContext,
  state: CallerState,
  variable: ReadVariable['variable'],
): string | number | null {
  if (variable === 'last_insert_id') return state.lastInsertId;
  if (variable === 'token') {
    const position = around.positionOf(state);
    return position ? `${state.group}=${formatPosition(position)}` : null;
  }
  const value = state.defaults[variable];
  if (value === undefined) return null;
  return typeof value === 'string' ? value : Number(value);
}

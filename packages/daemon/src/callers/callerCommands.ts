import type { CallerStatement, CoreEvent } from '@rosedeck/core';
import { createFailure, formatPosition, parsePosition } from '@rosedeck/shared';
import type { Failure, Position } from '@rosedeck/shared';
import { classifyStatement, stripComments } from '@rosedeck/mysql';
import type { ServerCommand } from '@rosedeck/mysql';
import type { Tree } from '../tree';
import { sendOk, sendFailure, sendValue } from './answers';
import type { CallerState } from './callerState';
import { createStatement, resolveMarks } from './callerStatement';
import type { StatementInput } from './callerStatement';
import { parseUse, checkGroupAccess } from './groupAccess';
import { parseSet, parseVariableRead } from './sessionVariables';
import type { VariableRead, SetAction } from './sessionVariables';

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
      replyOk(around, state);
      return;
    case 'use':
      useGroup(around, state, command.database);
      return;
    case 'reset':
      state.defaults = {};
      state.variables = [];
      state.lastInsertId = 0;
      around.renewSession(state);
      replyOk(around, state);
      return;
    case 'unsupported':
      replyFailure(state, 'unsupported', `command ${command.code}`);
  }
}

function replyOk(around: CommandContext, state: CallerState): void {
  sendOk(state.connection, around.transactionOf(state) !== undefined);
}

function replyFailure(state: CallerState, kind: Failure['kind'], detail: string): void {
  sendFailure(state.connection, createFailure(kind, detail));
}

function useGroup(around: CommandContext, state: CallerState, group: string): void {
  const fault = checkGroupAccess(around.tree(), state.customerId, group);
  if (fault) {
    state.connection.sendError(fault.code, fault.sqlState, fault.message);
    return;
  }
  if (group !== state.group) {
    if (around.transactionOf(state)) {
      replyFailure(state, 'unsupported', 'USE of another database group inside a transaction');
      return;
    }
    state.group = group;
    around.renewSession(state);
  }
  replyOk(around, state);
}

function runQuery(
  around: CommandContext,
  state: CallerState,
  sql: string,
  params: CallerStatement['params'],
): void {
  const variable = parseVariableRead(sql);
  if (variable) {
    sendVariable(around, state, variable);
    return;
  }
  const inTransaction = around.transactionOf(state) !== undefined;
  const { kind, commitsImplicitly, refusal } = classifyStatement(sql, inTransaction);
  if (refusal !== undefined) replyFailure(state, 'unsupported', refusal);
  else if (kind === 'set') runSet(around, state, stripComments(sql));
  else if (kind === 'use') useGroup(around, state, parseUse(stripComments(sql)));
  else runStatement(around, state, { sql, params, op: kind }, commitsImplicitly);
}

const COMMIT: StatementInput = { sql: 'COMMIT', op: 'commit' };
const TEST_STATEMENT: StatementInput = { sql: 'SELECT 1', op: 'read' };

/**
 * Tells a caller that has no group, or whose access to it has ended; an open transaction may finish.
 */
function checkCurrentGroup(around: CommandContext, state: CallerState): boolean {
  if (state.group === '') {
    state.connection.sendError(1046, '3D000', 'No database selected');
    return false;
  }
  if (around.transactionOf(state)) return true;
  const fault = checkGroupAccess(around.tree(), state.customerId, state.group);
  if (fault) state.connection.sendError(fault.code, fault.sqlState, fault.message);
  return fault === undefined;
}

function runStatement(
  around: CommandContext,
  state: CallerState,
  input: StatementInput,
  commitsImplicitly: boolean,
): void {
  if (!checkCurrentGroup(around, state)) return;
  const marks = resolveMarks(state, input.sql);
  if (marks.isErr()) {
    replyFailure(state, 'bad_mark', marks.error);
    return;
  }
  const statement = createStatement(state, input, marks.value);
  const transaction = around.transactionOf(state);
  const mustCommit = commitsImplicitly && transaction && !transaction.broken;
  state.next = mustCommit ? statement : undefined;
  around.send(state, mustCommit ? createStatement(state, COMMIT, {}) : statement);
}

function runSet(around: CommandContext, state: CallerState, sql: string): void {
  parseSet(sql).match(
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
      applyToken(around, state, action.token);
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
      testVariable(around, state, action.name, action.value);
      return;
    case 'none':
      break;
  }
  replyOk(around, state);
}

/** A statement under the new value shows whether the target takes it. */
function testVariable(
  around: CommandContext,
  state: CallerState,
  name: string,
  value: string | undefined,
): void {
  if (!checkCurrentGroup(around, state)) return;
  const others = state.variables.filter((one) => one.name !== name);
  const trial = value === undefined ? others : [...others, { name, value }];
  state.pendingVariables = [...trial].sort((a, b) => (a.name < b.name ? -1 : 1));
  around.send(state, createStatement(state, TEST_STATEMENT, state.defaults));
}

function applyToken(around: CommandContext, state: CallerState, token: string): void {
  const separator = token.indexOf('=');
  const group = token.slice(0, Math.max(0, separator));
  const position = parsePosition(token.slice(separator + 1));
  if (!position || group !== state.group) {
    replyFailure(state, 'bad_token', `expected ${state.group}=TERM:INDEX`);
    return;
  }
  around.post({ type: 'session_token', session: state.session, group, position });
  replyOk(around, state);
}

function sendVariable(
  around: CommandContext,
  state: CallerState,
  { column, variable }: VariableRead,
): void {
  const inTransaction = around.transactionOf(state) !== undefined;
  sendValue(state.connection, column, readValue(around, state, variable), inTransaction);
}

function readValue(
  around: CommandContext,
  state: CallerState,
  variable: VariableRead['variable'],
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

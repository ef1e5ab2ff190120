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

/** Functions of the caller adapter that commands use. */
export interface CommandContext {
  /** Undefined until a configuration is loaded. */
  readonly tree: () => Tree | undefined;
  readonly post: (event: CoreEvent) => void;
  readonly transactionOf: (state: CallerState) => { readonly broken: boolean } | undefined;
  readonly positionOf: (state: CallerState) => Position | undefined;
  /** Sends a statement to the core and marks it as running. */
  readonly send: (state: CallerState, statement: CallerStatement) => void;
  /** Opens a new session that keeps the minimum positions of the old one. */
  readonly renewSession: (state: CallerState) => void;
}

/** Runs a command: answers it at once, or sends a statement that is answered later. */
export function runCommand(ctx: CommandContext, state: CallerState, command: ServerCommand): void {
  switch (command.type) {
    case 'query':
      runQuery(ctx, state, command.sql, command.params);
      return;
    case 'ping':
      replyOk(ctx, state);
      return;
    case 'use':
      useGroup(ctx, state, command.database);
      return;
    case 'reset':
      state.sessionMarks = {};
      state.variables = [];
      state.lastInsertId = 0;
      ctx.renewSession(state);
      replyOk(ctx, state);
      return;
    case 'unsupported':
      replyFailure(state, 'unsupported', `command ${command.code}`);
  }
}

function replyOk(ctx: CommandContext, state: CallerState): void {
  sendOk(state.connection, ctx.transactionOf(state) !== undefined);
}

function replyFailure(state: CallerState, kind: Failure['kind'], detail: string): void {
  sendFailure(state.connection, createFailure(kind, detail));
}

function useGroup(ctx: CommandContext, state: CallerState, group: string): void {
  const error = checkGroupAccess(ctx.tree(), state.customerId, group);
  if (error) {
    state.connection.sendError(error.code, error.sqlState, error.message);
    return;
  }
  if (group !== state.group) {
    if (ctx.transactionOf(state)) {
      replyFailure(state, 'unsupported', 'USE of another database group inside a transaction');
      return;
    }
    state.group = group;
    ctx.renewSession(state);
  }
  replyOk(ctx, state);
}

function runQuery(
  ctx: CommandContext,
  state: CallerState,
  sql: string,
  params: CallerStatement['params'],
): void {
  const variable = parseVariableRead(sql);
  if (variable) {
    sendVariable(ctx, state, variable);
    return;
  }
  const inTransaction = ctx.transactionOf(state) !== undefined;
  const { kind, commitsImplicitly, refusal } = classifyStatement(sql, inTransaction);
  if (refusal !== undefined) replyFailure(state, 'unsupported', refusal);
  else if (kind === 'set') runSet(ctx, state, stripComments(sql));
  else if (kind === 'use') useGroup(ctx, state, parseUse(stripComments(sql)));
  else runStatement(ctx, state, { sql, params, op: kind }, commitsImplicitly);
}

const COMMIT: StatementInput = { sql: 'COMMIT', op: 'commit' };
const TEST_STATEMENT: StatementInput = { sql: 'SELECT 1', op: 'read' };

/**
 * Sends an error and returns false when the caller has no group or has lost access to it.
 * An open transaction may still finish.
 */
function checkCurrentGroup(ctx: CommandContext, state: CallerState): boolean {
  if (state.group === '') {
    state.connection.sendError(1046, '3D000', 'No database selected');
    return false;
  }
  if (ctx.transactionOf(state)) return true;
  const error = checkGroupAccess(ctx.tree(), state.customerId, state.group);
  if (error) state.connection.sendError(error.code, error.sqlState, error.message);
  return error === undefined;
}

function runStatement(
  ctx: CommandContext,
  state: CallerState,
  input: StatementInput,
  commitsImplicitly: boolean,
): void {
  if (!checkCurrentGroup(ctx, state)) return;
  const marks = resolveMarks(state, input.sql);
  if (marks.isErr()) {
    replyFailure(state, 'bad_mark', marks.error);
    return;
  }
  const statement = createStatement(state, input, marks.value);
  const transaction = ctx.transactionOf(state);
  const mustCommit = commitsImplicitly && transaction && !transaction.broken;
  state.next = mustCommit ? statement : undefined;
  ctx.send(state, mustCommit ? createStatement(state, COMMIT, {}) : statement);
}

function runSet(ctx: CommandContext, state: CallerState, sql: string): void {
  parseSet(sql).match(
    (action) => {
      applySet(ctx, state, action);
    },
    (failure) => {
      sendFailure(state.connection, failure);
    },
  );
}

function applySet(ctx: CommandContext, state: CallerState, action: SetAction): void {
  switch (action.type) {
    case 'present_token':
      applyToken(ctx, state, action.token);
      return;
    case 'set_default':
      state.sessionMarks = { ...state.sessionMarks, ...action.marks };
      break;
    case 'clear_default':
      state.sessionMarks = { ...state.sessionMarks, [action.mark]: undefined };
      break;
    case 'set_encoding':
      state.connection.setEncoding(action.encoding);
      break;
    case 'set_variable':
      if (action.encoding) state.connection.setEncoding(action.encoding);
      testVariable(ctx, state, action.name, action.value);
      return;
    case 'none':
      break;
  }
  replyOk(ctx, state);
}

/** Runs a test statement under the new value, which shows whether the target accepts it. */
function testVariable(
  ctx: CommandContext,
  state: CallerState,
  name: string,
  value: string | undefined,
): void {
  if (!checkCurrentGroup(ctx, state)) return;
  const others = state.variables.filter((one) => one.name !== name);
  const variables = value === undefined ? others : [...others, { name, value }];
  state.pendingVariables = [...variables].sort((a, b) => (a.name < b.name ? -1 : 1));
  ctx.send(state, createStatement(state, TEST_STATEMENT, state.sessionMarks));
}

function applyToken(ctx: CommandContext, state: CallerState, token: string): void {
  const separator = token.indexOf('=');
  const group = token.slice(0, Math.max(0, separator));
  const position = parsePosition(token.slice(separator + 1));
  if (!position || group !== state.group) {
    replyFailure(state, 'bad_token', `expected ${state.group}=TERM:INDEX`);
    return;
  }
  ctx.post({ type: 'session_token', session: state.session, group, position });
  replyOk(ctx, state);
}

function sendVariable(
  ctx: CommandContext,
  state: CallerState,
  { column, variable }: VariableRead,
): void {
  const inTransaction = ctx.transactionOf(state) !== undefined;
  sendValue(state.connection, column, readValue(ctx, state, variable), inTransaction);
}

function readValue(
  ctx: CommandContext,
  state: CallerState,
  variable: VariableRead['variable'],
): string | number | null {
  if (variable === 'last_insert_id') return state.lastInsertId;
  if (variable === 'token') {
    const position = ctx.positionOf(state);
    return position ? `${state.group}=${formatPosition(position)}` : null;
  }
  const value = state.sessionMarks[variable];
  if (value === undefined) return null;
  return typeof value === 'string' ? value : Number(value);
}

import type { Answer, CallerStatement, Command, Core, CoreEvent } from '@rosedeck/core';
import { ERROR_ANSWERS, createFailure, formatFailure } from '@rosedeck/shared';
import type { InstanceId } from '@rosedeck/shared';
import { startMysqlServer } from '@rosedeck/mysql';
import type {
  MysqlServer,
  ServerError,
  ServerCommand,
  ServerConnection,
  ServerTls,
} from '@rosedeck/mysql';
import { closeWithFailure, sendAnswer, sendOk, sendFailure } from './callers/answers';
import { runCommand } from './callers/callerCommands';
import type { CommandContext } from './callers/callerCommands';
import type { CallerState } from './callers/callerState';
import { checkGroupAccess } from './callers/groupAccess';
import { getCallerDefaults, findCustomer } from './tree';
import type { Tree } from './tree';
import { EMPTY_TREE } from './treeSchema';

/** Serves the callers of a daemon and answers them by the core's commands. */
export interface CallerAdapter {
  perform: (command: Extract<Command, { type: 'answer_caller' }>) => void;
  port: number;
  /** Number of connected callers. */
  callerCount: () => number;
  /**
   * Accepts no more callers and closes each connection outside of a transaction: after its next
   * answer, or by refusing its next statement.
   */
  drain: () => void;
  /** Closes the connections of callers without a running statement or an open transaction. */
  closeIdle: () => void;
  close: () => Promise<void>;
}

/** Functions and settings that the caller adapter needs. */
export interface CallerAdapterOptions {
  readonly self: InstanceId;
  readonly host: string;
  readonly port: number;
  readonly tls?: ServerTls;
  /** Greatest number of concurrent caller connections. */
  readonly connectionLimit: number;
  readonly core: Core;
  /** Undefined until a configuration is loaded. */
  readonly tree: () => Tree | undefined;
  readonly post: (event: CoreEvent) => void;
}

const TOO_MANY_CALLERS: ServerError = {
  code: 1040,
  sqlState: '08004',
  message: 'Too many connections',
};

/** Refuses logins before the first configuration, when passwords cannot be checked. */
const NOT_CONFIGURED: ServerError = {
  code: ERROR_ANSWERS.stale_configuration.code,
  sqlState: ERROR_ANSWERS.stale_configuration.sqlState,
  message: formatFailure(createFailure('stale_configuration', 'it has not been loaded yet')),
};

/** Starts the caller adapter with its MySQL server. */
export async function startCallerAdapter(options: CallerAdapterOptions): Promise<CallerAdapter> {
  const callers = new Map<ServerConnection, CallerState>();
  const statesBySession = new Map<string, CallerState>();
  let isDraining = false;

  const sessionRow = (state: CallerState) => options.core.world.sessions.get(state.session);
  const transactionOf = (state: CallerState) => sessionRow(state)?.transaction;

  const onOpen = (connection: ServerConnection): void => {
    const tree = options.tree();
    const found = tree && findCustomer(tree, connection.user);
    if (!found) {
      connection.close();
      return;
    }
    const [customerId] = found;
    const state: CallerState = {
      connection,
      customerId,
      callerDefaults: () => getCallerDefaults(options.tree() ?? EMPTY_TREE),
      session: '',
      group: connection.database,
      sessionMarks: {},
      variables: [],
      lastInsertId: 0,
      sessionCount: 0,
      statementCount: 0,
    };
    callers.set(connection, state);
    openSession(state);
  };

  const openSession = (state: CallerState): void => {
    state.session = `${options.self}/${state.connection.id}.${state.sessionCount}`;
    state.sessionCount += 1;
    statesBySession.set(state.session, state);
    const { session, customerId: customer, group } = state;
    options.post({ type: 'session_opened', session, customer, group });
  };

  const closeSession = (state: CallerState): void => {
    statesBySession.delete(state.session);
    options.post({ type: 'session_closed', session: state.session });
  };

  const renewSession = (state: CallerState): void => {
    const positions = [...(sessionRow(state)?.minPositions ?? [])];
    closeSession(state);
    openSession(state);
    for (const [group, position] of positions) {
      options.post({ type: 'session_token', session: state.session, group, position });
    }
  };

  const send = (state: CallerState, statement: CallerStatement): void => {
    state.running = statement;
    options.post({ type: 'caller_statement', statement });
  };

  const commandContext: CommandContext = {
    tree: options.tree,
    post: options.post,
    transactionOf,
    positionOf: (state) => sessionRow(state)?.minPositions.get(state.group),
    send,
    renewSession,
  };

  const onClose = (connection: ServerConnection): void => {
    const state = callers.get(connection);
    if (!state) return;
    callers.delete(connection);
    closeSession(state);
  };

  const onCommand = (connection: ServerConnection, command: ServerCommand): void => {
    const state = callers.get(connection);
    if (!state) return;
    if (isDraining && !transactionOf(state)) {
      sendFailure(connection, createFailure('draining', 'connect to another daemon', 0));
      connection.close();
      return;
    }
    runCommand(commandContext, state, command);
  };

  const finish = (state: CallerState, answer: Answer): void => {
    const { next, pendingVariables, connection } = state;
    state.running = undefined;
    state.next = undefined;
    state.pendingVariables = undefined;
    const inTransaction = transactionOf(state) !== undefined;
    if (pendingVariables && answer.kind !== 'failure') {
      state.variables = pendingVariables;
      sendOk(connection, inTransaction);
    } else if (next && answer.kind !== 'failure') {
      send(state, next);
      return;
    } else {
      if (answer.kind === 'ok' && answer.insertId > 0) state.lastInsertId = answer.insertId;
      sendAnswer(connection, answer, inTransaction);
    }
    if (isDraining && !inTransaction) connection.close();
  };

  /** A statement that is already in transit gets this error as its answer and does not run. */
  const closeIdleCaller = (state: CallerState): void => {
    closeWithFailure(state.connection, createFailure('draining', 'connect to another daemon', 0));
    onClose(state.connection);
  };

  const server: MysqlServer = await startMysqlServer(options.host, options.port, {
    findPassword: (user) => {
      const tree = options.tree();
      return tree && findCustomer(tree, user)?.[1].password;
    },
    checkAccess: (user, database) => {
      if (database === '') return undefined;
      const tree = options.tree();
      return checkGroupAccess(tree, tree && findCustomer(tree, user)?.[0], database);
    },
    checkConnection: () => {
      if (!options.tree()) return NOT_CONFIGURED;
      return server.connectionCount() > options.connectionLimit ? TOO_MANY_CALLERS : undefined;
    },
    tls: options.tls,
    onOpen,
    onCommand,
    onClose,
  });

  return {
    port: server.port,
    perform: (command) => {
      const state = statesBySession.get(command.session);
      if (state?.running?.id !== command.request) return;
      finish(state, command.answer);
    },
    callerCount: () => callers.size,
    drain: () => {
      isDraining = true;
      server.stopListening();
    },
    closeIdle: () => {
      for (const state of [...callers.values()]) {
        if (state.running === undefined && !transactionOf(state)) closeIdleCaller(state);
      }
    },
    close: server.close,
  };
}

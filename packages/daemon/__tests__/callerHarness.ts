import mysql from 'mysql2';
import type { Connection, ConnectionOptions, QueryError } from 'mysql2';
import { DEFAULT_CORE_SETTINGS, createCore } from '@rosedeck/core';
import type { Answer, Command, OwnerRequest } from '@rosedeck/core';
import { createSystemClock } from '@rosedeck/shared';
import { startCallerAdapter } from '../src/callerAdapter';
import { createCoreLoop } from '../src/coreLoop';
import { treeSchema } from '../src/tree';
import type { Tree } from '../src/tree';

/** The caller adapter of a daemon on a real core; the test answers in place of the owner. */
export interface CallerHarness {
  readonly port: number;
  /** Requests that the core sent to owners, in order. */
  readonly requests: OwnerRequest[];
  sessionCount: () => number;
  drain: () => void;
  /** Puts a changed tree in force; without `change`, no configuration is loaded. */
  configure: (change: ((tree: Tree) => Tree) | undefined) => void;
  close: () => Promise<void>;
}

/** Answers a request in place of its owner; undefined leaves it unanswered. */
export type OwnerStub = (req: OwnerRequest) => Answer | undefined;

const TARGET = { host: '127.0.0.1', port: 1, control_port: 2, failure_domain: 'kochi-a' };

const TREE = treeSchema.parse({
  customers: {
    authority: {
      user: 'desk',
      password: 'secret',
      target_user: 'proxy',
      target_password: 'proxy',
      default_class: 'booking',
      classes: ['booking', 'playlist'],
    },
    other: {
      user: 'other',
      password: 'other',
      target_user: 'proxy',
      target_password: 'proxy',
      default_class: 'booking',
      classes: ['booking'],
    },
  },
  groups: {
    schedule: {
      customer: 'authority',
      slots: 3,
      connection_limit: 20,
      targets: [{ id: 'a', ...TARGET }],
    },
    content: {
      customer: 'authority',
      slots: 3,
      connection_limit: 20,
      targets: [{ id: 'b', ...TARGET }],
    },
    orders: {
      customer: 'other',
      slots: 3,
      connection_limit: 20,
      targets: [{ id: 'c', ...TARGET }],
    },
  },
});

/** Greatest number of caller connections of a harness. */
export const CONNECTION_LIMIT = 5;

const harnesses: CallerHarness[] = [];

/** Starts a harness on a free port; `closeHarnesses` closes it. */
export async function startHarness(owner: OwnerStub): Promise<CallerHarness> {
  const clock = createSystemClock();
  const requests: OwnerRequest[] = [];
  let tree: Tree | undefined = TREE;
  const core = createCore({
    self: 'entry-1',
    failureDomain: 'kochi-a',
    clock,
    random: () => 0.5,
    settings: DEFAULT_CORE_SETTINGS,
  });
  const perform = (command: Command): void => {
    if (command.type === 'answer_caller') callers.perform(command);
    if (command.type !== 'send_peer') return;
    requests.push(command.request);
    const answer = owner(command.request);
    if (answer) loop.post({ type: 'peer_answer', request: command.request.id, answer });
  };
  const loop = createCoreLoop(core, clock, perform, () => undefined);
  const callers = await startCallerAdapter({
    self: 'entry-1',
    host: '127.0.0.1',
    port: 0,
    connectionLimit: CONNECTION_LIMIT,
    core,
    tree: () => tree,
    post: loop.post,
  });
  const harness: CallerHarness = {
    port: callers.port,
    requests,
    drain: callers.drain,
    configure: (change) => {
      tree = change?.(TREE);
    },
    sessionCount: () => core.world.sessions.size,
    close: async () => {
      loop.stop();
      await callers.close();
    },
  };
  harnesses.push(harness);
  return harness;
}

/** Closes all harnesses that a test started, also when it failed. */
export async function closeHarnesses(): Promise<void> {
  await Promise.all(harnesses.splice(0).map((harness) => harness.close()));
}

/** Opens a caller connection; resolves to the error when the login is refused. */
export function login(
  harness: CallerHarness,
  options: ConnectionOptions = {},
): Promise<Connection | QueryError> {
  const connection = mysql.createConnection({
    host: '127.0.0.1',
    port: harness.port,
    user: 'desk',
    password: 'secret',
    database: 'schedule',
    rowsAsArray: true,
    ...options,
  });
  return new Promise((resolve) => {
    connection.on('error', () => undefined);
    connection.connect((err) => {
      resolve(err ?? connection);
    });
  });
}

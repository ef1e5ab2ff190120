import { DEFAULT_CORE_SETTINGS, createCore } from '@rosedeck/core';
import type { Answer, Command, Core, TargetReport } from '@rosedeck/core';
import { createManualClock, formatPosition } from '@rosedeck/shared';

/** Observations of the example. */
export interface ExampleResult {
  /** The write's answer while only the primary has it; undefined if the core held the answer back. */
  readonly early: Answer | undefined;
  /** The write's answer once a second target has received it. */
  readonly late: Answer | undefined;
  /** The target that served the read after the write; undefined if none did. */
  readonly readBy: string | undefined;
}

const GROUP = 'orders';

function createReport(role: TargetReport['role'], index: number): TargetReport {
  const position = { term: 1, index };
  return { term: 1, role, received: position, applied: position, primaryContactAgeMs: 0 };
}

/** Simulates a database group that answers the commands of a core. */
function createSimulatedGroup(core: Core, reports: Map<string, TargetReport>) {
  const answers = new Map<string, Answer>();
  const targetOfConnection = new Map<number, string>();
  let lastExecutedBy: string | undefined;

  const perform = (command: Command): void => {
    if (command.type === 'probe') {
      const { group, target, round } = command;
      core.post({ type: 'probed', group, target, round, report: reports.get(target) });
    } else if (command.type === 'open_connection') {
      targetOfConnection.set(command.connection, command.target);
      core.post({ type: 'connection_opened', connection: command.connection });
    } else if (command.type === 'execute') {
      const { connection, request, sql } = command;
      lastExecutedBy = targetOfConnection.get(connection);
      const position = sql.startsWith('INSERT') ? { term: 1, index: 1 } : undefined;
      const execution = { kind: 'ok', affectedRows: 1, insertId: 0, position } as const;
      core.post({ type: 'executed', connection, request, execution });
    } else if (command.type === 'answer_peer') {
      answers.set(command.request, command.answer);
    }
  };

  return { perform, answers, executedBy: () => lastExecutedBy };
}

/** Runs one write and one read through an embedded core, with a manual clock. */
export function runEmbeddedCore(): ExampleResult {
  const clock = createManualClock();
  const core = createCore({
    self: 'node-1',
    failureDomain: 'a',
    clock,
    random: () => 0.5,
    settings: DEFAULT_CORE_SETTINGS,
  });
  const reports = new Map([
    ['t1', createReport('primary', 0)],
    ['t2', createReport('replica', 0)],
    ['t3', createReport('replica', 0)],
  ]);
  const simulatedGroup = createSimulatedGroup(core, reports);

  const run = (ms: number): void => {
    for (let step = 0; step < ms; step += 1) {
      clock.advance(1);
      for (const command of core.tick().commands) simulatedGroup.perform(command);
    }
  };

  const targets = ['t1', 't2', 't3'].map((id) => ({
    id,
    host: '127.0.0.1',
    port: 1,
    controlPort: 2,
    failureDomain: id,
  }));
  core.post({ type: 'list', instances: [], targets: [] });
  core.post({
    type: 'groups',
    groups: [
      {
        id: GROUP,
        customer: 'baharat',
        targets,
        slots: 3,
        connectionLimit: 12,
        connectionReserve: 2,
        classRanks: { order: 0 },
      },
    ],
  });
  run(50);

  const request = { entry: 'node-1', group: GROUP, customer: 'baharat', cls: 'order', forwards: 0 };
  const marks = { deadlineMs: 2_000, idempotent: false, tries: 0 };
  core.post({
    type: 'request',
    request: { ...request, ...marks, id: 'w1', op: 'write', sql: 'INSERT 1' },
  });
  // Only the primary has the write: if it were acknowledged now, a failover could lose it.
  reports.set('t1', createReport('primary', 1));
  run(50);
  const early = simulatedGroup.answers.get('w1');

  reports.set('t2', createReport('replica', 1));
  run(50);
  const late = simulatedGroup.answers.get('w1');

  const minPosition = { term: 1, index: 1 };
  core.post({
    type: 'request',
    request: { ...request, ...marks, id: 'r1', op: 'read', sql: 'SELECT 1', minPosition },
  });
  run(50);
  return { early, late, readBy: simulatedGroup.executedBy() };
}

/** Formats the result as three lines of text. */
export function describeExample(result: ExampleResult): string {
  const { early, late, readBy } = result;
  const position = late?.kind === 'ok' && late.position ? formatPosition(late.position) : 'nowhere';
  return [
    `with one copy: ${early ? early.kind : 'held back'}`,
    `with two copies: ${late ? late.kind : 'held back'} at ${position}`,
    `read by ${readBy ?? 'nobody'}, which has the write`,
  ].join('\n');
}

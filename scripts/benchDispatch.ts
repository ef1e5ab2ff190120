import { createManualClock } from '@rosedeck/shared';
import { DEFAULT_CORE_SETTINGS, createCore } from '@rosedeck/core';
import type { Command, Core, GroupSpec, TargetReport } from '@rosedeck/core';

/**
 * Measures the core alone: events per second of a busy group, the cost of a tick and of probe rounds
 * with many idle groups, and the cost of a statement.
 */

const QUEUED = 500;
const EVENTS = 60_000;
const GROUPS = 430;
const PEERS = 420;

const clock = createManualClock(1_000);
let nextId = 1;

function createSpec(id: string): GroupSpec {
  const targets = [1, 2, 3].map((index) => ({
    id: `${id}-${index}`,
    host: '127.0.0.1',
    port: 1,
    controlPort: 2,
    failureDomain: `${index}`,
  }));
  const classRanks = { first: 0, second: 1, third: 2 };
  return {
    id,
    customer: 'c',
    slots: 3,
    connectionLimit: 20,
    connectionReserve: 2,
    classRanks,
    targets,
  };
}

function createReport(target: string): TargetReport {
  const position = { term: 1, index: 1 };
  const role = target.endsWith('-1') ? 'primary' : 'replica';
  return { term: 1, role, received: position, applied: position, primaryContactAgeMs: 0 };
}

function startCore(groups: number, peers: number): Core {
  const core = createCore({
    self: 'entry-0',
    failureDomain: 'a',
    clock,
    random: () => 0.5,
    settings: {
      ...DEFAULT_CORE_SETTINGS,
      queueLimit: 10_000,
      ownersPerGroup: peers + 1,
      ageingMs: 500,
    },
  });
  const instances = Array.from({ length: peers }, (_, index) => ({
    id: `entry-${index + 1}`,
    failureDomain: 'b',
    host: '127.0.0.1',
    peerPort: 1,
    leaving: false,
  }));
  core.post({ type: 'list', instances, targets: [] });
  const specs = Array.from({ length: groups }, (_, index) => createSpec(`g${index}`));
  core.post({ type: 'groups', groups: specs });
  return core;
}

/**
 * Runs ticks until no command is left, answers probes and connection requests, returns the
 * executions.
 */
function runTicks(
  core: Core,
  handleOther: (command: Command) => void = () => undefined,
): Extract<Command, { type: 'execute' }>[] {
  const executions: Extract<Command, { type: 'execute' }>[] = [];
  for (;;) {
    const { commands } = core.tick();
    if (commands.length === 0) return executions;
    for (const command of commands) {
      if (command.type === 'execute') executions.push(command);
      else if (command.type === 'open_connection')
        core.post({ type: 'connection_opened', connection: command.connection });
      else if (command.type === 'probe') {
        const { group, target, round } = command;
        core.post({ type: 'probed', group, target, round, report: createReport(target) });
      } else handleOther(command);
    }
  }
}

function postRequest(core: Core): void {
  const id = nextId;
  nextId += 1;
  const cls = ['first', 'second', 'third'][id % 3] ?? 'first';
  const request = {
    id: `r${id}`,
    entry: 'entry-0',
    group: 'g0',
    customer: `c${id % 4}`,
    cls,
    op: 'read' as const,
    sql: 'SELECT 1',
    deadlineMs: 1_000_000,
    minPosition: { term: 1, index: 0 },
    idempotent: true,
    tries: 0,
    forwards: 2,
  };
  core.post({ type: 'request', request });
}

function measureBusy(): void {
  const core = startCore(1, 0);
  runTicks(core);
  clock.advance(30);
  runTicks(core);
  for (let index = 0; index < QUEUED; index += 1) postRequest(core);
  let running = runTicks(core);
  clock.advance(31);
  running.push(...runTicks(core));
  const startedAt = performance.now();
  for (let events = 0; events < EVENTS; events += 2) {
    clock.advance(0.01);
    const finished = running.shift();
    if (!finished) throw new Error('no request is running');
    const execution = { kind: 'rows', columns: [], rows: [] } as const;
    core.post({
      type: 'executed',
      connection: finished.connection,
      request: finished.request,
      execution,
    });
    postRequest(core);
    running = [...running, ...runTicks(core)];
    core.nextTickAt();
  }
  report(`events/s with ${QUEUED} queued`, EVENTS / ((performance.now() - startedAt) / 1_000));
}

function measureIdle(peers: number): void {
  const core = startCore(GROUPS, peers);
  runTicks(core);
  const startedAt = performance.now();
  const ticks = 20_000;
  for (let count = 0; count < ticks; count += 1) {
    clock.advance(0.001);
    core.post({ type: 'peer_up', peer: 'entry-1' });
    core.tick();
    core.nextTickAt();
  }
  const name = `microseconds per empty tick among ${GROUPS} groups, ${peers} peers`;
  report(name, ((performance.now() - startedAt) * 1_000) / ticks);
}

function measureRounds(peers: number): void {
  const core = startCore(GROUPS, peers);
  runTicks(core);
  clock.advance(6_000);
  runTicks(core);
  const seconds = 20;
  const startedAt = performance.now();
  for (let count = 0; count < seconds * 10; count += 1) {
    clock.advance(100);
    runTicks(core);
  }
  const name = `ms of CPU time per second, all ${GROUPS} groups owned and idle, ${peers} peers`;
  report(name, (performance.now() - startedAt) / seconds);
}

/** Runs statements one after the other; the core is both entry and owner. */
function measureFlow(op: 'read' | 'write', peers: number): void {
  const core = startCore(GROUPS, 0);
  const instances = Array.from({ length: peers }, (_, index) => ({
    id: `entry-${index}`,
    failureDomain: 'b',
    host: '127.0.0.1',
    peerPort: 1,
    leaving: false,
  }));
  core.post({ type: 'list', instances, targets: [] });
  runFlowTicks(core);
  const sessions = Array.from({ length: 50 }, (_, index) => `${op}-s${index}`);
  for (const session of sessions)
    core.post({ type: 'session_opened', session, customer: 'c', group: 'g0' });
  const startedAt = performance.now();
  for (let count = 0; count < EVENTS; count += 1) {
    const session = sessions[count % sessions.length] ?? '';
    const id = `${op}${count}`;
    const options = { cls: 'first', sql: op, deadlineMs: 2_000, idempotent: false };
    core.post({ type: 'caller_statement', statement: { id, session, op, ...options } });
    for (let step = 0; step < 3; step += 1) {
      runFlowTicks(core);
      clock.advance(1);
    }
  }
  const elapsedMs = performance.now() - startedAt;
  report(`microseconds per ${op}, ${GROUPS} groups, ${peers} peers`, (elapsedMs * 1_000) / EVENTS);
}

/** Answers all commands at once, also those that forward a request to the owner. */
function runFlowTicks(core: Core): void {
  for (;;) {
    const executions = runTicks(core, (command) => {
      if (command.type === 'send_peer')
        core.post({ type: 'request', request: { ...command.request, forwards: 2 } });
      if (command.type === 'answer_peer')
        core.post({ type: 'peer_answer', request: command.request, answer: command.answer });
    });
    if (executions.length === 0) return;
    for (const { connection, request, sql } of executions) {
      const position = { term: 1, index: 1 };
      const execution =
        sql === 'write'
          ? ({ kind: 'ok', affectedRows: 1, insertId: 0, position } as const)
          : ({ kind: 'rows', columns: [], rows: [] } as const);
      core.post({ type: 'executed', connection, request, execution });
    }
  }
}

function report(name: string, value: number): void {
  console.log(`${name}: ${value.toFixed(1)}`);
}

measureBusy();
measureIdle(0);
measureIdle(PEERS);
measureRounds(PEERS);
measureFlow('write', PEERS);
measureFlow('read', PEERS);

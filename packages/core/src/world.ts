import type {
  Clock,
  FailureDomain,
  GroupId,
  InstanceId,
  Millis,
  RequestId,
  SessionId,
  TargetId,
  TransactionId,
} from '@rosedeck/shared';
import type { Command, ConnectionId } from './commands';
import type { ConfigTable } from './configTable';
import type { Deadlines } from './deadlines';
import type { CoreLogEvent } from './logEvents';
import type { Outcomes } from './outcomes';
import type { Policies } from './policies';
import type { Scheduler } from './scheduler';
import type { EntryRequestRow, SessionRow } from './sessionState';
import type { CoreSettings } from './settings';
import type {
  ConnectionRow,
  GroupRow,
  OwnersCache,
  PeerRow,
  RequestRow,
  TargetRow,
  TransactionRow,
} from './tables';

/** All tables of a core, with the clock, settings and scheduler that its systems share. */
export interface World {
  readonly self: InstanceId;
  readonly failureDomain: FailureDomain;
  readonly clock: Clock;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly settings: CoreSettings;
  readonly policies: Policies;
  readonly scheduler: Scheduler;
  /** Deadlines of the requests at their owner. */
  readonly deadlines: Deadlines;
  /** Deadlines of the callers' requests at their entry. */
  readonly entryDeadlines: Deadlines;
  readonly groups: Map<GroupId, GroupRow>;
  readonly targets: Map<TargetId, TargetRow>;
  readonly connections: Map<ConnectionId, ConnectionRow>;
  readonly outcomes: Outcomes;
  readonly ownersCache: OwnersCache;
  readonly requests: Map<RequestId, RequestRow>;
  readonly transactions: Map<TransactionId, TransactionRow>;
  readonly peers: Map<InstanceId, PeerRow>;
  readonly sessions: Map<SessionId, SessionRow>;
  readonly entryRequests: Map<RequestId, EntryRequestRow>;
  readonly config: ConfigTable;
  /** Targets that the list shows as leaving, including targets without a row. */
  leavingTargets: ReadonlySet<TargetId>;
  /** Groups removed from the configuration that still have work to finish. */
  readonly removedGroups: Set<GroupId>;
  commands: Command[];
  logEvents: CoreLogEvent[];
  /** When the core last handled an event or a tick. */
  lastTickAt: Millis;
  draining: boolean;
  /** True once the platform's list has been received; until then any target may be leaving. */
  hasList: boolean;
  nextConnectionId: ConnectionId;
}

/** Queues a command; the running or next tick returns it. */
export function queueCommand(world: World, command: Command): void {
  world.commands.push(command);
}

/** Queues an event for the log and the metrics; the running or next tick returns it. */
export function recordLogEvent(world: World, event: CoreLogEvent): void {
  world.logEvents.push(event);
}

/** Time with jitter: uniform in 0.5 to 1.5 times `middleMs`, so that many do not act together. */
export function jitter(world: World, middleMs: Millis): Millis {
  return middleMs * (0.5 + world.random());
}

/** Rows of the group's targets. */
export function targetsOf(world: World, group: GroupRow): TargetRow[] {
  const rows: TargetRow[] = [];
  for (const spec of group.spec.targets) {
    const row = world.targets.get(spec.id);
    if (row) rows.push(row);
  }
  return rows;
}

/** Number of targets that makes a majority of the group. */
export function majorityOf(group: GroupRow): number {
  return Math.floor(group.spec.targets.length / 2) + 1;
}

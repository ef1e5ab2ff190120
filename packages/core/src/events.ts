import type {
  FailureDomain,
  GroupId,
  InstanceId,
  Millis,
  Position,
  RequestId,
  SessionId,
  TargetId,
} from '@rosedeck/shared';
import type { ConnectionId } from './commands';
import type {
  ConfigAnswer,
  ConfigPoll,
  ConfigEntry,
  ConfigPush,
  ConfigSnapshot,
  Revision,
  WatchResult,
} from './configTable';
import type { AdoptReply, Answer, Execution, OwnerRequest, TargetReport } from './messages';
import type { CallerStatement } from './sessionState';
import type { GroupSpec } from './tables';

/** A daemon instance in the platform's list. */
export interface ListedInstance {
  readonly id: InstanceId;
  readonly failureDomain: FailureDomain;
  /** Host name or address at which peers reach it. */
  readonly host: string;
  readonly peerPort: number;
  readonly leaving: boolean;
}

/** A target in the platform's list. */
export interface ListedTarget {
  readonly id: TargetId;
  readonly leaving: boolean;
}

/** Input of the core: replies to its commands, requests, and changes of lists and configuration. */
export type CoreEvent =
  | { readonly type: 'groups'; readonly groups: readonly GroupSpec[] }
  | {
      readonly type: 'list';
      readonly instances: readonly ListedInstance[];
      readonly targets: readonly ListedTarget[];
    }
  | { readonly type: 'request'; readonly request: OwnerRequest }
  | { readonly type: 'entry_lost'; readonly entry: InstanceId }
  | { readonly type: 'connection_opened'; readonly connection: ConnectionId }
  | { readonly type: 'connection_reset'; readonly connection: ConnectionId }
  | {
      readonly type: 'connection_closed';
      readonly connection: ConnectionId;
      readonly refused: boolean;
    }
  | {
      readonly type: 'executed';
      readonly connection: ConnectionId;
      readonly request: RequestId;
      readonly execution: Execution;
    }
  | {
      readonly type: 'probed';
      readonly group: GroupId;
      readonly target: TargetId;
      readonly round: number;
      /** Absent: the probe failed. */
      readonly report?: TargetReport;
    }
  | {
      readonly type: 'claimed';
      readonly group: GroupId;
      readonly term: number;
      readonly result: 'granted' | 'refused' | 'unavailable';
      /** The term that the store holds, when it refused. */
      readonly heldTerm?: number;
    }
  | {
      readonly type: 'adopted';
      readonly group: GroupId;
      readonly target: TargetId;
      readonly term: number;
      readonly reply?: AdoptReply;
    }
  | {
      readonly type: 'promoted';
      readonly group: GroupId;
      readonly target: TargetId;
      readonly term: number;
      readonly report?: TargetReport;
    }
  | {
      readonly type: 'session_opened';
      readonly session: SessionId;
      readonly customer: string;
      readonly group: GroupId;
    }
  | { readonly type: 'session_closed'; readonly session: SessionId }
  | {
      readonly type: 'session_token';
      readonly session: SessionId;
      readonly group: GroupId;
      readonly position: Position;
    }
  | { readonly type: 'caller_statement'; readonly statement: CallerStatement }
  | { readonly type: 'peer_answer'; readonly request: RequestId; readonly answer: Answer }
  | {
      readonly type: 'peer_lost';
      readonly request: RequestId;
      readonly to: InstanceId;
      readonly sent: boolean;
    }
  | { readonly type: 'peer_up'; readonly peer: InstanceId }
  | { readonly type: 'peer_suspected'; readonly peer: InstanceId; readonly forMs?: Millis }
  | { readonly type: 'drain' }
  | ConfigEvent;

/** Input of the configuration part: replies of the store and of peers, and local changes. */
export type ConfigEvent =
  | { readonly type: 'config_started' }
  /** The store's snapshot has been read; without one, the log starts at revision 1. */
  | { readonly type: 'config_loaded'; readonly snapshot?: ConfigSnapshot }
  | { readonly type: 'config_load_failed' }
  | {
      readonly type: 'config_watched';
      readonly revision: Revision;
      readonly result: WatchResult;
    }
  | {
      readonly type: 'config_answered';
      readonly peer: InstanceId;
      /** Absent: the peer did not answer. */
      readonly answer?: ConfigAnswer;
    }
  | { readonly type: 'config_asked'; readonly ask: ConfigPoll }
  | { readonly type: 'config_pushed'; readonly push: ConfigPush }
  /** A change that this daemon committed or found in the store. */
  | { readonly type: 'config_entry'; readonly entry: ConfigEntry }
  /** This daemon cannot put the revision in force. */
  | { readonly type: 'config_rejected'; readonly revision: Revision };

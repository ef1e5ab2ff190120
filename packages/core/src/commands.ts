import type { GroupId, InstanceId, Millis, RequestId, SessionId, TargetId } from '@rosedeck/shared';
import type { JsonObject } from './configPatch';
import type { Revision } from './configTable';
import type { Answer, OwnerRequest, Param, SessionVariable } from './messages';

/** Identifies a connection to a target; unique within a core. */
export type ConnectionId = number;

/** Input or output that the core requests; the core itself performs none. */
export type Command =
  | {
      readonly type: 'open_connection';
      readonly connection: ConnectionId;
      readonly target: TargetId;
    }
  | { readonly type: 'close_connection'; readonly connection: ConnectionId }
  | { readonly type: 'reset_connection'; readonly connection: ConnectionId }
  | {
      readonly type: 'execute';
      readonly connection: ConnectionId;
      readonly request: RequestId;
      readonly sql: string;
      readonly params?: readonly Param[];
      readonly variables?: readonly SessionVariable[];
    }
  | {
      readonly type: 'probe';
      readonly group: GroupId;
      readonly target: TargetId;
      readonly round: number;
    }
  | { readonly type: 'claim_term'; readonly group: GroupId; readonly term: number }
  | {
      readonly type: 'adopt_term';
      readonly group: GroupId;
      readonly target: TargetId;
      readonly term: number;
    }
  | {
      readonly type: 'promote';
      readonly group: GroupId;
      readonly target: TargetId;
      readonly term: number;
    }
  | {
      readonly type: 'answer_peer';
      readonly request: RequestId;
      readonly entry: InstanceId;
      readonly answer: Answer;
    }
  | { readonly type: 'send_peer'; readonly to: InstanceId; readonly request: OwnerRequest }
  | {
      readonly type: 'answer_caller';
      readonly session: SessionId;
      readonly request: RequestId;
      readonly answer: Answer;
    }
  | ConfigCommand;

/** Input or output that the configuration part requests. */
export type ConfigCommand =
  | { readonly type: 'config_load' }
  | { readonly type: 'config_watch'; readonly revision: Revision; readonly waitMs: Millis }
  | { readonly type: 'config_ask'; readonly to: InstanceId }
  | { readonly type: 'config_apply'; readonly revision: Revision; readonly tree: JsonObject };

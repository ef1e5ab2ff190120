import type { ErrorKind, GroupId, InstanceId, Millis, RequestId, TargetId } from '@rosedeck/shared';

/** An event of the core for logs and metrics; the field names are those of the log lines. */
export type CoreLogEvent =
  | {
      readonly type: 'primary_changed';
      readonly group: GroupId;
      readonly primary: TargetId;
      readonly term: number;
    }
  | {
      readonly type: 'primary_suspected';
      readonly group: GroupId;
      readonly primary?: TargetId;
      readonly reason: string;
    }
  | {
      readonly type: 'promotion_started';
      readonly group: GroupId;
      readonly term: number;
      readonly planned: boolean;
    }
  | {
      readonly type: 'promotion_ended';
      readonly group: GroupId;
      readonly term: number;
      readonly result: string;
      readonly tookMs: Millis;
    }
  | { readonly type: 'read_served'; readonly group: GroupId; readonly role: 'primary' | 'replica' }
  | {
      readonly type: 'request_refused';
      readonly group: GroupId;
      readonly request: RequestId;
      readonly kind: ErrorKind;
    }
  | {
      readonly type: 'request_dispatched';
      readonly group: GroupId;
      readonly cls: string;
      readonly waitedMs: Millis;
    }
  | { readonly type: 'request_retried'; readonly group: GroupId; readonly at: 'entry' | 'owner' }
  | { readonly type: 'paused'; readonly gapMs: Millis }
  | {
      readonly type: 'config_applied' | 'config_rejected' | 'config_stale' | 'config_fresh';
      readonly revision: number;
    }
  | { readonly type: 'peer_suspected'; readonly peer: InstanceId; readonly forMs: Millis }
  | { readonly type: 'peer_leaving' | 'peer_cleared'; readonly peer: InstanceId }
  | { readonly type: 'target_leaving'; readonly target: TargetId }
  | { readonly type: 'drain_started' };

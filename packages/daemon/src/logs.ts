import { createConsola } from 'consola';
import type { LogObject } from 'consola';
import type { CoreLogEvent } from '@rosedeck/core';
import type { AuditRecord } from './auditLog';

/** Lowest severity that is logged. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** Log events of the daemon itself; `CoreLogEvent` holds those of its core. */
export type DaemonEvent =
  | {
      readonly type: 'daemon_ready';
      readonly callerPort: number;
      readonly peerPort: number;
      readonly operatorPort?: number;
      readonly metricsPort?: number;
    }
  | { readonly type: 'daemon_stopped' }
  | { readonly type: 'drain_ended'; readonly tookMs: number; readonly cut: number }
  | { readonly type: 'change_accepted' | 'change_refused'; readonly record: AuditRecord }
  | { readonly type: 'audit_dropped'; readonly count: number }
  /** A version of the platform's list has entries that cannot be used. */
  | { readonly type: 'list_unreadable'; readonly version: number; readonly entries: number };

/** Any log event; `type` becomes the field `event` of the line. */
export type LogEvent = CoreLogEvent | DaemonEvent;

/** Writes an event as one line of JSON, unless its severity is below the level. */
export type Logger = (event: LogEvent) => void;

const CONSOLA_LEVELS: Readonly<Record<LogLevel, number>> = { error: 0, warn: 1, info: 3, debug: 4 };

/** Severity of each event; `never` marks events that only metrics count. */
const SEVERITY: Readonly<Record<LogEvent['type'], LogLevel | 'never'>> = {
  read_served: 'never',
  request_dispatched: 'never',
  request_refused: 'debug',
  request_retried: 'debug',
  primary_changed: 'info',
  primary_suspected: 'warn',
  promotion_started: 'info',
  promotion_ended: 'info',
  paused: 'warn',
  config_applied: 'info',
  config_rejected: 'error',
  config_stale: 'warn',
  config_fresh: 'info',
  peer_suspected: 'warn',
  peer_cleared: 'info',
  peer_leaving: 'info',
  target_leaving: 'info',
  drain_started: 'info',
  daemon_ready: 'info',
  daemon_stopped: 'info',
  drain_ended: 'info',
  change_accepted: 'info',
  change_refused: 'warn',
  audit_dropped: 'warn',
  list_unreadable: 'warn',
};

/** Creates the logger of a daemon; `write` receives each line with its line break. */
export function createLogger(
  daemon: string,
  level: LogLevel,
  write: (line: string) => void,
): Logger {
  const formatLine = ({ date, type, args }: LogObject): string => {
    const { type: event, ...fields } = args[0] as LogEvent;
    return JSON.stringify({ time: date.toISOString(), level: type, daemon, event, ...fields });
  };
  const consola = createConsola({
    level: CONSOLA_LEVELS[level],
    // Writes each event as its own line; by default consola merges repeated ones.
    throttle: 0,
    reporters: [
      {
        log: (entry) => {
          write(`${formatLine(entry)}\n`);
        },
      },
    ],
  });
  return (event) => {
    const severity = SEVERITY[event.type];
    if (severity !== 'never') consola[severity].raw(event);
  };
}

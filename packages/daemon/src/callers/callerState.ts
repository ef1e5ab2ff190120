import type { CallerStatement, SessionVariable } from '@rosedeck/core';
import type { Marks, ServerConnection } from '@rosedeck/mysql';
import type { SessionId } from '@rosedeck/shared';
import type { CallerDefaults } from '../tree';

/** State of one caller connection at its entry. */
export interface CallerState {
  readonly connection: ServerConnection;
  readonly customerId: string;
  /** Settings in force; a new configuration changes them while the caller is connected. */
  readonly callerDefaults: () => CallerDefaults;
  /** Id of the session in the core; USE of another group and a reset open a new session. */
  session: SessionId;
  /** Database group that statements are sent to; empty until the caller selects one. */
  group: string;
  /** Marks of the session, which those of a statement override. */
  sessionMarks: Marks;
  /** Target variables that the caller has set, sorted by name. */
  variables: readonly SessionVariable[];
  /** Replaces `variables` once the running test statement shows that the target accepts them. */
  pendingVariables?: readonly SessionVariable[];
  /** Statement whose answer is pending. */
  running?: CallerStatement;
  /** Statement to send when the running one has succeeded. */
  next?: CallerStatement;
  /** Key that the last insert generated. */
  lastInsertId: number;
  /** Number of sessions that the connection has opened. */
  sessionCount: number;
  /** Number of statements created for the connection. */
  statementCount: number;
}

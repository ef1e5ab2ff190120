import type { CallerStatement, SessionVariable } from '@rosedeck/core';
import type { Marks, ServerConnection } from '@rosedeck/mysql';
import type { SessionId } from '@rosedeck/shared';
import type { CallerDefaults } from '../tree';

/** A caller's connection at its entry. */
export interface CallerState {
  readonly connection: ServerConnection;
  readonly customerId: string;
  /** Settings in force now; they change while the caller is connected. */
  readonly settings: () => CallerDefaults;
  /** Name of the session in the core; it changes with the database group. */
  session: SessionId;
  /** The group that statements go to; empty until the caller names one. */
  group: string;
  /** Marks of statements that carry none of their own. */
  defaults: Marks;
  /** Session variables of the target that the caller has set, sorted by name. */
  variables: readonly SessionVariable[];
  /** Variables that count once the running statement has shown that the target takes them. */
  pendingVariables?: readonly SessionVariable[];
  /** The statement that runs now. */
  running?: CallerStatement;
  /** The statement that follows once the running one has succeeded. */
  next?: CallerStatement;
  /** Key that the last insert has made. */
  lastInsertId: number;
  /** Sessions that the connection has had. */
  sessionCount: number;
  /** Statements that the connection has sent. */
  statementCount: number;
}

import { randomUUID } from 'node:crypto';
import type {
  Command,
  ConnectionId,
  CoreEvent,
  CoreSettings,
  Execution,
  GroupSpec,
  TargetSpec,
} from '@rosedeck/core';
import type { GroupId, InstanceId, TargetId } from '@rosedeck/shared';
import { openTargetConnection } from '@rosedeck/mysql';
import type { OpenError, TargetConnection } from '@rosedeck/mysql';
import { createGroupControl } from '@rosedeck/clients';
import type { GroupControl } from '@rosedeck/clients';

/** Credentials with which daemons log in to a group's targets. */
export interface TargetLogin {
  readonly user: string;
  readonly password: string;
}

/** Runs the core's commands for targets: connections, probes, terms and promotions. */
export interface TargetAdapter {
  perform: (command: TargetCommand) => void;
  /** Replaces the list of targets; targets that are no longer listed are removed. */
  applyGroups: (groups: readonly GroupSpec[], loginOf: (group: GroupSpec) => TargetLogin) => void;
  close: () => void;
}

/** Commands of the core that the target adapter runs. */
export type TargetCommand = Extract<
  Command,
  {
    type:
      | 'open_connection'
      | 'close_connection'
      | 'reset_connection'
      | 'execute'
      | 'probe'
      | 'adopt_term'
      | 'promote';
  }
>;

interface TargetEndpoint {
  readonly host: string;
  readonly port: number;
  readonly controlPort: number;
  readonly database: string;
  readonly login: TargetLogin;
  readonly control: GroupControl;
}

/** Creates the target adapter of a daemon; results of commands are posted as events. */
export function createTargetAdapter(
  self: InstanceId,
  settings: CoreSettings,
  post: (event: CoreEvent) => void,
): TargetAdapter {
  // Differs after each restart: terms granted to an earlier incarnation are not its own.
  const promoter = `${self}.${randomUUID()}`;
  const targets = new Map<TargetId, TargetEndpoint>();
  const connections = new Map<ConnectionId, TargetConnection>();
  const closedWhileOpening = new Set<ConnectionId>();

  const open = (id: ConnectionId, targetId: TargetId): void => {
    const target = targets.get(targetId);
    if (!target) {
      post({ type: 'connection_closed', connection: id, refused: false });
      return;
    }
    const address = {
      host: target.host,
      port: target.port,
      ...target.login,
      database: target.database,
    };
    const onClosed = (): void => {
      connections.delete(id);
      post({ type: 'connection_closed', connection: id, refused: false });
    };
    openTargetConnection(address, settings.connectTimeoutMs, onClosed).then(
      (connection) => {
        if (closedWhileOpening.delete(id)) {
          connection.close();
          return;
        }
        connections.set(id, connection);
        post({ type: 'connection_opened', connection: id });
      },
      (err: unknown) => {
        closedWhileOpening.delete(id);
        post({ type: 'connection_closed', connection: id, refused: (err as OpenError).refused });
      },
    );
  };

  const close = (id: ConnectionId): void => {
    const connection = connections.get(id);
    connections.delete(id);
    if (connection) connection.close();
    else closedWhileOpening.add(id);
  };

  const execute = (command: Extract<TargetCommand, { type: 'execute' }>): void => {
    const { connection: id, request } = command;
    const finish = (execution: Execution): void => {
      post({ type: 'executed', connection: id, request, execution });
    };
    const connection = connections.get(id);
    if (connection) void connection.execute(command).then(finish);
    else finish({ kind: 'lost', sent: false, message: 'the connection is closed' });
  };

  const reset = (id: ConnectionId): void => {
    void connections
      .get(id)
      ?.reset()
      .then((isReset) => {
        if (isReset) post({ type: 'connection_reset', connection: id });
        else {
          close(id);
          post({ type: 'connection_closed', connection: id, refused: false });
        }
      });
  };

  const probe = ({ group, target, round }: Extract<TargetCommand, { type: 'probe' }>): void => {
    const control = targets.get(target)?.control;
    const report =
      control?.report(settings.probeTimeoutMs) ?? Promise.reject(new Error('unknown target'));
    report.then(
      (targetReport) => {
        post({ type: 'probed', group, target, round, report: targetReport });
      },
      () => {
        post({ type: 'probed', group, target, round });
      },
    );
  };

  const adopt = ({ group, target, term }: Extract<TargetCommand, { type: 'adopt_term' }>): void => {
    const control = targets.get(target)?.control;
    control?.adopt(term, promoter, settings.promotionTimeoutMs).then(
      (reply) => {
        post({ type: 'adopted', group, target, term, reply });
      },
      () => {
        post({ type: 'adopted', group, target, term });
      },
    );
  };

  const promote = ({ group, target, term }: Extract<TargetCommand, { type: 'promote' }>): void => {
    const control = targets.get(target)?.control;
    control?.promote(term, promoter, settings.promotionTimeoutMs).then(
      (report) => {
        post({ type: 'promoted', group, target, term, report });
      },
      () => {
        post({ type: 'promoted', group, target, term });
      },
    );
  };

  /** Open connections keep their login; the core replaces them. */
  const applyTarget = (spec: TargetSpec, database: GroupId, login: TargetLogin): void => {
    const { host, port, controlPort } = spec;
    const previous = targets.get(spec.id);
    const hasMoved = previous?.host !== host || previous.controlPort !== controlPort;
    if (hasMoved) previous?.control.close();
    const control =
      previous && !hasMoved ? previous.control : createGroupControl(host, controlPort);
    targets.set(spec.id, { host, port, controlPort, database, login, control });
  };

  return {
    perform: (command) => {
      switch (command.type) {
        case 'open_connection':
          open(command.connection, command.target);
          return;
        case 'close_connection':
          close(command.connection);
          return;
        case 'reset_connection':
          reset(command.connection);
          return;
        case 'execute':
          execute(command);
          return;
        case 'probe':
          probe(command);
          return;
        case 'adopt_term':
          adopt(command);
          return;
        case 'promote':
          promote(command);
      }
    },
    applyGroups: (groups, loginOf) => {
      const listed = new Set<TargetId>();
      for (const group of groups) {
        const login = loginOf(group);
        for (const spec of group.targets) {
          listed.add(spec.id);
          applyTarget(spec, group.id, login);
        }
      }
      for (const [id, target] of targets) {
        if (listed.has(id)) continue;
        target.control.close();
        targets.delete(id);
      }
    },
    close: () => {
      for (const connection of connections.values()) connection.close();
      for (const target of targets.values()) target.control.close();
    },
  };
}

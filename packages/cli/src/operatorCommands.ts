import type { AuditRecord, DaemonStatus } from '@rosedeck/daemon';
import { Command, Option } from 'clipanion';
import { EXIT_CODES } from './exitCodes';
import { OperatorCommand } from './operatorClient';

/** Prints the status of a daemon. */
export class StatusCommand extends OperatorCommand {
  static override paths = [['status']];
  static override usage = Command.Usage({
    category: 'Operation',
    description: 'Show a daemon, its peers and its database groups.',
    examples: [['Print JSON for a script', '$0 status --at 10.0.0.1:7400 --json']],
  });

  execute(): Promise<number> {
    return this.printReply('/status', formatStatus);
  }
}

function formatStatus(status: DaemonStatus): string {
  const { config } = status;
  const state = status.draining ? 'draining' : 'serving';
  const fresh = config.fresh ? 'confirmed' : 'NOT CONFIRMED, takes no new work';
  const lines = [
    `${status.id} in ${status.failureDomain}: ${state}, ${status.callers} callers, ${status.requests} requests`,
    `configuration: revision ${config.revision}, ${fresh}`,
    ...status.peers.map((peer) => `peer ${peer.id} in ${peer.failureDomain}: ${peer.state}`),
    ...status.groups.map((group) => {
      const leaving =
        group.leavingTargets.length > 0 ? `, leaving ${group.leavingTargets.join()}` : '';
      const primary = `primary ${group.primary ?? 'unknown'} term ${group.term}`;
      return `group ${group.id}: owner ${group.owners.join()}, ${primary}, ${group.queued} queued${leaving}`;
    }),
  ];
  return lines.join('\n');
}

const POLL_INTERVAL_MS = 200;

/** Drains a daemon. */
export class DrainCommand extends OperatorCommand {
  static override paths = [['drain']];
  static override usage = Command.Usage({
    category: 'Operation',
    description: 'Let a daemon finish its work and exit.',
    details:
      'The daemon stops accepting callers, hands its owner roles over to its peers, closes each caller ' +
      'connection between transactions and exits when no work is left or after limits.drain_ms.',
    examples: [
      ['Drain and wait until the daemon has stopped', '$0 drain --at 10.0.0.1:7400 --wait'],
    ],
  });

  wait = Option.Boolean('--wait', false, { description: 'return when the daemon has stopped' });

  async execute(): Promise<number> {
    const reply = await this.sendRequest('POST', '/drain');
    if (!reply) return EXIT_CODES.unavailable;
    if (reply.status !== 202) return this.printFailure(reply);
    if (this.wait) await this.waitUntilStopped();
    const { id } = reply.body as DaemonStatus;
    this.print(reply.body, () => `${id} ${this.wait ? 'has drained' : 'drains'}`);
    return EXIT_CODES.ok;
  }

  private async waitUntilStopped(): Promise<void> {
    while (await this.isRunning()) {
      await new Promise((resolve) => {
        setTimeout(resolve, POLL_INTERVAL_MS);
      });
    }
  }

  private async isRunning(): Promise<boolean> {
    const { stderr } = this.context;
    const write = stderr.write.bind(stderr);
    // The last call fails because the daemon has stopped; its error is not printed.
    stderr.write = () => true;
    try {
      return (await this.sendRequest('GET', '/status')) !== undefined;
    } finally {
      stderr.write = write;
    }
  }
}

/** Prints the audit trail. */
export class AuditCommand extends OperatorCommand {
  static override paths = [['audit']];
  static override usage = Command.Usage({
    category: 'Operation',
    description: 'List accepted and refused changes, oldest first.',
    examples: [['List the last hundred as JSON', '$0 audit --limit 100 --json']],
  });

  limit = Option.String('--limit', '20', { description: 'greatest number of records listed' });

  execute(): Promise<number> {
    return this.printReply(`/audit?limit=${this.limit}`, (records: AuditRecord[]) =>
      records
        .map(({ at, who, result, revision, reason, patch }) => {
          const detail = reason ?? JSON.stringify(patch);
          return `${at} ${who} ${result} ${revision} ${detail}`;
        })
        .join('\n'),
    );
  }
}

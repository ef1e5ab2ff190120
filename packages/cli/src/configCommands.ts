import { randomUUID } from 'node:crypto';
import type { ConfigEntry } from '@rosedeck/core';
import { checkTree, formatIssues, readToml } from '@rosedeck/daemon';
import type { ExplainedSetting } from '@rosedeck/daemon';
import type { JsonReply } from '@rosedeck/clients';
import { Command, Option } from 'clipanion';
import { stringify } from 'smol-toml';
import { EXIT_CODES } from './exitCodes';
import { OperatorCommand } from './operatorClient';

interface ChangeReply {
  readonly changed: boolean;
  readonly revision: number;
  readonly inForce: boolean;
  readonly listed?: number;
  readonly acknowledged?: number;
}

/** Reply to a change that was not accepted; `maybe` is true when the store may still have it. */
interface RefusedReply {
  readonly error?: string;
  readonly faults?: readonly string[];
  readonly revision?: number;
  readonly maybe?: boolean;
}

interface ConfigBody {
  readonly revision: number;
  readonly tree: Record<string, unknown>;
}

interface ExplainBody {
  readonly settings: readonly ExplainedSetting[];
}

/** Greatest number of tries of a change while no reply arrives; all carry the same id. */
const MAX_TRIES = 2;

/** Changes the configuration. */
export class ConfigApplyCommand extends OperatorCommand {
  static override paths = [['config', 'apply']];
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Apply a tree of settings, or a part of it, to all daemons.',
    details:
      'The file holds the whole tree; with --patch, only the keys that change. Concurrent ' +
      'changes of other keys are kept. With --expect, a change is refused with exit code 4 ' +
      'unless the current revision is the given one.',
    examples: [
      ['Apply a whole tree', '$0 config apply tree.toml --at 10.0.0.1:7400 --token TOKEN'],
      ['Change some keys', '$0 config apply --patch change.toml --expect 17'],
    ],
  });

  patch = Option.Boolean('--patch', false, {
    description: 'the file holds only the keys that change',
  });
  expect = Option.String('--expect', { description: 'revision that the change is based on' });
  id = Option.String('--id', {
    description: 'id of the change; use the same id to repeat a change',
  });
  file = Option.String({ required: true });

  async execute(): Promise<number> {
    const tree = readToml(this.file);
    if (tree.isErr()) return this.refuse(formatIssues(tree.error));
    if (!this.patch) {
      const { issues } = checkTree(this.file, tree.value);
      if (issues.length > 0) return this.refuse(formatIssues(issues));
    }
    const expected = this.expect === undefined ? undefined : Number(this.expect);
    if (expected !== undefined && !Number.isInteger(expected)) {
      return this.refuse('--expect takes a revision number');
    }
    if (!this.readTarget()) return EXIT_CODES.failure;
    const id = this.id ?? randomUUID();
    const change = this.patch
      ? { kind: 'patch', patch: tree.value }
      : { kind: 'replace', tree: tree.value };
    const reply = await this.sendWithRetries({ id, expected, change });
    if (reply) return this.printResult(reply, id);
    this.printError(`outcome unknown; repeat the command with --id ${id}`);
    return EXIT_CODES.unavailable;
  }

  private async sendWithRetries(body: unknown): Promise<JsonReply | undefined> {
    let reply: JsonReply | undefined;
    for (let tries = 0; tries < MAX_TRIES && !reply; tries += 1) {
      reply = await this.sendRequest('POST', '/change', body);
    }
    return reply;
  }

  private refuse(message: string): number {
    this.context.stderr.write(`${message}\n`);
    return EXIT_CODES.refused;
  }

  private printResult(reply: JsonReply, id: string): number {
    if (reply.status === 200) {
      const body = reply.body as ChangeReply;
      this.print(body, () => formatChange(body));
      return body.inForce ? EXIT_CODES.ok : EXIT_CODES.propagating;
    }
    const { faults: issues, revision, maybe } = reply.body as RefusedReply;
    if (issues) {
      for (const issue of issues) this.context.stderr.write(`${this.file}: ${issue}\n`);
    } else if (reply.status === 409) {
      this.printError(`conflict: the current revision is ${revision ?? 0}`);
    } else if (maybe) {
      this.printError(
        `the store did not answer, outcome unknown; repeat the command with --id ${id}`,
      );
    } else return this.printFailure(reply);
    if (issues) return EXIT_CODES.refused;
    return reply.status === 409 ? EXIT_CODES.conflict : EXIT_CODES.unavailable;
  }
}

function formatChange(body: ChangeReply): string {
  if (!body.changed) return `no change; revision ${body.revision}`;
  const counts = `${body.acknowledged ?? 0} of ${body.listed ?? 0} peers have acknowledged it`;
  const state = body.inForce ? 'in force' : 'accepted, not yet confirmed by all daemons';
  return `revision ${body.revision} ${state}; ${counts}`;
}

/** Prints the configuration in force. */
export class ConfigGetCommand extends OperatorCommand {
  static override paths = [['config', 'get']];
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Print the tree of settings in force, as TOML, secrets included.',
    examples: [['Save it to a file', '$0 config get > tree.toml']],
  });

  execute(): Promise<number> {
    return this.printReply(
      '/config',
      ({ revision, tree }: ConfigBody) => `# revision ${revision}\n${stringify(tree)}`,
    );
  }
}

/** Prints the effective settings, each with the scope or class that sets it. */
export class ConfigExplainCommand extends OperatorCommand {
  static override paths = [['config', 'explain']];
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Show each effective value and the scope or class that sets it.',
    examples: [
      ['Settings of a group', '$0 config explain --group orders'],
      ['Settings of a class in a group', '$0 config explain --group orders --class recipe'],
      ['Settings of a customer', '$0 config explain --customer baharat'],
    ],
  });

  customer = Option.String('--customer');
  group = Option.String('--group');
  cls = Option.String('--class');

  execute(): Promise<number> {
    const query = new URLSearchParams();
    if (this.customer !== undefined) query.set('customer', this.customer);
    if (this.group !== undefined) query.set('group', this.group);
    if (this.cls !== undefined) query.set('class', this.cls);
    return this.printReply(`/explain?${query.toString()}`, ({ settings }: ExplainBody) =>
      settings
        .map(({ key, value, from }) => `${key} = ${JSON.stringify(value)}  # ${from}`)
        .join('\n'),
    );
  }
}

/** Prints the accepted changes. */
export class ConfigHistoryCommand extends OperatorCommand {
  static override paths = [['config', 'history']];
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'List the accepted changes, oldest first.',
    examples: [['List the last five', '$0 config history --limit 5']],
  });

  limit = Option.String('--limit', '20', { description: 'greatest number of changes listed' });

  execute(): Promise<number> {
    return this.printReply(`/history?limit=${this.limit}`, (entries: ConfigEntry[]) =>
      entries
        .map(({ revision, at, who, patch }) => `${revision} ${at} ${who} ${JSON.stringify(patch)}`)
        .join('\n'),
    );
  }
}

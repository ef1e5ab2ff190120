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

/** Tries of a change against a daemon that does not answer; all carry the same id. */
const TRIES = 2;

/** Makes a change of the configuration. */
export class ConfigApplyCommand extends OperatorCommand {
  static override paths = [['config', 'apply']];
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Put a tree of settings, or a part of it, in force everywhere.',
    details:
      'The file holds the whole tree; with --patch it holds just the keys that change. Racing ' +
      'changes of other keys are kept. With --expect, a change is refused with exit code 4 ' +
      'unless the revision is still the given one.',
    examples: [
      ['Apply a whole tree', '$0 config apply tree.toml --at 10.0.0.1:7400 --token TOKEN'],
      ['Change some keys', '$0 config apply --patch change.toml --expect 17'],
    ],
  });

  patch = Option.Boolean('--patch', false, { description: 'the file holds only what changes' });
  expect = Option.String('--expect', { description: 'revision that the change is made for' });
  id = Option.String('--id', { description: 'id of a change that is repeated' });
  file = Option.String({ required: true });

  async execute(): Promise<number> {
    const tree = readToml(this.file);
    if (tree.isErr()) return this.refuse(formatIssues(tree.error));
    if (!this.patch) {
      const { issues: faults } = checkTree(this.file, tree.value);
      if (faults.length > 0) return this.refuse(formatIssues(faults));
    }
    const expected = this.expect === undefined ? undefined : Number(this.expect);
    if (expected !== undefined && !Number.isInteger(expected)) {
      return this.refuse('--expect takes a revision number');
    }
    const id = this.id ?? randomUUID();
    const change = this.patch
      ? { kind: 'patch', patch: tree.value }
      : { kind: 'replace', tree: tree.value };
    const reply = await this.send({ id, expected, change });
    if (reply) return this.report(reply, id);
    this.printError(`outcome unknown; repeat with --id ${id} to be sure`);
    return EXIT_CODES.unavailable;
  }

  private async send(body: unknown): Promise<JsonReply | undefined> {
    let reply: JsonReply | undefined;
    for (let tries = 0; tries < TRIES && !reply; tries += 1) {
      reply = await this.call('POST', '/change', body);
    }
    return reply;
  }

  private refuse(message: string): number {
    this.context.stderr.write(`${message}\n`);
    return EXIT_CODES.refused;
  }

  private report(reply: JsonReply, id: string): number {
    if (reply.status === 200) {
      const body = reply.body as ChangeReply;
      this.print(body, () => formatChange(body));
      return body.inForce ? EXIT_CODES.ok : EXIT_CODES.spreading;
    }
    const { faults, revision, maybe } = reply.body as RefusedReply;
    if (faults) {
      for (const fault of faults) this.context.stderr.write(`${this.file}: ${fault}\n`);
    } else if (reply.status === 409) {
      this.printError(`conflict: the revision is ${revision ?? 0}`);
    } else if (maybe) {
      this.printError(`the store did not answer, outcome unknown; repeat with --id ${id}`);
    } else return this.printFailure(reply);
    if (faults) return EXIT_CODES.refused;
    return reply.status === 409 ? EXIT_CODES.conflict : EXIT_CODES.unavailable;
  }
}

function formatChange(body: ChangeReply): string {
  if (!body.changed) return `nothing to change; revision ${body.revision}`;
  const counts = `${body.acknowledged ?? 0} of ${body.listed ?? 0} peers have it`;
  const state = body.inForce ? 'in force' : 'accepted, still spreading';
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
    return this.show(
      '/config',
      ({ revision, tree }: ConfigBody) => `# revision ${revision}\n${stringify(tree)}`,
    );
  }
}

/** Prints effective settings with their origins. */
export class ConfigExplainCommand extends OperatorCommand {
  static override paths = [['config', 'explain']];
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Show each effective value and the level it comes from.',
    examples: [
      ['Of a group', '$0 config explain --group orders'],
      ['Of a class in a group', '$0 config explain --group orders --class recipe'],
      ['Of a customer', '$0 config explain --customer baharat'],
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
    return this.show(`/explain?${query.toString()}`, ({ settings }: ExplainBody) =>
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
    examples: [['The last five', '$0 config history --limit 5']],
  });

  limit = Option.String('--limit', '20', { description: 'changes listed at most' });

  execute(): Promise<number> {
    return this.show(`/history?limit=${this.limit}`, (entries: ConfigEntry[]) =>
      entries
        .map(({ revision, at, who, patch }) => `${revision} ${at} ${who} ${JSON.stringify(patch)}`)
        .join('\n'),
    );
  }
}

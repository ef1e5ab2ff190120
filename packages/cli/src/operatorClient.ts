import { createJsonClient } from '@rosedeck/clients';
import type { JsonReply } from '@rosedeck/clients';
import { Command, Option } from 'clipanion';
import { EXIT_CODES } from './exitCodes';

/** Time that a daemon has for an answer; a change may wait for daemons that cannot be reached. */
const CALL_TIMEOUT_MS = 10_000;

/** A failure in the words of the daemon or of the network. */
interface ErrorBody {
  readonly error?: string;
  readonly detail?: string;
}

/** A command that talks to the operator port of a daemon. */
export abstract class OperatorCommand extends Command {
  at = Option.String('--at', {
    env: 'ROSEDECK_OPERATOR',
    description: 'HOST:PORT of the operator port of any daemon; else $ROSEDECK_OPERATOR',
  });

  token = Option.String('--token', {
    env: 'ROSEDECK_TOKEN',
    description: 'token that names the operator; else $ROSEDECK_TOKEN',
  });

  json = Option.Boolean('--json', false, { description: 'print JSON' });

  /** Calls the daemon; undefined after a failure that has been printed. */
  protected async call(
    method: string,
    path: string,
    body?: unknown,
  ): Promise<JsonReply | undefined> {
    const address = /^(.+):(\d+)$/.exec(this.at ?? '');
    if (!address || this.token === undefined) {
      this.printError('give --at HOST:PORT and --token TOKEN');
      return undefined;
    }
    const [, host = '', port] = address;
    const client = createJsonClient(host, Number(port), {
      headers: { authorization: `Bearer ${this.token}` },
    });
    try {
      return await client.send(method, path, body, CALL_TIMEOUT_MS);
    } catch (cause) {
      this.printError(`${host}:${port ?? ''} did not answer: ${String(cause)}`);
      return undefined;
    } finally {
      client.close();
    }
  }

  /** Calls the daemon and prints its answer; returns the exit code. */
  protected async show(path: string, format: (body: never) => string): Promise<number> {
    const reply = await this.call('GET', path);
    if (!reply) return EXIT_CODES.unavailable;
    if (reply.status !== 200) return this.printFailure(reply);
    this.print(reply.body, () => format(reply.body as never));
    return EXIT_CODES.ok;
  }

  protected print(body: unknown, format: () => string): void {
    this.context.stdout.write(`${this.json ? JSON.stringify(body) : format()}\n`);
  }

  protected printError(message: string): void {
    this.context.stderr.write(`error: ${message}\n`);
  }

  /** Prints why the daemon refused; returns the exit code. */
  protected printFailure(reply: JsonReply): number {
    const { error = 'failure', detail = '' } = (reply.body ?? {}) as ErrorBody;
    this.printError(`${error}${detail === '' ? '' : `: ${detail}`}`);
    return STATUS_EXITS[reply.status] ?? EXIT_CODES.failure;
  }
}

const STATUS_EXITS: Readonly<Record<number, number>> = {
  400: EXIT_CODES.refused,
  401: EXIT_CODES.denied,
  409: EXIT_CODES.conflict,
  422: EXIT_CODES.refused,
  503: EXIT_CODES.unavailable,
};

import { createJsonClient } from '@rosedeck/clients';
import type { JsonReply } from '@rosedeck/clients';
import { Command, Option } from 'clipanion';
import { EXIT_CODES } from './exitCodes';

/** Time limit for a reply; a change may wait for daemons that cannot be reached. */
const CALL_TIMEOUT_MS = 10_000;

/** Operator port of a daemon, and the operator's token. */
interface OperatorTarget {
  readonly host: string;
  readonly port: number;
  readonly token: string;
}

/** Body of an error reply. */
interface ErrorBody {
  readonly error?: string;
  readonly detail?: string;
}

/** Base of the commands that call the operator port of a daemon. */
export abstract class OperatorCommand extends Command {
  at = Option.String('--at', {
    env: 'ROSEDECK_OPERATOR',
    description: 'HOST:PORT of the operator port of any daemon; default: $ROSEDECK_OPERATOR',
  });

  token = Option.String('--token', {
    env: 'ROSEDECK_TOKEN',
    description: 'token that identifies the operator; default: $ROSEDECK_TOKEN',
  });

  json = Option.Boolean('--json', false, { description: 'print JSON' });

  /** The daemon and the token that were given; undefined, with an error, when one is missing. */
  protected readTarget(): OperatorTarget | undefined {
    const [, host, port] = /^(.+):(\d+)$/.exec(this.at ?? '') ?? [];
    const { token } = this;
    if (host !== undefined && token !== undefined) return { host, port: Number(port), token };
    this.printError('--at HOST:PORT and --token TOKEN are required');
    return undefined;
  }

  /** Sends a request to the daemon; on failure, prints the error and resolves with undefined. */
  protected async sendRequest(
    method: string,
    path: string,
    body?: unknown,
  ): Promise<JsonReply | undefined> {
    const target = this.readTarget();
    if (!target) return undefined;
    const { host, port, token } = target;
    const client = createJsonClient(host, port, { headers: { authorization: `Bearer ${token}` } });
    try {
      return await client.send(method, path, body, CALL_TIMEOUT_MS);
    } catch (cause) {
      this.printError(`${host}:${port} did not answer: ${String(cause)}`);
      return undefined;
    } finally {
      client.close();
    }
  }

  /** Sends a GET request and prints the reply; returns the exit code. */
  protected async printReply(path: string, format: (body: never) => string): Promise<number> {
    const reply = await this.sendRequest('GET', path);
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

  /** Prints the error in a reply; returns the exit code. */
  protected printFailure(reply: JsonReply): number {
    const { error = 'failure', detail = '' } = (reply.body ?? {}) as ErrorBody;
    this.printError(`${error}${detail === '' ? '' : `: ${detail}`}`);
    return EXIT_CODES_BY_STATUS[reply.status] ?? EXIT_CODES.failure;
  }
}

const EXIT_CODES_BY_STATUS: Readonly<Record<number, number>> = {
  400: EXIT_CODES.refused,
  401: EXIT_CODES.denied,
  409: EXIT_CODES.conflict,
  422: EXIT_CODES.refused,
  503: EXIT_CODES.unavailable,
};

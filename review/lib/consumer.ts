import net from 'node:net';
import { randomBytes } from 'node:crypto';
import { cut, LineCutter } from './wire';

const HOST = '127.0.0.1';

/** Answer to one query; `none`: none came in time, or the connection ended. */
export interface Answer {
  readonly id: string;
  readonly text: string;
  readonly sentAt: number;
  readonly at: number;
  readonly kind: 'done' | 'error' | 'none';
  readonly rows: readonly string[];
  /** Digest of a success, code and text of an error, or why there is no answer. */
  readonly detail: string;
  readonly state: string;
}

export function newId(): string {
  return randomBytes(8).toString('hex');
}

/** A consumer's session. */
export class Consumer {
  isClosed = false;
  private readonly lines = new LineCutter();
  private readonly received: string[] = [];
  private wake: () => void = () => undefined;

  private constructor(readonly socket: net.Socket) {
    socket.setNoDelay(true);
    socket.on('data', (chunk) => {
      this.received.push(...this.lines.push(chunk));
      this.wake();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.isClosed = true;
      this.wake();
    });
  }

  /** Opens a session; a text says why there is none. */
  static async open(
    port: number,
    database: string,
    who = 'u1',
    limitMs = 2_000,
  ): Promise<Consumer | string> {
    const consumer = new Consumer(net.connect(port, HOST));
    consumer.socket.write(`STARTUP ${database} ${who}\r\n`);
    const line = await consumer.next(performance.now() + limitMs);
    if (line?.startsWith('READY ') === true) return consumer;
    consumer.close();
    return line ?? (consumer.isClosed ? 'closed' : 'no READY in time');
  }

  /** Sends one query and awaits its answer; bytes above 0x7f in `text` are sent as latin1. */
  async query(text: string, limitMs: number, id = newId()): Promise<Answer> {
    const sentAt = performance.now();
    const endsAt = sentAt + limitMs;
    const rows: string[] = [];
    const finish = (kind: Answer['kind'], detail: string, state: string): Answer => ({
      id,
      text,
      sentAt,
      at: performance.now(),
      kind,
      rows,
      detail,
      state,
    });
    this.socket.write(Buffer.from(`QUERY ${id} ${text}\r\n`, 'latin1'));
    let end: ['done' | 'error', string] | undefined;
    for (;;) {
      const line = await this.next(endsAt);
      if (line === undefined)
        return finish('none', this.isClosed ? 'connection ended' : 'no answer in time', '-');
      const [word, rest] = cut(line);
      if (word === 'DATAROW') rows.push(rest);
      else if (word === 'COMPLETE') end = ['done', rest];
      else if (word === 'ERROR') end = ['error', rest];
      else if (word === 'READY' && end) return finish(...end, cut(rest)[0]);
    }
  }

  close(): void {
    this.socket.destroy();
  }

  private async next(endsAt: number): Promise<string | undefined> {
    for (;;) {
      const line = this.received.shift();
      if (line !== undefined) return line;
      const leftMs = endsAt - performance.now();
      if (this.isClosed || leftMs <= 0) return undefined;
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, leftMs);
        this.wake = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
  }
}

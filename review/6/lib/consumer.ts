import net from 'node:net';
import { HOST } from './links';
import { createLineSplitter, splitWord } from './lines';

/** Answer to one statement. */
export interface Answer {
  /** `COMPLETE`, the code of an ERROR, `closed`, or `none` where the consumer gave up. */
  readonly outcome: string;
  readonly digest?: string;
  readonly rows: readonly string[];
  readonly sentMs: number;
  readonly answeredMs: number;
}

/** A consumer's session with one daemon. */
export interface Session {
  /** Sends a statement; the next one only after its answer. */
  query: (id: string, text: string, limitMs: number) => Promise<Answer>;
  isOpen: () => boolean;
  close: () => void;
}

/** Time in which a consumer's session has to be open. */
const OPEN_MS = 2_000;

/** Opens a session; undefined if the daemon refuses it or does not answer in time. */
export function openSession(
  port: number,
  database: string,
  now: () => number,
): Promise<Session | undefined> {
  return new Promise((resolve) => {
    const socket = net.connect({ port, host: HOST, noDelay: true });
    let isOpen = false;
    let sentMs = 0;
    let rows: string[] = [];
    let outcome = 'none';
    let digest: string | undefined;
    let settle: ((outcome: string) => void) | undefined;
    const openTimer = setTimeout(() => {
      socket.destroy();
    }, OPEN_MS);
    const session: Session = {
      query: (id, text, limitMs) =>
        new Promise((answer) => {
          rows = [];
          outcome = 'none';
          digest = undefined;
          sentMs = now();
          const finish = (result: string): void => {
            clearTimeout(timer);
            settle = undefined;
            answer({ outcome: result, digest, rows, sentMs, answeredMs: now() });
          };
          const timer = setTimeout(() => {
            finish('none');
            socket.destroy();
          }, limitMs);
          settle = finish;
          if (isOpen) socket.write(`QUERY ${id} ${text}\r\n`, 'latin1');
          else finish('closed');
        }),
      isOpen: () => isOpen,
      close: () => {
        socket.end('TERMINATE\r\n');
      },
    };
    const handle = (line: string): void => {
      const [word, rest] = splitWord(line);
      if (word === 'READY' && !isOpen) {
        clearTimeout(openTimer);
        isOpen = true;
        resolve(session);
      } else if (word === 'READY') settle?.(outcome);
      else if (word === 'DATAROW') rows.push(rest);
      else if (word === 'COMPLETE') {
        outcome = 'COMPLETE';
        digest = rest;
      } else if (word === 'ERROR') [outcome] = splitWord(rest);
    };
    socket.on('data', createLineSplitter(handle));
    socket.on('error', () => undefined);
    socket.on('close', () => {
      clearTimeout(openTimer);
      isOpen = false;
      settle?.('closed');
      resolve(undefined);
    });
    socket.write(`STARTUP ${database} review\r\n`);
  });
}

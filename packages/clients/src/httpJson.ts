import http from 'node:http';
import type { Socket } from 'node:net';
import { inflateSync } from 'node:zlib';
import type { Millis } from '@rosedeck/shared';

/** An HTTP reply; `body` is the parsed JSON, undefined when empty. */
export interface JsonReply {
  readonly status: number;
  readonly body: unknown;
  /** Response headers by lower-case name. */
  readonly headers: Readonly<http.IncomingHttpHeaders>;
}

/** HTTP client that sends and receives JSON over keep-alive connections. */
export interface JsonClient {
  /** Rejects on a broken connection or a time-out; any status resolves. */
  send: (method: string, path: string, body: unknown, timeoutMs: Millis) => Promise<JsonReply>;
  close: () => void;
}

/** Called twice after each answered call: with the bytes sent and received, headers included. */
export type ByteCounter = (direction: 'sent' | 'received', bytes: number) => void;

/** Options of a JSON client. */
export interface JsonClientOptions {
  readonly countBytes?: ByteCounter;
  /** Headers sent with each call. */
  readonly headers?: Readonly<Record<string, string>>;
}

/** Creates a client for one server. */
export function createJsonClient(
  host: string,
  port: number,
  options: JsonClientOptions = {},
): JsonClient {
  const countSocket = createSocketCounter(options.countBytes ?? (() => undefined));
  const agent = new http.Agent({ keepAlive: true, maxSockets: 64 });
  return {
    send: (method, path, body, timeoutMs) =>
      new Promise((resolve, reject) => {
        // Before a body that is a string, Node.js sends the headers as UTF-8, else as Latin-1.
        const payload = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
        const headers = payload
          ? {
              ...options.headers,
              'content-type': 'application/json',
              'content-length': payload.length,
            }
          : options.headers;
        const req = http.request({ host, port, path, method, agent, headers }, (res) => {
          // Saved first: the reply releases its socket once its body has been read.
          const { socket } = res;
          readJson(res).then((parsed) => {
            clearTimeout(timer);
            countSocket(socket);
            resolve({ status: res.statusCode ?? 0, body: parsed, headers: res.headers });
          }, reject);
        });
        const timer = setTimeout(() => {
          req.destroy(new Error(`no reply within ${timeoutMs} ms`));
        }, timeoutMs);
        const connectTimer = limitConnectTime(req);
        req.on('error', (err) => {
          clearTimeout(timer);
          clearTimeout(connectTimer);
          reject(err);
        });
        req.end(payload);
      }),
    close: () => {
      agent.destroy();
    },
  };
}

/**
 * Time limit for opening a connection. A lost SYN packet is retransmitted only after seconds, so
 * a new try is faster than waiting.
 */
const CONNECT_TIMEOUT_MS: Millis = 500;

/** Aborts a call whose connection does not open in time; a reused connection is already open. */
function limitConnectTime(req: http.ClientRequest): NodeJS.Timeout {
  const timer = setTimeout(() => {
    req.destroy(new Error(`not connected within ${CONNECT_TIMEOUT_MS} ms`));
  }, CONNECT_TIMEOUT_MS);
  req.on('socket', (socket) => {
    const stop = (): void => {
      clearTimeout(timer);
    };
    if (socket.connecting) socket.once('connect', stop);
    else stop();
  });
  return timer;
}

/** Creates a function that counts the bytes of a keep-alive socket since its last count. */
function createSocketCounter(countBytes: ByteCounter): (socket: Socket) => void {
  const counted = new WeakMap<Socket, { sent: number; received: number }>();
  return (socket) => {
    const last = counted.get(socket) ?? { sent: 0, received: 0 };
    const next = { sent: socket.bytesWritten, received: socket.bytesRead };
    counted.set(socket, next);
    countBytes('sent', next.sent - last.sent);
    countBytes('received', next.received - last.received);
  };
}

/**
 * Reads a JSON body, compressed or not; resolves with undefined when it is empty, rejects when it is
 * not JSON or exceeds the limit.
 */
export async function readJson(stream: http.IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of stream) chunks.push(chunk as Buffer);
  const body = Buffer.concat(chunks);
  const isDeflated = stream.headers['content-encoding'] === 'deflate';
  const text = (isDeflated ? inflateSync(body, INFLATE_LIMIT) : body).toString('utf8');
  return text === '' ? undefined : (JSON.parse(text) as unknown);
}

/** Bounds the memory that a compressed body can take. */
const INFLATE_LIMIT = { maxOutputLength: 32 * 1024 * 1024 } as const;

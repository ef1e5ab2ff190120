import { createHash, timingSafeEqual } from 'node:crypto';
import http from 'node:http';
import type { AddressInfo } from 'node:net';

/** One authenticated call; `who` is the name of the operator. */
export interface OperatorCall {
  readonly who: string;
  readonly query: URLSearchParams;
  readonly body: unknown;
}

/** Reply to an operator: HTTP status and a body that is sent as JSON. */
export interface OperatorReply {
  readonly status: number;
  readonly body: unknown;
}

/** Handlers by method and path, such as `GET /status`. */
export type OperatorRoutes = Readonly<
  Record<string, (call: OperatorCall) => OperatorReply | Promise<OperatorReply>>
>;

/** Address, tokens and callback of the operator port. */
export interface OperatorServerOptions {
  readonly host: string;
  readonly port: number;
  /** Token of each operator, by name. */
  readonly tokens: Readonly<Record<string, string>>;
  /** Called with method and path of each call without a valid token. */
  readonly onDenied: (route: string) => void;
}

/** A listening operator port; `close` also ends open connections. */
export interface OperatorServer {
  readonly port: number;
  close: () => void;
}

const BODY_LIMIT_BYTES = 1_048_576;

/** Starts the operator port: JSON over HTTP with a bearer token, which identifies the operator. */
export async function startOperatorServer(
  options: OperatorServerOptions,
  routes: OperatorRoutes,
): Promise<OperatorServer> {
  const server = http.createServer((req, res) => {
    serve(req, options, routes)
      .catch((cause: unknown) => createErrorReply(500, 'internal_error', String(cause)))
      .then((reply) => {
        send(res, reply);
      })
      .catch(() => {
        res.destroy();
      });
  });
  await listen(server, options.host, options.port);
  return {
    port: (server.address() as AddressInfo).port,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** Starts to listen; rejects when the address cannot be bound. */
export function listen(server: http.Server, host: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
}

/** Creates the reply to a failed call; `error` is a code, `detail` is text for people. */
export function createErrorReply(status: number, error: string, detail: string): OperatorReply {
  return { status, body: { error, detail } };
}

async function serve(
  req: http.IncomingMessage,
  options: OperatorServerOptions,
  routes: OperatorRoutes,
): Promise<OperatorReply> {
  const url = new URL(req.url ?? '/', 'http://daemon');
  const route = `${req.method ?? 'GET'} ${url.pathname}`;
  const who = findOperator(options.tokens, req.headers.authorization);
  if (who === undefined) {
    options.onDenied(route);
    req.resume();
    return createErrorReply(401, 'access_denied', 'no operator has this token');
  }
  const handle = Object.hasOwn(routes, route) ? routes[route] : undefined;
  if (!handle) return createErrorReply(404, 'unknown_route', route);
  const text = await readBody(req);
  if (text === undefined)
    return createErrorReply(413, 'too_large', `more than ${BODY_LIMIT_BYTES} bytes`);
  const body = parseBody(text);
  if (body === INVALID) return createErrorReply(400, 'bad_request', 'the body is not valid JSON');
  return handle({ who, query: url.searchParams, body });
}

/** Finds the operator of a token; hashes are compared in constant time against timing attacks. */
function findOperator(
  tokens: Readonly<Record<string, string>>,
  header: string | undefined,
): string | undefined {
  const sent = hash(header?.replace(/^Bearer /, '') ?? '');
  const found = Object.entries(tokens).find(([, token]) => timingSafeEqual(hash(token), sent));
  return found?.[0];
}

function hash(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

async function readBody(req: http.IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of req) {
    size += (chunk as Buffer).length;
    if (size > BODY_LIMIT_BYTES) return undefined;
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}

const INVALID = Symbol('invalid JSON');

function parseBody(text: string): unknown {
  if (text === '') return undefined;
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return INVALID;
  }
}

function send(res: http.ServerResponse, { status, body }: OperatorReply): void {
  const payload = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(payload),
  });
  res.end(payload);
}

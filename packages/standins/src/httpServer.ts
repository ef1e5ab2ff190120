import http from 'node:http';
import { readJson } from '@rosedeck/clients';

/** Request to a stand-in; `body` is undefined when the request has none. */
export interface JsonRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly body: unknown;
}

/** Response of a stand-in; `drop` closes the connection without a response. */
export type JsonResponse =
  { readonly status: number; readonly body?: unknown } | { readonly drop: true };

/** A listening JSON server; `close` also closes open connections. */
export interface JsonServer {
  readonly port: number;
  close: () => void;
}

/** Starts a JSON server on the loopback interface; it replies 400 to a malformed body or when `handle` fails. */
export async function startJsonServer(
  port: number,
  handle: (req: JsonRequest) => JsonResponse | Promise<JsonResponse>,
): Promise<JsonServer> {
  const server = http.createServer((req, res) => {
    const url = new URL(req.url ?? '/', 'http://localhost');
    readJson(req)
      .then((body) =>
        handle({ method: req.method ?? 'GET', path: url.pathname, query: url.searchParams, body }),
      )
      .then((response) => {
        sendResponse(res, response);
      })
      .catch((err: unknown) => {
        sendResponse(res, { status: 400, body: { error: String(err) } });
      });
  });
  server.keepAliveTimeout = 60_000;
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', resolve);
  });
  const address = server.address();
  return {
    port: typeof address === 'object' && address ? address.port : port,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

function sendResponse(res: http.ServerResponse, response: JsonResponse): void {
  if ('drop' in response) {
    res.destroy();
    return;
  }
  const payload = response.body === undefined ? '' : JSON.stringify(response.body);
  res.writeHead(response.status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(payload),
  });
  res.end(payload);
}

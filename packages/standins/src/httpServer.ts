import http from 'node:http';
import { readJson } from '@rosedeck/clients';

/** One JSON request to a stand-in. */
export interface JsonRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly body: unknown;
}

/** Reply of a stand-in; `drop` closes the connection without one. */
export type JsonAnswer =
  { readonly status: number; readonly body?: unknown } | { readonly drop: true };

/** A listening JSON server. */
export interface JsonServer {
  readonly port: number;
  close: () => void;
}

/** Starts a JSON server on the loopback interface. */
export async function startJsonServer(
  port: number,
  handle: (req: JsonRequest) => JsonAnswer | Promise<JsonAnswer>,
): Promise<JsonServer> {
  const server = http.createServer((req, res) => {
    const url = new URL(req.url ?? '/', 'http://localhost');
    readJson(req)
      .then((body) =>
        handle({ method: req.method ?? 'GET', path: url.pathname, query: url.searchParams, body }),
      )
      .then((answer) => {
        reply(res, answer);
      })
      .catch((err: unknown) => {
        reply(res, { status: 400, body: { error: String(err) } });
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

function reply(res: http.ServerResponse, answer: JsonAnswer): void {
  if ('drop' in answer) {
    res.destroy();
    return;
  }
  const payload = answer.body === undefined ? '' : JSON.stringify(answer.body);
  res.writeHead(answer.status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(payload),
  });
  res.end(payload);
}

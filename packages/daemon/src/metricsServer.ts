import http from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Registry } from 'prom-client';
import { listen } from './operatorServer';

/** A listening metrics port; `close` also ends open connections. */
export interface MetricsServer {
  readonly port: number;
  close: () => void;
}

/** Serves the metrics in the text format of Prometheus under `/metrics`. */
export async function startMetricsServer(
  host: string,
  port: number,
  registry: Registry,
): Promise<MetricsServer> {
  const server = http.createServer((req, res) => {
    if (req.url !== '/metrics') {
      res.writeHead(404).end();
      return;
    }
    registry.metrics().then(
      (text) => {
        res.writeHead(200, { 'content-type': registry.contentType }).end(text);
      },
      () => {
        res.writeHead(500).end();
      },
    );
  });
  await listen(server, host, port);
  return {
    port: (server.address() as AddressInfo).port,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

import http from 'node:http';
import { listen } from './links';
import type { Door } from './store';

/** An order to promote a server, as a daemon has sent it. */
export interface Order {
  readonly service: string;
  readonly id: string;
  readonly holder: string;
  readonly token: number;
}

/** The platform's promotion call. */
export interface Cloud {
  /** Opens a port for one daemon; calls over a port that is cut are neither carried out nor answered. */
  openDoor: () => Promise<Door>;
  close: () => void;
}

/** Starts the call; `promote` returns false for a server that is not running. */
export function startCloud(isFenced: boolean, promote: (order: Order) => boolean): Cloud {
  const highest = new Map<string, number>();
  const servers: http.Server[] = [];
  const handle = (order: Order): number => {
    if (order.token < (highest.get(order.service) ?? 0) && isFenced) return 409;
    highest.set(order.service, Math.max(order.token, highest.get(order.service) ?? 0));
    return promote(order) ? 200 : 409;
  };
  return {
    openDoor: async () => {
      let isCut = false;
      const server = http.createServer((req, res) => {
        let text = '';
        req.on('data', (chunk: Buffer) => (text += chunk.toString()));
        req.on('end', () => {
          if (isCut) return;
          const { Service: service, Id: id } = JSON.parse(text) as { Service: string; Id: string };
          const holder = String(req.headers['x-duty-holder']);
          const token = Number(req.headers['x-fencing-token']);
          res.writeHead(handle({ service, id, holder, token }), {
            'content-type': 'application/json',
          });
          res.end('{}');
        });
      });
      servers.push(server);
      return {
        port: await listen(server),
        setCut: (next) => {
          isCut = next;
        },
      };
    },
    close: () => {
      for (const server of servers) {
        server.closeAllConnections();
        server.close();
      }
    },
  };
}

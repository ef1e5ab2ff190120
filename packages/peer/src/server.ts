import http from 'node:http';
import https from 'node:https';
import type { TLSSocket } from 'node:tls';
import { applyWSSHandler } from '@trpc/server/adapters/ws';
import { WebSocketServer } from 'ws';
import type { WebSocket } from 'ws';
import type { InstanceId } from '@rosedeck/shared';
import { createAnswerOutbox } from './answerOutbox';
import { createPeerRouter } from './router';
import type { PeerHandlers } from './router';
import { startHeartbeat } from './heartbeat';
import { PEER_MESSAGE_LIMIT, readPeerIdentity } from './wire';
import type { PeerTls } from './wire';

/** Handlers of a peer server's procedures and of its peers' connections. */
export interface PeerServerHandlers extends PeerHandlers {
  /**
   * Called when the last connection of an incarnation of `peer` has closed; that incarnation can
   * no longer end the transactions that it left open here.
   */
  readonly onClosed: (peer: InstanceId) => void;
  /** Peers with transactions open here; they are pinged often, so that a dead one is found soon. */
  readonly peersWithTransactions: () => ReadonlySet<InstanceId>;
}

/** A listening peer server. */
export interface PeerServer {
  readonly port: number;
  close: () => void;
}

/** A connection without a pong is closed; pings are rare, since there are many peers. */
const KEEP_ALIVE = { enabled: true, pingMs: 10_000, pongWaitMs: 5_000 };

/** Time between the pings to a peer with a transaction open here. */
const TRANSACTION_PING_MS = 500;

/** Starts a peer server; without `tls`, peers are neither encrypted nor authenticated. */
export async function startPeerServer(
  host: string,
  port: number,
  handlers: PeerServerHandlers,
  tls?: PeerTls,
): Promise<PeerServer> {
  const server = tls ? createSecureServer(tls) : http.createServer(refuseRequest);
  const wss = new WebSocketServer({
    server,
    maxPayload: PEER_MESSAGE_LIMIT,
    perMessageDeflate: false,
    verifyClient: ({ req }: { req: http.IncomingMessage }) => !tls || hasMatchingCertificate(req),
  });
  // Each running call adds a listener; Node.js would warn of a leak.
  wss.on('connection', (socket) => socket.setMaxListeners(0));
  applyWSSHandler({
    wss,
    router: createPeerRouter(handlers),
    createContext: ({ res }) => ({ outbox: createAnswerOutbox(() => res.bufferedAmount) }),
    keepAlive: KEEP_ALIVE,
  });
  reportDisconnects(wss, handlers.onClosed);
  const stopHeartbeat = startHeartbeat(wss, {
    peersToPing: handlers.peersWithTransactions,
    pingMs: TRANSACTION_PING_MS,
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  const address = server.address();
  return {
    port: typeof address === 'object' && address ? address.port : port,
    close: () => {
      stopHeartbeat();
      for (const socket of wss.clients) socket.terminate();
      wss.close();
      server.close();
      server.closeAllConnections();
    },
  };
}

function createSecureServer(tls: PeerTls): https.Server {
  const options = { ...tls, requestCert: true, rejectUnauthorized: true };
  return https.createServer(options, refuseRequest);
}

/** Answers plain HTTP requests with 426: peers use WebSockets only. */
function refuseRequest(_req: http.IncomingMessage, res: http.ServerResponse): void {
  res.writeHead(426).end();
}

/** True when the common name of the peer's certificate is the id that the peer connects with. */
function hasMatchingCertificate(req: http.IncomingMessage): boolean {
  const { socket } = req as unknown as { socket: Pick<TLSSocket, 'getPeerCertificate'> };
  const certificate = socket.getPeerCertificate();
  const identity = readPeerIdentity(req.url ?? '/');
  return identity !== undefined && certificate.subject.CN === identity.id;
}

/** Calls `onClosed` when the last connection of an incarnation of a peer has closed. */
function reportDisconnects(wss: WebSocketServer, onClosed: (peer: InstanceId) => void): void {
  const connectionCounts = new Map<string, number>();
  wss.on('connection', (socket: WebSocket, req) => {
    socket.on('error', () => undefined);
    const identity = readPeerIdentity(req.url ?? '/');
    if (!identity) return;
    const key = `${identity.id} ${identity.incarnation}`;
    connectionCounts.set(key, (connectionCounts.get(key) ?? 0) + 1);
    socket.once('close', () => {
      const remaining = (connectionCounts.get(key) ?? 1) - 1;
      if (remaining > 0) {
        connectionCounts.set(key, remaining);
        return;
      }
      connectionCounts.delete(key);
      onClosed(identity.id);
    });
  });
}

import type { WebSocket, WebSocketServer } from 'ws';
import type { InstanceId, Millis } from '@rosedeck/shared';
import { readPeerIdentity } from './wire';

/** Which connections are pinged, and how often. */
export interface HeartbeatOptions {
  /** Peers that have work open here which only they can end. */
  readonly peersToPing: () => ReadonlySet<InstanceId>;
  readonly pingMs: Millis;
}

/** Consecutive pings without any message from the peer after which its connection is closed. */
const MISSED_PING_LIMIT = 3;

interface PingedSocket {
  readonly peer: InstanceId;
  missedPings: number;
}

/** Pings connections of some peers and closes silent ones; returns a function that ends the pings. */
export function startHeartbeat(wss: WebSocketServer, options: HeartbeatOptions): () => void {
  const sockets = new Map<WebSocket, PingedSocket>();
  wss.on('connection', (socket: WebSocket, req) => {
    const identity = readPeerIdentity(req.url ?? '/');
    if (!identity) return;
    const state: PingedSocket = { peer: identity.id, missedPings: 0 };
    const resetMissedPings = (): void => {
      state.missedPings = 0;
    };
    socket.on('pong', resetMissedPings);
    socket.on('ping', resetMissedPings);
    socket.on('message', resetMissedPings);
    socket.once('close', () => sockets.delete(socket));
    sockets.set(socket, state);
  });
  // The limit counts pings, not time: after a pause of this process, messages of live peers may
  // still be unread.
  const pingSockets = (): void => {
    const pingedPeers = options.peersToPing();
    for (const [socket, state] of sockets) {
      if (!pingedPeers.has(state.peer)) state.missedPings = 0;
      else if (state.missedPings >= MISSED_PING_LIMIT) socket.terminate();
      else {
        state.missedPings += 1;
        socket.ping();
      }
    }
  };
  const timer = setInterval(pingSockets, options.pingMs);
  return () => {
    clearInterval(timer);
  };
}

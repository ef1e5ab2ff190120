import type {
  Answer,
  Command,
  ConfigAnswer,
  ConfigPoll,
  ConfigPush,
  CoreEvent,
  OwnerRequest,
  PeerRow,
} from '@rosedeck/core';
import type { InstanceId, Millis, RequestId } from '@rosedeck/shared';
import { HopError, createPeerClient, startPeerServer } from '@rosedeck/peer';
import type { PeerClient, PeerServer, PeerTls } from '@rosedeck/peer';

/** Carries out the commands that concern other daemons. */
export interface PeerAdapter {
  perform: (command: PeerCommand) => void;
  /** Asks a peer for its configuration. */
  askConfig: (to: InstanceId, ask: ConfigPoll) => Promise<ConfigAnswer>;
  /** Tells a peer of a change. */
  pushConfig: (to: InstanceId, push: ConfigPush) => Promise<number>;
  /** When the last request of a peer arrived. */
  lastRequestAt: () => Millis;
  /** Requests of peers that wait for their answer. */
  pendingRequests: () => number;
  port: number;
  close: () => void;
}

/** Commands that concern other daemons. */
export type PeerCommand = Extract<Command, { type: 'send_peer' | 'answer_peer' }>;

/** What the peer side needs of its daemon. */
export interface PeerAdapterOptions {
  readonly self: InstanceId;
  readonly host: string;
  readonly port: number;
  readonly silenceMs: Millis;
  readonly tls?: PeerTls;
  readonly askConfig: (ask: ConfigPoll) => ConfigAnswer;
  readonly pushConfig: (push: ConfigPush) => number;
  readonly findPeer: (id: InstanceId) => PeerRow | undefined;
  /** True while a transaction of a caller here is open at the peer. */
  readonly isNeeded: (id: InstanceId) => boolean;
  /** Daemons whose callers have transactions open here. */
  readonly openEntries: () => ReadonlySet<InstanceId>;
  readonly post: (event: CoreEvent) => void;
}

const DONE: Answer = { kind: 'ok', affectedRows: 0, insertId: 0 };
interface CachedClient {
  readonly host: string;
  readonly port: number;
  readonly client: PeerClient;
}

const PING_INTERVAL_MS = 100;
/** Time without requests after which a connection to a peer is closed. */
const IDLE_TIMEOUT_MS = 60_000;
const CONNECT_TIMEOUT_MS = 500;

/** Starts the side of a daemon that talks to its peers. */
export async function startPeerAdapter(around: PeerAdapterOptions): Promise<PeerAdapter> {
  const { self, post } = around;
  const clients = new Map<InstanceId, CachedClient>();
  // Two entries may wait for the same request: its caller has sent it again elsewhere.
  const pendingReplies = new Map<string, ((answer: Answer) => void)[]>();
  let lastRequestAt = -Infinity;
  const replyKey = (entry: InstanceId, request: RequestId): string => `${entry} ${request}`;

  const server: PeerServer = await startPeerServer(
    around.host,
    around.port,
    {
      run: (req) =>
        new Promise((resolve) => {
          lastRequestAt = performance.now();
          if (req.op === 'abandon') {
            // The core ends what is abandoned without an answer.
            post({ type: 'request', request: req });
            resolve(DONE);
            return;
          }
          const key = replyKey(req.entry, req.id);
          const known = pendingReplies.get(key);
          if (known) known.push(resolve);
          else pendingReplies.set(key, [resolve]);
          post({ type: 'request', request: req });
        }),
      askConfig: around.askConfig,
      pushConfig: around.pushConfig,
      onClosed: (entry) => {
        post({ type: 'entry_lost', entry });
      },
      watched: around.openEntries,
    },
    around.tls,
  );

  const getClient = (id: InstanceId): PeerClient | undefined => {
    const peer = around.findPeer(id);
    const known = clients.get(id);
    if (peer && known?.host === peer.host && known.port === peer.peerPort) {
      return known.client;
    }
    known?.client.close();
    clients.delete(id);
    if (!peer) return undefined;
    const { host, peerPort: port } = peer;
    const client = createPeerClient({
      self,
      host,
      port,
      peer: id,
      tls: around.tls,
      times: {
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        pingMs: PING_INTERVAL_MS,
        silenceMs: around.silenceMs,
        idleMs: IDLE_TIMEOUT_MS,
      },
      onLost: () => {
        post({ type: 'peer_suspected', peer: id });
      },
      mayClose: () => !around.isNeeded(id),
    });
    clients.set(id, { host, port, client });
    return client;
  };

  const requireClient = (to: InstanceId): PeerClient => {
    const client = getClient(to);
    if (!client) throw new HopError(false, `${to} is not on the list`);
    return client;
  };

  const send = (to: InstanceId, request: OwnerRequest): void => {
    if (to === self) {
      post({ type: 'request', request });
      return;
    }
    const client = getClient(to);
    if (!client) {
      post({ type: 'peer_lost', request: request.id, to, sent: false });
      return;
    }
    client.run(request).then(
      (answer) => {
        post({ type: 'peer_answer', request: request.id, answer });
      },
      (err: unknown) => {
        const sent = err instanceof HopError ? err.sent : true;
        post({ type: 'peer_lost', request: request.id, to, sent });
      },
    );
  };

  const answer = (command: Extract<PeerCommand, { type: 'answer_peer' }>): void => {
    const key = replyKey(command.entry, command.request);
    const resolvers = pendingReplies.get(key);
    pendingReplies.delete(key);
    for (const resolve of resolvers ?? []) resolve(command.answer);
    if (!resolvers && command.entry === self) {
      post({ type: 'peer_answer', request: command.request, answer: command.answer });
    }
  };

  return {
    port: server.port,
    perform: (command) => {
      if (command.type === 'send_peer') send(command.to, command.request);
      else answer(command);
    },
    askConfig: async (to, ask) => requireClient(to).askConfig(ask),
    pushConfig: async (to, push) => requireClient(to).pushConfig(push),
    lastRequestAt: () => lastRequestAt,
    pendingRequests: () => pendingReplies.size,
    close: () => {
      for (const { client } of clients.values()) client.close();
      server.close();
    },
  };
}

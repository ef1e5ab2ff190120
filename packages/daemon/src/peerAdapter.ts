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
import { PeerCallError, createPeerClient, startPeerServer } from '@rosedeck/peer';
import type { PeerClient, PeerServer, PeerTls } from '@rosedeck/peer';

/** Runs the core's commands for peers and serves their requests. */
export interface PeerAdapter {
  perform: (command: PeerCommand) => void;
  /** Requests a peer's configuration. */
  askConfig: (to: InstanceId, poll: ConfigPoll) => Promise<ConfigAnswer>;
  /** Sends a change to a peer; resolves to the revision that the peer has. */
  pushConfig: (to: InstanceId, push: ConfigPush) => Promise<number>;
  /** Time at which the last request of a peer arrived; -Infinity before the first. */
  lastRequestAt: () => Millis;
  /** Number of peers' requests without an answer. */
  pendingRequests: () => number;
  port: number;
  close: () => void;
}

/** Commands of the core that the peer adapter runs. */
export type PeerCommand = Extract<Command, { type: 'send_peer' | 'answer_peer' }>;

/** Functions and settings that the peer adapter needs. */
export interface PeerAdapterOptions {
  readonly self: InstanceId;
  readonly host: string;
  readonly port: number;
  readonly silenceMs: Millis;
  readonly tls?: PeerTls;
  /** Answers a poll with the revision here and the entries or snapshot that the peer lacks. */
  readonly answerPoll: (poll: ConfigPoll) => ConfigAnswer;
  /** Applies a change that a peer sent; returns the revision in force here. */
  readonly applyPush: (push: ConfigPush) => number;
  readonly findPeer: (id: InstanceId) => PeerRow | undefined;
  /** True while a caller of this daemon has a transaction open at the peer. */
  readonly hasTransactionAt: (id: InstanceId) => boolean;
  /** Daemons whose callers have transactions open at this one, which may be among them. */
  readonly entriesWithTransactions: () => ReadonlySet<InstanceId>;
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

/** Starts the peer adapter: the server for peers, and clients that connect on first use. */
export async function startPeerAdapter(options: PeerAdapterOptions): Promise<PeerAdapter> {
  const { self, post } = options;
  const clients = new Map<InstanceId, CachedClient>();
  // Keyed by entry too: when a caller has retried elsewhere, two entries wait for the same request.
  const pendingReplies = new Map<string, ((answer: Answer) => void)[]>();
  let lastRequestAt = -Infinity;
  const replyKey = (entry: InstanceId, request: RequestId): string => `${entry} ${request}`;

  const server: PeerServer = await startPeerServer(
    options.host,
    options.port,
    {
      run: (req) =>
        new Promise((resolve) => {
          lastRequestAt = performance.now();
          if (req.op === 'abandon') {
            // The core ends an abandoned request without an answer.
            post({ type: 'request', request: req });
            resolve(DONE);
            return;
          }
          const key = replyKey(req.entry, req.id);
          const resolvers = pendingReplies.get(key);
          if (resolvers) resolvers.push(resolve);
          else pendingReplies.set(key, [resolve]);
          post({ type: 'request', request: req });
        }),
      askConfig: options.answerPoll,
      pushConfig: options.applyPush,
      onClosed: (entry) => {
        post({ type: 'entry_lost', entry });
      },
      peersWithTransactions: options.entriesWithTransactions,
    },
    options.tls,
  );

  const getClient = (id: InstanceId): PeerClient | undefined => {
    const peer = options.findPeer(id);
    const cached = clients.get(id);
    if (peer && cached?.host === peer.host && cached.port === peer.peerPort) {
      return cached.client;
    }
    cached?.client.close();
    clients.delete(id);
    if (!peer) return undefined;
    const { host, peerPort: port } = peer;
    const client = createPeerClient({
      self,
      host,
      port,
      peer: id,
      tls: options.tls,
      times: {
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        pingMs: PING_INTERVAL_MS,
        silenceMs: options.silenceMs,
        idleMs: IDLE_TIMEOUT_MS,
      },
      onLost: () => {
        post({ type: 'peer_suspected', peer: id });
      },
      mayClose: () => !options.hasTransactionAt(id),
    });
    clients.set(id, { host, port, client });
    return client;
  };

  const requireClient = (to: InstanceId): PeerClient => {
    const client = getClient(to);
    if (!client) throw new PeerCallError(false, `peer ${to} is not listed`);
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
        const sent = err instanceof PeerCallError ? err.sent : true;
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
    askConfig: async (to, poll) => requireClient(to).askConfig(poll),
    pushConfig: async (to, push) => requireClient(to).pushConfig(push),
    lastRequestAt: () => lastRequestAt,
    pendingRequests: () => pendingReplies.size,
    close: () => {
      for (const { client } of clients.values()) client.close();
      server.close();
    },
  };
}

import type { PeerCertificate } from 'node:tls';
import { TRPCClientError, createTRPCClient } from '@trpc/client';
import type { TRPCClient } from '@trpc/client';
import type {
  Answer,
  Cell,
  ConfigAnswer,
  ConfigPoll,
  ConfigPush,
  OwnerRequest,
} from '@rosedeck/core';
import { createFailure } from '@rosedeck/shared';
import type { InstanceId, Millis } from '@rosedeck/shared';
import WebSocket from 'ws';
import type { ClientOptions } from 'ws';
import type { AnswerItem } from './answerOutbox';
import { HopError } from './hopError';
import type { Call, PeerRouter } from './router';
import { createSocketLink } from './socketLink';
import { PEER_MESSAGE_LIMIT, REQUEST_LENGTH_LIMIT, peerUrl } from './wire';
import type { PeerTls } from './wire';

/** Times of a peer connection. */
export interface SocketTimes {
  readonly connectTimeoutMs: Millis;
  /** Time between pings while requests are open. */
  readonly pingMs: Millis;
  /** Silence with requests open after which the peer is given up on. */
  readonly silenceMs: Millis;
  /** Time without requests after which the connection is closed. */
  readonly idleMs: Millis;
}

/** What a client needs to know of its daemon. */
export interface PeerClientOptions {
  readonly self: InstanceId;
  readonly host: string;
  readonly port: number;
  /** The daemon that is expected there. */
  readonly peer: InstanceId;
  /** Absent: the connection is not encrypted, and nobody proves who he is. */
  readonly tls?: PeerTls;
  readonly times: SocketTimes;
  /** The connection broke with requests open. */
  readonly onLost: () => void;
  /** False keeps an idle connection: something at the peer still depends on it. */
  readonly mayClose: () => boolean;
}

/** Calls to one peer. */
export interface PeerClient {
  /** Runs a request at the peer; rejects with a `HopError` when the way breaks. */
  run: (req: OwnerRequest) => Promise<Answer>;
  /** Asks for the peer's configuration; rejects when it does not answer. */
  askConfig: (ask: ConfigPoll) => Promise<ConfigAnswer>;
  /** Tells the peer of a change; resolves with the revision that it then holds. */
  pushConfig: (push: ConfigPush) => Promise<number>;
  close: () => void;
}

interface OpenCall {
  readonly resolve: (answer: Answer) => void;
  readonly reject: (err: HopError) => void;
  sent: boolean;
  /** Rows of a large answer that have come. */
  rows?: (readonly Cell[])[];
}

interface Link {
  readonly socket: WebSocket;
  readonly trpc: TRPCClient<PeerRouter>;
  submit: (batch: Call[]) => Promise<void>;
}

/** Creates the client of one peer; it connects when first used. */
export function createPeerClient(options: PeerClientOptions): PeerClient {
  const { times } = options;
  const calls = new Map<number, OpenCall>();
  let outgoing: Call[] = [];
  let nextCall = 1;
  let isFlushQueued = false;
  let current: Link | undefined;
  let lastHeardAt = 0;
  let timer: NodeJS.Timeout | undefined;
  let isWatchedBusy = false;

  const failAll = (message: string): void => {
    const open = [...calls.values()];
    calls.clear();
    outgoing = [];
    current = undefined;
    clearTimeout(timer);
    for (const call of open) call.reject(new HopError(call.sent, message));
    if (open.length > 0) options.onLost();
  };

  const heard = (): void => {
    lastHeardAt = performance.now();
  };

  /** Pings while requests are open; otherwise waits for the connection to become idle. */
  const watch = (link: Link): void => {
    if (current !== link) return;
    const silentMs = performance.now() - lastHeardAt;
    if (calls.size === 0) {
      if (silentMs >= times.idleMs && options.mayClose()) {
        current = undefined;
        link.socket.close();
        return;
      }
      planWatch(link, false);
      return;
    }
    if (silentMs > times.silenceMs) {
      link.socket.terminate();
      failAll('the peer is silent');
      return;
    }
    if (link.socket.readyState === WebSocket.OPEN) link.socket.ping();
    planWatch(link, true);
  };

  const planWatch = (link: Link, isBusy: boolean): void => {
    clearTimeout(timer);
    isWatchedBusy = isBusy;
    timer = setTimeout(watch, isBusy ? times.pingMs : times.idleMs, link);
  };

  /** Daemons are reached by number; it is their id that the certificate has to show. */
  const checkPeer = (_host: string, certificate: PeerCertificate): Error | undefined => {
    const name = certificate.subject.CN;
    if (name === options.peer) return undefined;
    return new Error(`expected the certificate of ${options.peer}, found that of ${String(name)}`);
  };

  // The published types give the check a form that the library does not use.
  const proveBothSides = (tls: PeerTls): ClientOptions =>
    ({
      ...tls,
      rejectUnauthorized: true,
      checkServerIdentity: checkPeer,
    }) as unknown as ClientOptions;

  const connect = (): Link => {
    const { host, port, self, tls } = options;
    const socket = new WebSocket(peerUrl(host, port, self, tls !== undefined), {
      ...(tls && proveBothSides(tls)),
      handshakeTimeout: times.connectTimeoutMs,
      maxPayload: PEER_MESSAGE_LIMIT,
      perMessageDeflate: false,
    });
    const { link, receive } = createSocketLink<PeerRouter>(socket);
    const trpc = createTRPCClient<PeerRouter>({ links: [link] });
    const submit = async (batch: Call[]): Promise<void> => {
      const [only] = batch;
      if (!only || batch.length > 1) {
        await trpc.submit.mutate(batch);
        return;
      }
      const item = await trpc.run.mutate(only);
      if (item) takeAnswers([item]);
    };
    const created: Link = { socket, trpc, submit };
    heard();
    socket.on('pong', heard);
    socket.on('message', (raw: Buffer) => {
      heard();
      try {
        receive(raw.toString('utf8'));
      } catch {
        // Not a message of this protocol.
        socket.terminate();
      }
    });
    socket.on('open', () => {
      heard();
      trpc.answers.subscribe(undefined, { onData: takeAnswers, onError: () => undefined });
      flush();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      if (current === created) failAll('the connection to the peer is closed');
    });
    return created;
  };

  const flush = (): void => {
    isFlushQueued = false;
    if (outgoing.length === 0) return;
    current ??= connect();
    if (current.socket.readyState !== WebSocket.OPEN) return;
    const batch = outgoing;
    outgoing = [];
    for (const { call } of batch) {
      const open = calls.get(call);
      if (open) open.sent = true;
    }
    current.submit(batch).catch((err: unknown) => {
      refuseBatch(batch, err);
    });
  };

  const refuseBatch = (batch: readonly Call[], err: unknown): void => {
    const cause = err instanceof TRPCClientError ? err.cause : err;
    const hopError = cause instanceof HopError ? cause : new HopError(true, String(err));
    for (const { call } of batch) {
      calls.get(call)?.reject(hopError);
      calls.delete(call);
    }
  };

  const takeAnswers = (items: readonly AnswerItem[]): void => {
    for (const item of items) {
      const open = calls.get(item.call);
      if (!open) continue;
      if ('answer' in item) {
        calls.delete(item.call);
        open.resolve(item.answer);
        continue;
      }
      const rows = (open.rows ??= []);
      for (const row of item.rows) rows.push(row);
      if (!item.end) continue;
      calls.delete(item.call);
      open.resolve({ ...item.end, rows });
    }
  };

  /** Opens the connection if need be, and watches it while calls are open. */
  const attend = (isFirst: boolean): Link => {
    const isNew = current === undefined;
    const link = (current ??= connect());
    if (isFirst) heard();
    if (isFirst && (isNew || !isWatchedBusy)) planWatch(link, true);
    return link;
  };

  /** A call beside the requests; it ends with the connection as they do. */
  const control = <T>(start: (trpc: TRPCClient<PeerRouter>) => Promise<T>): Promise<T> =>
    new Promise((resolve, reject) => {
      const call = nextCall;
      nextCall += 1;
      const isFirst = calls.size === 0;
      calls.set(call, { resolve: () => undefined, reject, sent: true });
      const { socket, trpc } = attend(isFirst);
      const begin = (): void => {
        start(trpc)
          .then(resolve, reject)
          .finally(() => calls.delete(call));
      };
      if (socket.readyState === WebSocket.OPEN) begin();
      else socket.once('open', begin);
    });

  return {
    askConfig: (ask) => control((trpc) => trpc.askConfig.mutate(ask)),
    pushConfig: (push) => control((trpc) => trpc.pushConfig.mutate(push)),
    run: (req) =>
      new Promise((resolve, reject) => {
        if (lengthOf(req) > REQUEST_LENGTH_LIMIT) {
          const detail = `the statement has more than ${REQUEST_LENGTH_LIMIT} characters`;
          resolve({ kind: 'failure', failure: createFailure('too_large', detail) });
          return;
        }
        const call = nextCall;
        nextCall += 1;
        const isFirst = calls.size === 0;
        calls.set(call, { resolve, reject, sent: false });
        outgoing.push({ call, req });
        if (!isFlushQueued) {
          isFlushQueued = true;
          queueMicrotask(flush);
        }
        if (isFirst) attend(isFirst);
      }),
    close: () => {
      clearTimeout(timer);
      current?.socket.terminate();
    },
  };
}

function lengthOf(req: OwnerRequest): number {
  const params = req.params ?? [];
  return params.reduce((sum: number, param) => {
    if (typeof param === 'string') return sum + param.length;
    return param !== null && typeof param === 'object' ? sum + param.base64.length : sum;
  }, req.sql.length);
}

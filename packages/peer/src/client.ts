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
import { createFailure, describeError } from '@rosedeck/shared';
import type { InstanceId, Millis } from '@rosedeck/shared';
import WebSocket from 'ws';
import type { ClientOptions } from 'ws';
import type { AnswerItem } from './answerOutbox';
import { PeerCallError } from './peerCallError';
import type { Call, PeerRouter } from './router';
import { createSocketLink } from './socketLink';
import { PEER_MESSAGE_LIMIT, REQUEST_LENGTH_LIMIT, peerUrl } from './wire';
import type { PeerTls } from './wire';

/** Intervals and time limits of a peer connection. */
export interface SocketTimes {
  readonly connectTimeoutMs: Millis;
  /** Time between pings while calls are pending. */
  readonly pingMs: Millis;
  /** Time without a message or pong, with calls pending, after which the connection is closed. */
  readonly silenceMs: Millis;
  /** Time without calls after which the connection is closed. */
  readonly idleMs: Millis;
}

/** Options of a peer client. */
export interface PeerClientOptions {
  /** Id of the connecting daemon. */
  readonly self: InstanceId;
  readonly host: string;
  readonly port: number;
  /** Id of the daemon expected at the address. */
  readonly peer: InstanceId;
  /** Without it, the connection is neither encrypted nor authenticated. */
  readonly tls?: PeerTls;
  readonly times: SocketTimes;
  /** Called when the connection ends while calls are pending. */
  readonly onLost: () => void;
  /** Returns false to keep an idle connection because work at the peer depends on it. */
  readonly mayClose: () => boolean;
}

/** Calls to one peer. */
export interface PeerClient {
  /** Runs a request at the peer; rejects with a `PeerCallError` when there is no answer. */
  run: (req: OwnerRequest) => Promise<Answer>;
  /** Requests the peer's configuration; rejects when it does not answer. */
  askConfig: (poll: ConfigPoll) => Promise<ConfigAnswer>;
  /** Sends a change to the peer; resolves with the revision that it holds afterwards. */
  pushConfig: (push: ConfigPush) => Promise<number>;
  close: () => void;
}

interface PendingCall {
  readonly resolve: (answer: Answer) => void;
  readonly reject: (err: PeerCallError) => void;
  sent: boolean;
  /** Rows of a large answer received so far. */
  rows?: (readonly Cell[])[];
}

interface PeerConnection {
  readonly socket: WebSocket;
  readonly trpc: TRPCClient<PeerRouter>;
  submit: (batch: Call[]) => Promise<void>;
}

/** Creates the client of one peer; it connects on the first call. */
export function createPeerClient(options: PeerClientOptions): PeerClient {
  const { times } = options;
  const calls = new Map<number, PendingCall>();
  let outgoing: Call[] = [];
  let nextCall = 1;
  let isFlushQueued = false;
  let current: PeerConnection | undefined;
  let lastActivityAt = 0;
  /** When the next check of the connection is due. */
  let checkDueAt = 0;
  let timer: NodeJS.Timeout | undefined;
  let isPingScheduled = false;

  const failAll = (message: string): void => {
    const pending = [...calls.values()];
    calls.clear();
    outgoing = [];
    current = undefined;
    clearTimeout(timer);
    for (const call of pending) call.reject(new PeerCallError(call.sent, message));
    if (pending.length > 0) options.onLost();
  };

  const recordActivity = (): void => {
    lastActivityAt = performance.now();
  };

  /**
   * Pings while calls are pending; otherwise closes the connection once it is idle. A blocked process
   * runs its timers before it reads what has arrived, so that the delay does not count as silence.
   */
  const checkConnection = (connection: PeerConnection): void => {
    if (current !== connection) return;
    const now = performance.now();
    lastActivityAt = Math.min(now, lastActivityAt + Math.max(0, now - checkDueAt));
    const silentMs = now - lastActivityAt;
    if (calls.size === 0) {
      if (silentMs >= times.idleMs && options.mayClose()) {
        current = undefined;
        connection.socket.close();
        return;
      }
      scheduleCheck(connection, false);
      return;
    }
    if (silentMs > times.silenceMs) {
      connection.socket.terminate();
      failAll('no reply from the peer within the silence limit');
      return;
    }
    if (connection.socket.readyState === WebSocket.OPEN) connection.socket.ping();
    scheduleCheck(connection, true);
  };

  const scheduleCheck = (connection: PeerConnection, isBusy: boolean): void => {
    clearTimeout(timer);
    isPingScheduled = isBusy;
    const delayMs = isBusy ? times.pingMs : times.idleMs;
    checkDueAt = performance.now() + delayMs;
    timer = setTimeout(checkConnection, delayMs, connection);
  };

  /** Peers are addressed by IP address, so their certificates are checked for the peer's id. */
  const checkPeerCertificate = (_host: string, certificate: PeerCertificate): Error | undefined => {
    const name = certificate.subject.CN;
    if (name === options.peer) return undefined;
    return new Error(`expected the certificate of ${options.peer}, found that of ${String(name)}`);
  };

  // The published type of `checkServerIdentity` differs from what the library calls.
  const createTlsOptions = (tls: PeerTls): ClientOptions =>
    ({
      ...tls,
      rejectUnauthorized: true,
      checkServerIdentity: checkPeerCertificate,
    }) as unknown as ClientOptions;

  const connect = (): PeerConnection => {
    const { host, port, self, tls } = options;
    const socket = new WebSocket(peerUrl(host, port, self, tls !== undefined), {
      ...(tls && createTlsOptions(tls)),
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
      if (item) receiveAnswers([item]);
    };
    const created: PeerConnection = { socket, trpc, submit };
    recordActivity();
    socket.on('pong', recordActivity);
    socket.on('message', (raw: Buffer) => {
      recordActivity();
      try {
        receive(raw.toString('utf8'));
      } catch {
        // Not a message of the peer protocol.
        socket.terminate();
      }
    });
    socket.on('open', () => {
      recordActivity();
      trpc.answers.subscribe(undefined, { onData: receiveAnswers, onError: () => undefined });
      flush();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      if (current === created) failAll('the connection to the peer is closed');
    });
    return created;
  };

  /** The connection, opened if there is none; undefined for an address that is none, with all calls failed. */
  const requireConnection = (): PeerConnection | undefined => {
    try {
      current ??= connect();
    } catch (err) {
      failAll(describeError(err));
    }
    return current;
  };

  const flush = (): void => {
    isFlushQueued = false;
    if (outgoing.length === 0) return;
    const connection = requireConnection();
    if (connection?.socket.readyState !== WebSocket.OPEN) return;
    const batch = outgoing;
    outgoing = [];
    for (const { call } of batch) {
      const pending = calls.get(call);
      if (pending) pending.sent = true;
    }
    connection.submit(batch).catch((err: unknown) => {
      rejectBatch(batch, err);
    });
  };

  const rejectBatch = (batch: readonly Call[], err: unknown): void => {
    const cause = err instanceof TRPCClientError ? err.cause : err;
    const callError = cause instanceof PeerCallError ? cause : new PeerCallError(true, String(err));
    for (const { call } of batch) {
      calls.get(call)?.reject(callError);
      calls.delete(call);
    }
  };

  const receiveAnswers = (items: readonly AnswerItem[]): void => {
    for (const item of items) {
      const pending = calls.get(item.call);
      if (!pending) continue;
      if ('answer' in item) {
        calls.delete(item.call);
        pending.resolve(item.answer);
        continue;
      }
      const rows = (pending.rows ??= []);
      for (const row of item.rows) rows.push(row);
      if (!item.end) continue;
      calls.delete(item.call);
      pending.resolve({ ...item.end, rows });
    }
  };

  /** As `requireConnection`; `isFirst` (no other call is pending) starts the checks for silence. */
  const ensureConnection = (isFirst: boolean): PeerConnection | undefined => {
    const isNew = current === undefined;
    const connection = requireConnection();
    if (!connection) return undefined;
    if (isFirst) recordActivity();
    if (isFirst && (isNew || !isPingScheduled)) scheduleCheck(connection, true);
    return connection;
  };

  /** Calls another procedure than `run`; like a request, the call fails when the connection ends. */
  const callProcedure = <T>(start: (trpc: TRPCClient<PeerRouter>) => Promise<T>): Promise<T> =>
    new Promise((resolve, reject) => {
      const call = nextCall;
      nextCall += 1;
      const isFirst = calls.size === 0;
      calls.set(call, { resolve: () => undefined, reject, sent: true });
      const connection = ensureConnection(isFirst);
      if (!connection) return;
      const { socket, trpc } = connection;
      const startCall = (): void => {
        start(trpc)
          .then(resolve, reject)
          .finally(() => calls.delete(call));
      };
      if (socket.readyState === WebSocket.OPEN) startCall();
      else socket.once('open', startCall);
    });

  return {
    askConfig: (poll) => callProcedure((trpc) => trpc.askConfig.mutate(poll)),
    pushConfig: (push) => callProcedure((trpc) => trpc.pushConfig.mutate(push)),
    run: (req) =>
      new Promise((resolve, reject) => {
        if (countCharacters(req) > REQUEST_LENGTH_LIMIT) {
          const detail = `the statement with its parameters has more than ${REQUEST_LENGTH_LIMIT} characters`;
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
        if (isFirst) ensureConnection(isFirst);
      }),
    close: () => {
      clearTimeout(timer);
      current?.socket.terminate();
    },
  };
}

/** Characters of a request's statement and parameters, without escapes. */
function countCharacters(req: OwnerRequest): number {
  const params = req.params ?? [];
  return params.reduce((sum: number, param) => {
    if (typeof param === 'string') return sum + param.length;
    return param !== null && typeof param === 'object' ? sum + param.base64.length : sum;
  }, req.sql.length);
}

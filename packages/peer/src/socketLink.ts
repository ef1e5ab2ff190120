import { TRPCClientError } from '@trpc/client';
import type { TRPCLink } from '@trpc/client';
import type { AnyRouter } from '@trpc/server';
import { observable } from '@trpc/server/observable';
import type WebSocket from 'ws';
import { PeerCallError } from './peerCallError';

interface ReplyHandler {
  readonly onData: (data: unknown) => void;
  readonly onError: (err: PeerCallError) => void;
  readonly isSubscription: boolean;
}

interface ReplyMessage {
  readonly id: number;
  readonly result?: { readonly type?: string; readonly data?: unknown };
  readonly error?: {
    readonly message?: string;
    readonly data?: { readonly code?: string };
  };
}

/** A tRPC link over one open WebSocket. */
export interface SocketLink<Router extends AnyRouter> {
  readonly link: TRPCLink<Router>;
  /** Handles a message from the peer; throws when it is not JSON. */
  receive: (text: string) => void;
}

/**
 * Creates a link. tRPC's own WebSocket link resends pending calls after a reconnect; this one
 * belongs to one socket, sends each call once and ends with the socket.
 */
export function createSocketLink<Router extends AnyRouter>(socket: WebSocket): SocketLink<Router> {
  const handlers = new Map<number, ReplyHandler>();
  let nextId = 1;
  const link: TRPCLink<Router> =
    () =>
    ({ op }) =>
      observable((observer) => {
        const id = nextId;
        nextId += 1;
        const isSubscription = op.type === 'subscription';
        handlers.set(id, {
          isSubscription,
          onData: (data) => {
            observer.next({ result: { type: 'data', data } });
            if (!isSubscription) observer.complete();
          },
          onError: (err) => {
            observer.error(TRPCClientError.from(err));
          },
        });
        const { path, input } = op;
        socket.send(JSON.stringify({ id, method: op.type, params: { path, input } }));
      });
  return {
    link,
    receive: (text) => {
      const message = JSON.parse(text) as ReplyMessage;
      const handler = handlers.get(message.id);
      if (!handler || message.result?.type === 'started') return;
      if (!handler.isSubscription) handlers.delete(message.id);
      if (message.error) {
        // The peer validates the input before it calls a handler, so an invalid call did not run.
        const sent = message.error.data?.code !== 'BAD_REQUEST';
        handler.onError(new PeerCallError(sent, message.error.message ?? 'peer error'));
      } else handler.onData(message.result?.data);
    },
  };
}

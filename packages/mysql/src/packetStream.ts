import type { Socket } from 'node:net';
import type { Packet, PacketParser, ServerSideConnection } from './packetTypes';

/** Receives the packets of a client as long as they stay within the size limit. */
export interface PacketReceiver {
  readonly limitBytes: number;
  readonly onPacket: (packet: Packet) => void;
  /** Called when a declared or accumulated payload exceeds the limit; reception stops. */
  readonly onOversized: () => void;
}

type Listener = (...args: unknown[]) => void;

/** Socket events to which `mysql2` listens. */
const MYSQL2_EVENTS = ['data', 'error', 'end', 'close'] as const;

/** Lists the listeners of a socket before `mysql2` adds its own. */
export function listListeners(stream: Socket): ReadonlySet<Listener> {
  return new Set(MYSQL2_EVENTS.flatMap((event) => stream.listeners(event) as Listener[]));
}

/**
 * Detaches a socket from its `mysql2` connection, which is needed for the login only. An idle
 * caller then uses just a socket and a packet parser.
 */
export function detachConnection(
  raw: ServerSideConnection,
  socket: Socket,
  keptListeners: ReadonlySet<Listener>,
  receiver: PacketReceiver,
): void {
  for (const event of MYSQL2_EVENTS) {
    for (const listener of socket.listeners(event) as Listener[]) {
      if (!keptListeners.has(listener)) socket.off(event, listener);
    }
  }
  receivePackets(raw.stream, createParser(raw, receiver.onPacket), receiver);
}

/** Creates a packet parser of the class that `mysql2` uses. */
export function createParser(
  raw: ServerSideConnection,
  onPacket: (packet: Packet) => void,
): PacketParser {
  const Parser = raw.packetParser.constructor as new (
    onPacket: (packet: Packet) => void,
  ) => PacketParser;
  return new Parser(onPacket);
}

/** Time that a client has to close its side of a connection that the server has ended. */
const LINGER_MS = 2_000;

/** Ends a connection after pending writes; destroys it if the client does not close its side. */
export function endSocket(stream: Socket): void {
  stream.end();
  setTimeout(() => stream.destroy(), LINGER_MS).unref();
}

/** Passes a socket's bytes to a parser, in place of the listener of `mysql2`. */
export function receivePackets(
  stream: Socket,
  parser: PacketParser,
  { limitBytes, onOversized }: Pick<PacketReceiver, 'limitBytes' | 'onOversized'>,
): void {
  stream.removeAllListeners('data');
  const onData = (chunk: Buffer): void => {
    parser.execute(chunk);
    // Handling the packet may detach the socket: for the TLS upgrade or for the command phase.
    if (stream.listenerCount('data') === 0) return;
    if (!isOversized(parser, limitBytes)) return;
    stream.off('data', onData);
    stream.on('data', ignore);
    onOversized();
  };
  stream.on('data', onData);
}

function ignore(): void {
  // Bytes of a refused client are read and discarded, so that the error packet reaches it.
}

function isOversized({ buffer, length, largePacketParts }: PacketParser, limit: number): boolean {
  if (buffer.length > 0 && length > limit) return true;
  if (largePacketParts.length === 0) return false;
  return largePacketParts.reduce((sum, part) => sum + part.length, 0) > limit;
}

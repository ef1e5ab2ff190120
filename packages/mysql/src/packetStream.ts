import type { Socket } from 'node:net';
import type { Packet, PacketParser, ServerSideConnection } from './packetTypes';

/** Receives the packets of a client until the client sends too much. */
export interface PacketReceiver {
  readonly limitBytes: number;
  readonly onPacket: (packet: Packet) => void;
  /** A packet is announced or grows beyond the limit; nothing more is received. */
  readonly onOversized: () => void;
}

type Listener = (...args: unknown[]) => void;

/** Events of a socket to which the library listens. */
const LIBRARY_EVENTS = ['data', 'error', 'end', 'close'] as const;

/** The listeners that a socket has before the library adds its own. */
export function listListeners(stream: Socket): ReadonlySet<Listener> {
  return new Set(LIBRARY_EVENTS.flatMap((event) => stream.listeners(event) as Listener[]));
}

/**
 * Frees a socket from the library's connection, which is needed for the login only: an idle caller
 * then costs its socket and a packet parser.
 */
export function detachConnection(
  raw: ServerSideConnection,
  socket: Socket,
  keptListeners: ReadonlySet<Listener>,
  receiver: PacketReceiver,
): void {
  for (const event of LIBRARY_EVENTS) {
    for (const listener of socket.listeners(event) as Listener[]) {
      if (!keptListeners.has(listener)) socket.off(event, listener);
    }
  }
  receivePackets(raw.stream, createParser(raw, receiver.onPacket), receiver);
}

/** Creates a parser of the library's kind. */
export function createParser(
  raw: ServerSideConnection,
  onPacket: (packet: Packet) => void,
): PacketParser {
  const Parser = raw.packetParser.constructor as new (
    onPacket: (packet: Packet) => void,
  ) => PacketParser;
  return new Parser(onPacket);
}

/** Time that a client has to close its side of an ended connection. */
const LINGER_MS = 2_000;

/** Ends a connection once all is written, whether the client plays along or not. */
export function endSocket(stream: Socket): void {
  stream.end();
  setTimeout(() => stream.destroy(), LINGER_MS).unref();
}

/** Feeds a socket's bytes to a parser, in place of the library's own listener. */
export function receivePackets(
  stream: Socket,
  parser: PacketParser,
  { limitBytes, onOversized }: Pick<PacketReceiver, 'limitBytes' | 'onOversized'>,
): void {
  stream.removeAllListeners('data');
  const onData = (chunk: Buffer): void => {
    parser.execute(chunk);
    // The packet may have freed the socket, for encryption or for the commands.
    if (stream.listenerCount('data') === 0) return;
    if (!isOversized(parser, limitBytes)) return;
    stream.off('data', onData);
    stream.on('data', ignore);
    onOversized();
  };
  stream.on('data', onData);
}

function ignore(): void {
  // The bytes of a refused client are read and dropped, so that the error reaches it.
}

function isOversized({ buffer, length, largePacketParts }: PacketParser, limit: number): boolean {
  if (buffer.length > 0 && length > limit) return true;
  if (largePacketParts.length === 0) return false;
  return largePacketParts.reduce((sum, part) => sum + part.length, 0) > limit;
}

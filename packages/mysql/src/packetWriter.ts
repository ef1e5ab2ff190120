import type { TextEncoding } from './charsets';
import type { Packet, PacketConstructor } from './packetTypes';

/** Client settings that determine the format of responses. */
export interface ClientTraits {
  readonly encoding: TextEncoding;
  /** True if the client set CLIENT_SESSION_TRACK. */
  readonly tracksSession: boolean;
}

/** Traits used before the client's handshake response. */
export const DEFAULT_CLIENT_TRAITS: ClientTraits = { encoding: 'utf8', tracksSession: false };

/** Builds packets in a reusable buffer with the write methods of `mysql2`; see `beginResponse`. */
export interface PacketWriter {
  readonly Constructor: PacketConstructor;
  packet: Packet;
  /** Offset of the open packet's header in the buffer. */
  packetStart: number;
  sequenceId: number;
  client: ClientTraits;
  sink: (bytes: Buffer) => void;
}

const HEADER_BYTES = 4;
const INITIAL_BUFFER_BYTES = 64 * 1_024;
/** Finished packets are sent once they fill this many bytes. */
const FLUSH_BYTES = 32 * 1_024;
/** Longest length-encoded integer. */
export const MAX_LENGTH_PREFIX_BYTES = 9;
/** A payload of this length or more has to be split, which the writer does not do. */
const MAX_PAYLOAD_BYTES = 0xff_ff_ff;

/** Creates a writer, which builds one response at a time. */
export function createPacketWriter(Constructor: PacketConstructor): PacketWriter {
  const buffer = Buffer.allocUnsafeSlow(INITIAL_BUFFER_BYTES);
  return {
    Constructor,
    packet: new Constructor(0, buffer, 0, buffer.length),
    packetStart: 0,
    sequenceId: 0,
    client: DEFAULT_CLIENT_TRAITS,
    sink: () => undefined,
  };
}

/** Starts a response: its packets are numbered from `sequenceId` and passed to `sink`. */
export function beginResponse(
  writer: PacketWriter,
  sequenceId: number,
  client: ClientTraits,
  sink: (bytes: Buffer) => void,
): void {
  writer.packet.offset = 0;
  writer.sequenceId = sequenceId;
  writer.client = client;
  writer.sink = sink;
}

/** Passes the finished packets to the sink; shrinks a grown buffer. */
export function flushPackets(writer: PacketWriter): void {
  const { packet } = writer;
  if (packet.offset > 0) writer.sink(Buffer.from(packet.buffer.subarray(0, packet.offset)));
  packet.offset = 0;
  if (packet.buffer.length > INITIAL_BUFFER_BYTES)
    replaceBuffer(writer, Buffer.allocUnsafeSlow(INITIAL_BUFFER_BYTES));
}

/** Grows the buffer if it has no room for `bytes` more bytes. */
export function reserve(writer: PacketWriter, bytes: number): void {
  const { packet } = writer;
  const needed = packet.offset + bytes;
  if (needed <= packet.buffer.length) return;
  const buffer = Buffer.allocUnsafeSlow(Math.max(needed, packet.buffer.length * 2));
  packet.buffer.copy(buffer, 0, 0, packet.offset);
  replaceBuffer(writer, buffer);
}

function replaceBuffer(writer: PacketWriter, buffer: Buffer): void {
  const { offset } = writer.packet;
  writer.packet = new writer.Constructor(0, buffer, 0, buffer.length);
  writer.packet.offset = Math.min(offset, buffer.length);
}

/** Opens a packet, leaving room for its header. */
export function openPacket(writer: PacketWriter): void {
  reserve(writer, HEADER_BYTES);
  writer.packetStart = writer.packet.offset;
  writer.packet.offset += HEADER_BYTES;
}

/** Writes the header of the open packet; discards a payload that is too long and returns false. */
export function closePacket(writer: PacketWriter): boolean {
  const { packet, packetStart } = writer;
  const end = packet.offset;
  const length = end - packetStart - HEADER_BYTES;
  packet.offset = packetStart;
  if (length >= MAX_PAYLOAD_BYTES) return false;
  packet.writeInt24(length);
  packet.writeInt8(writer.sequenceId);
  packet.offset = end;
  writer.sequenceId = (writer.sequenceId + 1) % 256;
  if (end >= FLUSH_BYTES) flushPackets(writer);
  return true;
}

/** Writes a length-encoded string in the client's encoding. */
export function writeText(writer: PacketWriter, text: string): void {
  if (writer.client.encoding === 'utf8') {
    const bytes = Buffer.byteLength(text);
    reserve(writer, MAX_LENGTH_PREFIX_BYTES + bytes);
    writer.packet.writeLengthCodedUtf8String(text, bytes);
    return;
  }
  reserve(writer, MAX_LENGTH_PREFIX_BYTES + text.length * 4);
  writer.packet.writeLengthCodedString(text, writer.client.encoding);
}

/** Writes the bytes of a base64 cell as a length-encoded string. */
export function writeBase64(writer: PacketWriter, base64: string): void {
  const bytes = Buffer.from(base64, 'base64');
  reserve(writer, MAX_LENGTH_PREFIX_BYTES + bytes.length);
  writer.packet.writeLengthCodedBuffer(bytes);
}

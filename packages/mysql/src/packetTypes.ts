import type { Socket } from 'node:net';
import type { Connection } from 'mysql2';

/** The parts of a packet of `mysql2` that its published types leave out. */
export interface Packet {
  buffer: Buffer;
  offset: number;
  /** End of the payload within `buffer`. */
  end: number;
  readonly sequenceId: number;
  readonly numPackets: number;
  clone: () => Packet;
  length: () => number;
  skip: (bytes: number) => void;
  readInt8: () => number;
  readSInt8: () => number;
  readInt16: () => number;
  readSInt16: () => number;
  readInt32: () => number;
  readSInt32: () => number;
  readInt64: () => number | string;
  readSInt64: () => number | string;
  readFloat: () => number;
  readDouble: () => number;
  readBuffer: (length?: number) => Buffer;
  readString: (length: number | undefined, encoding: string) => string;
  readNullTerminatedString: (encoding: string) => string;
  readLengthCodedBuffer: () => Buffer | null;
  readDateTimeString: (decimals: number, separator: string, type: number) => string;
  readTimeString: () => string;
  writeInt8: (value: number) => void;
  writeInt16: (value: number) => void;
  writeInt24: (value: number) => void;
  writeInt32: (value: number) => void;
  writeUIntLE: (value: bigint, bytes: number) => void;
  writeFloat: (value: number) => void;
  writeDouble: (value: number) => void;
  writeNull: () => void;
  writeBuffer: (value: Buffer) => void;
  writeTime: (value: TimeParts) => void;
  writeLengthCodedNumber: (value: number) => void;
  writeLengthCodedBuffer: (value: Buffer) => void;
  writeLengthCodedString: (value: string, encoding: string) => void;
  writeLengthCodedUtf8String: (value: string, byteLength: number) => void;
}

/** A TIME value as the library writes it. */
export interface TimeParts {
  readonly negative: boolean;
  readonly days: number;
  readonly hours: number;
  readonly minutes: number;
  readonly seconds: number;
  readonly microseconds: number;
}

/** Constructor of packets; `mysql2` does not export it, so it is taken from a connection's parser. */
export type PacketConstructor = new (
  id: number,
  buffer: Buffer,
  start: number,
  end: number,
) => Packet;

/** The parts of the library's packet parser that are read here. */
export interface PacketParser {
  /** Declared length of the packet being received. */
  readonly length: number;
  /** Chunks of a packet that is not complete. */
  readonly buffer: readonly Buffer[];
  /** Parts received of a payload that is split over several packets. */
  readonly largePacketParts: readonly Buffer[];
  readonly _reusablePacket: Packet;
  execute: (chunk: Buffer) => void;
  readonly constructor: unknown;
}

/** What a client sent to log in. */
export interface HandshakeResponse {
  readonly clientFlags: number;
  readonly charsetNumber: number;
  readonly user: string;
  readonly database?: string;
  readonly authPluginName?: string;
  readonly connectAttributes?: Readonly<Record<string, string>>;
}

/** The parts of a server-side connection of `mysql2` that its published types leave out. */
export interface ServerSideConnection extends Connection {
  stream: Socket;
  sequenceId: number;
  clientHelloReply: HandshakeResponse;
  packetParser: PacketParser;
  /** Called without a packet when a command starts. */
  handlePacket: (packet?: Packet) => void;
  serverHandshake: (args: Record<string, unknown>) => void;
}

/** Server status: a transaction is open. */
export const STATUS_IN_TRANSACTION = 0x0001;
/** Server status: statements outside transactions commit by themselves. */
export const STATUS_AUTOCOMMIT = 0x0002;
/** Server status: the OK packet carries session state. */
export const STATUS_SESSION_STATE_CHANGED = 0x4000;
/** Session state of an OK packet: transaction identifiers. */
export const SESSION_TRACK_GTIDS = 0x03;

/** Command bytes of the MySQL protocol. */
export const COMMAND = {
  quit: 0x01,
  initDb: 0x02,
  query: 0x03,
  statistics: 0x09,
  ping: 0x0e,
  changeUser: 0x11,
  stmtPrepare: 0x16,
  stmtExecute: 0x17,
  stmtSendLongData: 0x18,
  stmtClose: 0x19,
  stmtReset: 0x1a,
  resetConnection: 0x1f,
} as const;

/** Column types of the MySQL protocol that are handled by number here. */
export const COLUMN_TYPE = {
  tiny: 1,
  short: 2,
  long: 3,
  float: 4,
  double: 5,
  null: 6,
  timestamp: 7,
  longlong: 8,
  int24: 9,
  date: 10,
  time: 11,
  datetime: 12,
  year: 13,
  varchar: 15,
  bit: 16,
  json: 245,
  tinyBlob: 249,
  mediumBlob: 250,
  longBlob: 251,
  blob: 252,
  varString: 253,
  string: 254,
  geometry: 255,
} as const;

/** Number of the binary character set, by which columns of bytes are known. */
export const CHARSET_BINARY = 63;
/** Number of the character set that this server announces. */
export const CHARSET_UTF8MB4 = 45;

/** Capability of a client that wants the rows counted that a statement found, not changed. */
export const CAPABILITY_FOUND_ROWS = 0x00000002;
/** Capability of a client that reads session state in OK packets. */
export const CAPABILITY_SESSION_TRACK = 0x00800000;

/** Capabilities that the server side offers. */
export const SERVER_CAPABILITIES =
  0x00000001 | // LONG_PASSWORD
  CAPABILITY_FOUND_ROWS |
  0x00000004 | // LONG_FLAG
  0x00000008 | // CONNECT_WITH_DB
  0x00000200 | // PROTOCOL_41
  0x00002000 | // TRANSACTIONS
  0x00008000 | // SECURE_CONNECTION
  0x00080000 | // PLUGIN_AUTH
  0x00100000 | // CONNECT_ATTRS
  0x00200000 | // PLUGIN_AUTH_LENENC_CLIENT_DATA
  CAPABILITY_SESSION_TRACK;

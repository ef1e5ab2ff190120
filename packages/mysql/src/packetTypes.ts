import type { Socket } from 'node:net';
import type { Connection } from 'mysql2';

/** Members of a `mysql2` packet that its published types omit. */
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

/** A TIME value in the form that `mysql2` writes. */
export interface TimeParts {
  readonly negative: boolean;
  readonly days: number;
  readonly hours: number;
  readonly minutes: number;
  readonly seconds: number;
  readonly microseconds: number;
}

/** Constructor of packets. `mysql2` does not export it; it is read from a connection's parser. */
export type PacketConstructor = new (
  id: number,
  buffer: Buffer,
  start: number,
  end: number,
) => Packet;

/** Members of the `mysql2` packet parser that this package reads. */
export interface PacketParser {
  /** Payload length in the header of the packet being received, in bytes. */
  readonly length: number;
  /** Chunks of an incomplete packet. */
  readonly buffer: readonly Buffer[];
  /** Received parts of a payload that is split over several packets. */
  readonly largePacketParts: readonly Buffer[];
  readonly _reusablePacket: Packet;
  execute: (chunk: Buffer) => void;
  readonly constructor: unknown;
}

/** Handshake response of a client. */
export interface HandshakeResponse {
  readonly clientFlags: number;
  readonly charsetNumber: number;
  readonly user: string;
  readonly database?: string;
  readonly authPluginName?: string;
  readonly connectAttributes?: Readonly<Record<string, string>>;
}

/** Members of a server-side `mysql2` connection that its published types omit. */
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
/** Server status: autocommit mode is on. */
export const STATUS_AUTOCOMMIT = 0x0002;
/** Server status: the OK packet contains session state information. */
export const STATUS_SESSION_STATE_CHANGED = 0x4000;
/** Type of session state information: GTIDs. */
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

/** Column types of the MySQL protocol that this package treats specially. */
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

/** Collation id of the binary character set, which marks columns of bytes. */
export const CHARSET_BINARY = 63;
/** Collation id (utf8mb4_general_ci) that the server announces in its handshake. */
export const CHARSET_UTF8MB4 = 45;

/** CLIENT_FOUND_ROWS: the client expects counts of matched rows instead of changed rows. */
export const CAPABILITY_FOUND_ROWS = 0x00000002;
/** CLIENT_SESSION_TRACK: the client reads session state information in OK packets. */
export const CAPABILITY_SESSION_TRACK = 0x00800000;

/** Capability flags that the server offers; CLIENT_SSL is added where TLS is configured. */
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

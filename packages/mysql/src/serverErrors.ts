/** An error of the protocol, as a client is told of it. */
export interface ServerError {
  readonly code: number;
  readonly sqlState: string;
  readonly message: string;
}

/** The client sent something that is not the MySQL protocol. */
export const MALFORMED_PACKET: ServerError = {
  code: 1835,
  sqlState: 'HY000',
  message: 'Malformed communication packet',
};

/** The client's packets came out of order. */
export const PACKETS_OUT_OF_ORDER: ServerError = {
  code: 1156,
  sqlState: '08S01',
  message: 'Got packets out of order',
};

/** The client sent more than is allowed. */
export const PACKET_TOO_LARGE: ServerError = {
  code: 1153,
  sqlState: '08S01',
  message: "Got a packet bigger than 'max_allowed_packet' bytes",
};

/** The client took too long to log in. */
export const LOGIN_TIMEOUT: ServerError = {
  code: 1159,
  sqlState: '08S01',
  message: 'Got timeout reading communication packets',
};

/** The client speaks a character set that is not supported. */
export const UNKNOWN_CHARSET: ServerError = {
  code: 1115,
  sqlState: '42000',
  message: 'Unknown character set; supported are utf8mb4, utf8mb3, latin1, ascii',
};

/** The client logs in without encryption where it is required. */
export const ENCRYPTION_REQUIRED: ServerError = {
  code: 3159,
  sqlState: 'HY000',
  message: 'Connections using insecure transport are prohibited',
};

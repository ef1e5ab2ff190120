/** Content of an ERR packet. */
export interface ServerError {
  readonly code: number;
  readonly sqlState: string;
  readonly message: string;
}

/** The client sent bytes that violate the MySQL protocol. */
export const MALFORMED_PACKET: ServerError = {
  code: 1835,
  sqlState: 'HY000',
  message: 'Malformed communication packet',
};

/** A packet of the client has an unexpected sequence id. */
export const PACKETS_OUT_OF_ORDER: ServerError = {
  code: 1156,
  sqlState: '08S01',
  message: 'Got packets out of order',
};

/** A payload of the client exceeds the size limit. */
export const PACKET_TOO_LARGE: ServerError = {
  code: 1153,
  sqlState: '08S01',
  message: "Got a packet bigger than 'max_allowed_packet' bytes",
};

/** The client did not log in within the login timeout. */
export const LOGIN_TIMEOUT: ServerError = {
  code: 1159,
  sqlState: '08S01',
  message: 'Got timeout reading communication packets',
};

/** The client requested an unsupported character set. */
export const UNKNOWN_CHARSET: ServerError = {
  code: 1115,
  sqlState: '42000',
  message: 'Unknown character set; supported are utf8mb4, utf8mb3, latin1, ascii',
};

/** The client logs in without TLS where it is required. */
export const ENCRYPTION_REQUIRED: ServerError = {
  code: 3159,
  sqlState: 'HY000',
  message: 'Connections using insecure transport are prohibited',
};

/** A statement or name is not valid in the client's encoding; it may be sent as a parameter. */
export function createTextError(encoding: string): ServerError {
  return {
    code: 1300,
    sqlState: 'HY000',
    message: `Invalid ${encoding} character string; send other bytes as parameters`,
  };
}

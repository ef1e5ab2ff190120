const MAX_PORT = 65_535;

/** Longest name of a host, in characters (RFC 1035). */
const MAX_HOST_LENGTH = 253;

/** True for a port that can be connected to; sockets throw when they are given any other number. */
export function isPort(value: number): boolean {
  return Number.isInteger(value) && value > 0 && value <= MAX_PORT;
}

/** True for a text that can be the name or the IP address of a host; others do not fit into a URL or a header. */
export function isHost(text: string): boolean {
  return text.length <= MAX_HOST_LENGTH && /^[\w.:-]+$/.test(text);
}

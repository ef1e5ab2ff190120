import { createHash, timingSafeEqual } from 'node:crypto';

/** Supported authentication plugins. */
export type AuthPlugin = 'mysql_native_password' | 'caching_sha2_password';

/** Challenge and response of an authentication. */
export interface AuthExchange {
  readonly plugin: AuthPlugin;
  readonly authResponse: Buffer;
  /** Random bytes that the server sent; the response is a hash of these and the password. */
  readonly nonce: Buffer;
}

/**
 * Determines the plugin that a client used from its name in the packet. The server announces
 * mysql_native_password; clients that no longer support it respond with caching_sha2_password.
 */
export function parseAuthPlugin(name: string | undefined): AuthPlugin {
  return name === 'caching_sha2_password' ? name : 'mysql_native_password';
}

/** Checks a client's response against the stored password; false if the user has none. */
export function verifyPassword(
  { plugin, authResponse, nonce }: AuthExchange,
  password: string | undefined,
): boolean {
  if (password === undefined) return false;
  if (password === '') return authResponse.length === 0;
  const compute = plugin === 'caching_sha2_password' ? computeSha2Response : computeNativeResponse;
  const expected = compute(password, nonce);
  return authResponse.length === expected.length && timingSafeEqual(authResponse, expected);
}

function computeNativeResponse(password: string, nonce: Buffer): Buffer {
  const passwordHash = computeDigest('sha1', Buffer.from(password));
  return xor(passwordHash, computeDigest('sha1', nonce, computeDigest('sha1', passwordHash)));
}

function computeSha2Response(password: string, nonce: Buffer): Buffer {
  const passwordHash = computeDigest('sha256', Buffer.from(password));
  return xor(passwordHash, computeDigest('sha256', computeDigest('sha256', passwordHash), nonce));
}

function computeDigest(algorithm: 'sha1' | 'sha256', ...parts: Buffer[]): Buffer {
  const hash = createHash(algorithm);
  for (const part of parts) hash.update(part);
  return hash.digest();
}

function xor(a: Buffer, b: Buffer): Buffer {
  return Buffer.from(a.map((byte, index) => byte ^ (b[index] ?? 0)));
}

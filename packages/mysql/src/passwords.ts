import { createHash, timingSafeEqual } from 'node:crypto';

/** How a client proves that it knows a password. */
export type AuthPlugin = 'mysql_native_password' | 'caching_sha2_password';

/** What a client sent to prove its password. */
export interface AuthExchange {
  readonly plugin: AuthPlugin;
  readonly token: Buffer;
  /** What the server gave to scramble the password with. */
  readonly seed: Buffer;
}

/**
 * The plugin that a client has used. The server asks for mysql_native_password; clients that no
 * longer have it answer by caching_sha2_password.
 */
export function parseAuthPlugin(name: string | undefined): AuthPlugin {
  return name === 'caching_sha2_password' ? name : 'mysql_native_password';
}

/** Checks a proof against the stored password. */
export function verifyPassword(
  { plugin, token, seed }: AuthExchange,
  password: string | undefined,
): boolean {
  if (password === undefined) return false;
  if (password === '') return token.length === 0;
  const compute = plugin === 'caching_sha2_password' ? computeSha2Response : computeNativeResponse;
  const expectedResponse = compute(password, seed);
  return token.length === expectedResponse.length && timingSafeEqual(token, expectedResponse);
}

function computeNativeResponse(password: string, seed: Buffer): Buffer {
  const once = computeDigest('sha1', Buffer.from(password));
  return xor(once, computeDigest('sha1', seed, computeDigest('sha1', once)));
}

function computeSha2Response(password: string, seed: Buffer): Buffer {
  const once = computeDigest('sha256', Buffer.from(password));
  return xor(once, computeDigest('sha256', computeDigest('sha256', once), seed));
}

function computeDigest(algorithm: 'sha1' | 'sha256', ...parts: Buffer[]): Buffer {
  const hash = createHash(algorithm);
  for (const part of parts) hash.update(part);
  return hash.digest();
}

function xor(a: Buffer, b: Buffer): Buffer {
  return Buffer.from(a.map((byte, index) => byte ^ (b[index] ?? 0)));
}

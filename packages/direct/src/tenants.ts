import { createHmac, randomBytes } from 'node:crypto';

/** Name of a tenant; targets learn it, and never its keys. */
export type TenantName = string;

/** One-way digest of an API key; the key itself is kept nowhere. */
export type KeyDigest = string;

/** A tenant of the configuration, with the cap on its operations over all daemons. */
export interface Tenant {
  readonly name: TenantName;
  readonly ratePerS: number;
  /** Operations that may come at once beyond the rate. */
  readonly burst: number;
}

/** The tenants of one configuration version. */
export interface TenantDirectory {
  readonly tenants: ReadonlyMap<TenantName, Tenant>;
  readonly byKey: ReadonlyMap<KeyDigest, TenantName>;
}

/** On whose behalf a session runs an operation. */
export type Identity =
  /** `tenant` is absent where the route needs none. */
  { readonly kind: 'allowed'; readonly tenant?: TenantName } | { readonly kind: 'denied' };

/** Longer keys are unknown; this bounds the cost of a digest. */
const MAX_KEY_LENGTH = 256;

/**
 * Key of the digests, drawn anew by each process: a caller cannot choose digests, so that the time of
 * a lookup says nothing about a stored key.
 */
const DIGEST_SECRET = randomBytes(32);

/** Returns the digest of an API key; undefined for text that cannot be a key. */
export function digestKey(key: string): KeyDigest | undefined {
  if (key === '' || key.length > MAX_KEY_LENGTH) return undefined;
  return createHmac('sha256', DIGEST_SECRET).update(key).digest('hex');
}

/** The tenant that holds a key in a configuration. */
export function findTenant(
  directory: TenantDirectory,
  digest: KeyDigest | undefined,
): TenantName | undefined {
  return digest === undefined ? undefined : directory.byKey.get(digest);
}

/**
 * Resolves the identity of a caller with a key; `directory` is absent where no tenants are configured,
 * and every caller is allowed there, as on a public route.
 */
export function resolveIdentity(
  directory: TenantDirectory | undefined,
  isPublic: boolean,
  digest: KeyDigest | undefined,
): Identity {
  if (!directory || isPublic) return { kind: 'allowed' };
  const tenant = findTenant(directory, digest);
  return tenant === undefined ? { kind: 'denied' } : { kind: 'allowed', tenant };
}

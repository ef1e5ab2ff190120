import type { Kind } from './replay';

/** Slots of the replayed target. */
export const SLOTS = 6;

/** Connections that the pool may hold: half of the target's limit. */
export const PART = 36;

/** Kinds without their rates, as callers need them. */
const KINDS = {
  urgent: { name: 'urgent', workMs: 11, objectiveMs: 200, limitMs: 1_000, priority: 0 },
  quote: { name: 'quote', workMs: 33, objectiveMs: 400, limitMs: 1_000, priority: 1 },
  cheap: { name: 'cheap', workMs: 55, objectiveMs: 1_500, limitMs: 3_000, priority: 2 },
} as const;

/** A kind whose usual rate uses a share of the target's slots. */
export function kindUsing(name: keyof typeof KINDS, share: number): Kind {
  return { ...KINDS[name], ratePerS: (share * SLOTS * 1_000) / KINDS[name].workMs };
}

/** Tenants whose shares of the load have a skew of 1.2. */
export function skewedTenants(count: number): { name: string; share: number }[] {
  const sizes = Array.from({ length: count }, (_, at) => (at + 1) ** -1.2);
  const total = sizes.reduce((sum, size) => sum + size, 0);
  return sizes.map((size, at) => ({ name: `t${at}`, share: size / total }));
}

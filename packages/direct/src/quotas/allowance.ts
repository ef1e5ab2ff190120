import type { Millis } from '@rosedeck/shared';
import type { Tenant } from '../tenants';

/** Operations that a daemon may admit without any token. */
export interface Allowance {
  /** When the operations were drawn. */
  drawnAt: Millis;
  left: number;
  /** When an operation was last admitted. */
  usedAt: Millis;
}

/** Window in which the operations of a tenant are counted, and by which its cap may be exceeded. */
export const QUOTA_WINDOW_MS: Millis = 5_000;
const QUOTA_OVERAGE = 0.1;
const QUOTA_SLACK = 20;

/** Part of the slack for operations without a token; the rest is for grants under way. */
const ALLOWANCE_SHARE = 0.6;

const MS_PER_SECOND = 1_000;

/** Creates an allowance that is drawn at its first use. */
export function createAllowance(): Allowance {
  return { drawnAt: -Infinity, left: 0, usedAt: -Infinity };
}

/** Operations of a tenant that one of `fleetSize` daemons may admit in a window, as an average. */
export function allowancePart(tenant: Tenant, fleetSize: number): number {
  const cap = (tenant.ratePerS * QUOTA_WINDOW_MS) / MS_PER_SECOND + tenant.burst;
  return (ALLOWANCE_SHARE * (QUOTA_OVERAGE * cap + QUOTA_SLACK)) / fleetSize;
}

/**
 * Whether an operation is admitted without a token. A part of an operation is its probability, drawn
 * once for a window; no window contains operations of two draws.
 */
export function takeAllowance(
  allowance: Allowance,
  tenant: Tenant,
  fleetSize: number,
  now: Millis,
  random: () => number,
): boolean {
  const usedUp = allowance.left === 0 || now - allowance.drawnAt >= QUOTA_WINDOW_MS;
  const lastAt = Math.max(allowance.drawnAt, allowance.usedAt);
  if (usedUp && now - lastAt >= QUOTA_WINDOW_MS) {
    const part = allowancePart(tenant, fleetSize);
    const whole = Math.floor(part);
    allowance.left = whole + (random() < part - whole ? 1 : 0);
    allowance.drawnAt = now;
  } else if (usedUp) return false;
  if (allowance.left === 0) return false;
  allowance.left -= 1;
  allowance.usedAt = now;
  return true;
}

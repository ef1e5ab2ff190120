import type { Millis } from '@rosedeck/shared';

/** Inputs of a daemon's connection share: the connections to one target that it may hold. */
export interface ShareInputs {
  /** Connections that the target accepts from all daemons. */
  readonly limit: number;
  /** Daemons that share the limit, this one included. */
  readonly daemons: number;
  /** Connections that the other daemons hold there, as last reported; absent: unknown. */
  readonly heldByOthers?: number;
  /** Share of the limit that daemons use; see `connectionPlanShare`. */
  readonly planShare: number;
}

/** Connections that a daemon may always hold: its equal part of the limit, at least 1. */
export function baseShare(inputs: ShareInputs): number {
  return Math.max(1, Math.floor((inputs.limit * inputs.planShare) / Math.max(1, inputs.daemons)));
}

/**
 * Connections that a daemon may hold now. It may borrow connections that the others leave unused,
 * since load is uneven and open transactions hold connections while their callers pause.
 */
export function currentShare(inputs: ShareInputs): number {
  const base = baseShare(inputs);
  if (inputs.heldByOthers === undefined) return base;
  const unused = Math.floor(inputs.limit * inputs.planShare) - inputs.heldByOthers;
  // Borrows half of the unused connections, since other daemons may borrow at the same time.
  return Math.max(base, Math.floor(base + Math.max(0, unused - base) / 2));
}

/** Inputs of the idle timeout of a connection to a target with fewer connections than daemons. */
export interface IdleTimeoutInputs {
  /** Timeout that follows what the target has accepted and refused of late. */
  readonly adaptedMs: Millis;
  /** Connections that the target accepts from all daemons. */
  readonly limit: number;
  /** Connections that all daemons hold there, as last summed up; absent: unknown. */
  readonly held?: number;
  /** The target has more statements in flight than slots. */
  readonly saturated: boolean;
}

/** Share of the limit up to which idle connections are kept for their whole timeout. */
const KEEP_IDLE_SHARE = 0.4;

/** Share of the limit from which idle connections are closed at once. */
const CLOSE_IDLE_SHARE = 0.6;

/**
 * Idle timeout of a scarce connection. Load pattern: hundreds of daemons lose power while idle
 * connections fill the targets' limits. These connections count for seconds more and lock out the
 * daemons that restart, so part of the limit is left free. Saturated targets keep theirs, since
 * opening one again takes a slot from statements.
 */
export function scarceIdleTimeoutMs(inputs: IdleTimeoutInputs): Millis {
  const { adaptedMs, limit, held, saturated } = inputs;
  if (held === undefined || saturated) return adaptedMs;
  const room = (CLOSE_IDLE_SHARE - held / limit) / (CLOSE_IDLE_SHARE - KEEP_IDLE_SHARE);
  return adaptedMs * Math.min(1, Math.max(0, room));
}

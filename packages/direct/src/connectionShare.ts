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

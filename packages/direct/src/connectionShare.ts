/** What decides how many connections to one target a daemon may hold. */
export interface ShareInputs {
  /** Connections that the target takes from everyone. */
  readonly limit: number;
  /** Daemons that share the limit, this one included. */
  readonly daemons: number;
  /** Connections that the other daemons hold there, as they last reported; absent: not known. */
  readonly heldByOthers?: number;
  /** Share of the limit that is planned with. */
  readonly planShare: number;
}

/** Connections that a daemon may hold at any time. */
export function baseShare(inputs: ShareInputs): number {
  return Math.max(1, Math.floor((inputs.limit * inputs.planShare) / Math.max(1, inputs.daemons)));
}

/**
 * Connections that a daemon may hold now. Answers uneven load over the daemons and transactions
 * that keep connections while their callers pause: what others leave unused may be borrowed.
 */
export function currentShare(inputs: ShareInputs): number {
  const base = baseShare(inputs);
  if (inputs.heldByOthers === undefined) return base;
  const left = Math.floor(inputs.limit * inputs.planShare) - inputs.heldByOthers;
  // Half of what is left, since other daemons may borrow at the same moment.
  return Math.max(base, Math.floor(base + Math.max(0, left - base) / 2));
}

/** Exit codes of all commands; docs/OPERATIONS.md lists them. */
export const EXIT_CODES = {
  ok: 0,
  /** Any failure without its own code, wrong options included. */
  failure: 1,
  /** Settings or a change are invalid. */
  refused: 2,
  /** A drain reached its time limit with work still open. */
  drainIncomplete: 3,
  /** The expected revision is not the current one. */
  conflict: 4,
  /** The daemon or the store did not answer. */
  unavailable: 5,
  /** The operator port does not accept the token. */
  denied: 6,
  /** The change is accepted, but some daemons may not have it yet. */
  propagating: 7,
} as const;

/** Describes what was thrown, for a log line: the stack of an error, else its text. */
export function describeError(error: unknown): string {
  return error instanceof Error ? (error.stack ?? error.message) : String(error);
}

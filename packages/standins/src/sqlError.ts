/** MySQL error that a stand-in target returns. */
export class SqlError extends Error {
  constructor(
    readonly code: number,
    readonly sqlState: string,
    message: string,
  ) {
    super(message);
  }
}

/** Error for SQL that the stand-in does not support. */
export function unsupportedSql(feature: string): SqlError {
  return new SqlError(1235, '42000', `the stand-in does not support ${feature}`);
}

/** Error for a write at a target that is not the primary. */
export function readOnlyError(): SqlError {
  return new SqlError(1290, 'HY000', 'the server is running with the --read-only option');
}

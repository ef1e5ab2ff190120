import type { PreparedStatement } from './statements';

/** Names of the prepared statements of one connection to a target. */
export interface PreparedNames {
  /** Name of a statement; undefined: it is not prepared on the connection. */
  find: (statement: PreparedStatement) => string | undefined;
  /**
   * Names a statement that is not prepared on the connection yet. The names in `closed` must be closed
   * before; they stood for the least recently used statements.
   */
  assign: (statement: PreparedStatement) => {
    readonly name: string;
    readonly closed: readonly string[];
  };
  clear: () => void;
}

/**
 * All names on a connection. One character is no longer than any name that a caller has given, so that
 * renaming keeps each message within the protocol's limit.
 */
const NAMES = 'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789';

/**
 * Most shape text, in characters, that a connection keeps for statements used before; callers choose the
 * shapes, and one may be as long as a message.
 */
const MAX_KEPT_LENGTH = 64 * 1024;

/** Creates the names of a new connection. */
export function createPreparedNames(): PreparedNames {
  /** Name by statement, the most recently used one last. */
  const names = new Map<string, string>();
  let free: string[] = [];
  let keptLength = 0;
  const clear = (): void => {
    names.clear();
    free = Array.from(NAMES).reverse();
    keptLength = 0;
  };
  clear();
  const keep = (key: string, name: string): void => {
    names.set(key, name);
    keptLength += key.length;
  };
  const remove = (key: string): void => {
    if (names.delete(key)) keptLength -= key.length;
  };
  return {
    find: (statement) => {
      const key = keyOf(statement);
      const name = names.get(key);
      if (name === undefined) return undefined;
      remove(key);
      keep(key, name);
      return name;
    },
    assign: (statement) => {
      const key = keyOf(statement);
      const closed: string[] = [];
      for (const [oldKey, oldName] of names) {
        if (free.length > 0 && keptLength + key.length <= MAX_KEPT_LENGTH) break;
        remove(oldKey);
        closed.push(oldName);
        free.push(oldName);
      }
      const name = free.pop() ?? '';
      keep(key, name);
      return { name, closed };
    },
    clear,
  };
}

/** Distinct for distinct statements: the access is one word. */
function keyOf({ access, shape }: PreparedStatement): string {
  return `${access} ${shape}`;
}

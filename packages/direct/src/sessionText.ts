import type { ErrorKind } from '@rosedeck/shared';
import type { PreparedStatement } from './statements';
import type { SessionRow, World } from './tables';

/** Most text that one session keeps: names, values and shapes, some of which are as long as a message. */
export const MAX_SESSION_LENGTH = 4 * 1024 * 1024;

/** Most text that all sessions of a daemon keep, a fifth of its heap on the platform. */
export const MAX_SESSIONS_LENGTH = 32 * 1024 * 1024;

/** Memory that a value or a prepared statement takes besides its text. */
const OVERHEAD_LENGTH = 64;

/** Sets a session value; returns the reason of a refusal, which leaves the session as it was. */
export function keepValue(
  world: World,
  session: SessionRow,
  name: string,
  value: string,
): ErrorKind | undefined {
  const { variables } = session;
  const growth = lengthOf(name, value) - lengthOf(name, variables.get(name));
  const refusal = reserve(world, session, growth);
  if (refusal === undefined) variables.set(name, value);
  return refusal;
}

/** Names a prepared statement; returns the reason of a refusal, which leaves the session as it was. */
export function keepPrepared(
  world: World,
  session: SessionRow,
  name: string,
  statement: PreparedStatement,
): ErrorKind | undefined {
  const { prepared } = session;
  const growth = lengthOf(name, statement.shape) - lengthOf(name, prepared.get(name)?.shape);
  const refusal = reserve(world, session, growth);
  if (refusal === undefined) prepared.set(name, statement);
  return refusal;
}

/** Removes a prepared statement. */
export function dropPrepared(world: World, session: SessionRow, name: string): void {
  const { prepared } = session;
  release(world, session, lengthOf(name, prepared.get(name)?.shape));
  prepared.delete(name);
}

/** Removes all text of a session that has ended. */
export function dropText(world: World, session: SessionRow): void {
  release(world, session, session.keptLength);
}

function reserve(world: World, session: SessionRow, growth: number): ErrorKind | undefined {
  if (session.keptLength + growth > MAX_SESSION_LENGTH) return 'too_large';
  if (growth > 0 && world.keptLength + growth > MAX_SESSIONS_LENGTH) return 'overloaded';
  release(world, session, -growth);
  return undefined;
}

function release(world: World, session: SessionRow, length: number): void {
  session.keptLength -= length;
  world.keptLength -= length;
}

function lengthOf(name: string, text: string | undefined): number {
  return text === undefined ? 0 : name.length + text.length + OVERHEAD_LENGTH;
}

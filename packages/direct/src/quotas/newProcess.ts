import type { InstanceId, Millis } from '@rosedeck/shared';
import type { HomeTable } from './homes';

/** What is kept of a share since the start of the process. */
export interface NewShare {
  /** When the share was first lent or used here; undefined: not yet. */
  countedSince?: Millis;
  /** The first loan: only the home that got it may add the unused time before. */
  firstLoan?: { readonly home: InstanceId; readonly at: Millis };
}

/** What a process needs to know of its start to lend its shares. */
export interface NewProcess {
  readonly self: InstanceId;
  homes: HomeTable;
  /** When this process started; it has used nothing before. */
  readonly startedAt: Millis;
  /** Daemons that have been sent a stamp since then. */
  readonly announcedTo: Set<InstanceId>;
  readonly slices: readonly NewShare[];
}

/**
 * Time after the start of a process in which it neither lends nor uses its shares while the directory
 * fills up. Load pattern: all daemons restart after the store has lost their entries. Homes change with
 * each entry then, and the tokens of the earlier ones are lost.
 */
export const STARTING_MS: Millis = 3_000;

/** True until a new process has first lent or used its share of a slice. */
export function isStarting(state: NewProcess, slice: number, now: Millis): boolean {
  const { startedAt, slices } = state;
  return slices[slice]?.countedSince === undefined && now - startedAt < STARTING_MS;
}

/** Time in which a first loan may be repeated with its unused time; no loan ends within it. */
const FIRST_LOAN_MS: Millis = 300;

/**
 * Time in which none of the shares were used: from the start of this process until they were first lent
 * or used here. Only first loans tell it. Load pattern: all daemons restart at once, and their callers
 * come back together; without the tokens of that time most of them exceed the caps.
 */
export function unusedBeforeMs(
  state: NewProcess,
  home: InstanceId,
  slices: readonly number[],
  now: Millis,
): Millis {
  let until = now;
  for (const slice of slices) {
    const row = state.slices[slice];
    if (row?.firstLoan?.home !== home || now - row.firstLoan.at > FIRST_LOAN_MS) return 0;
    until = Math.min(until, row.countedSince ?? now);
  }
  return slices.length === 0 ? 0 : Math.max(0, until - state.startedAt);
}

/**
 * Daemons that a first home has yet to send a stamp. Load pattern: all daemons restart, and those that
 * are ready first find no home; they would ask a silent one again only after `SILENT_ASK_MS`.
 */
export function listUnannounced(
  { self, homes, announcedTo }: NewProcess,
  listed: readonly InstanceId[],
): readonly InstanceId[] {
  if (!homes.some(([first]) => first === self)) return [];
  const others = listed.filter((name) => !announcedTo.has(name));
  for (const name of others) announcedTo.add(name);
  return others;
}

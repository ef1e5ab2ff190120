import murmurhash from 'murmurhash';
import type { InstanceId, Millis } from '@rosedeck/shared';

/**
 * The daemons whose reports confirm to the others that no newer claim stands, where the platform does
 * not fence promotions. Kept in the store; whatever the directory lists, a quorum is one of this set.
 */
export interface ConfirmerSet {
  /** Rises by one with each change. */
  readonly version: number;
  readonly members: readonly InstanceId[];
  /** Members of the set before this one; absent in the first one. */
  readonly previous?: readonly InstanceId[];
}

/** A set as this daemon has learned it. */
export interface KnownSet {
  readonly set: ConfirmerSet;
  /** When this daemon learned of the set. */
  readonly since: Millis;
  /** No daemon that missed the change to this set can have a quorum of the previous one. */
  isSettled: boolean;
}

/** Most confirmers; all daemons are confirmers of a fleet of at most this size. */
const MAX_CONFIRMERS = 9;

/**
 * Age of the view's newest proof up to which a daemon uses its set. A set that has replaced it since
 * would be in a view with a younger proof.
 */
export const SET_VALID_MS: Millis = 30_000;

/** Addition to that time for the delay of reports by which daemons adopt each other's proofs. */
const SET_MARGIN_MS: Millis = 5_000;

/** Time for which a member has been neither listed nor heard before it is replaced. */
const MEMBER_LOST_MS: Millis = 5_000;

/** Time for which the directory has been unchanged before the set is changed. */
const DIRECTORY_STABLE_MS: Millis = 1_500;

/** Longest further wait of a daemon, by its place among the watchers, so that one of them writes. */
const WRITER_STAGGER_MS: Millis = 2_000;

/** A view without a newer proof may lack daemons. */
const VIEW_MAX_AGE_MS: Millis = 2_000;

/** Confirmers that make a quorum. */
export function quorumOf(confirmers: number): number {
  return Math.floor(confirmers / 2) + 1;
}

/** Inputs of the decision whether a change of the set has settled. */
export interface SettleInputs {
  readonly set: ConfirmerSet;
  /** Members of the previous set that have reported this set, or a newer one. */
  readonly consenting: number;
  readonly knownMs: Millis;
}

/**
 * Whether no daemon can have a quorum of the previous set any more: a quorum of it has adopted this
 * set, and reports of newer sets do not count, or no daemon that missed this set uses its own.
 */
export function hasSettled({ set, consenting, knownMs }: SettleInputs): boolean {
  const { previous } = set;
  if (previous === undefined || consenting >= quorumOf(previous.length)) return true;
  return knownMs >= SET_VALID_MS + SET_MARGIN_MS;
}

/** Inputs of the decision whether the set is changed. */
export interface MembershipInputs {
  /** The set in force; absent: there is none yet. */
  readonly known?: KnownSet;
  /** Daemons in the directory. */
  readonly listed: readonly InstanceId[];
  /** Time for which the directory has named the same daemons. */
  readonly unchangedMs: Millis;
  /** Age of the newest proof that the view of the store is complete. */
  readonly viewAgeMs: Millis;
  /** Time for which a daemon has been neither listed nor heard. */
  readonly missingMs: (name: InstanceId) => Millis;
  /** Place of this daemon among the watchers, from 0 up to 1. */
  readonly place: number;
}

/**
 * The members of the next set; undefined while the present ones stay. A change waits until the one
 * before it has settled. Members that are missing for a moment stay: entries lapse in an outage.
 */
export function nextMembers(inputs: MembershipInputs): readonly InstanceId[] | undefined {
  const { known, listed, missingMs } = inputs;
  if (known?.isSettled === false || inputs.viewAgeMs > VIEW_MAX_AGE_MS) return undefined;
  if (inputs.unchangedMs < DIRECTORY_STABLE_MS + WRITER_STAGGER_MS * inputs.place) return undefined;
  const members = known?.set.members ?? [];
  const kept = members.filter((name) => missingMs(name) < MEMBER_LOST_MS);
  const added = rank(listed.filter((name) => !members.includes(name)));
  const next = [...kept, ...added.slice(0, Math.max(0, MAX_CONFIRMERS - kept.length))];
  const isSame = next.length === members.length && kept.length === members.length;
  return isSame || next.length === 0 ? undefined : next;
}

/** Orders daemons by a hash of their names, so that all daemons choose the same ones. */
function rank(names: readonly InstanceId[]): InstanceId[] {
  const ranked = names.map((name) => ({ name, hash: murmurhash.v3(name) }));
  return ranked.sort((a, b) => a.hash - b.hash).map(({ name }) => name);
}

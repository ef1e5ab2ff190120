import type { Clock, InstanceId, Millis } from '@rosedeck/shared';
import { applyPatch, diffTrees } from './configPatch';
import type { JsonObject } from './configPatch';
import type { ConfigEntry, Revision } from './configTable';

/** A change that an operator requests. */
export interface ChangeRequest {
  /** Id of the change; a repeated request carries the same one. */
  readonly id: string;
  readonly who: string;
  readonly change:
    | { readonly kind: 'patch'; readonly patch: JsonObject }
    | { readonly kind: 'replace'; readonly tree: JsonObject };
  /** The change is accepted on this revision only; absent: on any. */
  readonly expected?: Revision;
}

/** This daemon's configuration, with its recent changes. */
export interface ConfigBase {
  readonly revision: Revision;
  readonly tree: JsonObject;
  readonly entries: readonly ConfigEntry[];
}

/** Input and output of a commit: clock, store access and the local configuration. */
export interface CommitIo {
  readonly clock: Clock;
  /** Wall-clock time, ISO 8601. */
  readonly timestamp: () => string;
  readonly sleep: (ms: Millis) => Promise<void>;
  readonly current: () => ConfigBase;
  /** Faults of a whole tree; empty when it is valid. */
  readonly check: (tree: JsonObject) => readonly string[];
  /** Creates the entry of a revision if the store has none. */
  readonly create: (entry: ConfigEntry) => Promise<'created' | 'exists' | 'unknown'>;
  /** Reads the entry of a revision; rejects when the store does not answer. */
  readonly read: (revision: Revision) => Promise<ConfigEntry | undefined>;
  /** Applies an entry that is in the store to the local configuration. */
  readonly apply: (entry: ConfigEntry) => void;
}

/** Result of a commit. */
export type CommitResult =
  | { readonly kind: 'accepted'; readonly entry: ConfigEntry }
  | { readonly kind: 'unchanged'; readonly revision: Revision }
  | { readonly kind: 'conflict'; readonly revision: Revision }
  | { readonly kind: 'refused'; readonly faults: readonly string[] }
  /** The store did not answer; `maybe`: the change may have taken effect. */
  | { readonly kind: 'unavailable'; readonly maybe: boolean };

/** Timeout of a commit: a try that fails after it is not retried. */
export const COMMIT_TIMEOUT_MS: Millis = 2_000;

/** Time between two tries while the store does not answer. */
const RETRY_MS: Millis = 100;

/** Latest revisions that are searched for the id of a change before it is committed. */
const SEARCHED_REVISIONS = 16;

interface Attempt {
  readonly request: ChangeRequest;
  readonly giveUpAt: Millis;
  /** Patch against the first base; it is kept when the change is rebased on a later revision. */
  patch?: JsonObject;
  /** An entry whose creation in the store was not answered. */
  unanswered?: ConfigEntry;
}

/** Commits a change to the store; the commit point is the creation of the next revision's entry. */
export async function commitChange(io: CommitIo, request: ChangeRequest): Promise<CommitResult> {
  const attempt: Attempt = { request, giveUpAt: io.clock.now() + COMMIT_TIMEOUT_MS };
  try {
    const committed = await findCommitted(io, request.id);
    if (committed) return { kind: 'accepted', entry: committed };
  } catch {
    return { kind: 'unavailable', maybe: false };
  }
  for (;;) {
    const result = await tryCommit(io, attempt);
    if (result) return result;
    if (io.clock.now() >= attempt.giveUpAt) {
      return { kind: 'unavailable', maybe: attempt.unanswered !== undefined };
    }
  }
}

/** Tries once, on the current base; undefined when another try on the next base is needed. */
async function tryCommit(io: CommitIo, attempt: Attempt): Promise<CommitResult | undefined> {
  const { request } = attempt;
  const base = io.current();
  const existing = base.entries.find((entry) => entry.id === request.id);
  if (existing) return { kind: 'accepted', entry: existing };
  if (request.expected !== undefined && request.expected !== base.revision) {
    return { kind: 'conflict', revision: base.revision };
  }
  attempt.patch ??= createPatch(base, request);
  if (!attempt.patch) return { kind: 'unchanged', revision: base.revision };
  const next = applyPatch(base.tree, attempt.patch);
  if (!diffTrees(base.tree, next)) return { kind: 'unchanged', revision: base.revision };
  const faults = io.check(next);
  if (faults.length > 0) return { kind: 'refused', faults };
  const entry = nextEntry(io, attempt, base, attempt.patch);
  const created = await io.create(entry);
  if (created === 'created') {
    io.apply(entry);
    return { kind: 'accepted', entry };
  }
  if (created === 'unknown') attempt.unanswered = entry;
  await catchUp(io, entry.revision);
  return undefined;
}

/** Applies the store's entry of the revision, if any, before the next try. */
async function catchUp(io: CommitIo, revision: Revision): Promise<void> {
  try {
    const found = await io.read(revision);
    if (found) io.apply(found);
    else await io.sleep(RETRY_MS);
  } catch {
    await io.sleep(RETRY_MS);
  }
}

/** The entry to create. An unanswered one is sent again unchanged, as both may reach the store. */
function nextEntry(
  io: CommitIo,
  attempt: Attempt,
  base: ConfigBase,
  patch: JsonObject,
): ConfigEntry {
  const revision = base.revision + 1;
  if (attempt.unanswered?.revision === revision) return attempt.unanswered;
  const { id, who } = attempt.request;
  return { revision, id, who, at: io.timestamp(), patch };
}

function createPatch(base: ConfigBase, request: ChangeRequest): JsonObject | undefined {
  const { change } = request;
  return change.kind === 'patch' ? change.patch : diffTrees(base.tree, change.tree);
}

/**
 * Finds the entry that an earlier request with this id committed; recent revisions that this daemon
 * lacks are read from the store.
 */
async function findCommitted(io: CommitIo, id: string): Promise<ConfigEntry | undefined> {
  const base = io.current();
  const recent = base.entries.find((entry) => entry.id === id);
  if (recent) return recent;
  const first = base.entries[0]?.revision ?? base.revision + 1;
  const oldest = Math.max(1, base.revision - SEARCHED_REVISIONS + 1);
  for (let revision = first - 1; revision >= oldest; revision -= 1) {
    const entry = await io.read(revision);
    if (entry?.id === id) return entry;
  }
  return undefined;
}

/** Input and output of the propagation of a change to the peers. */
export interface PropagationIo {
  readonly clock: Clock;
  readonly sleep: (ms: Millis) => Promise<void>;
  /** Listed daemons, without this one. */
  readonly peers: () => readonly InstanceId[];
  /** True when these peers and this daemon include a majority of the confirmers. */
  readonly isMajority: (acknowledged: ReadonlySet<InstanceId>) => boolean;
  /** Sends the change to a peer; true once the peer has the revision. */
  readonly push: (peer: InstanceId, entry: ConfigEntry) => Promise<boolean>;
  /** Time after which a daemon without a confirmation refuses new work. */
  readonly configLimitMs: Millis;
}

/** Result of propagating a change to the peers. */
export interface PropagationResult {
  /** Listed peers. */
  readonly listed: number;
  /** Listed peers that have acknowledged the change. */
  readonly acknowledged: number;
  /** True when every daemon has the change or refuses new work until it has. */
  readonly inForce: boolean;
}

/** Time between two rounds over the peers that have not acknowledged. */
const PUSH_RETRY_MS: Millis = 200;

/** Margin for the rounding of timers and for answers still on the network. */
const PROPAGATION_MARGIN_MS: Millis = 100;

/** Pushes a change to all peers; resolves when each has acknowledged it or refuses new work. */
export async function propagateEntry(
  io: PropagationIo,
  entry: ConfigEntry,
): Promise<PropagationResult> {
  const acknowledged = new Set<InstanceId>();
  const pending = new Set<InstanceId>();
  const waitMs = io.configLimitMs + PROPAGATION_MARGIN_MS;
  const startedAt = io.clock.now();
  let majorityAt: Millis | undefined;
  const push = (peer: InstanceId): void => {
    if (pending.has(peer) || acknowledged.has(peer)) return;
    pending.add(peer);
    void io
      .push(peer, entry)
      .catch(() => false)
      .then((isAcknowledged) => {
        pending.delete(peer);
        if (isAcknowledged) acknowledged.add(peer);
      });
  };
  for (;;) {
    const peers = io.peers();
    const missing = peers.filter((peer) => !acknowledged.has(peer));
    const now = io.clock.now();
    // A daemon that restarts loses its acknowledgement: a majority must be reached in time.
    if (now < startedAt + waitMs && io.isMajority(acknowledged)) majorityAt ??= now;
    const isComplete = missing.length === 0 && majorityAt !== undefined;
    if (isComplete || now >= (majorityAt ?? startedAt) + waitMs) {
      const inForce = isComplete || majorityAt !== undefined;
      return { listed: peers.length, acknowledged: peers.length - missing.length, inForce };
    }
    for (const peer of missing) push(peer);
    await io.sleep(pending.size === missing.length ? POLL_MS : PUSH_RETRY_MS);
  }
}

/** Time between two checks of the acknowledgements. */
const POLL_MS: Millis = 5;

import type { Clock, InstanceId, Millis } from '@rosedeck/shared';
import { applyPatch, diffTrees } from './configPatch';
import type { JsonObject } from './configPatch';
import type { ConfigEntry, Revision } from './configTable';

/** A change that an operator asks for. */
export interface ChangeRequest {
  /** The change's own id; a repeated request carries the same one. */
  readonly id: string;
  readonly who: string;
  readonly change:
    | { readonly kind: 'patch'; readonly patch: JsonObject }
    | { readonly kind: 'replace'; readonly tree: JsonObject };
  /** The change is accepted on this revision only. */
  readonly expected?: Revision;
}

/** A configuration as this daemon holds it, with its recent changes. */
export interface ConfigBase {
  readonly revision: Revision;
  readonly tree: JsonObject;
  readonly entries: readonly ConfigEntry[];
}

/** Input and output of a commit: clock, store access and the local configuration. */
export interface CommitIo {
  readonly clock: Clock;
  /** Wall-clock time, ISO 8601. */
  readonly stamp: () => string;
  readonly sleep: (ms: Millis) => Promise<void>;
  readonly current: () => ConfigBase;
  /** Faults of a whole tree; empty when it is valid. */
  readonly check: (tree: JsonObject) => readonly string[];
  /** Creates the entry of a revision if the store has none. */
  readonly create: (entry: ConfigEntry) => Promise<'created' | 'exists' | 'unknown'>;
  /** Reads the entry of a revision; rejects when the store does not answer. */
  readonly read: (revision: Revision) => Promise<ConfigEntry | undefined>;
  /** Puts an entry that is in the store in force here. */
  readonly apply: (entry: ConfigEntry) => void;
}

/** How a change ended. */
export type CommitResult =
  | { readonly kind: 'accepted'; readonly entry: ConfigEntry }
  | { readonly kind: 'unchanged'; readonly revision: Revision }
  | { readonly kind: 'conflict'; readonly revision: Revision }
  | { readonly kind: 'refused'; readonly faults: readonly string[] }
  /** The store did not answer; `maybe`: the change may have taken effect. */
  | { readonly kind: 'unavailable'; readonly maybe: boolean };

/** Time that a change has to reach the store. */
export const COMMIT_TIMEOUT_MS: Millis = 2_000;

/** Time between two tries against a store that does not answer. */
const RETRY_MS: Millis = 100;

/** Revisions searched for the change's own id before it is made. */
const REPEAT_SEARCH = 16;

interface Attempt {
  readonly request: ChangeRequest;
  readonly giveUpAt: Millis;
  /** The delta against the first base seen; a rebase keeps it. */
  patch?: JsonObject;
  /** An entry whose creation went unanswered. */
  unanswered?: ConfigEntry;
}

/** Commits a change: creating the entry of the next revision is the commit point. */
export async function commitChange(io: CommitIo, request: ChangeRequest): Promise<CommitResult> {
  const attempt: Attempt = { request, giveUpAt: io.clock.now() + COMMIT_TIMEOUT_MS };
  try {
    const earlier = await findEarlier(io, request.id);
    if (earlier) return { kind: 'accepted', entry: earlier };
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

/** One try on the current base; undefined: try again on the base that is current then. */
async function tryCommit(io: CommitIo, attempt: Attempt): Promise<CommitResult | undefined> {
  const { request } = attempt;
  const base = io.current();
  const own = base.entries.find((entry) => entry.id === request.id);
  if (own) return { kind: 'accepted', entry: own };
  if (request.expected !== undefined && request.expected !== base.revision) {
    return { kind: 'conflict', revision: base.revision };
  }
  attempt.patch ??= createDelta(base, request);
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

/** Looks at what the store holds for the revision before anything is tried again. */
async function catchUp(io: CommitIo, revision: Revision): Promise<void> {
  try {
    const found = await io.read(revision);
    if (found) io.apply(found);
    else await io.sleep(RETRY_MS);
  } catch {
    await io.sleep(RETRY_MS);
  }
}

/** An entry that went unanswered is sent again unchanged, as both may reach the store. */
function nextEntry(
  io: CommitIo,
  attempt: Attempt,
  base: ConfigBase,
  patch: JsonObject,
): ConfigEntry {
  const revision = base.revision + 1;
  if (attempt.unanswered?.revision === revision) return attempt.unanswered;
  const { id, who } = attempt.request;
  return { revision, id, who, at: io.stamp(), patch };
}

function createDelta(base: ConfigBase, request: ChangeRequest): JsonObject | undefined {
  const { change } = request;
  return change.kind === 'patch' ? change.patch : diffTrees(base.tree, change.tree);
}

/** A change that an earlier request made; a daemon without the recent changes reads them. */
async function findEarlier(io: CommitIo, id: string): Promise<ConfigEntry | undefined> {
  const base = io.current();
  const known = base.entries.find((entry) => entry.id === id);
  if (known) return known;
  const first = base.entries[0]?.revision ?? base.revision + 1;
  const oldest = Math.max(1, base.revision - REPEAT_SEARCH + 1);
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
  /** Daemons on the list, this one excepted. */
  readonly peers: () => readonly InstanceId[];
  /** Confirmers other than this daemon that must know the change for a majority. */
  readonly isMajority: (acknowledged: ReadonlySet<InstanceId>) => boolean;
  /** Tells a peer; true once it holds the revision. */
  readonly push: (peer: InstanceId, entry: ConfigEntry) => Promise<boolean>;
  /** Time after which a daemon without confirmation takes no new work. */
  readonly configLimitMs: Millis;
}

/** Result of propagating a change to the peers. */
export interface PropagationResult {
  readonly listed: number;
  readonly acknowledged: number;
  /** True when every daemon has the change or takes no new work until it has. */
  readonly inForce: boolean;
}

/** Time between two rounds over the peers that have not acknowledged. */
const PUSH_RETRY_MS: Millis = 200;

/** Room for the rounding of timers and for answers under way. */
const SPREAD_MARGIN_MS: Millis = 100;

/** Pushes a change to all peers; ends when each has acknowledged it or no longer takes new work. */
export async function propagateEntry(
  io: PropagationIo,
  entry: ConfigEntry,
): Promise<PropagationResult> {
  const acknowledged = new Set<InstanceId>();
  const open = new Set<InstanceId>();
  const waitMs = io.configLimitMs + SPREAD_MARGIN_MS;
  const startedAt = io.clock.now();
  let majorityAt: Millis | undefined;
  const push = (peer: InstanceId): void => {
    if (open.has(peer) || acknowledged.has(peer)) return;
    open.add(peer);
    void io
      .push(peer, entry)
      .catch(() => false)
      .then((done) => {
        open.delete(peer);
        if (done) acknowledged.add(peer);
      });
  };
  for (;;) {
    const peers = io.peers();
    const missing = peers.filter((peer) => !acknowledged.has(peer));
    const now = io.clock.now();
    // An acknowledgement that comes later may be of a daemon that has restarted since.
    if (now < startedAt + waitMs && io.isMajority(acknowledged)) majorityAt ??= now;
    const done = missing.length === 0 && majorityAt !== undefined;
    if (done || now >= (majorityAt ?? startedAt) + waitMs) {
      const inForce = done || majorityAt !== undefined;
      return { listed: peers.length, acknowledged: peers.length - missing.length, inForce };
    }
    for (const peer of missing) push(peer);
    await io.sleep(open.size === missing.length ? POLL_MS : PUSH_RETRY_MS);
  }
}

/** Time between two looks at the acknowledgements. */
const POLL_MS: Millis = 5;

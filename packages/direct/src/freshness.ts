import type { Millis } from '@rosedeck/shared';

/**
 * Proof that a view of the store had every change of the configuration, the targets and the claims:
 * up to `revision`, as of `at`.
 */
export interface FreshnessProof {
  /** Era of the store in which `revision` was given out. */
  readonly era: number;
  readonly revision: number;
  readonly at: Millis;
}

/** The part of a daemon's view that decides whether another daemon's proof holds for it. */
export interface ProvenView {
  readonly era: number;
  /** Revision up to which the view misses no change. */
  readonly completeTo: number;
  /** When the view was last proven to be the newest; -Infinity: never. */
  readonly provenAt: Millis;
}

/**
 * Time as of which a view is the newest, given another daemon's proof. Load pattern: a change while
 * the store serves only some of hundreds of daemons. The others hear of contact with the store long
 * before they hear of the change, so a proof counts only for views that contain what it covers. A
 * store that was restored from a copy gives revisions out again: proofs of another era cover nothing.
 */
export function provenAtWith(view: ProvenView, proof: FreshnessProof): Millis {
  if (proof.era !== view.era || view.completeTo < proof.revision) return view.provenAt;
  return Math.max(view.provenAt, proof.at);
}

/** Whom a daemon asks for a newer proof of its configuration: nobody, a peer, or the store. */
export type FreshnessStep = 'none' | 'ask_peer' | 'ask_store';

/** Inputs of the decision whom to ask. */
export interface FreshnessInputs {
  /** Age of the newest proof of the configuration. */
  readonly provenMs: Millis;
  /** Time since a peer was last asked. */
  readonly sincePeerMs: Millis;
  /** Time since the store was last asked for the configuration. */
  readonly sinceStoreMs: Millis;
  /**
   * Place of this daemon among the watchers of the store, from 0 up to 1; absent for a daemon that
   * leaves the store to them.
   */
  readonly watcherPlace?: number;
  /** Uniform number in [0, 1), constant for this daemon. */
  readonly jitter: number;
  /** Bound of the deployment: a change is in force this long after its acknowledgement. */
  readonly applyMs: Millis;
}

/**
 * Shares of the bound after which the watchers ask the store, by their place. A watch that waits for a
 * change proves nothing, so that one watcher after the other renews the proof for the whole fleet.
 */
const WATCHER_ASK_SHARE = { first: 0.24, last: 0.5 } as const;

/** Share of the bound after which a peer is asked; reports usually renew a proof before. */
const ASK_PEER_SHARE = 0.44;

/** Share of the bound after which the first daemons ask the store: the watchers have not renewed it. */
const ASK_STORE_SHARE = 0.5;

/** Random share that is added: what the first ones learn reaches most others before they ask. */
const ASK_STORE_JITTER = 0.25;

/** Shortest interval between two questions to peers. */
const PEER_INTERVAL_MS: Millis = 300;

/** Shortest interval between two calls to the store. */
const STORE_INTERVAL_MS: Millis = 700;

/** Whom to ask for a newer proof of the configuration now. */
export function nextFreshnessStep(inputs: FreshnessInputs): FreshnessStep {
  const { provenMs, sincePeerMs, sinceStoreMs, applyMs } = inputs;
  if (provenMs > applyMs * askStoreShare(inputs) && sinceStoreMs > STORE_INTERVAL_MS)
    return 'ask_store';
  if (provenMs > applyMs * ASK_PEER_SHARE && sincePeerMs > PEER_INTERVAL_MS) return 'ask_peer';
  return 'none';
}

function askStoreShare({ watcherPlace, jitter }: FreshnessInputs): number {
  if (watcherPlace === undefined) return ASK_STORE_SHARE + ASK_STORE_JITTER * jitter;
  const { first, last } = WATCHER_ASK_SHARE;
  return first + (last - first) * watcherPlace;
}

/** Share of the bound: no older proof allows the answer that a database or key does not exist. */
const DENIAL_SHARE = 0.62;

/**
 * Whether a daemon may answer that a database or key does not exist. `newerHeardMs` is the time since
 * it first heard of a version that it lacks, which an older proof does not cover; Infinity: it has not.
 */
export function mayDeny(provenMs: Millis, applyMs: Millis, newerHeardMs: Millis): boolean {
  return provenMs <= applyMs * DENIAL_SHARE && provenMs < newerHeardMs;
}

import type { Command, CoreEvent } from '@rosedeck/core';
import type { GroupId, InstanceId, Millis } from '@rosedeck/shared';
import { createInstanceList } from '@rosedeck/clients';
import type { ByteCounter, InstanceList, Store, StoredValue } from '@rosedeck/clients';

/** Claims terms in the store and watches the platform's instance list. */
export interface PlatformAdapter {
  perform: (command: Extract<Command, { type: 'claim_term' }>) => void;
  close: () => void;
}

/** Functions and settings that the platform adapter needs. */
export interface PlatformAdapterOptions {
  readonly self: InstanceId;
  readonly store: Store;
  readonly list: { readonly host: string; readonly port: number };
  readonly countBytes: ByteCounter;
  readonly claimWaitMs: Millis;
  readonly post: (event: CoreEvent) => void;
  /** Called for a version of the list with entries that cannot be used. */
  readonly onUnreadable: (version: number, entries: number) => void;
}

const WATCH_TIMEOUT_MS = 30_000;
const RETRY_DELAY_MS = 200;

/** Value of the store key `term/GROUP`. */
interface Claim {
  readonly term: number;
  readonly promoter: InstanceId;
}

/** Starts the platform adapter, which watches the instance list until it is closed. */
export function startPlatformAdapter(options: PlatformAdapterOptions): PlatformAdapter {
  const { store } = options;
  const list = createInstanceList(options.list.host, options.list.port, options.countBytes);
  const state = { isStopped: false };
  void watchList(list, options, state);
  return {
    perform: ({ group, term }) => {
      void claimTerm(store, options, group, term).then((result) => {
        options.post({ type: 'claimed', group, term, ...result });
      });
    },
    close: () => {
      state.isStopped = true;
      list.close();
    },
  };
}

async function watchList(
  list: InstanceList,
  options: PlatformAdapterOptions,
  state: { isStopped: boolean },
): Promise<void> {
  let version = 0;
  while (!state.isStopped) {
    try {
      const found = await list.watch(version, WATCH_TIMEOUT_MS);
      if (!found) continue;
      version = found.version;
      if (found.unreadable > 0) options.onUnreadable(version, found.unreadable);
      options.post({ type: 'list', instances: found.instances, targets: found.targets });
    } catch {
      await sleep(RETRY_DELAY_MS);
    }
  }
}

/** Result of a claim; a refusal carries the term that the store holds, if known. */
interface ClaimResult {
  readonly result: 'granted' | 'refused' | 'unavailable';
  readonly heldTerm?: number;
}

async function claimTerm(
  store: Store,
  options: PlatformAdapterOptions,
  group: GroupId,
  term: number,
): Promise<ClaimResult> {
  const key = `term/${group}`;
  try {
    const current = await store.get(key, options.claimWaitMs);
    const heldTerm = current ? readClaim(current).term : 0;
    if (heldTerm >= term) return { result: 'refused', heldTerm };
    const claim: Claim = { term, promoter: options.self };
    const swap = await store.swap(
      key,
      JSON.stringify(claim),
      current?.version ?? 0,
      options.claimWaitMs,
    );
    if (swap.kind === 'done') return { result: 'granted' };
    if (swap.kind === 'unknown') return { result: 'unavailable' };
    if (!swap.current) return { result: 'refused' };
    if (isOwnClaim(swap.current, claim)) return { result: 'granted' };
    return { result: 'refused', heldTerm: readClaim(swap.current).term };
  } catch {
    return { result: 'unavailable' };
  }
}

function readClaim(stored: StoredValue): Claim {
  return JSON.parse(stored.value) as Claim;
}

function isOwnClaim(stored: StoredValue, claim: Claim): boolean {
  const found = readClaim(stored);
  return found.term === claim.term && found.promoter === claim.promoter;
}

function sleep(ms: Millis): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

import type { Command, CoreEvent } from '@rosedeck/core';
import type { GroupId, InstanceId, Millis } from '@rosedeck/shared';
import { createInstanceList } from '@rosedeck/clients';
import type { ByteCounter, InstanceList, Store, StoredValue } from '@rosedeck/clients';

/** Carries out the commands that concern the platform, and watches it. */
export interface PlatformAdapter {
  perform: (command: Extract<Command, { type: 'claim_term' }>) => void;
  close: () => void;
}

/** What the platform side needs of its daemon. */
export interface PlatformAdapterOptions {
  readonly self: InstanceId;
  readonly store: Store;
  readonly list: { readonly host: string; readonly port: number };
  readonly countBytes: ByteCounter;
  readonly claimWaitMs: Millis;
  readonly post: (event: CoreEvent) => void;
}

const WATCH_TIMEOUT_MS = 30_000;
const RETRY_DELAY_MS = 200;

interface Claim {
  readonly term: number;
  readonly promoter: InstanceId;
}

/** Starts to watch the platform. */
export function startPlatformAdapter(around: PlatformAdapterOptions): PlatformAdapter {
  const { store } = around;
  const list = createInstanceList(around.list.host, around.list.port, around.countBytes);
  const state = { isStopped: false };
  void watchList(list, around, state);
  return {
    perform: ({ group, term }) => {
      void claimTerm(store, around, group, term).then((answer) => {
        around.post({ type: 'claimed', group, term, ...answer });
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
  around: PlatformAdapterOptions,
  state: { isStopped: boolean },
): Promise<void> {
  let version = 0;
  while (!state.isStopped) {
    try {
      const found = await list.watch(version, WATCH_TIMEOUT_MS);
      if (!found) continue;
      version = found.version;
      around.post({ type: 'list', instances: found.instances, targets: found.targets });
    } catch {
      await sleep(RETRY_DELAY_MS);
    }
  }
}

/** The store's word on a claim; a refusal carries the term that it holds. */
interface ClaimResult {
  readonly result: 'granted' | 'refused' | 'unavailable';
  readonly heldTerm?: number;
}

async function claimTerm(
  store: Store,
  around: PlatformAdapterOptions,
  group: GroupId,
  term: number,
): Promise<ClaimResult> {
  const key = `term/${group}`;
  try {
    const known = await store.get(key, around.claimWaitMs);
    const heldTerm = known ? readClaim(known).term : 0;
    if (heldTerm >= term) return { result: 'refused', heldTerm };
    const claim: Claim = { term, promoter: around.self };
    const swap = await store.swap(
      key,
      JSON.stringify(claim),
      known?.version ?? 0,
      around.claimWaitMs,
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

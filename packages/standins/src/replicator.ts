import type { Clock, Millis } from '@rosedeck/shared';
import { createJsonClient } from '@rosedeck/clients';
import type { JsonClient } from '@rosedeck/clients';
import { lastPosition, positionAt } from './replicationLog';
import type { AppendMessage, AppendReply, Target } from './target';

/** Another target of the same group, by its control port on the loopback interface. */
export interface ReplicaAddress {
  readonly id: string;
  readonly controlPort: number;
}

/** Sends a primary's log to its replicas, in batches and as heartbeats. */
export interface Replicator {
  /** Called after an entry was appended; starts to send it. */
  notify: () => void;
  /** Stops replication to these targets only; replaces the set of the previous call. */
  cut: (ids: readonly string[]) => void;
  /** Sets the delay of each message to a replica. */
  setSendLag: (id: string, lagMs: Millis) => void;
  close: () => void;
}

const BATCH_ENTRIES = 500;
const SEND_TIMEOUT_MS = 1_000;

interface ReplicaState {
  readonly address: ReplicaAddress;
  readonly client: JsonClient;
  nextIndex: number;
  isSending: boolean;
  hasUnsent: boolean;
  lagMs: Millis;
  lastSentAt: Millis;
}

/** Creates the replicator of a target; it sends only while the target is primary. */
export function createReplicator(
  target: Target,
  replicas: readonly ReplicaAddress[],
  clock: Clock,
  heartbeatMs: Millis,
): Replicator {
  let cutIds = new Set<string>();
  const states = replicas.map((address): ReplicaState => ({
    address,
    client: createJsonClient('127.0.0.1', address.controlPort),
    nextIndex: 1,
    isSending: false,
    hasUnsent: false,
    lagMs: 0,
    lastSentAt: -Infinity,
  }));

  const send = async (state: ReplicaState): Promise<void> => {
    const message = nextMessage(target, state);
    if (state.lagMs > 0) await sleep(state.lagMs);
    if (cutIds.has(state.address.id) || !target.isPrimary()) return;
    const reply = await state.client.send('POST', '/append', message, SEND_TIMEOUT_MS);
    if (cutIds.has(state.address.id)) return;
    applyReply(target, state, message, reply.body as AppendReply);
  };

  const startSend = (state: ReplicaState): void => {
    if (state.isSending || !target.isPrimary() || cutIds.has(state.address.id)) return;
    state.isSending = true;
    state.hasUnsent = false;
    state.lastSentAt = clock.now();
    send(state)
      .catch(() => undefined)
      .finally(() => {
        state.isSending = false;
        if (state.hasUnsent || state.nextIndex <= target.log.entries.length) {
          setTimeout(startSend, state.lagMs > 0 ? 0 : 1, state);
        }
      });
  };

  const timer = setInterval(() => {
    for (const state of states) if (clock.now() - state.lastSentAt >= heartbeatMs) startSend(state);
  }, heartbeatMs);

  return {
    notify: () => {
      for (const state of states) {
        state.hasUnsent = true;
        startSend(state);
      }
    },
    cut: (ids) => {
      cutIds = new Set(ids);
    },
    setSendLag: (id, lagMs) => {
      for (const state of states) if (state.address.id === id) state.lagMs = lagMs;
    },
    close: () => {
      clearInterval(timer);
      for (const state of states) state.client.close();
    },
  };
}

function nextMessage(target: Target, state: ReplicaState): AppendMessage {
  const { log } = target;
  state.nextIndex = Math.min(state.nextIndex, log.entries.length + 1);
  const previous = positionAt(log, state.nextIndex - 1) ?? lastPosition(log);
  const entries = log.entries.slice(state.nextIndex - 1, state.nextIndex - 1 + BATCH_ENTRIES);
  return { term: target.report().term, previous, entries, end: log.entries.length };
}

function applyReply(
  target: Target,
  state: ReplicaState,
  message: AppendMessage,
  reply: AppendReply,
): void {
  target.stepDownIfBehind(reply.term);
  if (reply.ok) state.nextIndex = message.previous.index + message.entries.length + 1;
  else state.nextIndex = Math.max(1, Math.min(message.previous.index, reply.received.index + 1));
}

function sleep(ms: Millis): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

import { createFairQueue } from './fairQueue';
import type { FairQueue, GroupQueue, RequestRow } from './tables';

/** Creates an empty queue of a group; `length` counts all four parts. */
export function createGroupQueue(): GroupQueue {
  const pinned = new Set<RequestRow>();
  const unsampled = new Set<RequestRow>();
  const reads = createFairQueue();
  const writes = createFairQueue();
  return {
    pinned,
    unsampled,
    reads,
    writes,
    awaitsReports: false,
    dispatchesSinceAged: 0,
    get length() {
      return pinned.size + unsampled.size + reads.length + writes.length;
    },
  };
}

/** The fair queue of a request that is not part of an open transaction. */
export function fairQueueOf(queue: GroupQueue, row: RequestRow): FairQueue {
  return row.req.op === 'read' ? queue.reads : queue.writes;
}

/** True for a request that runs on the connection of an open transaction. */
export function isPinned(row: RequestRow): boolean {
  const { op } = row.req;
  return op === 'statement' || op === 'commit' || op === 'rollback';
}

/** Adds a request at its arrival, or a read once its position sample has come. */
export function enqueueRequest(queue: GroupQueue, row: RequestRow): void {
  if (isPinned(row)) queue.pinned.add(row);
  else if (row.sampleAfter !== undefined) queue.unsampled.add(row);
  else fairQueueOf(queue, row).add(row);
}

/** Removes a request from whichever part of the queue holds it. */
export function dequeueRequest(queue: GroupQueue, row: RequestRow, served: boolean): void {
  queue.pinned.delete(row);
  queue.unsampled.delete(row);
  fairQueueOf(queue, row).remove(row, served);
}

/** True when requests wait for newer target reports, not only for slots or connections. */
export function needsNewerReports(queue: GroupQueue): boolean {
  return queue.unsampled.size > 0 || queue.awaitsReports;
}

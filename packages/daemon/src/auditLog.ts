import type { JsonObject } from '@rosedeck/core';
import type { Store } from '@rosedeck/clients';
import type { Millis } from '@rosedeck/shared';

/** One accepted or refused change; stored and sent to operators as JSON. */
export interface AuditRecord {
  readonly at: string;
  readonly who: string;
  readonly id: string;
  readonly result: 'accepted' | 'refused';
  /** Revision that the change created, or that was in force when it was refused. */
  readonly revision: number;
  /** Why the change was refused. */
  readonly reason?: string;
  /** Requested change, with secrets redacted. */
  readonly patch?: JsonObject;
}

/** Refused changes, stored in batches under numbered keys that all daemons share. */
export interface AuditLog {
  /** Queues a refused change, which is written in the background with other pending ones. */
  record: (record: AuditRecord) => void;
  /** Returns the newest records, oldest first; rejects when the store does not answer. */
  read: (limit: number) => Promise<AuditRecord[]>;
}

const CALL_TIMEOUT_MS: Millis = 500;
const RETRY_DELAY_MS: Millis = 1_000;

/** Greatest number of pending records; beyond it the oldest are dropped. */
const PENDING_LIMIT_RECORDS = 1_000;

/** Greatest number of records in one value, which keeps it far below the store's size limit. */
const BATCH_LIMIT_RECORDS = 50;

/** Creates the audit log; `onDropped` is called with the number of records that were dropped. */
export function createAuditLog(store: Store, onDropped: (count: number) => void): AuditLog {
  const pending: AuditRecord[] = [];
  let nextNumber = 1;
  let isWriting = false;

  const writePending = async (): Promise<void> => {
    isWriting = true;
    while (pending.length > 0) {
      const batch = pending.slice(0, BATCH_LIMIT_RECORDS);
      const isWritten = await appendBatch(batch).catch(() => false);
      if (isWritten) pending.splice(0, batch.length);
      else await sleep(RETRY_DELAY_MS);
    }
    isWriting = false;
  };

  const appendBatch = async (batch: readonly AuditRecord[]): Promise<boolean> => {
    const value = JSON.stringify(batch);
    for (;;) {
      const number = nextNumber;
      const result = await store.swap(auditKey(number), value, 0, CALL_TIMEOUT_MS);
      if (result.kind === 'done') {
        nextNumber = number + 1;
        return true;
      }
      if (result.kind === 'unknown') return (await readValue(number)) === value;
      if (result.current?.value === value) return true;
      nextNumber = await findFreeNumber(number + 1);
    }
  };

  const readValue = async (number: number): Promise<string | undefined> =>
    (await store.get(auditKey(number), CALL_TIMEOUT_MS))?.value;

  /** Finds the first number without a value at or after `from`, by doubling steps and bisection. */
  const findFreeNumber = async (from: number): Promise<number> => {
    const isFree = async (number: number): Promise<boolean> =>
      (await readValue(number)) === undefined;
    let low = from - 1;
    let step = 1;
    while (!(await isFree(low + step))) {
      low += step;
      step *= 2;
    }
    let high = low + step;
    while (high - low > 1) {
      const middle = Math.floor((low + high) / 2);
      if (await isFree(middle)) high = middle;
      else low = middle;
    }
    return high;
  };

  return {
    record: (record) => {
      pending.push(record);
      if (pending.length > PENDING_LIMIT_RECORDS) {
        pending.shift();
        onDropped(1);
      }
      if (!isWriting) void writePending();
    },
    read: async (limit) => {
      nextNumber = await findFreeNumber(nextNumber);
      const records: AuditRecord[] = [];
      for (let number = nextNumber - 1; number >= 1 && records.length < limit; number -= 1) {
        const value = await readValue(number);
        records.unshift(...(JSON.parse(value ?? '[]') as AuditRecord[]));
      }
      return records.slice(-limit);
    },
  };
}

function auditKey(number: number): string {
  return `audit/refused/${number}`;
}

function sleep(ms: Millis): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

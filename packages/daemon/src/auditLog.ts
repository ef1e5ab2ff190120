import type { JsonObject } from '@rosedeck/core';
import type { Store } from '@rosedeck/clients';
import type { Millis } from '@rosedeck/shared';

/** One accepted or refused change. */
export interface AuditRecord {
  readonly at: string;
  readonly who: string;
  readonly id: string;
  readonly result: 'accepted' | 'refused';
  /** Revision that the change created, or that it was refused on. */
  readonly revision: number;
  /** Why it was refused. */
  readonly reason?: string;
  /** What the change was to do, without secrets. */
  readonly patch?: JsonObject;
}

/** Refused changes, kept in the store under numbered keys. */
export interface AuditLog {
  /** Records a refused change; written in the background, together with others that wait. */
  record: (record: AuditRecord) => void;
  /** The newest records, oldest first; rejects when the store does not answer. */
  read: (limit: number) => Promise<AuditRecord[]>;
}

const CALL_TIMEOUT_MS: Millis = 500;
const RETRY_DELAY_MS: Millis = 1_000;

/** Records waiting for the store at most; the oldest are dropped. */
const PENDING_LIMIT_RECORDS = 1_000;

/** Records of one value at most, which keeps it far below the store's limit. */
const BATCH_LIMIT_RECORDS = 50;

/** Creates the audit log over a store. */
export function createAuditLog(store: Store, onDropped: (count: number) => void): AuditLog {
  const pending: AuditRecord[] = [];
  let nextNumber = 1;
  let writing = false;

  const writePending = async (): Promise<void> => {
    writing = true;
    while (pending.length > 0) {
      const batch = pending.slice(0, BATCH_LIMIT_RECORDS);
      const done = await appendBatch(batch).catch(() => false);
      if (done) pending.splice(0, batch.length);
      else await sleep(RETRY_DELAY_MS);
    }
    writing = false;
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

  /** The first number without a value at or after `from`, found in steps that double. */
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
      if (!writing) void writePending();
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

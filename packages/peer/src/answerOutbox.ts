import type { Answer, Cell, RowsAnswer } from '@rosedeck/core';
import type { Millis } from '@rosedeck/shared';

/** An answer, or a chunk of a large answer's rows; the last chunk carries the rest of the answer. */
export type AnswerItem =
  | { readonly call: number; readonly answer: Answer }
  | {
      readonly call: number;
      readonly rows: RowsAnswer['rows'];
      readonly end?: Omit<RowsAnswer, 'rows'> & { readonly rows?: undefined };
    };

/** Queue of the answers to be sent on one connection of a peer. */
export interface AnswerOutbox {
  push: (call: number, answer: Answer) => void;
  /** Resolves with the next items to send; undefined once closed. Only one call may be pending. */
  take: () => Promise<readonly AnswerItem[] | undefined>;
  close: () => void;
}

/** A chunk ends with the row that brings it to this many characters. */
export const CHUNK_LENGTH = 256 * 1_024;
/** Chunks wait while the socket buffers more bytes than this. */
const SOCKET_HIGH_WATER_BYTES = 1_024 * 1_024;
/** Once a batch has this many answers, further answers with rows are sent as chunks. */
const BATCH_ANSWER_LIMIT = 64;
const SOCKET_RECHECK_MS: Millis = 2;

interface ChunkedAnswer {
  readonly call: number;
  readonly answer: RowsAnswer;
  /** Number of rows already sent. */
  sentRows: number;
}

/** Creates an outbox; `bufferedBytes` returns the bytes that the socket still buffers. */
export function createAnswerOutbox(bufferedBytes: () => number): AnswerOutbox {
  const chunkedAnswers: ChunkedAnswer[] = [];
  let batch: AnswerItem[] = [];
  let resolveTake: ((items: readonly AnswerItem[] | undefined) => void) | undefined;
  let isRecheckScheduled = false;
  let isClosed = false;

  /** Resolves the pending `take`: with all small answers first, then with one chunk of each large answer in turn. */
  const deliverNext = (): void => {
    if (!resolveTake) return;
    const items = takeBatch() ?? takeChunk();
    if (!items) return;
    const resolve = resolveTake;
    resolveTake = undefined;
    resolve(items);
  };

  const takeBatch = (): readonly AnswerItem[] | undefined => {
    if (batch.length === 0) return undefined;
    const items = batch;
    batch = [];
    return items;
  };

  const takeChunk = (): readonly AnswerItem[] | undefined => {
    const [next] = chunkedAnswers;
    if (!next) return undefined;
    if (bufferedBytes() > SOCKET_HIGH_WATER_BYTES) {
      scheduleRecheck();
      return undefined;
    }
    chunkedAnswers.shift();
    const { call, answer } = next;
    const rows = sliceChunk(answer, next.sentRows);
    next.sentRows += rows.length;
    if (next.sentRows < answer.rows.length) {
      chunkedAnswers.push(next);
      return [{ call, rows }];
    }
    return [{ call, rows, end: { ...answer, rows: undefined } }];
  };

  const scheduleRecheck = (): void => {
    if (isRecheckScheduled) return;
    isRecheckScheduled = true;
    setTimeout(() => {
      isRecheckScheduled = false;
      deliverNext();
    }, SOCKET_RECHECK_MS);
  };

  return {
    push: (call, answer) => {
      if (isClosed) return;
      const isRows = answer.kind === 'rows';
      const isChunked = isRows && (batch.length >= BATCH_ANSWER_LIMIT || needsChunks(answer));
      if (isChunked) chunkedAnswers.push({ call, answer, sentRows: 0 });
      else batch.push({ call, answer });
      // Answers of one turn of the event loop go into one message.
      if (resolveTake && batch.length + chunkedAnswers.length === 1) queueMicrotask(deliverNext);
    },
    take: () => {
      if (isClosed) return Promise.resolve(undefined);
      return new Promise((resolve) => {
        resolveTake = resolve;
        deliverNext();
      });
    },
    close: () => {
      isClosed = true;
      batch = [];
      chunkedAnswers.length = 0;
      resolveTake?.(undefined);
      resolveTake = undefined;
    },
  };
}

/** True for an answer that is too large for one chunk. */
export function needsChunks(answer: Answer): boolean {
  return answer.kind === 'rows' && sliceChunk(answer, 0).length < answer.rows.length;
}

/** Returns the rows of the next chunk of an answer, at least one. */
function sliceChunk({ rows }: RowsAnswer, from: number): RowsAnswer['rows'] {
  let length = 0;
  let end = from;
  while (end < rows.length && length < CHUNK_LENGTH) {
    length += countRowCharacters(rows[end] ?? []);
    end += 1;
  }
  return from === 0 && end === rows.length ? rows : rows.slice(from, end);
}

/** Number of characters of a row in a message, not counting escapes. */
function countRowCharacters(row: readonly Cell[]): number {
  return row.reduce((sum, cell) => sum + (cell === null ? 5 : cell.length + 3), 2);
}

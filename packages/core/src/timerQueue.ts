import type { Millis } from '@rosedeck/shared';

interface Timer<T> {
  readonly at: Millis;
  readonly value: T;
}

/** Priority queue of values by due time, earliest first (a binary heap). */
export interface TimerQueue<T> {
  push: (at: Millis, value: T) => void;
  /** Returns the earliest timer; undefined when there is none. */
  peek: () => Timer<T> | undefined;
  pop: () => Timer<T> | undefined;
}

/** Creates an empty queue; `push` and `pop` take logarithmic time. */
export function createTimerQueue<T>(): TimerQueue<T> {
  const heap: Timer<T>[] = [];
  return {
    peek: () => heap[0],
    push: (at, value) => {
      heap.push({ at, value });
      siftUp(heap);
    },
    pop: () => {
      const first = heap[0];
      const last = heap.pop();
      if (first === undefined || last === undefined || heap.length === 0) return first;
      heap[0] = last;
      siftDown(heap);
      return first;
    },
  };
}

function siftUp<T>(heap: Timer<T>[]): void {
  let index = heap.length - 1;
  while (index > 0) {
    const parent = (index - 1) >> 1;
    if (!swapIfEarlier(heap, index, parent)) return;
    index = parent;
  }
}

function siftDown<T>(heap: Timer<T>[]): void {
  let index = 0;
  for (;;) {
    const left = 2 * index + 1;
    const right = left + 1;
    if (left >= heap.length) return;
    const child = isEarlier(heap, right, left) ? right : left;
    if (!swapIfEarlier(heap, child, index)) return;
    index = child;
  }
}

function isEarlier<T>(heap: readonly Timer<T>[], a: number, b: number): boolean {
  const first = heap[a];
  const second = heap[b];
  return first !== undefined && second !== undefined && first.at < second.at;
}

function swapIfEarlier<T>(heap: Timer<T>[], child: number, parent: number): boolean {
  const childTimer = heap[child];
  const parentTimer = heap[parent];
  if (!childTimer || !parentTimer || childTimer.at >= parentTimer.at) return false;
  heap[child] = parentTimer;
  heap[parent] = childTimer;
  return true;
}

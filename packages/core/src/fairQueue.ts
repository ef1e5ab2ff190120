import type { CustomerId, Millis } from '@rosedeck/shared';
import type { FairQueue, RequestRow } from './tables';

interface ClassQueue {
  readonly rank: number;
  /** Requests to be retried; they go first. */
  readonly retried: Set<RequestRow>;
  /** The other requests, in order of arrival. */
  readonly byArrival: Set<RequestRow>;
  /** The same requests by customer, in round-robin order. */
  readonly byCustomer: Map<CustomerId, Set<RequestRow>>;
}

/**
 * Creates an empty queue: strict priority between classes, round robin between customers of a
 * class.
 */
export function createFairQueue(): FairQueue {
  const classes: ClassQueue[] = [];
  const rows = new Set<RequestRow>();

  const classOf = (rank: number): ClassQueue => {
    const known = classes.find((one) => one.rank === rank);
    if (known) return known;
    const created = createClassQueue(rank);
    classes.push(created);
    classes.sort((a, b) => a.rank - b.rank);
    return created;
  };

  return {
    get length() {
      return rows.size;
    },
    has: (row) => rows.has(row),
    add: (row) => {
      rows.add(row);
      const found = classOf(row.rank);
      found.byArrival.add(row);
      addToCustomer(found, row);
    },
    addRetry: (row) => {
      rows.add(row);
      classOf(row.rank).retried.add(row);
    },
    remove: (row, served) => {
      if (!rows.delete(row)) return;
      const found = classOf(row.rank);
      found.byArrival.delete(row);
      if (!found.retried.delete(row)) removeFromCustomer(found, row, served);
    },
    inOrder: () => walkClasses(classes),
    oldestAged: (now, ageingMs) => findOldestAged(classes, now, ageingMs),
    countAhead: (rank, customer) => countAhead(classes, rank, customer),
    findVictim: (rank, customer) => findVictim(classes, rank, customer),
  };
}

function createClassQueue(rank: number): ClassQueue {
  return { rank, retried: new Set(), byArrival: new Set(), byCustomer: new Map() };
}

function sizeOf(one: ClassQueue): number {
  return one.byArrival.size + one.retried.size;
}

function addToCustomer(found: ClassQueue, row: RequestRow): void {
  const { customer } = row.req;
  const known = found.byCustomer.get(customer);
  if (known) known.add(row);
  else found.byCustomer.set(customer, new Set([row]));
}

function removeFromCustomer(found: ClassQueue, row: RequestRow, served: boolean): void {
  const { customer } = row.req;
  const own = found.byCustomer.get(customer);
  if (!own) return;
  own.delete(row);
  if (own.size === 0) {
    found.byCustomer.delete(customer);
    return;
  }
  if (!served || found.byCustomer.size < 2) return;
  found.byCustomer.delete(customer);
  found.byCustomer.set(customer, own);
}

function* walkClasses(classes: readonly ClassQueue[]): Generator<RequestRow> {
  for (const one of classes) {
    yield* one.retried;
    yield* walkCustomers(one);
  }
}

function* walkCustomers(one: ClassQueue): Generator<RequestRow> {
  if (one.byCustomer.size < 2) {
    yield* one.byArrival;
    return;
  }
  let iterators = [...one.byCustomer.values()].map((own) => own.values());
  while (iterators.length > 0) {
    const remaining: typeof iterators = [];
    for (const iterator of iterators) {
      const next = iterator.next();
      if (next.done) continue;
      remaining.push(iterator);
      yield next.value;
    }
    iterators = remaining;
  }
}

function findOldestAged(
  classes: readonly ClassQueue[],
  now: Millis,
  ageingMs: Millis,
): RequestRow | undefined {
  let oldest: RequestRow | undefined;
  let isFirst = true;
  for (const one of classes) {
    if (sizeOf(one) === 0) continue;
    const head = firstOf(one.byArrival);
    if (!isFirst && head && now - head.arrivedAt >= ageingMs) oldest = olderOf(oldest, head);
    isFirst = false;
  }
  return oldest;
}

function olderOf(a: RequestRow | undefined, b: RequestRow): RequestRow {
  return a && a.arrivedAt <= b.arrivedAt ? a : b;
}

function firstOf(rows: ReadonlySet<RequestRow>): RequestRow | undefined {
  const next = rows.values().next();
  return next.done ? undefined : next.value;
}

function countAhead(classes: readonly ClassQueue[], rank: number, customer: CustomerId): number {
  let count = 0;
  for (const one of classes) {
    if (one.rank < rank) count += sizeOf(one);
    if (one.rank === rank) count += one.retried.size + countAheadInClass(one, customer);
  }
  return count;
}

/**
 * In round robin, each customer is served at most once before each request of this customer, the new
 * one included.
 */
function countAheadInClass(one: ClassQueue, customer: CustomerId): number {
  const own = one.byCustomer.get(customer)?.size ?? 0;
  const roundRobinBound = (own + 1) * one.byCustomer.size;
  return Math.min(one.byArrival.size, roundRobinBound);
}

function findVictim(
  classes: readonly ClassQueue[],
  rank: number,
  customer: CustomerId,
): RequestRow | undefined {
  const lowest = classes.findLast((one) => one.byArrival.size > 0);
  if (!lowest || lowest.rank < rank) return undefined;
  // The customer with most requests loses one, so that a customer with few keeps its own.
  let largest: Set<RequestRow> | undefined;
  for (const own of lowest.byCustomer.values()) {
    if (!largest || own.size > largest.size) largest = own;
  }
  if (!largest) return undefined;
  const ownSize = lowest.byCustomer.get(customer)?.size ?? 0;
  if (lowest.rank === rank && largest.size <= ownSize + 1) return undefined;
  return [...largest].at(-1);
}

import { rankHomes, sliceOf } from '../src/index';
import type { QuotaDecision, QuotasOptions, Tenant } from '../src/index';
import type { CreatePolicy, Op, Policy } from './quotaFleet';

/** Policies that the model must find wanting; each is what one would build first. */

interface LocalBucket {
  tokens: number;
  at: number;
}

/** A token bucket of each tenant with a part of its cap. */
function createBuckets(): (tenant: Tenant, part: number, now: number) => boolean {
  const buckets = new Map<string, LocalBucket>();
  return ({ name, ratePerS, burst }, part, now) => {
    const bucket = buckets.get(name) ?? { tokens: 0, at: now };
    buckets.set(name, bucket);
    const added = ((now - bucket.at) * ratePerS * part) / 1_000;
    bucket.tokens = Math.min(Math.max(1, burst * part), bucket.tokens + added);
    bucket.at = now;
    if (bucket.tokens < 1) return false;
    bucket.tokens -= 1;
    return true;
  };
}

/** Each daemon admits by itself up to the cap, or up to its part of it. */
export function createLocalPolicy(part: (daemons: number) => number): CreatePolicy {
  return ({ clock }) => {
    const take = createBuckets();
    const decisions: QuotaDecision<Op>[] = [];
    let tenants: ReadonlyMap<string, Tenant> = new Map();
    let daemons = 1;
    return {
      ...EMPTY,
      applyTenants: (directory) => {
        tenants = directory?.tenants ?? new Map();
      },
      applyFleet: ({ listed }) => {
        daemons = listed.length;
      },
      request: (name, waiter) => {
        const tenant = tenants.get(name);
        if (!tenant || take(tenant, part(daemons), clock.now())) return true;
        decisions.push({ kind: 'refused', waiter, tenant: name, reason: 'cap', waitMs: 100 });
        return false;
      },
      takeDecisions: () => decisions.splice(0),
    };
  };
}

/**
 * The home of a tenant keeps its whole cap, whoever asks. Without a reply an operation is admitted,
 * or the next home is asked, which then keeps the whole cap too.
 */
export function createCentralPolicy(onSilence: 'admit' | 'next_home'): CreatePolicy {
  return (options) => createCentral(options, onSilence);
}

function createCentral(
  { clock, self, send }: QuotasOptions<Op>,
  onSilence: 'admit' | 'next_home',
): Policy {
  const take = createBuckets();
  const decisions: QuotaDecision<Op>[] = [];
  const waiting = new Map<number, { op: Op; at: number; rank: number }>();
  let tenants: ReadonlyMap<string, Tenant> = new Map();
  let homes = rankHomes([]);
  let nextId = 1;
  const takeFor = (name: string): boolean => {
    const tenant = tenants.get(name);
    return tenant !== undefined && take(tenant, 1, clock.now());
  };
  const decide = (id: number, isGranted: boolean): void => {
    const row = waiting.get(id);
    if (!row) return;
    waiting.delete(id);
    const { op: waiter } = row;
    const { tenant } = waiter;
    if (isGranted) decisions.push({ kind: 'admitted', waiter });
    else decisions.push({ kind: 'refused', waiter, tenant, reason: 'cap', waitMs: 100 });
  };
  const ask = (id: number): void => {
    const row = waiting.get(id);
    if (!row) return;
    const { tenant } = row.op;
    const home = homes[sliceOf(tenant)]?.[row.rank] ?? self;
    if (home === self) decide(id, takeFor(tenant));
    else send(home, { kind: 'ask', id, wants: [{ tenant, waiting: 1, ahead: 0 }] });
  };
  return {
    ...EMPTY,
    applyTenants: (directory) => {
      tenants = directory?.tenants ?? new Map();
    },
    applyFleet: ({ listed }) => {
      homes = rankHomes(listed);
    },
    request: (_tenant, op) => {
      waiting.set(nextId, { op, at: clock.now(), rank: 0 });
      ask(nextId);
      nextId += 1;
      return false;
    },
    received: (from, message) => {
      if (message.kind === 'grant') decide(message.id, (message.grants[0]?.granted ?? 0) > 0);
      if (message.kind !== 'ask') return;
      const grants = message.wants.map(({ tenant }) => {
        return { tenant, granted: takeFor(tenant) ? 1 : 0, waitMs: 100 };
      });
      send(from, { kind: 'grant', id: message.id, grants });
    },
    review: () => {
      for (const [id, row] of waiting) {
        if (clock.now() - row.at < 120 * (row.rank + 1)) continue;
        row.rank += 1;
        if (onSilence === 'admit') decide(id, true);
        else if (row.rank > 1) decide(id, false);
        else ask(id);
      }
    },
    takeDecisions: () => decisions.splice(0),
  };
}

const EMPTY = {
  received: () => undefined,
  review: () => undefined,
  timeJumped: () => undefined,
  dueInMs: () => undefined,
} as const;

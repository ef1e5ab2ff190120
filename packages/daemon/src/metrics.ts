import { isConfigStale } from '@rosedeck/core';
import type { CoreLogEvent, World } from '@rosedeck/core';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Metrics of a daemon and the functions that feed them. */
export interface Metrics {
  readonly registry: Registry;
  observe: (event: CoreLogEvent) => void;
  observeTick: (tookMs: number) => void;
  countControlBytes: (direction: 'sent' | 'received', bytes: number) => void;
}

// Upper bounds of the histogram buckets, in seconds.
const QUEUE_BUCKETS = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5];
const TICK_BUCKETS = [0.000_01, 0.000_05, 0.000_1, 0.000_5, 0.001, 0.005, 0.01, 0.05];
const FAILOVER_BUCKETS = [0.1, 0.2, 0.3, 0.5, 0.75, 1, 2, 5, 10, 30];
const MS_PER_SECOND = 1_000;

/** Label of all unconfigured classes: callers choose names freely, so labels would be unbounded. */
const OTHER_CLASS_LABEL = 'other';

/** Creates the metrics of a daemon; gauges read the tables at each scrape. */
export function createMetrics(world: () => World, countCallers: () => number): Metrics {
  const registry = new Registry();
  const registers = [registry];
  const reads = createReadCounter(registers);
  const retries = new Counter({
    name: 'rosedeck_retries_total',
    help: 'Requests sent again, by where the retry was decided.',
    labelNames: ['at'],
    registers,
  });
  const refusals = new Counter({
    name: 'rosedeck_refusals_total',
    help: 'Requests that ended in a failure, by kind.',
    labelNames: ['kind'],
    registers,
  });
  const bytes = new Counter({
    name: 'rosedeck_control_bytes_total',
    help: 'Bytes of calls to the platform and of configuration messages between daemons.',
    labelNames: ['direction'],
    registers,
  });
  const ticks = new Histogram({
    name: 'rosedeck_tick_seconds',
    help: 'Time that one tick of the core took.',
    buckets: TICK_BUCKETS,
    registers,
  });
  const observeQueue = createQueueObserver(registers, world);
  const observeFailover = createFailoverObserver(registers, world);
  registerGauges(registers, world, countCallers);
  return {
    registry,
    observe: (event) => {
      if (event.type === 'read_served') reads[event.role].inc();
      else if (event.type === 'request_dispatched')
        observeQueue(event.group, event.cls, event.waitedMs);
      else if (event.type === 'request_retried') retries.inc({ at: event.at });
      else if (event.type === 'request_refused') refusals.inc({ kind: event.kind });
      else observeFailover(event);
    },
    observeTick: (tookMs) => {
      ticks.observe(tookMs / MS_PER_SECOND);
    },
    countControlBytes: (direction, count) => {
      bytes.inc({ direction }, count);
    },
  };
}

function createReadCounter(registers: Registry[]): Record<'primary' | 'replica', Counter.Internal> {
  const counter = new Counter({
    name: 'rosedeck_reads_total',
    help: 'Reads served, by role of the target.',
    labelNames: ['role'],
    registers,
  });
  return { primary: counter.labels('primary'), replica: counter.labels('replica') };
}

type QueueObserver = (group: string, cls: string, waitedMs: number) => void;

function createQueueObserver(registers: Registry[], world: () => World): QueueObserver {
  const histogram = new Histogram({
    name: 'rosedeck_queue_seconds',
    help: 'Time from the arrival of a request at its owner to its dispatch, by class.',
    labelNames: ['class'],
    buckets: QUEUE_BUCKETS,
    registers,
  });
  const children = new Map<string, Histogram.Internal<'class'>>();
  const getChild = (name: string): Histogram.Internal<'class'> => {
    const existing = children.get(name);
    if (existing) return existing;
    const child = histogram.labels(name);
    children.set(name, child);
    return child;
  };
  return (group, cls, waitedMs) => {
    const ranks = world().groups.get(group)?.spec.classRanks ?? {};
    const label = Object.hasOwn(ranks, cls) ? cls : OTHER_CLASS_LABEL;
    getChild(label).observe(waitedMs / MS_PER_SECOND);
  };
}

/** Observes the time from the first suspicion of a primary until the next `primary_changed`. */
function createFailoverObserver(
  registers: Registry[],
  world: () => World,
): (event: CoreLogEvent) => void {
  const histogram = new Histogram({
    name: 'rosedeck_failover_gap_seconds',
    help: 'Time from the first suspicion of a primary until a primary is known again.',
    buckets: FAILOVER_BUCKETS,
    registers,
  });
  const suspectedAt = new Map<string, number>();
  return (event) => {
    if (event.type === 'primary_suspected') {
      if (!suspectedAt.has(event.group)) suspectedAt.set(event.group, world().clock.now());
    } else if (event.type === 'primary_changed') {
      const since = suspectedAt.get(event.group);
      suspectedAt.delete(event.group);
      if (since !== undefined) histogram.observe((world().clock.now() - since) / MS_PER_SECOND);
    }
  };
}

function registerGauges(
  registers: Registry[],
  world: () => World,
  countCallers: () => number,
): void {
  new Gauge({
    name: 'rosedeck_target_connections',
    help: 'Open connections, by target.',
    labelNames: ['target'],
    registers,
    collect() {
      this.reset();
      for (const target of world().targets.values()) {
        this.set({ target: target.spec.id }, target.connections.size);
      }
    },
  });
  const registerGauge = (name: string, help: string, read: () => number): void => {
    new Gauge({
      name,
      help,
      registers,
      collect() {
        this.set(read());
      },
    });
  };
  registerGauge('rosedeck_callers', 'Open caller connections.', countCallers);
  registerGauge(
    'rosedeck_config_revision',
    'Revision of the configuration in force.',
    () => world().config.revision,
  );
  registerGauge('rosedeck_config_stale', '1 while the daemon takes no new work.', () =>
    Number(isConfigStale(world(), world().clock.now())),
  );
}

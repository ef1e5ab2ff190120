import type { Clock, FailureDomain, InstanceId, Millis } from '@rosedeck/shared';
import { createFleet } from './fleet';
import { createQuotas } from './quotas/quotas';
import type { DirectSettings } from './settings';
import type { EngineIo } from './engineIo';
import type { World } from './tables';

/** Dependencies and identity of an engine. */
export interface EngineOptions {
  readonly clock: Clock;
  readonly settings: DirectSettings;
  readonly io: EngineIo;
  /** Uniform numbers in [0, 1). */
  readonly random: () => number;
  readonly name: InstanceId;
  readonly failureDomain: FailureDomain;
  /** When the process started, by the clock; absent: now. */
  readonly startedAt?: Millis;
}

/** Creates tables without configuration or targets. */
export function createWorld(options: EngineOptions): World {
  return {
    clock: options.clock,
    settings: options.settings,
    io: options.io,
    random: options.random,
    self: { name: options.name, failureDomain: options.failureDomain },
    groups: new Map(),
    targets: new Map(),
    connections: new Map(),
    sessions: new Map(),
    running: new Set(),
    fleet: createFleet(),
    quotas: createQuotas({
      clock: options.clock,
      random: options.random,
      self: options.name,
      startedAt: options.startedAt ?? options.clock.now(),
      send: (to, message) => {
        options.io.sendQuotaMessage(to, message);
      },
      onMoved: (slice, from, to) => {
        options.io.log({ type: 'quota_home_changed', slice, from, to });
      },
      hasEnded: (row) => row.stage === 'done',
    }),
    lostOwners: new Map(),
    groupsToDispatch: new Set(),
    keptLength: 0,
    nextConnectionId: 1,
    epoch: 0,
    timeJumpedAt: -Infinity,
    claimsReadAt: -Infinity,
  };
}

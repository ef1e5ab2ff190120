import path from 'node:path';
import { parseToml } from '@rosedeck/daemon';
import type { Tree } from '@rosedeck/daemon';
import type { Millis } from '@rosedeck/shared';
import { z } from 'zod';

const trafficSchema = z.strictObject({
  class: z.string(),
  group: z.string(),
  kind: z.enum(['insert', 'transaction', 'session', 'aged_read', 'heartbeat']),
  rate_per_s: z.number().positive(),
  sessions: z.number().int().positive(),
  max_age_ms: z.number().int().optional(),
  deadline_ms: z.number().int().optional(),
});

const profileSchema = z.strictObject({
  name: z.string(),
  customer: z.string(),
  daemons: z.number().int().positive(),
  failure_domains: z.array(z.string()).min(1),
  /** Request classes by priority, highest first. */
  classes: z.array(z.string()).min(1),
  latency: z.strictObject({
    between_failure_domains_ms: z.number().nonnegative(),
    to_callers_ms: z.number().nonnegative(),
  }),
  targets: z.strictObject({
    slots: z.number().int().positive(),
    connection_limit: z.number().int().positive(),
    connect_ms: z.number().nonnegative(),
    statement_ms: z.number().nonnegative(),
  }),
  /** Failure domains of each group's targets; the first is that of the first primary. */
  groups: z.record(z.string(), z.array(z.string()).min(1)),
  traffic: z.array(trafficSchema),
});

/** A deployment and the traffic of its callers, as its TOML file describes them. */
export type Profile = z.infer<typeof profileSchema>;

/** One stream of statements of a class to a group; `kind` selects the work of its sessions. */
export type Traffic = z.infer<typeof trafficSchema>;

/** Profiles with a file in `topologies/`. */
export const PROFILE_NAMES = ['authority', 'baharat'] as const;

/** Reads a profile from `topologies/`; throws when the file is missing or invalid. */
export function readProfile(name: string): Profile {
  const file = path.join('packages/bench/topologies', `${name}.toml`);
  const result = parseToml(file, profileSchema);
  if (result.isErr()) throw new Error(result.error.map((fault) => fault.problem).join('; '));
  return result.value;
}

/** Network round-trip time between a daemon and a target in different failure domains. */
export function roundTripMs(profile: Profile): Millis {
  return 2 * profile.latency.between_failure_domains_ms;
}

/** Id, failure domain and ports of a target; sent to the stand-ins as JSON. */
export interface TargetPlan {
  readonly id: string;
  readonly group: string;
  readonly port: number;
  readonly controlPort: number;
  readonly failureDomain: string;
  readonly startsAsPrimary: boolean;
}

/** Id, failure domain and ports of a daemon. */
export interface DaemonPlan {
  readonly id: string;
  readonly failureDomain: string;
  readonly callerPort: number;
  readonly peerPort: number;
  readonly operatorPort: number;
  readonly metricsPort: number;
}

/** Assigns ids and ports to the targets of all groups; the first target of a group starts as primary. */
export function planTargets(profile: Profile, takePort: () => number): TargetPlan[] {
  return Object.entries(profile.groups).flatMap(([group, failureDomains]) =>
    failureDomains.map((failureDomain, index) => ({
      id: `${group}-${index + 1}`,
      group,
      port: takePort(),
      controlPort: takePort(),
      failureDomain,
      startsAsPrimary: index === 0,
    })),
  );
}

/** Assigns ids and ports to the daemons, round-robin over the failure domains. */
export function planDaemons(profile: Profile, takePort: () => number): DaemonPlan[] {
  return Array.from({ length: profile.daemons }, (_, index) => ({
    id: `entry-${index + 1}`,
    failureDomain: profile.failure_domains[index % profile.failure_domains.length] ?? '',
    callerPort: takePort(),
    peerPort: takePort(),
    operatorPort: takePort(),
    metricsPort: takePort(),
  }));
}

/** Password with which callers log in at the daemons. */
export const CALLER_PASSWORD = 'caller-secret';
/** Password with which daemons log in at the stand-in targets. */
export const TARGET_PASSWORD = 'target-secret';

const DEADLINE_MS = 2_000;
const CONNECTION_RESERVE = 2;

/** Builds the configuration tree of a deployment with one customer. */
export function createTree(profile: Profile, targets: readonly TargetPlan[]): Tree {
  const groups: Tree['groups'] = {};
  for (const id of Object.keys(profile.groups)) {
    groups[id] = {
      customer: profile.customer,
      slots: profile.targets.slots,
      connection_limit: profile.targets.connection_limit,
      connection_reserve: CONNECTION_RESERVE,
      targets: targets
        .filter((target) => target.group === id)
        .map((target) => ({
          id: target.id,
          host: '127.0.0.1',
          port: target.port,
          control_port: target.controlPort,
          failure_domain: target.failureDomain,
        })),
    };
  }
  return {
    customers: {
      [profile.customer]: {
        user: profile.customer,
        password: CALLER_PASSWORD,
        target_user: 'proxy',
        target_password: TARGET_PASSWORD,
        deadline_ms: DEADLINE_MS,
        default_class: profile.classes[0] ?? 'default',
        classes: [...profile.classes],
      },
    },
    groups,
  };
}

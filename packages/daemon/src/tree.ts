import type { GroupSpec } from '@rosedeck/core';
import murmurhash from 'murmurhash';
import { classesOf, groupScopes, resolveSettings } from './treeResolve';
import type { EffectiveSettings } from './treeResolve';
import type { Tree, TreeCustomer, TreeGroup } from './treeSchema';

export { treeSchema } from './treeSchema';
export type { Tree, TreeCustomer } from './treeSchema';

/** Credentials with which daemons log in to a group's targets. */
export interface TargetLogin {
  readonly user: string;
  readonly password: string;
}

/** Settings of a statement that carries no marks. */
export interface StatementDefaults {
  readonly cls: string;
  readonly deadlineMs: number;
  readonly maxAgeMs?: number;
  /** Whether writes without the mark `idempotent` count as idempotent. */
  readonly idempotent: boolean;
}

/** Creates the core's description of each database group in a tree. */
export function createGroupSpecs(tree: Tree): GroupSpec[] {
  return Object.entries(tree.groups).map(([id, group]) => createGroupSpec(tree, id, group));
}

/** Resolves the credentials of a group's targets; empty texts when none are set. */
export function resolveTargetLogin(tree: Tree, id: string): TargetLogin {
  return loginOf(resolveSettings(groupScopes(tree, id)));
}

/** Finds the customer whose callers log in as `user`, with its id. */
export function findCustomer(tree: Tree, user: string): [string, TreeCustomer] | undefined {
  return Object.entries(tree.customers).find(([, customer]) => customer.user === user);
}

/** Resolves the settings of callers' statements; results are cached. */
export interface CallerDefaults {
  /** Classes of a group, highest priority first. */
  classesOf: (group: string) => readonly string[];
  /** Settings of a statement; without `cls`, those of the group's default class. */
  statementDefaults: (group: string, cls: string | undefined) => StatementDefaults;
}

const defaultsByTree = new WeakMap<Tree, CallerDefaults>();

/** Returns the cached settings of a tree; each change of the configuration creates a new tree. */
export function getCallerDefaults(tree: Tree): CallerDefaults {
  const cached = defaultsByTree.get(tree);
  if (cached) return cached;
  const created = createCallerDefaults(tree);
  defaultsByTree.set(tree, created);
  return created;
}

function createCallerDefaults(tree: Tree): CallerDefaults {
  const defaults = new Map<string, StatementDefaults>();
  const classes = new Map<string, readonly string[]>();
  return {
    classesOf: (group) => {
      const names = classes.get(group) ?? classesOf(tree, group);
      if (Object.hasOwn(tree.groups, group)) classes.set(group, names);
      return names;
    },
    statementDefaults: (group, cls) => {
      const key = cls === undefined ? group : `${group}/${cls}`;
      const resolved = defaults.get(key) ?? resolveDefaults(tree, group, cls);
      // Callers choose class names freely; only configured ones are cached, which bounds the cache.
      if (cls === undefined || classesOf(tree, group).includes(cls)) defaults.set(key, resolved);
      return resolved;
    },
  };
}

const DEFAULT_DEADLINE_MS = 2_000;

function resolveDefaults(tree: Tree, group: string, cls: string | undefined): StatementDefaults {
  const scopes = groupScopes(tree, group);
  const groupSettings = resolveSettings(scopes);
  const chosen =
    cls ?? groupSettings.default_class?.value ?? groupSettings.classes?.value[0] ?? 'default';
  const settings = resolveSettings(scopes, chosen);
  return {
    cls: chosen,
    deadlineMs: settings.deadline_ms?.value ?? DEFAULT_DEADLINE_MS,
    maxAgeMs: settings.max_age_ms?.value,
    idempotent: settings.idempotent?.value ?? false,
  };
}

function createGroupSpec(tree: Tree, id: string, group: TreeGroup): GroupSpec {
  const settings = resolveSettings(groupScopes(tree, id));
  const login = loginOf(settings);
  return {
    id,
    customer: group.customer,
    slots: settings.slots?.value ?? 1,
    connectionLimit: settings.connection_limit?.value ?? 1,
    connectionReserve: settings.connection_reserve?.value ?? 0,
    queueLimit: settings.queue_limit?.value,
    loginId: murmurhash.v3(`${login.user}\n${login.password}`).toString(36),
    classRanks: rankClasses(tree, id),
    targets: group.targets.map((target) => ({
      id: target.id,
      host: target.host,
      port: target.port,
      controlPort: target.control_port,
      failureDomain: target.failure_domain,
    })),
  };
}

function loginOf(settings: EffectiveSettings): TargetLogin {
  return {
    user: settings.target_user?.value ?? '',
    password: settings.target_password?.value ?? '',
  };
}

function rankClasses(tree: Tree, group: string): Record<string, number> {
  return Object.fromEntries(classesOf(tree, group).map((name, rank) => [name, rank]));
}

import type { GroupSpec } from '@rosedeck/core';
import murmurhash from 'murmurhash';
import { classesOf, groupScopes, resolveSettings } from './treeResolve';
import type { EffectiveSettings } from './treeResolve';
import type { Tree, TreeCustomer, TreeGroup } from './treeSchema';

export { treeSchema } from './treeSchema';
export type { Tree, TreeCustomer } from './treeSchema';

/** Credentials of a group's targets. */
export interface TargetLogin {
  readonly user: string;
  readonly password: string;
}

/** What a statement without marks of its own gets. */
export interface StatementDefaults {
  readonly cls: string;
  readonly deadlineMs: number;
  readonly maxAgeMs?: number;
  /** What unmarked writes count as. */
  readonly idempotent: boolean;
}

/** Database groups that the tree describes. */
export function createGroupSpecs(tree: Tree): GroupSpec[] {
  return Object.entries(tree.groups).map(([id, group]) => createGroupSpec(tree, id, group));
}

/** Credentials of a group's targets. */
export function resolveTargetLogin(tree: Tree, id: string): TargetLogin {
  return loginOf(resolveSettings(groupScopes(tree, id)));
}

/** The customer whose callers log in as `user`. */
export function findCustomer(tree: Tree, user: string): [string, TreeCustomer] | undefined {
  return Object.entries(tree.customers).find(([, customer]) => customer.user === user);
}

/** Looks up what callers get; the answers are kept. */
export interface CallerDefaults {
  /** Classes of a group, first served first. */
  classesOf: (group: string) => readonly string[];
  /** What a statement gets; without a class, that of the group's default class. */
  statementDefaults: (group: string, cls: string | undefined) => StatementDefaults;
}

const defaultsByTree = new WeakMap<Tree, CallerDefaults>();

/** The lookup of a tree; a changed configuration is another tree. */
export function getCallerDefaults(tree: Tree): CallerDefaults {
  const known = defaultsByTree.get(tree);
  if (known) return known;
  const created = createCallerDefaults(tree);
  defaultsByTree.set(tree, created);
  return created;
}

function createCallerDefaults(tree: Tree): CallerDefaults {
  const defaults = new Map<string, StatementDefaults>();
  const classes = new Map<string, readonly string[]>();
  return {
    classesOf: (group) => {
      const known = classes.get(group) ?? classesOf(tree, group);
      if (Object.hasOwn(tree.groups, group)) classes.set(group, known);
      return known;
    },
    statementDefaults: (group, cls) => {
      const key = cls === undefined ? group : `${group}/${cls}`;
      const known = defaults.get(key) ?? resolveDefaults(tree, group, cls);
      // Callers choose names freely; only those of the configuration are worth keeping.
      if (cls === undefined || classesOf(tree, group).includes(cls)) defaults.set(key, known);
      return known;
    },
  };
}

const DEFAULT_DEADLINE_MS = 2_000;

function resolveDefaults(tree: Tree, group: string, cls: string | undefined): StatementDefaults {
  const scopes = groupScopes(tree, group);
  const general = resolveSettings(scopes);
  const chosen = cls ?? general.default_class?.value ?? general.classes?.value[0] ?? 'default';
  const policy = resolveSettings(scopes, chosen);
  return {
    cls: chosen,
    deadlineMs: policy.deadline_ms?.value ?? DEFAULT_DEADLINE_MS,
    maxAgeMs: policy.max_age_ms?.value,
    idempotent: policy.idempotent?.value ?? false,
  };
}

function createGroupSpec(tree: Tree, id: string, group: TreeGroup): GroupSpec {
  const policy = resolveSettings(groupScopes(tree, id));
  const login = loginOf(policy);
  return {
    id,
    customer: group.customer,
    slots: policy.slots?.value ?? 1,
    connectionLimit: policy.connection_limit?.value ?? 1,
    connectionReserve: policy.connection_reserve?.value ?? 0,
    queueLimit: policy.queue_limit?.value,
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

function loginOf(policy: EffectiveSettings): TargetLogin {
  return { user: policy.target_user?.value ?? '', password: policy.target_password?.value ?? '' };
}

function rankClasses(tree: Tree, group: string): Record<string, number> {
  return Object.fromEntries(classesOf(tree, group).map((name, rank) => [name, rank]));
}

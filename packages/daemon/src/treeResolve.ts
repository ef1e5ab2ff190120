import type { ClassSettings, ScopeSettings, Tree, TreeGroup } from './treeSchema';

/** Keys that levels hand down. */
export const SCOPE_KEYS = [
  'deadline_ms',
  'max_age_ms',
  'idempotent',
  'default_class',
  'classes',
  'slots',
  'connection_limit',
  'connection_reserve',
  'queue_limit',
  'target_user',
  'target_password',
] as const satisfies readonly (keyof ScopeSettings)[];

/** Keys that a class may override. */
export const CLASS_KEYS = [
  'deadline_ms',
  'max_age_ms',
  'idempotent',
] as const satisfies readonly (keyof ClassSettings)[];

/** Name of a setting that is handed down. */
export type ScopeKey = (typeof SCOPE_KEYS)[number];

/** An effective value and the place that set it. */
export interface Resolved<T> {
  readonly value: T;
  /** `built-in`, `level NAME`, `customer NAME`, `group NAME`, or one of these with a class. */
  readonly from: string;
}

/** The effective settings of a customer, a group or a class. */
export type EffectiveSettings = {
  readonly [K in ScopeKey]?: Resolved<NonNullable<ScopeSettings[K]>>;
};

/** One level on the way from the root to a group. */
export interface Scope {
  readonly name: string;
  readonly settings: ScopeSettings;
}

const BUILT_IN: ScopeSettings = { deadline_ms: 2_000, connection_reserve: 2, classes: ['default'] };

/** The levels above and at a customer, root first. */
export function customerScopes(tree: Tree, id: string): Scope[] {
  const customer = tree.customers[id];
  const own: Scope[] = customer ? [{ name: `customer ${id}`, settings: customer }] : [];
  return [{ name: 'built-in', settings: BUILT_IN }, ...levelScopes(tree, customer?.level), ...own];
}

/** The levels above and at a group, root first. */
export function groupScopes(tree: Tree, id: string): Scope[] {
  const group = findGroup(tree, id);
  const own: Scope[] = group ? [{ name: `group ${id}`, settings: group }] : [];
  return [...customerScopes(tree, group?.customer ?? ''), ...own];
}

/** The effective settings under `scopes`, for a class if one is given; classes override all levels. */
export function resolveSettings(scopes: readonly Scope[], cls?: string): EffectiveSettings {
  const found = new Map<string, Resolved<unknown>>();
  for (const { name, settings: policy } of scopes) {
    for (const key of SCOPE_KEYS) {
      const value = policy[key];
      if (value !== undefined) found.set(key, { value, from: name });
    }
  }
  if (cls !== undefined) {
    for (const scope of scopes) overrideByClass(found, scope, cls);
  }
  return Object.fromEntries(found);
}

function overrideByClass(
  found: Map<string, Resolved<unknown>>,
  { name, settings: policy }: Scope,
  cls: string,
): void {
  const override = policy.class?.[cls];
  for (const key of CLASS_KEYS) {
    const value = override?.[key];
    if (value !== undefined) found.set(key, { value, from: `class ${cls} of ${name}` });
  }
}

function levelScopes(tree: Tree, id: string | undefined): Scope[] {
  const chain: Scope[] = [];
  const seen = new Set<string>();
  let next = id;
  while (next !== undefined && !seen.has(next)) {
    seen.add(next);
    const level: NonNullable<Tree['levels']>[string] | undefined = tree.levels?.[next];
    if (!level) break;
    chain.unshift({ name: `level ${next}`, settings: level });
    next = level.parent;
  }
  return chain;
}

/** The classes of a group, first served first. */
export function classesOf(tree: Tree, id: string): readonly string[] {
  return resolveSettings(groupScopes(tree, id)).classes?.value ?? [];
}

/** The group's own entry. */
export function findGroup(tree: Tree, id: string): TreeGroup | undefined {
  return Object.hasOwn(tree.groups, id) ? tree.groups[id] : undefined;
}

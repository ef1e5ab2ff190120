import type { ClassSettings, ScopeSettings, Tree, TreeGroup } from './treeSchema';

/** Settings that a scope passes down to the scopes below it. */
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

/** Settings that a class may override. */
export const CLASS_KEYS = [
  'deadline_ms',
  'max_age_ms',
  'idempotent',
] as const satisfies readonly (keyof ClassSettings)[];

/** Key of an inherited setting. */
export type ScopeKey = (typeof SCOPE_KEYS)[number];

/** An effective value and the scope or class that set it. */
export interface Resolved<T> {
  readonly value: T;
  /** `built-in`, `level NAME`, `customer NAME`, `group NAME`, or one of these with a class. */
  readonly from: string;
}

/** Effective settings of a customer, a group or a class; unset keys are absent. */
export type EffectiveSettings = {
  readonly [K in ScopeKey]?: Resolved<NonNullable<ScopeSettings[K]>>;
};

/** A place that can set values: the built-in defaults, a level, a customer or a group. */
export interface Scope {
  readonly name: string;
  readonly settings: ScopeSettings;
}

const BUILT_IN: ScopeSettings = { deadline_ms: 2_000, connection_reserve: 2, classes: ['default'] };

/** Scopes that apply to a customer, from the built-in defaults to its own. */
export function customerScopes(tree: Tree, id: string): Scope[] {
  const customer = tree.customers[id];
  const own: Scope[] = customer ? [{ name: `customer ${id}`, settings: customer }] : [];
  return [{ name: 'built-in', settings: BUILT_IN }, ...levelScopes(tree, customer?.level), ...own];
}

/** Scopes that apply to a group, from the built-in defaults to its own. */
export function groupScopes(tree: Tree, id: string): Scope[] {
  const group = findGroup(tree, id);
  const own: Scope[] = group ? [{ name: `group ${id}`, settings: group }] : [];
  return [...customerScopes(tree, group?.customer ?? ''), ...own];
}

/** Merges `scopes`, where later ones win; overrides of the class `cls` win over all scopes. */
export function resolveSettings(scopes: readonly Scope[], cls?: string): EffectiveSettings {
  const found = new Map<string, Resolved<unknown>>();
  for (const { name, settings } of scopes) {
    for (const key of SCOPE_KEYS) {
      const value = settings[key];
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
  { name, settings }: Scope,
  cls: string,
): void {
  const override = settings.class?.[cls];
  for (const key of CLASS_KEYS) {
    const value = override?.[key];
    if (value !== undefined) found.set(key, { value, from: `class ${cls} of ${name}` });
  }
}

function levelScopes(tree: Tree, id: string | undefined): Scope[] {
  const scopes: Scope[] = [];
  const seen = new Set<string>();
  let next = id;
  while (next !== undefined && !seen.has(next)) {
    seen.add(next);
    const level: NonNullable<Tree['levels']>[string] | undefined = tree.levels?.[next];
    if (!level) break;
    scopes.unshift({ name: `level ${next}`, settings: level });
    next = level.parent;
  }
  return scopes;
}

/** Classes of a group, highest priority first. */
export function classesOf(tree: Tree, id: string): readonly string[] {
  return resolveSettings(groupScopes(tree, id)).classes?.value ?? [];
}

/** Finds a group as written in the tree; names such as `toString` find nothing. */
export function findGroup(tree: Tree, id: string): TreeGroup | undefined {
  return Object.hasOwn(tree.groups, id) ? tree.groups[id] : undefined;
}

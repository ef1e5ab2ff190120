import { SECRET_TEXT } from './redact';
import {
  CLASS_KEYS,
  SCOPE_KEYS,
  customerScopes,
  groupScopes,
  resolveSettings,
} from './treeResolve';
import type { EffectiveSettings, ScopeKey } from './treeResolve';
import type { Tree } from './treeSchema';

/** One effective setting with the level that it came from. */
export interface ExplainedSetting {
  readonly key: string;
  readonly value: unknown;
  readonly from: string;
}

/** What is to be explained. */
export interface ExplainQuery {
  readonly customer?: string;
  readonly group?: string;
  readonly cls?: string;
}

/** The effective settings of a customer, a group or a class; undefined when there is no such one. */
export function explainSettings(tree: Tree, query: ExplainQuery): ExplainedSetting[] | undefined {
  const { customer, group, cls } = query;
  if (group !== undefined) {
    if (!Object.hasOwn(tree.groups, group)) return undefined;
    const scopes = groupScopes(tree, group);
    const classes = resolveSettings(scopes).classes?.value ?? [];
    if (cls !== undefined && !classes.includes(cls)) return undefined;
    return listSettings(resolveSettings(scopes, cls), cls);
  }
  if (customer === undefined || !Object.hasOwn(tree.customers, customer)) return undefined;
  return listSettings(resolveSettings(customerScopes(tree, customer), cls), cls);
}

function listSettings(policy: EffectiveSettings, cls: string | undefined): ExplainedSetting[] {
  const keys: readonly ScopeKey[] = cls === undefined ? SCOPE_KEYS : CLASS_KEYS;
  return keys.flatMap((key) => {
    const found = policy[key];
    if (!found) return [];
    const value = key === 'target_password' ? SECRET_TEXT : found.value;
    return [{ key, value, from: found.from }];
  });
}

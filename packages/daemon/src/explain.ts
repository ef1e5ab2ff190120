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

/** One effective setting; `from` names the scope or class that set it. */
export interface ExplainedSetting {
  readonly key: string;
  readonly value: unknown;
  readonly from: string;
}

/** Selects the group, or without one the customer, and optionally a class. */
export interface ExplainQuery {
  readonly customer?: string;
  readonly group?: string;
  readonly cls?: string;
}

/** Lists effective settings; undefined when the customer, group or class does not exist. */
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

function listSettings(settings: EffectiveSettings, cls: string | undefined): ExplainedSetting[] {
  const keys: readonly ScopeKey[] = cls === undefined ? SCOPE_KEYS : CLASS_KEYS;
  return keys.flatMap((key) => {
    const found = settings[key];
    if (!found) return [];
    const value = key === 'target_password' ? SECRET_TEXT : found.value;
    return [{ key, value, from: found.from }];
  });
}

import { convertZodIssues } from './settingsIssues';
import type { SettingsIssue } from './settingsIssues';
import { customerScopes, groupScopes, resolveSettings } from './treeResolve';
import type { Scope } from './treeResolve';
import { treeSchema } from './treeSchema';
import type { Tree } from './treeSchema';

/** A valid tree, or the issues of an invalid one. */
export type TreeCheck =
  | { readonly tree: Tree; readonly issues: readonly [] }
  | { readonly tree?: undefined; readonly issues: readonly SettingsIssue[] };

/** Checks keys, types and cross-references of a tree; any issue rejects the whole tree. */
export function checkTree(source: string, input: unknown): TreeCheck {
  const parsed = treeSchema.safeParse(input);
  if (!parsed.success) {
    return { issues: convertZodIssues(source, parsed.error.issues, treeSchema, input) };
  }
  const issues: SettingsIssue[] = [];
  const report = (key: string, problem: string): void => {
    issues.push({ file: source, key, problem });
  };
  checkLevels(parsed.data, report);
  checkCustomers(parsed.data, report);
  checkGroups(parsed.data, report);
  return issues.length > 0 ? { issues } : { tree: parsed.data, issues: [] };
}

type Report = (key: string, problem: string) => void;

function checkLevels(tree: Tree, report: Report): void {
  const levels = tree.levels ?? {};
  for (const [id, level] of Object.entries(levels)) {
    const key = `levels.${id}.parent`;
    if (level.parent === undefined) continue;
    if (!levels[level.parent]) report(key, describeUnknownName(level.parent, Object.keys(levels)));
    else if (hasCycle(tree, id)) report(key, `found a cycle over ${id}; allowed: a level above it`);
  }
}

function hasCycle(tree: Tree, start: string): boolean {
  const seen = new Set<string>();
  let next: string | undefined = start;
  while (next !== undefined) {
    if (seen.has(next)) return true;
    seen.add(next);
    next = tree.levels?.[next]?.parent;
  }
  return false;
}

function checkCustomers(tree: Tree, report: Report): void {
  const users = new Map<string, string>();
  const levels = Object.keys(tree.levels ?? {});
  for (const [id, customer] of Object.entries(tree.customers)) {
    const key = `customers.${id}`;
    const { level, user } = customer;
    if (level !== undefined && !levels.includes(level)) {
      report(`${key}.level`, describeUnknownName(level, levels));
    }
    const other = users.get(user);
    if (other !== undefined) {
      report(
        `${key}.user`,
        `found "${user}", which is the user of customer ${other}; allowed: a unique name`,
      );
    }
    users.set(user, id);
    checkClasses(key, customerScopes(tree, id), report);
  }
}

function checkGroups(tree: Tree, report: Report): void {
  const targets = new Map<string, string>();
  for (const [id, group] of Object.entries(tree.groups)) {
    const key = `groups.${id}`;
    if (!tree.customers[group.customer]) {
      report(`${key}.customer`, describeUnknownName(group.customer, Object.keys(tree.customers)));
      continue;
    }
    group.targets.forEach((target, index) => {
      const other = targets.get(target.id);
      if (other !== undefined) {
        const where = `${key}.targets.${index}.id`;
        report(
          where,
          `found "${target.id}", which is a target of group ${other}; allowed: a unique id`,
        );
      }
      targets.set(target.id, id);
    });
    const scopes = groupScopes(tree, id);
    checkClasses(key, scopes, report);
    checkLimits(key, scopes, report);
  }
}

const REQUIRED_KEYS = ['slots', 'connection_limit', 'target_user', 'target_password'] as const;

function checkLimits(key: string, scopes: readonly Scope[], report: Report): void {
  const settings = resolveSettings(scopes);
  for (const name of REQUIRED_KEYS) {
    if (settings[name]) continue;
    report(`${key}.${name}`, 'missing; allowed: a value here, at the customer or at a level above');
  }
  const { slots, connection_limit: limit, connection_reserve: reserve } = settings;
  if (!slots || !limit || !reserve) return;
  const usable = limit.value - reserve.value;
  if (usable < 1) {
    const found = `found ${reserve.value} (${reserve.from})`;
    report(
      `${key}.connection_reserve`,
      `${found}; allowed: less than connection_limit, which is ${limit.value} (${limit.from})`,
    );
  } else if (slots.value > usable) {
    const found = `found ${slots.value} (${slots.from})`;
    report(
      `${key}.slots`,
      `${found}; allowed: at most connection_limit - connection_reserve, which is ${usable}`,
    );
  }
}

function checkClasses(key: string, scopes: readonly Scope[], report: Report): void {
  const settings = resolveSettings(scopes);
  const classes = settings.classes?.value ?? [];
  const repeated = classes.find((one, index) => classes.indexOf(one) !== index);
  if (repeated !== undefined) {
    report(`${key}.classes`, `found "${repeated}" twice; allowed: each class once`);
  }
  const { default_class: defaultClass } = settings;
  if (defaultClass && !classes.includes(defaultClass.value)) {
    report(
      `${key}.default_class`,
      `${describeUnknownName(defaultClass.value, classes)} (${defaultClass.from})`,
    );
  }
  const own = scopes.at(-1)?.settings.class ?? {};
  for (const name of Object.keys(own)) {
    if (!classes.includes(name)) report(`${key}.class.${name}`, describeUnknownName(name, classes));
  }
}

function describeUnknownName(found: string, allowed: readonly string[]): string {
  const list = allowed.length === 0 ? 'none is defined' : allowed.join(', ');
  return `found "${found}"; allowed: ${list}`;
}

/** True when a parsed file holds a tree rather than the settings of one daemon. */
export function isTreeFile(content: unknown): boolean {
  if (typeof content !== 'object' || content === null) return false;
  return ['customers', 'groups', 'levels'].some((key) => Object.hasOwn(content, key));
}

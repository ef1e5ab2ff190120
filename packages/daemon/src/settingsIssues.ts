import type { z } from 'zod';

/** One fault in settings. */
export interface SettingsIssue {
  /** File, or where else the settings came from. */
  readonly file: string;
  /** Dotted key; empty for the whole. */
  readonly key: string;
  /** What was found and what is allowed. */
  readonly problem: string;
}

/** One line per fault. */
export function formatIssues(faults: readonly SettingsIssue[]): string {
  return faults
    .map((fault) => `${fault.file}: ${fault.key || '(file)'}: ${fault.problem}`)
    .join('\n');
}

/** The faults behind the issues that a schema found in `input`. */
export function convertZodIssues(
  file: string,
  issues: readonly z.core.$ZodIssue[],
  schema: z.ZodType,
  input: unknown,
): SettingsIssue[] {
  return issues.flatMap((issue) => convertZodIssue(file, issue, schema, input));
}

function convertZodIssue(
  file: string,
  issue: z.core.$ZodIssue,
  schema: z.ZodType,
  input: unknown,
): SettingsIssue[] {
  const key = issue.path.join('.');
  if (issue.code === 'unrecognized_keys') {
    const allowed = findAllowedKeys(schema, issue.path);
    return issue.keys.map((unknown) => ({
      file,
      key: key === '' ? unknown : `${key}.${unknown}`,
      problem: `unknown key; allowed here: ${allowed.join(', ')}`,
    }));
  }
  const found = getValue(input, issue.path);
  const problem =
    found === undefined
      ? `missing; allowed: ${describeAllowed(issue)}`
      : `found ${formatValue(key, found)}; allowed: ${describeAllowed(issue)}`;
  return [{ file, key, problem }];
}

function describeAllowed(issue: z.core.$ZodIssue): string {
  switch (issue.code) {
    case 'invalid_type':
      return issue.expected;
    case 'too_small':
      return `${issue.origin} ${issue.inclusive === false ? 'above' : 'of at least'} ${issue.minimum}`;
    case 'too_big':
      return `${issue.origin} of at most ${issue.maximum}`;
    case 'invalid_format':
      return `text that matches ${issue.pattern ?? issue.format}`;
    case 'invalid_key':
      return 'names of 1 to 64 letters, digits, _ . or -';
    default:
      return issue.message;
  }
}

const SECRET_KEY = /password|token/i;

/** Shows a found value, unless its key is that of a secret. */
function formatValue(key: string, value: unknown): string {
  return SECRET_KEY.test(key) ? 'a secret' : JSON.stringify(value);
}

function getValue(input: unknown, path: readonly PropertyKey[]): unknown {
  let value = input;
  for (const step of path) {
    if (typeof value !== 'object' || value === null) return undefined;
    value = (value as Record<PropertyKey, unknown>)[step];
  }
  return value;
}

interface SchemaDefinition {
  readonly type: string;
  readonly shape?: Record<string, z.ZodType>;
  readonly valueType?: z.ZodType;
  readonly element?: z.ZodType;
  readonly innerType?: z.ZodType;
}

function findAllowedKeys(schema: z.ZodType, path: readonly PropertyKey[]): string[] {
  let current: z.ZodType | undefined = schema;
  for (const step of path) {
    const def = unwrap(current);
    current = def?.shape?.[String(step)] ?? def?.valueType ?? def?.element;
  }
  return Object.keys(unwrap(current)?.shape ?? {});
}

function unwrap(schema: z.ZodType | undefined): SchemaDefinition | undefined {
  let def = schema?.def as SchemaDefinition | undefined;
  while (def?.innerType) def = def.innerType.def;
  return def;
}

import type { z } from 'zod';

/** One problem in a settings file or configuration tree. */
export interface SettingsIssue {
  /** Path of the file, or a name of the source, such as `revision 7`. */
  readonly file: string;
  /** Dotted key; empty for the whole file. */
  readonly key: string;
  /** What was found and what is allowed. */
  readonly problem: string;
}

/** Formats issues for operators, one line each. */
export function formatIssues(issues: readonly SettingsIssue[]): string {
  return issues
    .map((issue) => `${issue.file}: ${issue.key || '(file)'}: ${issue.problem}`)
    .join('\n');
}

/** Converts the issues that Zod reports for `input`; values of secret keys are left out. */
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

/** Formats a found value as JSON; the value of a secret key is not shown. */
function formatValue(key: string, value: unknown): string {
  return SECRET_KEY.test(key) ? 'a secret' : JSON.stringify(value);
}

function getValue(input: unknown, path: readonly PropertyKey[]): unknown {
  let value = input;
  for (const segment of path) {
    if (typeof value !== 'object' || value === null) return undefined;
    value = (value as Record<PropertyKey, unknown>)[segment];
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
  for (const segment of path) {
    const def = unwrap(current);
    current = def?.shape?.[String(segment)] ?? def?.valueType ?? def?.element;
  }
  return Object.keys(unwrap(current)?.shape ?? {});
}

function unwrap(schema: z.ZodType | undefined): SchemaDefinition | undefined {
  let def = schema?.def as SchemaDefinition | undefined;
  while (def?.innerType) def = def.innerType.def;
  return def;
}

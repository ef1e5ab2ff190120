import type { Row, Value } from './rowStore';
import { unsupportedSql } from './sqlError';

/** Node of the syntax tree of a statement, as node-sql-parser gives it. */
export interface Node {
  readonly type?: string;
  readonly [field: string]: unknown;
}

/** Values that an expression may refer to; `params` are the values of `?`, in order. */
export interface ExpressionScope {
  readonly row: Row;
  readonly params: readonly Value[];
  readonly variables: (name: string) => Value;
}

/** Evaluates an expression; throws a `SqlError` for SQL that is not supported. */
export function evaluate(node: Node, scope: ExpressionScope): Value {
  switch (node.type) {
    case 'number':
      return Number(node.value);
    case 'bigint':
      return Number(node.value);
    case 'single_quote_string':
    case 'string':
    case 'double_quote_string':
      return String(node.value);
    case 'hex_string':
      return Buffer.from(String(node.value), 'hex').toString('latin1');
    case 'origin':
      return scope.params[Number(node.index)] ?? null;
    case 'null':
      return null;
    case 'bool':
      return node.value === true ? 1 : 0;
    case 'column_ref':
      return scope.row[String(node.column)] ?? null;
    case 'var':
      return scope.variables(String(node.name));
    case 'binary_expr':
      return evaluateBinary(node, scope);
    case 'function':
      return evaluateFunction(node, scope);
    default:
      throw unsupportedSql(`the expression ${String(node.type)}`);
  }
}

/** True when the condition holds for the row; null, a missing WHERE clause, holds for every row. */
export function isTrue(node: Node | null, scope: ExpressionScope): boolean {
  if (!node) return true;
  const value = evaluate(node, scope);
  return value !== null && value !== 0;
}

/** The value that the clause requires the primary key to equal; undefined when there is none. */
export function findKeyValue(
  node: Node,
  primaryKey: string,
  scope: Omit<ExpressionScope, 'row'>,
): string | undefined {
  if (node.type !== 'binary_expr') return undefined;
  const left = node.left as Node;
  const right = node.right as Node;
  if (node.operator === 'AND') {
    return findKeyValue(left, primaryKey, scope) ?? findKeyValue(right, primaryKey, scope);
  }
  if (node.operator !== '=') return undefined;
  if (left.type !== 'column_ref' || left.column !== primaryKey) return undefined;
  if (right.type === 'column_ref') return undefined;
  return String(evaluate(right, { ...scope, row: {} }));
}

function evaluateBinary(node: Node, scope: ExpressionScope): Value {
  const operator = String(node.operator).toUpperCase();
  const left = node.left as Node;
  const right = node.right as Node;
  if (operator === 'AND') return toSqlBoolean(isTrue(left, scope) && isTrue(right, scope));
  if (operator === 'OR') return toSqlBoolean(isTrue(left, scope) || isTrue(right, scope));
  if (operator === 'IN') {
    const list = (right.value as Node[]).map((item) => evaluate(item, scope));
    return toSqlBoolean(list.includes(evaluate(left, scope)));
  }
  if (operator === 'IS') return toSqlBoolean(evaluate(left, scope) === evaluate(right, scope));
  if (operator === 'IS NOT') return toSqlBoolean(evaluate(left, scope) !== evaluate(right, scope));
  const a = evaluate(left, scope);
  const b = evaluate(right, scope);
  return applyOperator(operator, a, b);
}

function applyOperator(operator: string, a: Value, b: Value): Value {
  if (a === null || b === null) return null;
  const asNumbers = typeof a === 'number' || typeof b === 'number';
  const x = asNumbers ? Number(a) : a;
  const y = asNumbers ? Number(b) : b;
  switch (operator) {
    case '=':
      return toSqlBoolean(x === y);
    case '<>':
    case '!=':
      return toSqlBoolean(x !== y);
    case '<':
      return toSqlBoolean(x < y);
    case '<=':
      return toSqlBoolean(x <= y);
    case '>':
      return toSqlBoolean(x > y);
    case '>=':
      return toSqlBoolean(x >= y);
    case '+':
      return Number(a) + Number(b);
    case '-':
      return Number(a) - Number(b);
    case '*':
      return Number(a) * Number(b);
    case 'LIKE':
      return toSqlBoolean(matchesLike(String(a), String(b)));
    default:
      throw unsupportedSql(`the operator ${operator}`);
  }
}

function matchesLike(text: string, pattern: string): boolean {
  const source = pattern
    .replaceAll(/[.*+?^${}()|[\]\\]/g, String.raw`\$&`)
    .replaceAll('%', '.*')
    .replaceAll('_', '.');
  return new RegExp(`^${source}$`, 'i').test(text);
}

function evaluateFunction(node: Node, scope: ExpressionScope): Value {
  const name = getFunctionName(node);
  const args = ((node.args as { value?: Node[] } | null)?.value ?? []).map((arg) =>
    evaluate(arg, scope),
  );
  if (name === 'CONCAT') return args.map(String).join('');
  if (name === 'SLEEP') return 0;
  if (name === 'DATABASE') return 'app';
  if (name === 'VERSION') return scope.variables('version');
  throw unsupportedSql(`the function ${name}`);
}

function getFunctionName(node: Node): string {
  const name = node.name as { name?: { value: string }[] } | string;
  if (typeof name === 'string') return name.toUpperCase();
  return (name.name?.[0]?.value ?? '').toUpperCase();
}

function toSqlBoolean(value: boolean): Value {
  return value ? 1 : 0;
}

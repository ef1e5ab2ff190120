import sqlParser from 'node-sql-parser/build/mysql.js';
import { evaluate, isTrue, findKeyValue } from './sqlExpression';
import type { Node } from './sqlExpression';
import { rowId, getVisibleRow, getVisibleRows } from './rowStore';
import type { Overlay, Row, RowStore, TableSchema, Value } from './rowStore';
import { SqlError, unsupportedSql } from './sqlError';

/** Result of one statement; for `create`, the session still has to commit the new table. */
export type SqlResult =
  | {
      readonly kind: 'rows';
      readonly columns: readonly ResultColumn[];
      readonly rows: readonly (readonly Value[])[];
    }
  | { readonly kind: 'ok'; readonly affectedRows: number }
  | { readonly kind: 'create'; readonly schema: TableSchema };

/** Column of a result; `binary` columns hold one character for each byte. */
export interface ResultColumn {
  readonly name: string;
  readonly table: string;
  readonly numeric: boolean;
  readonly binary: boolean;
}

/** Rows, locks and values that a statement uses. */
export interface SqlContext {
  readonly store: RowStore;
  readonly overlay: Overlay;
  /** Locks a row for the running transaction; throws when another session holds the lock. */
  readonly lock: (table: string, key: string) => void;
  /** Values of `?` in order. */
  readonly params: readonly Value[];
  readonly variables: (name: string) => Value;
}

const parser = new sqlParser.Parser();
const parsedStatements = new Map<string, Node>();
const MAX_CACHED_STATEMENTS = 2_000;

/** Parses one statement; syntax trees are cached by text. */
export function parseSql(sql: string): Node {
  const cached = parsedStatements.get(sql);
  if (cached) return cached;
  const ast = parseUncached(sql);
  if (parsedStatements.size >= MAX_CACHED_STATEMENTS) parsedStatements.clear();
  parsedStatements.set(sql, ast);
  return ast;
}

/** True when the parsed statement changes rows or tables. */
export function isWriteNode(node: Node): boolean {
  return node.type !== 'select' && node.type !== 'show';
}

/** Runs a parsed statement; its changes go to the overlay. Throws a `SqlError`. */
export function runSql(node: Node, ctx: SqlContext): SqlResult {
  switch (node.type) {
    case 'select':
      return runSelect(node, ctx);
    case 'insert':
    case 'replace':
      return runInsert(node, ctx);
    case 'update':
      return runUpdate(node, ctx);
    case 'delete':
      return runDelete(node, ctx);
    case 'create':
      return runCreate(node);
    default:
      throw unsupportedSql(String(node.type));
  }
}

function parseUncached(sql: string): Node {
  let parsed: unknown;
  try {
    parsed = parser.astify(sql);
  } catch (err) {
    throw new SqlError(1064, '42000', `syntax error: ${err instanceof Error ? err.message : ''}`);
  }
  const nodes = (Array.isArray(parsed) ? parsed : [parsed]) as Node[];
  const [first] = nodes;
  if (!first || nodes.length !== 1) throw unsupportedSql('several statements at once');
  numberParams(first, 0);
  return first;
}

/** Numbers the placeholders; the parser lists its nodes in the order of the text. */
function numberParams(node: Record<string, unknown>, from: number): number {
  if (node.type === 'origin' && node.value === '?') {
    node.index = from;
    return from + 1;
  }
  let next = from;
  for (const child of Object.values(node)) {
    if (child !== null && typeof child === 'object') {
      next = numberParams(child as Record<string, unknown>, next);
    }
  }
  return next;
}

function findTable(node: Node, ctx: SqlContext, field: 'table' | 'from'): TableSchema {
  const list = node[field] as { table: string }[] | null;
  const name = list?.[0]?.table ?? '';
  const schema = ctx.store.schemas.get(name);
  if (!schema) throw new SqlError(1146, '42S02', `Table '${name}' doesn't exist`);
  return schema;
}

function findMatchingRows(schema: TableSchema, node: Node, ctx: SqlContext): [string, Row][] {
  const where = node.where as Node | null;
  const scope = { params: ctx.params, variables: ctx.variables };
  const key = where ? findKeyValue(where, schema.primaryKey, scope) : undefined;
  if (key !== undefined) {
    const row = getVisibleRow(ctx.store, ctx.overlay, schema.name, key);
    return row && isTrue(where, { ...scope, row }) ? [[key, row]] : [];
  }
  const rows = getVisibleRows(ctx.store, ctx.overlay, schema.name);
  return [...rows].filter(([, row]) => isTrue(where, { ...scope, row }));
}

interface SelectColumn {
  readonly expr: Node;
  readonly as: string | null;
}

function runSelect(node: Node, ctx: SqlContext): SqlResult {
  const schema = node.from ? findTable(node, ctx, 'from') : undefined;
  const columns = selectColumns(node, schema);
  let rows = schema ? findMatchingRows(schema, node, ctx).map(([, row]) => row) : [{}];
  rows = orderRows(rows, node, ctx);
  const isAggregate = columns.some((column) => column.expr.type === 'aggr_func');
  const cells = isAggregate
    ? [columns.map((column) => aggregate(column.expr, rows, ctx))]
    : limitRows(rows, node, ctx).map((row) =>
        columns.map((column) => evaluateForRow(column.expr, row, ctx)),
      );
  return {
    kind: 'rows',
    columns: columns.map((column) =>
      toResultColumn(column, schema, cells[0]?.[columns.indexOf(column)]),
    ),
    rows: cells,
  };
}

function selectColumns(node: Node, schema: TableSchema | undefined): SelectColumn[] {
  const listed = node.columns as SelectColumn[] | '*';
  const all = (schema?.columns ?? []).map((name): SelectColumn => ({
    expr: { type: 'column_ref', column: name },
    as: null,
  }));
  if (listed === '*') return all;
  return listed.flatMap((column) => (column.expr.column === '*' ? all : [column]));
}

function toResultColumn(
  column: SelectColumn,
  schema: TableSchema | undefined,
  sample: Value | undefined,
): ResultColumn {
  const source = column.expr.column as string | undefined;
  const numeric =
    source === undefined ? typeof sample === 'number' : (schema?.numeric.includes(source) ?? false);
  const fallback = source ?? (column.expr.type === 'aggr_func' ? String(column.expr.name) : 'expr');
  const binary = source !== undefined && (schema?.binary?.includes(source) ?? false);
  return { name: column.as ?? fallback, table: schema?.name ?? '', numeric, binary };
}

function evaluateForRow(expr: Node, row: Row, ctx: SqlContext): Value {
  return evaluate(expr, { row, params: ctx.params, variables: ctx.variables });
}

function aggregate(expr: Node, rows: readonly Row[], ctx: SqlContext): Value {
  const name = String(expr.name).toUpperCase();
  const args = expr.args as { expr: Node } | undefined;
  if (name === 'COUNT') return rows.length;
  const values = rows.map((row) => (args ? Number(evaluateForRow(args.expr, row, ctx)) : 0));
  if (name === 'SUM') return values.reduce((sum, value) => sum + value, 0);
  if (name === 'MAX') return values.length === 0 ? null : Math.max(...values);
  if (name === 'MIN') return values.length === 0 ? null : Math.min(...values);
  throw unsupportedSql(name);
}

function orderRows(rows: readonly Row[], node: Node, ctx: SqlContext): Row[] {
  const keys = node.orderby as { expr: Node; type: string | null }[] | null;
  if (!keys) return [...rows];
  return [...rows].sort((a, b) => {
    for (const key of keys) {
      const left = evaluateForRow(key.expr, a, ctx) ?? '';
      const right = evaluateForRow(key.expr, b, ctx) ?? '';
      if (left === right) continue;
      const order = left < right ? -1 : 1;
      return key.type === 'DESC' ? -order : order;
    }
    return 0;
  });
}

function limitRows(rows: readonly Row[], node: Node, ctx: SqlContext): readonly Row[] {
  const limit = node.limit as { value: Node[] } | null;
  const first = limit?.value[0];
  return first ? rows.slice(0, Number(evaluateForRow(first, {}, ctx))) : rows;
}

function writeRow(schema: TableSchema, key: string, row: Row | null, ctx: SqlContext): void {
  ctx.lock(schema.name, key);
  ctx.overlay.changes.set(rowId(schema.name, key), { table: schema.name, key, row });
}

function runInsert(node: Node, ctx: SqlContext): SqlResult {
  const schema = findTable(node, ctx, 'table');
  const columns = (node.columns as string[] | null) ?? schema.columns;
  const values = node.values as { values: { value: Node[] }[] };
  for (const tuple of values.values) {
    const row: Record<string, Value> = {};
    for (const name of schema.columns) row[name] = null;
    columns.forEach((name, index) => {
      const expr = tuple.value[index];
      row[name] = expr ? evaluateForRow(expr, {}, ctx) : null;
    });
    insertRow(schema, node, row, ctx);
  }
  return { kind: 'ok', affectedRows: values.values.length };
}

function insertRow(schema: TableSchema, node: Node, row: Row, ctx: SqlContext): void {
  const key = String(row[schema.primaryKey]);
  ctx.lock(schema.name, key);
  const existing = getVisibleRow(ctx.store, ctx.overlay, schema.name, key);
  if (existing && node.on_duplicate_update) {
    const set = (node.on_duplicate_update as { set: SetItem[] }).set;
    writeRow(schema, key, applySet(existing, set, ctx), ctx);
    return;
  }
  if (existing && node.type === 'insert') {
    throw new SqlError(1062, '23000', `Duplicate entry '${key}' for key 'PRIMARY'`);
  }
  writeRow(schema, key, row, ctx);
}

interface SetItem {
  readonly column: string;
  readonly value: Node;
}

function applySet(row: Row, set: readonly SetItem[], ctx: SqlContext): Row {
  const next: Record<string, Value> = { ...row };
  for (const item of set) next[item.column] = evaluateForRow(item.value, row, ctx);
  return next;
}

function runUpdate(node: Node, ctx: SqlContext): SqlResult {
  const schema = findTable(node, ctx, 'table');
  const matches = findMatchingRows(schema, node, ctx);
  for (const [key, row] of matches) {
    ctx.lock(schema.name, key);
    writeRow(schema, key, applySet(row, node.set as SetItem[], ctx), ctx);
  }
  return { kind: 'ok', affectedRows: matches.length };
}

function runDelete(node: Node, ctx: SqlContext): SqlResult {
  const schema = findTable(node, ctx, 'from');
  const matches = findMatchingRows(schema, node, ctx);
  for (const [key] of matches) writeRow(schema, key, null, ctx);
  return { kind: 'ok', affectedRows: matches.length };
}

interface CreateDefinition {
  readonly resource: string;
  readonly column: { column: string };
  readonly definition: { dataType: string };
  readonly primary_key?: string;
}

function runCreate(node: Node): SqlResult {
  if (node.keyword !== 'table') throw unsupportedSql(`CREATE ${String(node.keyword)}`);
  const [table] = node.table as { table: string }[];
  const definitions = (node.create_definitions as CreateDefinition[]).filter(
    (def) => def.resource === 'column',
  );
  const names = definitions.map((def) => def.column.column);
  const numeric = definitions
    .filter((def) => /INT|DECIMAL|DOUBLE|FLOAT/.test(def.definition.dataType))
    .map((def) => def.column.column);
  const binary = definitions
    .filter((def) => /BLOB|BINARY/.test(def.definition.dataType))
    .map((def) => def.column.column);
  const primary = definitions.find((def) => def.primary_key !== undefined);
  const schema: TableSchema = {
    name: table?.table ?? '',
    columns: names,
    numeric,
    binary,
    primaryKey: primary?.column.column ?? names[0] ?? 'id',
  };
  return { kind: 'create', schema };
}

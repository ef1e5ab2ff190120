/** A cell of a stand-in table. */
export type Value = string | number | null;

/** A row, by column name. */
export type Row = Readonly<Record<string, Value>>;

/** Change of one row; null as `row` deletes it. */
export interface RowChange {
  readonly table: string;
  readonly key: string;
  readonly row: Row | null;
}

/** Columns of a table, by kind. */
export interface TableSchema {
  readonly name: string;
  readonly columns: readonly string[];
  readonly numeric: readonly string[];
  /** Columns of bytes; their values hold one character (latin1) for each byte. */
  readonly binary?: readonly string[];
  readonly primaryKey: string;
}

/** Committed rows of all tables. */
export interface RowStore {
  readonly schemas: Map<string, TableSchema>;
  readonly rows: Map<string, Map<string, Row>>;
}

/** Creates an empty store of rows. */
export function createRowStore(): RowStore {
  return { schemas: new Map(), rows: new Map() };
}

/** Adds a table, unless it exists. */
export function addTable(store: RowStore, schema: TableSchema): void {
  if (store.schemas.has(schema.name)) return;
  store.schemas.set(schema.name, schema);
  store.rows.set(schema.name, new Map());
}

/** Applies committed changes; changes of unknown tables are ignored. */
export function applyChanges(store: RowStore, changes: readonly RowChange[]): void {
  for (const change of changes) {
    const rows = store.rows.get(change.table);
    if (!rows) continue;
    if (change.row) rows.set(change.key, change.row);
    else rows.delete(change.key);
  }
}

/** Uncommitted changes of a transaction, by `rowId`; they hide the committed rows. */
export interface Overlay {
  readonly changes: Map<string, RowChange>;
}

/** Creates an overlay without changes. */
export function createOverlay(): Overlay {
  return { changes: new Map() };
}

/** Key of a row that is unique over all tables. */
export function rowId(table: string, key: string): string {
  return `${table}\u0000${key}`;
}

/** Rows of a table, by primary key, as a transaction sees them. */
export function getVisibleRows(store: RowStore, overlay: Overlay, table: string): Map<string, Row> {
  const committed = store.rows.get(table) ?? new Map<string, Row>();
  if (overlay.changes.size === 0) return committed;
  const rows = new Map(committed);
  for (const change of overlay.changes.values()) {
    if (change.table !== table) continue;
    if (change.row) rows.set(change.key, change.row);
    else rows.delete(change.key);
  }
  return rows;
}

/** One row as a transaction sees it; undefined when absent or deleted. */
export function getVisibleRow(
  store: RowStore,
  overlay: Overlay,
  table: string,
  key: string,
): Row | undefined {
  const change = overlay.changes.get(rowId(table, key));
  if (change) return change.row ?? undefined;
  return store.rows.get(table)?.get(key);
}

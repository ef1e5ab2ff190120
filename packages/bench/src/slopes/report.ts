import { formatTable } from '../report';
import { fitLine } from './line';
import type { Line } from './line';

/** Values by column: first the independent variable, then the measurements. */
export type Row = Readonly<Record<string, number>>;

/** Measurements of one slope, with a line fitted to each column; `--json` writes it out. */
export interface Slope {
  readonly name: string;
  /** Conditions of the measurement. */
  readonly note: string;
  readonly rows: readonly Row[];
  readonly lines: Readonly<Record<string, Line>>;
}

/** Fits a line to each column against the first one. */
export function createSlope(name: string, note: string, rows: readonly Row[]): Slope {
  const [variable = '', ...measured] = Object.keys(rows[0] ?? {});
  const lines = Object.fromEntries(
    measured.map((field) => [
      field,
      fitLine(rows.map((row) => ({ x: row[variable] ?? 0, y: row[field] ?? 0 }))),
    ]),
  );
  return { name, note, rows, lines };
}

/** Formats a slope as a table of measurements and a table of lines. */
export function formatSlope(slope: Slope): string {
  const fields = Object.keys(slope.rows[0] ?? {});
  const points = formatTable([
    fields,
    ...slope.rows.map((row) => fields.map((field) => round(row[field] ?? 0))),
  ]);
  const lines = formatTable([
    ['line', 'slope', 'intercept', 'R²'],
    ...Object.entries(slope.lines).map(([field, line]) => [
      field,
      round(line.slope),
      round(line.intercept),
      line.rSquared.toFixed(3),
    ]),
  ]);
  return `## ${slope.name}\n${slope.note}\n\n${points}\n\n${lines}\n`;
}

function round(value: number): string {
  return String(Number(value.toPrecision(4)));
}

import type { ExperimentResult } from './experiment';

/** Formats rows as aligned columns; the first row is the header. */
export function formatTable(rows: readonly (readonly (string | number)[])[]): string {
  const texts = rows.map((row) => row.map(formatCell));
  const widths = (texts[0] ?? []).map((_, column) =>
    Math.max(...texts.map((row) => row[column]?.length ?? 0)),
  );
  return texts.map((row) => formatRow(row, widths)).join('\n');
}

/** Formats the figures per class, and below them the summary of a run. */
export function formatResult(result: ExperimentResult): string {
  const { load } = result;
  const classRows = Object.entries(load.classes).map(([name, figures]) => [
    name,
    figures.sent,
    figures.acknowledged,
    figures.refused,
    figures.unknown,
    figures.failed,
    figures.p50,
    figures.p99,
    figures.p999,
    figures.refusalP99,
  ]);
  const header = [
    'class',
    'sent',
    'acknowledged',
    'refused',
    'unknown',
    'failed',
    'p50 ms',
    'p99 ms',
    'p99.9 ms',
    'refusal p99',
  ];
  const summaryRows: [string, string | number][] = [
    ['acknowledged writes found again', `${load.foundWrites} of ${load.acknowledgedWrites}`],
    ...Object.entries<number>({ ...load.violations }),
    ...Object.entries(load.gaps).map(([group, ms]): [string, string] => [
      `longest gap between writes, ${group}`,
      `${ms.toFixed(0)} ms`,
    ]),
    ['reads served by replicas', formatShare(result.reads.replica, result.reads.primary)],
  ];
  return `${formatTable([header, ...classRows])}\n\n${formatTable(summaryRows)}`;
}

function formatShare(part: number, rest: number): string {
  const total = part + rest;
  return total === 0 ? 'no reads' : `${((100 * part) / total).toFixed(1)} % of ${total}`;
}

function formatCell(cell: string | number): string {
  if (typeof cell === 'string' || Number.isInteger(cell)) return String(cell);
  return cell.toFixed(1);
}

function formatRow(row: readonly string[], widths: readonly number[]): string {
  const cells = row.map((text, column) => {
    const width = widths[column] ?? 0;
    return column === 0 ? text.padEnd(width) : text.padStart(width);
  });
  return cells.join('  ').trimEnd();
}

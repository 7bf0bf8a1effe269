const COLUMN_GAP = '  ';

/** Formats rows as left-aligned columns under a heading; nothing but the heading when empty. */
export function formatTable(
  heading: readonly string[],
  rows: readonly (readonly (string | number | undefined)[])[],
): string {
  const cells = [heading, ...rows.map((row) => row.map((cell) => String(cell ?? '-')))];
  const widths = heading.map((_, column) =>
    Math.max(...cells.map((row) => row[column]?.length ?? 0)),
  );
  return cells.map((row) => formatRow(row, widths)).join('');
}

function formatRow(row: readonly string[], widths: readonly number[]): string {
  const padded = row.map((cell, column) => cell.padEnd(widths[column] ?? 0));
  return `${padded.join(COLUMN_GAP).trimEnd()}\n`;
}

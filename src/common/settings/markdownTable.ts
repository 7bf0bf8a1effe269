/** Formats a Markdown table with aligned columns. */
export function formatMarkdownTable(
  heading: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const cells = [heading, ...rows].map((row) => row.map((cell) => cell.replaceAll('|', '\\|')));
  const widths = heading.map((_, column) =>
    Math.max(3, ...cells.map((row) => row[column]?.length ?? 0)),
  );
  const [first = [], ...rest] = cells;
  const rule = widths.map((width) => '-'.repeat(width));
  return [first, rule, ...rest].map((row) => formatRow(row, widths)).join('');
}

function formatRow(row: readonly string[], widths: readonly number[]): string {
  const padded = widths.map((width, column) => (row[column] ?? '').padEnd(width));
  return `| ${padded.join(' | ')} |\n`;
}

const DECIMALS = 100;

/** One line of a table. */
export type Row = Readonly<Record<string, number | string>>;

/** Writes a table in Markdown. */
export function printTable(title: string, rows: readonly Row[]): void {
  const columns = Object.keys(rows[0] ?? {});
  const lines = rows.map((row) => `| ${Object.values(row).map(format).join(' | ')} |`);
  const head = [`| ${columns.join(' | ')} |`, `|${columns.map(() => '---').join('|')}|`];
  process.stdout.write(`\n${title}\n\n${[...head, ...lines].join('\n')}\n`);
}

function format(value: number | string): string {
  return typeof value === 'string' ? value : String(Math.round(value * DECIMALS) / DECIMALS);
}

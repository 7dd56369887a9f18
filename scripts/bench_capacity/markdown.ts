/** Markdown tables, and the places in a page that they fill. */

export type TableCells = readonly string[];

/** A table with aligned columns. */
export function formatTable(
  header: TableCells,
  rows: readonly TableCells[],
): string {
  const widths = header.map((_title, column) =>
    Math.max(3, ...[header, ...rows].map((row) => (row[column] ?? "").length))
  );
  const formatRow = (cells: TableCells) =>
    `| ${
      widths.map((width, column) => (cells[column] ?? "").padEnd(width)).join(
        " | ",
      )
    } |`;
  const rule = widths.map((width) => "-".repeat(width));
  return [formatRow(header), formatRow(rule), ...rows.map(formatRow)].join(
    "\n",
  );
}

const PLACE_PATTERN = /<!-- table: ([a-z_]+) -->[\s\S]*?<!-- end of table -->/g;

/** Puts each table between its markers; throws when a name has no table. */
export function fillPage(
  page: string,
  tables: Readonly<Record<string, string>>,
): string {
  return page.replace(PLACE_PATTERN, (_place, name: string) => {
    const table = tables[name];
    if (table === undefined) throw new Error(`no table ${name}`);
    return `<!-- table: ${name} -->\n\n${table}\n\n<!-- end of table -->`;
  });
}

/** Names of the tables that a page asks for. */
export function listTableNames(page: string): readonly string[] {
  return [...page.matchAll(PLACE_PATTERN)].map((match) => match[1] ?? "");
}

/** Keeps the noise of binary fractions from rounding a whole number up. */
const ROUNDING_SLACK = 1e-9;

/** Rounds up to the given digits: nothing is rounded in our favour. */
export function formatUp(value: number, digits: number): string {
  const scale = 10 ** digits;
  const rounded = Math.ceil(value * scale - ROUNDING_SLACK) / scale + 0;
  return rounded.toLocaleString("en-US", {
    minimumFractionDigits: digits,
    maximumFractionDigits: digits,
  });
}

export function formatPercent(share: number, digits = 3): string {
  return `${formatUp(share * 100, digits)}%`;
}

export function formatMegabytes(bytes: number): string {
  return `${formatUp(bytes / 1_000_000, 2)} MB`;
}

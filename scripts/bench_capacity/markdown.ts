/**
 * Formats Markdown tables and puts them into a page between the markers `<!-- table: NAME -->` and
 * `<!-- end of table -->`.
 */

export type TableCells = readonly string[];

/** A table with padded columns, at least 3 characters wide. */
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

const TABLE_MARKERS_PATTERN =
  /<!-- table: ([a-z_]+) -->[\s\S]*?<!-- end of table -->/g;

/** Replaces the text between each pair of markers; throws when a marker's name has no table. */
export function fillPage(
  page: string,
  tables: Readonly<Record<string, string>>,
): string {
  return page.replace(TABLE_MARKERS_PATTERN, (_match, name: string) => {
    const table = tables[name];
    if (table === undefined) throw new Error(`no table ${name} for its marker`);
    return `<!-- table: ${name} -->\n\n${table}\n\n<!-- end of table -->`;
  });
}

/** Names in the table markers of a page, in their order. */
export function listTableNames(page: string): readonly string[] {
  return [...page.matchAll(TABLE_MARKERS_PATTERN)].map((match) =>
    match[1] ?? ""
  );
}

/** Keeps the rounding error of binary fractions from raising a whole number to the next one. */
const ROUNDING_TOLERANCE = 1e-9;

/** Rounds up to the given number of decimals, so that no usage is understated. */
export function formatRoundedUp(value: number, digits: number): string {
  const scale = 10 ** digits;
  const rounded = Math.ceil(value * scale - ROUNDING_TOLERANCE) / scale + 0;
  return rounded.toLocaleString("en-US", {
    minimumFractionDigits: digits,
    maximumFractionDigits: digits,
  });
}

/** A share of 1 as a percentage, rounded up. */
export function formatPercent(share: number, digits = 3): string {
  return `${formatRoundedUp(share * 100, digits)}%`;
}

export function formatMegabytes(bytes: number): string {
  return `${formatRoundedUp(bytes / 1_000_000, 2)} MB`;
}

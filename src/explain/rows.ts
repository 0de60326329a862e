/**
 * Formats text tables.
 *
 * @module
 */

/**
 * Formats a text table.
 *
 * @param rows Rows of cells, the header first.
 * @returns The table, with its first column aligned left and the others right.
 */
export function renderRows(rows: readonly string[][]): string {
  const widths = rows[0].map((_, column) =>
    Math.max(...rows.map((row) => row[column].length))
  );
  return rows.map((row) =>
    row.map((cell, column) =>
      column === 0 ? cell.padEnd(widths[0]) : cell.padStart(widths[column])
    ).join("  ")
  ).join("\n");
}

/**
 * Prints tables of results and writes them as JSON and Markdown.
 *
 * @module
 */
import { mkdirSync, writeFileSync } from "node:fs";

/** One row of a table. */
export type Row = Record<string, string | number>;

/**
 * Formats a table.
 *
 * @param rows Rows with the same columns.
 * @returns A Markdown table.
 */
export function formatTable(rows: readonly Row[]): string {
  if (rows.length === 0) return "(nothing measured)";
  const names = Object.keys(rows[0]);
  const lines = rows.map((row) =>
    `| ${names.map((name) => formatCell(row[name])).join(" | ")} |`
  );
  return [
    `| ${names.join(" | ")} |`,
    `| ${names.map(() => "---").join(" | ")} |`,
    ...lines,
  ].join("\n");
}

function formatCell(value: string | number): string {
  if (typeof value === "string") return value;
  if (Number.isInteger(value)) return String(value);
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(4);
}

/**
 * Prints a table and writes it to `run/<name>.json` and `run/<name>.md`.
 *
 * @param name Name of the table.
 * @param title Heading of the table.
 * @param rows Its rows.
 */
export function publish(name: string, title: string, rows: Row[]): void {
  const table = formatTable(rows);
  console.log(`\n## ${title}\n\n${table}`);
  mkdirSync("run", { recursive: true });
  writeFileSync(`run/${name}.json`, `${JSON.stringify(rows, null, 2)}\n`);
  writeFileSync(`run/${name}.md`, `## ${title}\n\n${table}\n`);
}

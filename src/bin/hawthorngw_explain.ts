#!/usr/bin/env node
/**
 * `hawthorngw-explain`: finds from log lines of gateways why requests were late,
 * refused or lost.
 *
 * @module
 */
import { createReadStream } from "node:fs";
import process from "node:process";
import { createInterface } from "node:readline";
import { parseArgs } from "node:util";
import { renderEstimates } from "../explain/estimates.ts";
import { renderCrashes } from "../explain/crashes.ts";
import { parseLogLines } from "../explain/lines.ts";
import { renderMoves, renderTable } from "../explain/report.ts";
import { EXIT_CODES } from "../runtime/process.ts";

const USAGE = `hawthorngw-explain FILE... [--request ID] [--max-shift SHARE]

Reads log lines of gateways and prints the outcomes of requests by 2 s window,
region and service; the largest traffic shifts; by service, how accurately
gateways estimated the load and the caches of servers; and the requests during
which servers crashed.

  --request ID        print all lines of one request instead, in order
  --max-shift SHARE   shift cap to print beside the largest shifts (0.15)
`;
/** Shift cap of the deployments in use. */
const DEFAULT_MAX_SHIFT = "0.15";

function readArguments() {
  try {
    return parseArgs({
      allowPositionals: true,
      options: {
        request: { type: "string" },
        "max-shift": { type: "string", default: DEFAULT_MAX_SHIFT },
        help: { type: "boolean", short: "h", default: false },
      },
    });
  } catch (cause) {
    process.stderr.write(`${(cause as Error).message}\n\n${USAGE}`);
    process.exit(EXIT_CODES.usage);
  }
}

async function readLines(paths: readonly string[]): Promise<string[]> {
  const lines: string[] = [];
  for (const path of paths) {
    const input = createReadStream(path);
    for await (const line of createInterface({ input })) lines.push(line);
  }
  return lines;
}

const { values, positionals } = readArguments();
if (values.help || positionals.length === 0) {
  process.stdout.write(USAGE);
  process.exit(values.help ? EXIT_CODES.ok : EXIT_CODES.usage);
}
const lines = await readLines(positionals);
if (values.request !== undefined) {
  const quotedId = `"${values.request}"`;
  const matching = lines.filter((line) => line.includes(quotedId));
  process.stdout.write(`${matching.join("\n")}\n`);
} else {
  const content = parseLogLines(lines);
  let firstMs = Infinity;
  for (const { end } of content.requests.values()) {
    if (end !== undefined) firstMs = Math.min(firstMs, end.time - end.tookMs);
  }
  const tables = (["window", "region", "service"] as const).map((kind) =>
    renderTable(content, kind, firstMs)
  );
  const moves = renderMoves(content.moves, Number(values["max-shift"]));
  const estimates = renderEstimates(content);
  const crashes = renderCrashes(content, firstMs);
  process.stdout.write(
    `${[...tables, moves, estimates, crashes].join("\n\n")}\n`,
  );
}

#!/usr/bin/env node
/**
 * `hawthorngw-explain`: finds from log lines of gateways why requests were late,
 * refused or lost.
 *
 * @module
 */
import { once } from "node:events";
import { createReadStream } from "node:fs";
import process from "node:process";
import { parseArgs } from "node:util";
import { renderEstimates } from "../explain/estimates.ts";
import { renderCrashes } from "../explain/crashes.ts";
import { readLines } from "../explain/line_reader.ts";
import { MAX_LOG_LINES, parseLogStream } from "../explain/lines.ts";
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

/** Reads the lines of all files, one at a time. */
async function* readFiles(paths: readonly string[]): AsyncGenerator<string> {
  for (const path of paths) yield* readLines(createReadStream(path));
}

const { values, positionals } = readArguments();
if (values.help || positionals.length === 0) {
  process.stdout.write(USAGE);
  process.exit(values.help ? EXIT_CODES.ok : EXIT_CODES.usage);
}
if (values.request !== undefined) {
  const quotedId = `"${values.request}"`;
  for await (const line of readFiles(positionals)) {
    if (!line.includes(quotedId) || process.stdout.write(`${line}\n`)) continue;
    await once(process.stdout, "drain");
  }
} else {
  const { content, isCut } = await parseLogStream(readFiles(positionals));
  if (isCut) {
    process.stderr.write(`Only the first ${MAX_LOG_LINES} lines were read\n`);
  }
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

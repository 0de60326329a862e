/**
 * The frame of every binary: arguments, exit codes, graceful shutdown.
 *
 * @module
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { describeError, StepError } from "./errors.ts";
import { createLogger } from "./logger.ts";

const log = createLogger("process");

/** Exit codes of all binaries. */
export const EXIT_CODES = {
  ok: 0,
  failure: 1,
  /** Arguments, settings or a document are not acceptable. */
  usage: 2,
  /** Another edit came first. */
  conflict: 3,
  /** Whether it took effect is not known. */
  unknown: 4,
} as const;

/** Something that runs until it is stopped. */
export interface Stoppable {
  /** Finishes what is in flight, then resolves. */
  stop(): Promise<void>;
}

/** A daemon, started in a process of its own or, in tests, beside others. */
export interface Daemon extends Stoppable {
  /** Resolves when a newer process is seen to have taken this one's place. */
  replaced: Promise<void>;
  /** Stops at once, as a crash would: connections break. */
  kill(): Promise<void>;
}

/**
 * Runs a daemon until SIGTERM or SIGINT, then stops it gracefully.
 *
 * @param name Name of the binary, for `--help`.
 * @param start Starts it from the path of its settings file.
 */
export async function runDaemon(
  name: string,
  start: (settingsFile: string) => Promise<Stoppable & Partial<Daemon>>,
): Promise<void> {
  const settingsFile = readSettingsArgument(name);
  let daemon: Stoppable & Partial<Daemon>;
  try {
    daemon = await start(settingsFile);
  } catch (cause) {
    process.stderr.write(`${name}: ${describeError(cause)}\n`);
    const isInvalid = cause instanceof StepError && cause.kind === "invalid";
    process.exit(isInvalid ? EXIT_CODES.usage : EXIT_CODES.failure);
  }
  let stopping = false;
  const stop = async () => {
    if (stopping) return;
    stopping = true;
    await daemon.stop();
    process.exit(EXIT_CODES.ok);
  };
  void daemon.replaced?.then(() => {
    log.error("Replaced by a newer process", { step: "process", peer: name });
    return stop();
  });
  process.on("SIGTERM", () => void stop());
  process.on("SIGINT", () => void stop());
  process.on("unhandledRejection", (cause) => {
    log.error(describeError(cause), { step: "process", peer: "self" });
  });
}

function readSettingsArgument(name: string): string {
  const usage = `Usage: ${name} --settings FILE\n`;
  try {
    const { values } = parseArgs({
      options: {
        settings: { type: "string" },
        help: { type: "boolean", short: "h" },
      },
    });
    if (values.help) {
      process.stdout.write(usage);
      process.exit(EXIT_CODES.ok);
    }
    if (values.settings) return values.settings;
    process.stderr.write(usage);
  } catch (cause) {
    process.stderr.write(`${name}: ${describeError(cause)}\n${usage}`);
  }
  process.exit(EXIT_CODES.usage);
}

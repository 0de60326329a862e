/**
 * Common to all daemons: arguments, exit codes and graceful shutdown.
 *
 * @module
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { createSystemClock, pause } from "./clock.ts";
import { describeError, StepError } from "./errors.ts";
import { createLogger } from "./logger.ts";

const log = createLogger("process");

/** Exit codes of all binaries. */
export const EXIT_CODES = {
  ok: 0,
  failure: 1,
  /** Arguments, settings or a document are invalid. */
  usage: 2,
  /** A concurrent edit was applied first. */
  conflict: 3,
  /** It is unknown whether the command took effect. */
  unknown: 4,
} as const;

/**
 * Time that a start in progress gets to end when a signal stops the process, in
 * ms. A daemon whose start takes longer has no configuration, so that it has
 * accepted nothing.
 */
const MAX_START_WAIT_MS = 3_000;

/** A running component that can be stopped. */
export interface Stoppable {
  /** Stops gracefully; resolves when the work in progress is finished. */
  stop(): Promise<void>;
}

/**
 * A daemon. It runs in its own process or, in tests, with others in one
 * process.
 */
export interface Daemon extends Stoppable {
  /** Resolves when this process finds that a newer one has replaced it. */
  replaced: Promise<void>;
  /** Stops at once like a crash, without closing connections gracefully. */
  kill(): Promise<void>;
}

/**
 * Runs a daemon until SIGTERM, SIGINT or its replacement, then stops it
 * gracefully and exits the process, also where the signal comes during the start.
 * Where the daemon can't start, the process exits with a code of
 * {@link EXIT_CODES}.
 *
 * @param name Name of the binary, for `--help` and error messages.
 * @param start Starts the daemon, given the path of its settings file.
 */
export async function runDaemon(
  name: string,
  start: (settingsFile: string) => Promise<Stoppable & Partial<Daemon>>,
): Promise<void> {
  const settingsFile = readSettingsArgument(name);
  const starting = Promise.resolve(settingsFile).then(start);
  let isStopping = false;
  const stop = async () => {
    if (isStopping) return;
    isStopping = true;
    try {
      const startLimit = pause(createSystemClock(), MAX_START_WAIT_MS);
      const daemon = await Promise.race([starting, startLimit]);
      await daemon?.stop();
    } catch (cause) {
      log.error(describeError(cause), { step: "stop", peer: "self" });
      process.exit(EXIT_CODES.failure);
    }
    process.exit(EXIT_CODES.ok);
  };
  process.on("SIGTERM", () => void stop());
  process.on("SIGINT", () => void stop());
  process.on("unhandledRejection", (cause) => {
    log.error(describeError(cause), { step: "process", peer: "self" });
  });
  try {
    const daemon = await starting;
    void daemon.replaced?.then(() => {
      log.error("Replaced by a newer process", { step: "process", peer: name });
      return stop();
    });
  } catch (cause) {
    process.stderr.write(`${name}: ${describeError(cause)}\n`);
    const isInvalid = cause instanceof StepError && cause.kind === "invalid";
    process.exit(isInvalid ? EXIT_CODES.usage : EXIT_CODES.failure);
  }
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

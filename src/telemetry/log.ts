/**
 * Structured logs: JSON lines to standard output, bounded and never blocking.
 *
 * @module
 */
import pino from "pino";

/** Writes log lines; `child` adds fields to each of them. */
export type Log = pino.Logger;

/** How much is logged. */
export type LogLevel = "debug" | "info" | "warn" | "error" | "silent";

/** Bytes gathered before a write; fewer writes cost less processor time. */
const MIN_WRITE_BYTES = 4_096;
/** Lines beyond this many unwritten bytes are dropped and counted. */
const MAX_UNWRITTEN_BYTES = 1_048_576;
/** How often gathered lines are written and drops reported. */
const FLUSH_MS = 500;

/** A log and its end. */
export interface LogSink {
  log: Log;
  /** @returns Lines dropped since the start. */
  getDropped(): number;
  /** Writes what is gathered, for the end of the process. */
  flush(): void;
}

/**
 * @param level Lines below it are not written.
 * @param fields Fields of every line, such as the VM's name.
 * @returns A log to standard output.
 */
export function createLogSink(
  level: LogLevel,
  fields: Record<string, unknown>,
): LogSink {
  const output = pino.destination({
    dest: 1,
    sync: false,
    minLength: MIN_WRITE_BYTES,
    maxLength: MAX_UNWRITTEN_BYTES,
  });
  let dropped = 0;
  let reported = 0;
  output.on("drop", () => void dropped++);
  output.on("error", () => void dropped++);
  const log = pino({ level, base: fields }, output);
  const timer = setInterval(() => {
    if (dropped > reported) {
      log.warn({ dropped: dropped - reported }, "log lines dropped");
      reported = dropped;
    }
    output.flush();
  }, FLUSH_MS);
  timer.unref();
  return { log, getDropped: () => dropped, flush: () => output.flushSync() };
}

/** @returns A log that goes nowhere, for tests. */
export function createSilentLog(): Log {
  return pino({ level: "silent" });
}

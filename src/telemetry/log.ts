/**
 * Structured logs: JSON lines on standard output, written asynchronously from a
 * bounded buffer.
 *
 * @module
 */
import pino from "pino";

/** A pino logger; `child` returns one that adds fields to each line. */
export type Log = pino.Logger;

/** Least severe level that is logged. */
export type LogLevel = "debug" | "info" | "warn" | "error" | "silent";

/** Bytes buffered before a write: fewer writes take less processor time. */
const MIN_WRITE_BYTES = 4_096;
/** Largest size of the buffer; lines beyond it are dropped and counted. */
const MAX_BUFFERED_BYTES = 1_048_576;
/**
 * Interval at which buffered lines are written and dropped lines are reported.
 */
const FLUSH_INTERVAL_MS = 500;

/** A log with its output. */
export interface LogSink {
  log: Log;
  /** @returns Number of lines dropped since the start. */
  countDroppedLines(): number;
  /**
   * Writes the buffered lines, before the process exits. The promise doesn't
   * resolve while the reader of the output doesn't read.
   */
  flush(): Promise<void>;
}

/**
 * @param level Lines below this level are not written.
 * @param fields Fields of every line, such as the name of the VM.
 * @returns A log that writes to standard output.
 */
export function createLogSink(
  level: LogLevel,
  fields: Record<string, unknown>,
): LogSink {
  const output = pino.destination({
    dest: 1,
    sync: false,
    minLength: MIN_WRITE_BYTES,
    maxLength: MAX_BUFFERED_BYTES,
  });
  let droppedLines = 0;
  let reportedLines = 0;
  output.on("drop", () => void droppedLines++);
  output.on("error", () => void droppedLines++);
  const log = pino({ level, base: fields }, output);
  const timer = setInterval(() => {
    if (droppedLines > reportedLines) {
      log.warn({ dropped: droppedLines - reportedLines }, "log lines dropped");
      reportedLines = droppedLines;
    }
    output.flush();
  }, FLUSH_INTERVAL_MS);
  timer.unref();
  /** Unlike flush() with a callback, doesn't wait for the disk. */
  const flushOnce = () =>
    new Promise<void>((resolve) => {
      output.once("drain", resolve);
      output.once("error", () => resolve());
      output.flush();
    });
  return {
    log,
    countDroppedLines: () => droppedLines,
    async flush() {
      // The first one ends while up to MIN_WRITE_BYTES are still buffered.
      await flushOnce();
      await flushOnce();
    },
  };
}

/** @returns A log that discards all lines, for tests. */
export function createSilentLog(): Log {
  return pino({ level: "silent" });
}

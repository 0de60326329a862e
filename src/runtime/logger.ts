/**
 * The one logger: `debug` namespaces with a level, a step and a peer.
 *
 * Namespaces read `hawthorngw:<slice>:<level>`. Errors and warnings are shown
 * unless the environment's `DEBUG` says otherwise.
 *
 * @module
 */
import process from "node:process";
import debug from "debug";

/** How grave a line is. */
export type LogLevel = "error" | "warn" | "info" | "debug";

/** Structured part of a log line. */
export interface LogFields {
  /** What was being done. */
  step?: string;
  /** With whom. */
  peer?: string;
  [field: string]: unknown;
}

/** Writes log lines of one slice. */
export type Logger = Record<
  LogLevel,
  (message: string, fields?: LogFields) => void
>;

const LEVELS: readonly LogLevel[] = ["error", "warn", "info", "debug"];
const DEFAULT_NAMESPACES = "hawthorngw:*:error,hawthorngw:*:warn";

if (process.env.DEBUG === undefined) debug.enable(DEFAULT_NAMESPACES);

/**
 * @param slice The slice that logs, for instance `steering`.
 * @returns Its logger.
 */
export function createLogger(slice: string): Logger {
  const entries = LEVELS.map((level) => {
    const write = debug(`hawthorngw:${slice}:${level}`);
    return [level, (message: string, fields: LogFields = {}) => {
      if (write.enabled) write("%s %o", message, fields);
    }];
  });
  return Object.fromEntries(entries);
}

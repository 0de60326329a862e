/**
 * The logger of the daemons: `debug` namespaces with structured fields.
 *
 * Namespaces have the form `hawthorngw:<component>:<level>`. Errors and
 * warnings are shown unless the environment variable `DEBUG` is set.
 *
 * @module
 */
import process from "node:process";
import debug from "debug";

/** Severity of a log line. */
export type LogLevel = "error" | "warn" | "info" | "debug";

/** Structured fields of a log line. */
export interface LogFields {
  /** Step in which the event occurred, such as `peer.receive`. */
  step?: string;
  /** Address or id of the peer; `self` where no peer took part. */
  peer?: string;
  [field: string]: unknown;
}

/** Writes the log lines of one component, with a method for each level. */
export type Logger = Record<
  LogLevel,
  (message: string, fields?: LogFields) => void
>;

const LEVELS: readonly LogLevel[] = ["error", "warn", "info", "debug"];
const DEFAULT_NAMESPACES = "hawthorngw:*:error,hawthorngw:*:warn";

if (process.env.DEBUG === undefined) debug.enable(DEFAULT_NAMESPACES);

/**
 * @param component Name of the component that logs, such as `steering`.
 * @returns The logger of the component.
 */
export function createLogger(component: string): Logger {
  const entries = LEVELS.map((level) => {
    const write = debug(`hawthorngw:${component}:${level}`);
    return [level, (message: string, fields: LogFields = {}) => {
      if (write.enabled) write("%s %o", message, fields);
    }];
  });
  return Object.fromEntries(entries);
}

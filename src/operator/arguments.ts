/**
 * Parses the arguments of the operators' command line.
 *
 * @module
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { StepError } from "../runtime/errors.ts";

/** Arguments and options of a command; not every command uses each. */
export interface CommandOptions {
  /** Arguments after the command that aren't options. */
  positionals: string[];
  /** Whether to print JSON instead of text. */
  json: boolean;
  /** URL of the platform's API. */
  platformUrl: string | undefined;
  /** Operator address of a steer, `host:port`. */
  operator: string | undefined;
  /** Caller address of a steer, `host:port`. */
  steer: string | undefined;
  /** Key that the operator address requires. */
  key: string | undefined;
  /** Name stored with each document version. */
  author: string;
  /** `path=value` assignments of `edit`. */
  set: string[];
  /** Row version that a document was edited from. */
  from: number | undefined;
  startsAt: string | undefined;
  endsAt: string | undefined;
  /** How long `watch` waits. */
  timeoutS: number;
}

/**
 * Parses the arguments of a command.
 *
 * @param args Arguments after the command's name.
 * @returns The options; defaults are taken from environment variables.
 * @throws StepError of kind `invalid` if a number is malformed; an error of
 *   `parseArgs` if an option is unknown.
 */
export function parseCommandOptions(args: string[]): CommandOptions {
  const { values, positionals } = parseArgs({
    args,
    allowPositionals: true,
    options: {
      json: { type: "boolean", default: false },
      platform: { type: "string" },
      operator: { type: "string" },
      steer: { type: "string" },
      key: { type: "string" },
      author: { type: "string" },
      set: { type: "string", multiple: true, default: [] },
      from: { type: "string" },
      "starts-at": { type: "string" },
      "ends-at": { type: "string" },
      "timeout-s": { type: "string", default: "10" },
    },
  });
  const { env } = process;
  return {
    positionals,
    json: values.json,
    platformUrl: values.platform ?? env.HAWTHORNGW_PLATFORM,
    operator: values.operator ?? env.HAWTHORNGW_OPERATOR,
    steer: values.steer ?? env.HAWTHORNGW_STEER,
    key: values.key ?? env.HAWTHORNGW_KEY,
    author: values.author ?? env.USER ?? "unknown",
    set: values.set,
    from: values.from === undefined ? undefined : parseNumber(values.from),
    startsAt: values["starts-at"],
    endsAt: values["ends-at"],
    timeoutS: parseNumber(values["timeout-s"]),
  };
}

/**
 * Checks that a value is present.
 *
 * @param value The value, or undefined.
 * @param name Name of the value for the error message.
 * @returns The value.
 * @throws StepError of kind `invalid` if it is undefined.
 */
export function requireValue<T>(value: T | undefined, name: string): T {
  if (value !== undefined) return value;
  throw usageError(`${name} is missing`);
}

/**
 * Creates the error for invalid arguments.
 *
 * @param message What is wrong with the arguments.
 * @returns A StepError of kind `invalid`.
 */
export function usageError(message: string): StepError {
  return new StepError(message, {
    step: "arguments",
    peer: "self",
    kind: "invalid",
  });
}

function parseNumber(text: string): number {
  const number = Number(text);
  if (Number.isFinite(number)) return number;
  throw usageError(`${text} is not a number`);
}

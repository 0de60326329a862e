/**
 * Arguments of the operators' command line.
 *
 * @module
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { StepError } from "../runtime/errors.ts";

/** Options of all commands. */
export interface CommandOptions {
  /** Words after the command. */
  positionals: string[];
  json: boolean;
  platformUrl: string | undefined;
  operator: string | undefined;
  steer: string | undefined;
  key: string | undefined;
  author: string;
  /** `path=value` pairs of `edit`. */
  set: string[];
  /** Row version that a put was edited from. */
  from: number | undefined;
  startsAt: string | undefined;
  endsAt: string | undefined;
  timeoutS: number;
}

/**
 * @param args Arguments after the command's name.
 * @returns The options; the environment fills in what is missing.
 * @throws StepError of kind `invalid`.
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
    positionals: positionals,
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
 * @param value What was given, if anything.
 * @param name What it is, for the error.
 * @returns The value.
 * @throws StepError of kind `invalid` where it is missing.
 */
export function requireValue<T>(value: T | undefined, name: string): T {
  if (value !== undefined) return value;
  throw usageError(`${name} is missing`);
}

/**
 * @param message What is wrong with the arguments.
 * @returns The error to throw.
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

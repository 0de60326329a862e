/**
 * The operators' command line: parses arguments and runs commands.
 *
 * @module
 */
import { createDocumentStore, type DocumentStore } from "../config/store.ts";
import { createPlatformClient } from "../platform/http_client.ts";
import type { Clock } from "../runtime/clock.ts";
import { describeError, StepError } from "../runtime/errors.ts";
import { EXIT_CODES } from "../runtime/process.ts";
import {
  type CommandOptions,
  parseCommandOptions,
  requireValue,
} from "./arguments.ts";
import {
  checkCommand,
  type CommandResult,
  diffCommand,
  drainCommand,
  editCommand,
  getCommand,
  historyCommand,
  putCommand,
} from "./documents.ts";
import {
  dumpCommand,
  lookupCommand,
  statusCommand,
  watchCommand,
} from "./live.ts";

/** Help text. */
export const USAGE = `Usage: hawthorngw COMMAND [ARGUMENTS] [OPTIONS]

Documents (need --platform URL or HAWTHORNGW_PLATFORM):
  check FILE...                 check documents without writing them
  get NAME                      print a document; NAME is fleet or a service
  put FILE... [--from VERSION]  check and write documents
  edit NAME --set PATH=VALUE    change fields of a document, keeping comments
  diff NAME [FROM [TO]]         compare two versions, by default the last two
  history NAME                  list all versions
  drain SERVICE SCOPE NAME [--starts-at TIME] [--ends-at TIME]
  undrain SERVICE SCOPE NAME    SCOPE: backend-server, failure-domain, region

Daemons (need --operator ADDRESS or HAWTHORNGW_OPERATOR, and --key or
HAWTHORNGW_KEY):
  watch NAME NUMBER [--timeout-s N]  wait until a version is in force
  status                        documents, failure domains and members
  dump ADDRESS                  the complete state of one process

As a caller (needs --steer ADDRESS or HAWTHORNGW_STEER):
  lookup SERVICE CLIENT_IP      which entries a client should use

Options: --json prints JSON; --author NAME is stored with each version.

Examples:
  hawthorngw check service.jsonc
  hawthorngw edit enrol --set shiftCap.maxShare=0.05
  hawthorngw drain enrol backend-server enrol-03
  hawthorngw watch enrol 7 --timeout-s 4

Exit codes: 0 done; 1 failed; 2 bad arguments or document; 3 conflicting edit;
4 unknown whether it took effect.
`;

type Command = (
  options: CommandOptions,
  store: DocumentStore | undefined,
) => Promise<CommandResult>;

const COMMANDS: Record<string, Command> = {
  check: checkCommand,
  get: (options, store) => getCommand(options, requireStore(store)),
  put: (options, store) => putCommand(options, requireStore(store)),
  edit: (options, store) => editCommand(options, requireStore(store)),
  diff: (options, store) => diffCommand(options, requireStore(store)),
  history: (options, store) => historyCommand(options, requireStore(store)),
  drain: (options, store) => drainCommand(options, requireStore(store), true),
  undrain: (options, store) =>
    drainCommand(options, requireStore(store), false),
  watch: watchCommand,
  status: statusCommand,
  dump: dumpCommand,
  lookup: lookupCommand,
};

function requireStore(store: DocumentStore | undefined): DocumentStore {
  return requireValue(store, "--platform or HAWTHORNGW_PLATFORM");
}

/** Output streams of a command. */
export interface Output {
  out(text: string): void;
  error(text: string): void;
}

/**
 * Runs one command.
 *
 * @param args Arguments of the process.
 * @param clock The clock.
 * @param output Receives the output and error messages.
 * @returns The exit code; errors are printed, not thrown.
 */
export async function runCommand(
  args: string[],
  clock: Clock,
  output: Output,
): Promise<number> {
  const [name, ...rest] = args;
  if (name === undefined || name === "--help" || rest.includes("--help")) {
    const write = name === undefined ? output.error : output.out;
    write(USAGE);
    return name === undefined ? EXIT_CODES.usage : EXIT_CODES.ok;
  }
  const command = COMMANDS[name];
  if (command === undefined) {
    output.error(`hawthorngw: No command is named "${name}"\n${USAGE}`);
    return EXIT_CODES.usage;
  }
  try {
    return await executeCommand(command, parseCommandOptions(rest), {
      clock,
      output,
    });
  } catch (cause) {
    output.error(`hawthorngw: ${describeError(cause)}\n`);
    return getExitCode(cause);
  }
}

async function executeCommand(
  command: Command,
  options: CommandOptions,
  { clock, output }: { clock: Clock; output: Output },
): Promise<number> {
  const platform = options.platformUrl === undefined
    ? undefined
    : createPlatformClient(options.platformUrl);
  try {
    const store = platform && createDocumentStore(platform.table, clock);
    const result = await command(options, store);
    const text = options.json
      ? JSON.stringify(result.json, null, 2)
      : result.text;
    if (text !== "") output.out(text.endsWith("\n") ? text : `${text}\n`);
    return result.exitCode;
  } finally {
    await platform?.close();
  }
}

function getExitCode(cause: unknown): number {
  const code = (cause as { code?: unknown }).code;
  if (typeof code === "string" && code.startsWith("ERR_PARSE_ARGS")) {
    return EXIT_CODES.usage;
  }
  if (!(cause instanceof StepError)) return EXIT_CODES.failure;
  switch (cause.kind) {
    case "invalid":
      return EXIT_CODES.usage;
    case "conflict":
      return EXIT_CODES.conflict;
    case "unknown":
      return EXIT_CODES.unknown;
    default:
      return EXIT_CODES.failure;
  }
}

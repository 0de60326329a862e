/**
 * Commands that read and write documents.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { closeSync, openSync, readSync } from "node:fs";
import { createTwoFilesPatch } from "diff";
import type { Result } from "neverthrow";
import { applyEdits, type JSONPath, modify, parse } from "jsonc-parser";
import { checkFleet, checkService } from "../config/check.ts";
import {
  type DocumentProblem,
  type DocumentSource,
  formatProblem,
  isNestedTooDeeply,
} from "../config/jsonc.ts";
import { FLEET_KEY, getServiceKey } from "../config/rows.ts";
import type { Drain, FleetDocument } from "../config/schema.ts";
import type { DocumentStore, PutOutcome } from "../config/store.ts";
import { MAX_VALUE_LENGTH } from "../platform/types.ts";
import type { StepError } from "../runtime/errors.ts";
import { EXIT_CODES } from "../runtime/process.ts";
import { type CommandOptions, requireValue, usageError } from "./arguments.ts";

/** Output and exit code of a command. */
export interface CommandResult {
  /** Human-readable output. */
  text: string;
  /** Output of `--json`. */
  json: unknown;
  exitCode: number;
}

/** Largest document that is read from a file. */
const MAX_DOCUMENT_BYTES = MAX_VALUE_LENGTH;

/** Most added and removed lines that are shown of two versions. */
const MAX_EDIT_LENGTH = 5_000;

const FORMATTING = { formattingOptions: { insertSpaces: true, tabSize: 2 } };

/**
 * @param name `fleet` or the name of a service.
 * @returns Key of the table row that stores the document.
 */
export function getDocumentKey(name: string): string {
  return name === "fleet" ? FLEET_KEY : getServiceKey(name);
}

/** @returns The `service` field, or `fleet` for a document without one. */
function getDocumentName(text: string): string {
  if (isNestedTooDeeply(text)) return "fleet";
  const value = parse(text) as { service?: unknown } | undefined;
  return typeof value?.service === "string" ? value.service : "fleet";
}

function checkDocument(
  source: DocumentSource,
  fleet: FleetDocument | undefined,
) {
  return getDocumentName(source.text) === "fleet"
    ? checkFleet(source)
    : checkService(source, fleet);
}

async function readFleet(
  store: DocumentStore,
): Promise<FleetDocument | undefined> {
  const read = await store.read(FLEET_KEY);
  if (read.isErr() || read.value.stored === undefined) return undefined;
  const { text } = read.value.stored;
  return checkFleet({ file: "fleet", text }).unwrapOr(undefined)?.document;
}

function readFile(file: string): string {
  try {
    return readBounded(file);
  } catch (cause) {
    throw usageError(`Cannot read ${file}: ${(cause as Error).message}`);
  }
}

/**
 * Reads a file, which may be a pipe or a device without end.
 *
 * @throws Error If it can't be read or is too large.
 */
function readBounded(file: string): string {
  const descriptor = openSync(file, "r");
  try {
    const content = Buffer.alloc(MAX_DOCUMENT_BYTES + 1);
    let sizeBytes = 0;
    while (sizeBytes < content.length) {
      const readBytes = readSync(
        descriptor,
        content,
        sizeBytes,
        content.length - sizeBytes,
        null,
      );
      if (readBytes === 0) return content.toString("utf8", 0, sizeBytes);
      sizeBytes += readBytes;
    }
  } finally {
    closeSync(descriptor);
  }
  throw new Error(`it is larger than ${MAX_DOCUMENT_BYTES} bytes`);
}

/**
 * `check FILE...`: checks documents without writing them.
 *
 * @param options The positionals are files.
 * @param store Store to read the fleet document from, if there is one.
 * @returns Problems and warnings.
 */
export async function checkCommand(
  { positionals }: CommandOptions,
  store: DocumentStore | undefined,
): Promise<CommandResult> {
  if (positionals.length === 0) throw usageError("FILE is missing");
  const fleet = store && await readFleet(store);
  const problems: DocumentProblem[] = [];
  const warnings: DocumentProblem[] = [];
  for (const file of positionals) {
    checkDocument({ file, text: readFile(file) }, fleet).match(
      (checked) => warnings.push(...checked.warnings),
      (found) => problems.push(...found),
    );
  }
  const lines = [
    ...problems.map((problem) => `error: ${formatProblem(problem)}`),
    ...warnings.map((warning) => `warning: ${formatProblem(warning)}`),
  ];
  return {
    text: lines.length > 0 ? lines.join("\n") : "No problems found",
    json: { problems, warnings },
    exitCode: problems.length > 0 ? EXIT_CODES.usage : EXIT_CODES.ok,
  };
}

/**
 * `get NAME`: prints a document with its row version.
 *
 * @param options The positional is the name.
 * @param store The document store.
 * @returns The document.
 */
export async function getCommand(
  { positionals }: CommandOptions,
  store: DocumentStore,
): Promise<CommandResult> {
  const name = requireValue(positionals[0], "NAME");
  const read = unwrap(await store.read(getDocumentKey(name)));
  if (read.stored === undefined) throw usageError(`No document "${name}"`);
  return {
    text: read.stored.text,
    json: { name, rowVersion: read.rowVersion, ...read.stored },
    exitCode: EXIT_CODES.ok,
  };
}

/**
 * `put FILE... [--from VERSION]`: checks and writes documents. Without `--from`
 * they count as edited from the newest version. Stops at the first refusal.
 *
 * @param options The positionals are files.
 * @param store The document store.
 * @returns The outcome for each file.
 */
export async function putCommand(
  options: CommandOptions,
  store: DocumentStore,
): Promise<CommandResult> {
  if (options.positionals.length === 0) throw usageError("FILE is missing");
  const results: CommandResult[] = [];
  for (const file of options.positionals) {
    const text = readFile(file);
    const result = await putText({ file, text }, options, store);
    results.push(result);
    if (result.exitCode !== EXIT_CODES.ok) break;
  }
  return {
    text: results.map((result) => result.text).join("\n"),
    json: results.map((result) => result.json),
    exitCode: results[results.length - 1].exitCode,
  };
}

async function putText(
  source: DocumentSource,
  { author, from }: CommandOptions,
  store: DocumentStore,
): Promise<CommandResult> {
  const checked = checkDocument(source, await readFleet(store));
  if (checked.isErr()) {
    return {
      text: checked.error.map((problem) => `error: ${formatProblem(problem)}`)
        .join("\n"),
      json: { problems: checked.error },
      exitCode: EXIT_CODES.usage,
    };
  }
  const name = getDocumentName(source.text);
  const key = getDocumentKey(name);
  const editedFrom = from ?? unwrap(await store.read(key)).rowVersion;
  const { text } = source;
  const put = unwrap(
    await store.put({ key, text, author, baseRowVersion: editedFrom }),
  );
  return formatPutResult(put, {
    name,
    text,
    warnings: checked.value.warnings,
  });
}

function formatPutResult(
  put: PutOutcome,
  { name, text, warnings }: {
    name: string;
    text: string;
    warnings: DocumentProblem[];
  },
): CommandResult {
  if (put.outcome === "race") {
    const theirs = put.theirs.stored?.text ?? "";
    const patch = formatPatch(["theirs", theirs], ["yours", text]);
    return {
      text: `Refused: another edit of ${name} came first.\n${patch}`,
      json: { outcome: "race", name, theirs: put.theirs, yours: text },
      exitCode: EXIT_CODES.conflict,
    };
  }
  const { number, rowVersion } = put;
  const notes = warnings.map((warning) => `warning: ${formatProblem(warning)}`);
  return {
    text: [`${name}: version ${number} accepted`, ...notes].join("\n"),
    json: { outcome: "accepted", name, number, rowVersion, warnings },
    exitCode: EXIT_CODES.ok,
  };
}

/** Compares two texts, each with its name, unless that would take minutes. */
function formatPatch(
  [oldName, oldText]: [string, string],
  [newName, newText]: [string, string],
): string {
  const patch = createTwoFilesPatch(
    oldName,
    newName,
    oldText,
    newText,
    undefined,
    undefined,
    { maxEditLength: MAX_EDIT_LENGTH },
  );
  return patch ??
    `${oldName} and ${newName} differ in over ${MAX_EDIT_LENGTH} lines\n`;
}

/** Reads a document, changes its text and writes it if nobody else has. */
async function editText(
  name: string,
  options: CommandOptions,
  { store, change }: {
    store: DocumentStore;
    change: (text: string) => string;
  },
): Promise<CommandResult> {
  const read = unwrap(await store.read(getDocumentKey(name)));
  if (read.stored === undefined) throw usageError(`No document "${name}"`);
  const text = change(read.stored.text);
  const from = options.from ?? read.rowVersion;
  return putText({ file: name, text }, { ...options, from }, store);
}

/**
 * `edit NAME --set PATH=VALUE...`: changes fields and keeps comments.
 *
 * @param options The positional is the name.
 * @param store The document store.
 * @returns The outcome of the write.
 */
export function editCommand(
  options: CommandOptions,
  store: DocumentStore,
): Promise<CommandResult> {
  const name = requireValue(options.positionals[0], "NAME");
  if (options.set.length === 0) throw usageError("--set PATH=VALUE is missing");
  return editText(name, options, {
    store,
    change: (text) =>
      options.set.reduce((edited, pair) => {
        const { path, value } = parseAssignment(pair);
        return applyEdits(edited, modify(edited, path, value, FORMATTING));
      }, text),
  });
}

function parseAssignment(pair: string): { path: JSONPath; value: unknown } {
  const at = pair.indexOf("=");
  if (at < 1) throw usageError(`"${pair}" is not PATH=VALUE`);
  const path = pair.slice(0, at).split(/[.[\]]+/).filter((part) => part !== "")
    .map((part) => /^\d+$/.test(part) ? Number(part) : part);
  const text = pair.slice(at + 1);
  try {
    return { path, value: JSON.parse(text) };
  } catch {
    return { path, value: text };
  }
}

const SCOPES: Record<string, Drain["scope"]> = {
  "backend-server": "backendServer",
  "failure-domain": "failureDomain",
  region: "region",
};

/**
 * `drain SERVICE SCOPE NAME` and `undrain ...`: edits the document's drains.
 *
 * @param options The positionals are service, scope and name.
 * @param store The document store.
 * @param shouldDrain Whether to add the drain or to remove it.
 * @returns The outcome of the write.
 */
export function drainCommand(
  options: CommandOptions,
  store: DocumentStore,
  shouldDrain: boolean,
): Promise<CommandResult> {
  const [service, scopeWord, target] = options.positionals;
  const scope = SCOPES[requireValue(scopeWord, "SCOPE")];
  if (scope === undefined) {
    const allowed = Object.keys(SCOPES).join(", ");
    throw usageError(`SCOPE "${scopeWord}" is not one of ${allowed}`);
  }
  const name = requireValue(target, "NAME");
  return editText(service, options, {
    store,
    change(text) {
      const { drains = [] } = parse(text) as { drains?: Drain[] };
      const others = drains.filter((drain) =>
        drain.scope !== scope || drain.name !== name
      );
      const { startsAt, endsAt } = options;
      const next = shouldDrain
        ? [...others, { scope, name, startsAt, endsAt }]
        : others;
      return applyEdits(text, modify(text, ["drains"], next, FORMATTING));
    },
  });
}

/**
 * `history NAME`: lists all versions.
 *
 * @param options The positional is the name.
 * @param store The document store.
 * @returns The versions.
 */
export async function historyCommand(
  { positionals }: CommandOptions,
  store: DocumentStore,
): Promise<CommandResult> {
  const name = requireValue(positionals[0], "NAME");
  const versions = unwrap(await store.history(getDocumentKey(name)));
  const lines = versions.map(({ number, author, atMs }) =>
    `${number}\t${new Date(atMs).toISOString()}\t${author}`
  );
  return {
    text: lines.join("\n"),
    json: versions,
    exitCode: EXIT_CODES.ok,
  };
}

/**
 * `diff NAME [FROM [TO]]`: compares two versions, by default the last two.
 *
 * @param options The positionals are the name and two version numbers.
 * @param store The document store.
 * @returns A unified diff.
 */
export async function diffCommand(
  { positionals }: CommandOptions,
  store: DocumentStore,
): Promise<CommandResult> {
  const name = requireValue(positionals[0], "NAME");
  const versions = unwrap(await store.history(getDocumentKey(name)));
  const newest = versions.length;
  const to = Number(positionals[2] ?? newest);
  const from = Number(positionals[1] ?? to - 1);
  const textOf = (number: number) => {
    if (number === 0) return "";
    const found = versions.find((version) => version.number === number);
    if (found) return found.text;
    throw usageError(
      `${name} has no version ${number}; newest is ${newest}`,
    );
  };
  const patch = formatPatch(
    [`${name} ${from}`, textOf(from)],
    [`${name} ${to}`, textOf(to)],
  );
  return { text: patch, json: { name, from, to, patch }, exitCode: 0 };
}

/** @throws StepError of a failed call to the platform. */
function unwrap<T>(result: Result<T, StepError>): T {
  if (result.isErr()) throw result.error;
  return result.value;
}

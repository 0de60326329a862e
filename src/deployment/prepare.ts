/**
 * Writes the settings and documents of a loopback deployment to a folder.
 *
 * @module
 */
import { existsSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { formatProblem, parseDocument } from "../config/jsonc.ts";
import { StepError } from "../runtime/errors.ts";
import { generateDeployment, type GenerateOptions } from "./generate.ts";
import { type Deployment, deploymentSchema } from "./types.ts";

/** Range of second octets in which a free address range is searched. */
const FIRST_BASE = 20;
const LAST_BASE = 200;

/** Options of a prepared deployment. */
export interface PrepareOptions extends Omit<GenerateOptions, "base"> {
  /** Folder to write to; created if it doesn't exist. */
  dir: string;
  /** Name of an example, or path of a deployment file. */
  deployment: string;
}

/**
 * Reads a deployment file.
 *
 * @param nameOrFile Name of an example, or path of a file.
 * @returns The deployment.
 * @throws StepError of kind `invalid` where there is no such file or its
 * content is invalid.
 */
export function readDeployment(nameOrFile: string): Deployment {
  const example = fileURLToPath(
    new URL(`../../examples/${nameOrFile}.jsonc`, import.meta.url),
  );
  const file = existsSync(example) ? example : nameOrFile;
  if (!existsSync(file)) {
    throw makeInvalidError(`No deployment is named "${nameOrFile}"`);
  }
  const text = readFileSync(file, "utf8");
  const parsed = parseDocument({ file, text }, deploymentSchema);
  if (parsed.isOk()) return parsed.value;
  throw makeInvalidError(parsed.error.map(formatProblem).join("\n"));
}

/**
 * Writes all files of a deployment to a folder: `<name>.jsonc` for each
 * process, `documents/`, `load.jsonc`, `platform.txt` with the platform's URL,
 * and `processes.txt` with a line `name binary settings` for each process.
 *
 * @param options Folder, deployment and load.
 * @throws StepError of kind `invalid` where the deployment is invalid or no
 * address range is free.
 */
export async function prepareDeployment(
  options: PrepareOptions,
): Promise<void> {
  const { dir } = options;
  const deployment = readDeployment(options.deployment);
  const base = await findFreeBase();
  const files = generateDeployment(deployment, { ...options, base });
  mkdirSync(join(dir, "documents"), { recursive: true });
  const lines = files.processes.map(({ name, binary, settings }) => {
    const file = join(dir, `${name}.jsonc`);
    writeJson(file, settings);
    return `${name} ${binary} ${file}`;
  });
  for (const { name, document } of files.documents) {
    writeJson(join(dir, "documents", `${name}.jsonc`), document);
  }
  const loadingFile = join(dir, "loading");
  writeJson(join(dir, "load.jsonc"), { ...files.load, loadingFile });
  writeFileSync(join(dir, "processes.txt"), `${lines.join("\n")}\n`);
  writeFileSync(join(dir, "platform.txt"), `${files.load.platformUrl}\n`);
}

function writeJson(file: string, value: unknown): void {
  writeFileSync(file, `${JSON.stringify(value, null, 2)}\n`);
}

/** Finds a second octet whose platform address is free. */
async function findFreeBase(): Promise<number> {
  for (let base = FIRST_BASE; base <= LAST_BASE; base++) {
    if (await canListen(`127.${base}.0.1`)) return base;
  }
  throw makeInvalidError("No free range of loopback addresses was found");
}

function canListen(host: string): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(7000, host, () => server.close(() => resolve(true)));
  });
}

function makeInvalidError(message: string): StepError {
  return new StepError(message, {
    step: "deployment.prepare",
    peer: "self",
    kind: "invalid",
  });
}

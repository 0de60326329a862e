#!/usr/bin/env node
/**
 * `hawthorngw-load`: prepares a deployment on loopback and generates load.
 *
 * @module
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { writeFileSync } from "node:fs";
import cliProgress from "cli-progress";
import { prepareDeployment } from "../deployment/prepare.ts";
import { type LoadSettings, loadSettingsSchema } from "../deployment/types.ts";
import { measureControlCost } from "../load/control_cost.ts";
import { measurePathCost } from "../load/path_cost.ts";
import { type Progress, runExperiment } from "../load/experiment.ts";
import type { Report } from "../load/types.ts";
import { type Clock, createSystemClock } from "../runtime/clock.ts";
import { describeError, StepError } from "../runtime/errors.ts";
import { EXIT_CODES } from "../runtime/process.ts";
import { loadSettings } from "../runtime/settings.ts";

const USAGE = `Usage:
  hawthorngw-load prepare --dir DIR [--deployment nordvern|asca|FILE]
      [--duration-s N] [--rate N] [--report FILE.json] [--html FILE.html]
      [--seed N] [--vms-per-domain N]
    Writes the settings and documents of a deployment on loopback to DIR.
  hawthorngw-load run --settings FILE
    Sends load to a running deployment and prints a report as JSON.
  hawthorngw-load control --settings FILE
    Measures the CPU and traffic of the control plane without load.
  hawthorngw-load path --settings FILE
    Measures the latency that an entry adds, and look-ups per second.

Exit codes: 0 done, 1 an invariant was violated or the run failed, 2 bad arguments.
`;

async function main(): Promise<number> {
  const [command, ...args] = process.argv.slice(2);
  if (command === "prepare") return await prepare(args);
  if (command === "run") return await run(args);
  if (command === "control") return await measure(args, measureControlCost);
  if (command === "path") return await measure(args, measurePathCost);
  const wantsHelp = command === "--help" || command === "-h";
  (wantsHelp ? process.stdout : process.stderr).write(USAGE);
  return wantsHelp ? EXIT_CODES.ok : EXIT_CODES.usage;
}

async function prepare(args: string[]): Promise<number> {
  const { values } = parseArgs({
    args,
    options: {
      dir: { type: "string" },
      deployment: { type: "string", default: "nordvern" },
      "duration-s": { type: "string", default: "20" },
      rate: { type: "string" },
      report: { type: "string" },
      html: { type: "string" },
      seed: { type: "string", default: "1" },
      "vms-per-domain": { type: "string" },
    },
  });
  await prepareDeployment({
    dir: requireText("--dir", values.dir),
    deployment: values.deployment,
    durationS: requireNumber("--duration-s", values["duration-s"], 5),
    requestsPerS: values.rate === undefined
      ? undefined
      : requireNumber("--rate", values.rate, 1),
    vmsPerDomain: values["vms-per-domain"] === undefined
      ? undefined
      : requireNumber("--vms-per-domain", values["vms-per-domain"], 1),
    reportFile: values.report,
    htmlFile: values.html,
    seed: requireNumber("--seed", values.seed, 0),
  });
  return EXIT_CODES.ok;
}

function requireText(name: string, text: string | undefined): string {
  if (text) return text;
  throw makeUsageError(`${name} is missing`);
}

function requireNumber(name: string, text: string, minimum: number): number {
  const number = Number(text);
  if (Number.isFinite(number) && number >= minimum) return number;
  throw makeUsageError(
    `${name} ${text} is not a number of at least ${minimum}`,
  );
}

function makeUsageError(message: string): StepError {
  return new StepError(message, {
    step: "arguments",
    peer: "self",
    kind: "invalid",
  });
}

function readLoadSettings(args: string[]): LoadSettings {
  const { values } = parseArgs({
    args,
    options: { settings: { type: "string" } },
  });
  return loadSettings(
    requireText("--settings", values.settings),
    loadSettingsSchema,
  );
}

type MeasureFunction = (
  settings: LoadSettings,
  clock: Clock,
) => Promise<unknown>;

async function measure(args: string[], run: MeasureFunction): Promise<number> {
  const settings = readLoadSettings(args);
  const cost = await run(settings, createSystemClock());
  const json = JSON.stringify(cost, null, 2);
  process.stdout.write(`${json}\n`);
  if (settings.reportFile) writeFileSync(settings.reportFile, `${json}\n`);
  return EXIT_CODES.ok;
}

async function run(args: string[]): Promise<number> {
  const settings = readLoadSettings(args);
  const progressDisplay = createProgress(settings.durationS);
  const { report, html } = await runExperiment(
    settings,
    createSystemClock(),
    progressDisplay.update,
  );
  progressDisplay.stop();
  const json = JSON.stringify(report, null, 2);
  process.stdout.write(`${json}\n`);
  if (settings.reportFile) writeFileSync(settings.reportFile, `${json}\n`);
  if (settings.htmlFile) writeFileSync(settings.htmlFile, html);
  return hasViolations(report) ? EXIT_CODES.failure : EXIT_CODES.ok;
}

function hasViolations({ invariants }: Report): boolean {
  return Object.values(invariants).some((count) => count > 0);
}

/** Draws a progress bar on a terminal, or prints a line every 5 s elsewhere. */
function createProgress(durationS: number) {
  if (!process.stderr.isTTY) {
    return {
      update(progress: Progress) {
        if (Math.round(progress.elapsedS) % 5 !== 0) return;
        process.stderr.write(`${describeProgress(progress)}\n`);
      },
      stop() {},
    };
  }
  const bar = new cliProgress.SingleBar({
    format: "{bar} {value}/{total} s  {text}",
  }, cliProgress.Presets.shades_classic);
  bar.start(durationS, 0, { text: "" });
  return {
    update(progress: Progress) {
      const elapsedS = Math.min(durationS, Math.round(progress.elapsedS));
      bar.update(elapsedS, { text: describeProgress(progress) });
    },
    stop: () => bar.stop(),
  };
}

function describeProgress(progress: Progress): string {
  const { elapsedS, sent, pending, notAnswered } = progress;
  return `${elapsedS.toFixed(0)} s: ${sent} sent, ${pending} pending, ` +
    `${notAnswered} not answered`;
}

try {
  process.exit(await main());
} catch (cause) {
  process.stderr.write(`hawthorngw-load: ${describeError(cause)}\n`);
  const code = (cause as { code?: unknown }).code;
  const isUsage = cause instanceof StepError && cause.kind === "invalid" ||
    typeof code === "string" && code.startsWith("ERR_PARSE_ARGS");
  process.exit(isUsage ? EXIT_CODES.usage : EXIT_CODES.failure);
}

/**
 * The default run: load, an edit of a document that drains a backend server,
 * its return, and the report.
 *
 * @module
 */
import { writeFileSync } from "node:fs";
import { applyEdits, modify } from "jsonc-parser";
import { createCaller } from "../caller/mod.ts";
import { getServiceKey } from "../config/rows.ts";
import { createDocumentStore, type DocumentStore } from "../config/store.ts";
import type { Drain, ServiceDocument } from "../config/schema.ts";
import type { LoadSettings } from "../deployment/types.ts";
import { createPlatformClient } from "../platform/http_client.ts";
import type { Clock } from "../runtime/clock.ts";
import { StepError } from "../runtime/errors.ts";
import { createRandom } from "../runtime/random.ts";
import { generateArrivals } from "./arrivals.ts";
import {
  collectBackends,
  collectLinks,
  type ConfigWatch,
  startConfigWatch,
} from "./evidence.ts";
import { type DrainEvidence, makeReport } from "./measure.ts";
import { renderReport } from "./html.ts";
import { startLoad } from "./runner.ts";
import type { Report } from "./types.ts";

/** Points of the run, as shares of its duration. */
const DRAIN_AT = 0.3;
const RETURN_AT = 0.7;

/** Progress of a run. */
export interface Progress {
  elapsedS: number;
  sent: number;
  pending: number;
  notAnswered: number;
}

/** A report and its page. */
export interface ExperimentResult {
  report: Report;
  html: string;
}

/**
 * Runs the load of a deployment that is up.
 *
 * @param settings The load's settings.
 * @param clock The clock.
 * @param onProgress Called each second.
 * @returns The report.
 */
export async function runExperiment(
  settings: LoadSettings,
  clock: Clock,
  onProgress: (progress: Progress) => void,
): Promise<ExperimentResult> {
  const callers = new Map(settings.regions.map(({ name, clientPrefix }) => {
    const near = settings.steers.filter(({ region }) => region === name);
    const far = settings.steers.filter(({ region }) => region !== name);
    const steers = [...near, ...far].map(({ caller }) => caller);
    return [clientPrefix, createCaller({ steers, clock })];
  }));
  const platform = createPlatformClient(settings.platformUrl);
  const store = createDocumentStore(platform.table, clock);
  const watch = startConfigWatch({ ...settings, clock });
  await watch.waitUntilUp();
  if (settings.loadingFile) writeFileSync(settings.loadingFile, "");
  const startMs = clock.monotonicMs();
  const durationMs = settings.durationS * 1_000;
  const load = startLoad({
    arrivals: generateArrivals(settings, createRandom(settings.seed)),
    durationMs,
    clock,
    callerOf: (clientIp) =>
      callers.get(clientIp.split(".").slice(0, 2).join("."))!,
  });
  const progress = clock.every(1_000, () =>
    onProgress({
      elapsedS: (clock.monotonicMs() - startMs) / 1_000,
      sent: load.records.length + load.pending(),
      pending: load.pending(),
      notAnswered: load.records.filter(({ result }) =>
        result.kind !== "answer"
      ).length,
    }));
  const drained = await drainAndReturn(
    { settings, store, watch, clock },
    durationMs,
  );
  await load.done;
  progress.cancel();
  watch.close();
  const backends = await collectBackends(settings.backendAdmins);
  const links = await collectLinks(settings.networkAdmin);
  let cutOffInFlight = 0;
  for (const caller of callers.values()) {
    cutOffInFlight += caller.brokenCount();
    await caller.close();
  }
  await platform.close();
  const report = makeReport({
    settings,
    calls: load.records,
    backends,
    links,
    drain: drained.drain,
    configInForceMs: drained.configInForceMs,
    configReverts: watch.reverts(),
    cutOffInFlight,
  });
  const html = renderReport(report, { calls: load.records, backends });
  return { report, html };
}

interface DrainContext {
  settings: LoadSettings;
  store: DocumentStore;
  watch: ConfigWatch;
  clock: Clock;
}

async function drainAndReturn(
  context: DrainContext,
  durationMs: number,
): Promise<{ drain: DrainEvidence; configInForceMs: number }> {
  const { settings, watch, clock } = context;
  const service = settings.services[0].name;
  const startMs = clock.monotonicMs();
  const until = (part: number) =>
    new Promise<void>((resolve) => {
      const elapsedMs = clock.monotonicMs() - startMs;
      clock.after(Math.max(0, durationMs * part - elapsedMs), resolve);
    });
  await until(DRAIN_AT);
  let server = "";
  const drainNumber = await editDocument(context, service, (document) => {
    server = document.backendServers[0].id;
    return [{ scope: "backendServer", name: server }];
  });
  const drainStartMs = clock.now().getTime();
  const configInForceMs = await watch.waitFor(service, drainNumber);
  await until(RETURN_AT);
  const endMs = clock.now().getTime();
  await editDocument(context, service, () => []);
  return { drain: { server, startMs: drainStartMs, endMs }, configInForceMs };
}

async function editDocument(
  { store }: DrainContext,
  service: string,
  makeDrains: (document: ServiceDocument) => Drain[],
): Promise<number> {
  const key = getServiceKey(service);
  const read = (await store.read(key))._unsafeUnwrap();
  if (read.stored === undefined) {
    throw new StepError(`No document of ${service} is in the table`, {
      step: "load.edit",
      peer: "table",
      kind: "invalid",
    });
  }
  const { text } = read.stored;
  const drains = makeDrains(JSON.parse(text) as ServiceDocument);
  const edited = applyEdits(text, modify(text, ["drains"], drains, {}));
  const put = await store.put({
    key,
    text: edited,
    author: "load",
    baseRowVersion: read.rowVersion,
  });
  const outcome = put._unsafeUnwrap();
  if (outcome.outcome === "accepted") return outcome.number;
  throw new StepError("Another edit came first", {
    step: "load.edit",
    peer: "table",
    kind: "conflict",
  });
}

/**
 * The default load run: applies load, drains one backend server by editing its
 * service's document, takes the drain back, and makes the report.
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
  collectBackendReports,
  collectLinkTraffic,
  type ConfigWatch,
  startConfigWatch,
} from "./collect.ts";
import { type DrainPeriod, makeReport } from "./measure.ts";
import { renderReport } from "./html.ts";
import { startLoad } from "./runner.ts";
import type { Report } from "./types.ts";

/** Times of the drain and of its end, as shares of the run's duration. */
const DRAIN_AT_SHARE = 0.3;
const UNDRAIN_AT_SHARE = 0.7;

/** Progress of a load run. */
export interface Progress {
  elapsedS: number;
  /** Calls started, pending ones included. */
  sent: number;
  /** Calls without a result. */
  pending: number;
  /** Calls with a result other than an answer. */
  notAnswered: number;
}

/** Report of a load run, also as an HTML page. */
export interface ExperimentResult {
  report: Report;
  html: string;
}

/**
 * Applies load to a running deployment, once all its daemons are ready.
 *
 * @param settings Settings of the load.
 * @param clock The clock.
 * @param onProgress Called every second.
 * @returns The report.
 * @throws StepError of kind `refused` where a daemon isn't ready within 60 s,
 * and of kind `invalid` or `conflict` where the service's document can't be
 * edited.
 */
export async function runExperiment(
  settings: LoadSettings,
  clock: Clock,
  onProgress: (progress: Progress) => void,
): Promise<ExperimentResult> {
  const callers = new Map(settings.regions.map(({ name, clientPrefix }) => {
    const localSteers = settings.steers.filter(({ region }) => region === name);
    const remoteSteers = settings.steers.filter(({ region }) =>
      region !== name
    );
    const steers = [...localSteers, ...remoteSteers].map(({ caller }) =>
      caller
    );
    return [clientPrefix, createCaller({ steers, clock })];
  }));
  const platform = createPlatformClient(settings.platformUrl);
  const store = createDocumentStore(platform.table, clock);
  const watch = startConfigWatch({ ...settings, clock });
  await watch.waitUntilReady();
  if (settings.loadingFile) writeFileSync(settings.loadingFile, "");
  const startMs = clock.monotonicMs();
  const durationMs = settings.durationS * 1_000;
  const load = startLoad({
    arrivals: generateArrivals(settings, createRandom(settings.seed)),
    durationMs,
    clock,
    getCaller: (clientIp) =>
      callers.get(clientIp.split(".").slice(0, 2).join("."))!,
  });
  const progress = clock.every(1_000, () =>
    onProgress({
      elapsedS: (clock.monotonicMs() - startMs) / 1_000,
      sent: load.records.length + load.getPendingCount(),
      pending: load.getPendingCount(),
      notAnswered: load.records.filter(({ result }) =>
        result.kind !== "answer"
      ).length,
    }));
  const drained = await drainAndUndrain(
    { settings, store, watch, clock },
    durationMs,
  );
  await load.done;
  progress.cancel();
  watch.close();
  const backends = await collectBackendReports(settings.backendAdmins);
  const links = await collectLinkTraffic(settings.networkAdmin);
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
    configReverts: watch.getRevertCount(),
    cutOffInFlight,
  });
  const html = renderReport(report, { calls: load.records, backends });
  return { report, html };
}

/** Dependencies of the edits of a document. */
interface DrainContext {
  settings: LoadSettings;
  store: DocumentStore;
  watch: ConfigWatch;
  clock: Clock;
}

/**
 * Drains the first backend server of the first service for a part of the run.
 */
async function drainAndUndrain(
  context: DrainContext,
  durationMs: number,
): Promise<{ drain: DrainPeriod; configInForceMs: number }> {
  const { settings, watch, clock } = context;
  const service = settings.services[0].name;
  const startMs = clock.monotonicMs();
  const waitUntilShare = (share: number) =>
    new Promise<void>((resolve) => {
      const elapsedMs = clock.monotonicMs() - startMs;
      clock.after(Math.max(0, durationMs * share - elapsedMs), resolve);
    });
  await waitUntilShare(DRAIN_AT_SHARE);
  let server = "";
  const drainNumber = await editDocument(context, service, (document) => {
    server = document.backendServers[0].id;
    return [{ scope: "backendServer", name: server }];
  });
  const drainStartMs = clock.now().getTime();
  const configInForceMs = await watch.waitUntilApplied(service, drainNumber);
  await waitUntilShare(UNDRAIN_AT_SHARE);
  const endMs = clock.now().getTime();
  await editDocument(context, service, () => []);
  return { drain: { server, startMs: drainStartMs, endMs }, configInForceMs };
}

/**
 * Replaces the drains of a service's document.
 *
 * @returns Number of the new version.
 * @throws StepError of kind `invalid` or `conflict`.
 */
async function editDocument(
  { store }: DrainContext,
  service: string,
  makeDrains: (document: ServiceDocument) => Drain[],
): Promise<number> {
  const key = getServiceKey(service);
  const read = (await store.read(key))._unsafeUnwrap();
  if (read.stored === undefined) {
    throw new StepError(`The table has no document of service ${service}`, {
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
  throw new StepError("The document was changed by another edit", {
    step: "load.edit",
    peer: "table",
    kind: "conflict",
  });
}

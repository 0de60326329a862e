/**
 * Measures the latency that an entry adds to a request, and the look-up
 * throughput of a steer, in a running deployment.
 *
 * Each request goes at random either directly to a backend server or through an
 * entry, so that both paths are measured under the same conditions. Service
 * times are shortened, so that their variance doesn't hide the added latency.
 *
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { LoadSettings } from "../deployment/types.ts";
import { HEADERS } from "../forwarding/types.ts";
import type { LookupAnswer } from "../lookup/types.ts";
import { type Clock, pause } from "../runtime/clock.ts";
import { createHttpClient, type HttpClient } from "../runtime/http_client.ts";
import { createId } from "../runtime/ids.ts";
import { createRandom, drawExponential, pick } from "../runtime/random.ts";
import { collectBackendReports, startConfigWatch } from "./collect.ts";
import { fetchJson } from "./fetch_json.ts";

/** Factor on the service times of backend servers. */
const SERVICE_TIME_FACTOR = 0.05;
const LOOKUP_TEST_MS = 4_000;
const LOOKUP_CONCURRENCY = 32;
const CONNECTIONS_PER_PEER = 64;
/** Largest answer of a backend server. */
const MAX_ANSWER_BYTES = 4_194_304;
/** Time for one request. */
const TIMEOUT_MS = 10_000;
/** Histograms hold latencies in units of 0.01 ms. */
const UNITS_PER_MS = 100;

/** Latency of one request path. */
export interface PathLatency {
  requests: number;
  p50Ms: number;
  p99Ms: number;
}

/** Latency of both paths, and look-up throughput. */
export interface PathCost {
  requestsPerS: number;
  /** Directly to a backend server. */
  direct: PathLatency;
  /** Through the first entry that a look-up returns. */
  entry: PathLatency;
  addedP50Ms: number;
  addedP99Ms: number;
  /** Successful look-ups per second at one steer. */
  lookupsPerS: number;
}

/** Where a request is sent. */
interface Target {
  origin: string;
  path: string;
  headers: Record<string, string>;
}

/**
 * Waits until all daemons are ready, then measures the latency of both request
 * paths for `durationS`, and the look-up throughput for 4 s. Changes the
 * service times of the stand-in backend servers.
 *
 * @param settings Settings of the deployment's load.
 * @param clock The clock.
 * @returns The latency of both paths and the look-up throughput.
 * @throws StepError of kind `refused` where a daemon isn't ready within 60 s.
 */
export async function measurePathCost(
  settings: LoadSettings,
  clock: Clock,
): Promise<PathCost> {
  const client = createHttpClient({
    maxResponseBytes: MAX_ANSWER_BYTES,
    connections: CONNECTIONS_PER_PEER,
    connectTimeoutMs: TIMEOUT_MS,
  });
  const watch = startConfigWatch({ ...settings, clock });
  await watch.waitUntilReady();
  watch.close();
  await shortenServiceTimes(settings, client);
  const targets = await listTargets(settings);
  const direct = build({ numberOfSignificantValueDigits: 3 });
  const entry = build({ numberOfSignificantValueDigits: 3 });
  const random = createRandom(settings.seed);
  const pending: Promise<void>[] = [];
  const endMs = clock.monotonicMs() + settings.durationS * 1_000;
  for (let nextMs = clock.monotonicMs(); nextMs < endMs;) {
    const waitMs = nextMs - clock.monotonicMs();
    if (waitMs > 0) {
      await pause(clock, waitMs);
      continue;
    }
    const isDirect = random() < 0.5;
    const target = pick(random, isDirect ? targets.direct : targets.entry);
    pending.push(
      measureRequest(target, { client, clock }, isDirect ? direct : entry),
    );
    nextMs += drawExponential(random, 1_000 / settings.requestsPerS);
  }
  await Promise.all(pending);
  const lookupsPerS = await measureLookupRate(settings, { client, clock });
  await client.close();
  const latencies = {
    direct: summarizeLatency(direct),
    entry: summarizeLatency(entry),
  };
  return {
    requestsPerS: settings.requestsPerS,
    ...latencies,
    addedP50Ms: latencies.entry.p50Ms - latencies.direct.p50Ms,
    addedP99Ms: latencies.entry.p99Ms - latencies.direct.p99Ms,
    lookupsPerS,
  };
}

async function shortenServiceTimes(
  settings: LoadSettings,
  client: HttpClient,
): Promise<void> {
  for (const admin of settings.backendAdmins) {
    for (const { id } of await collectBackendReports([admin])) {
      await client.request({
        origin: `http://${admin}`,
        path: `/admin/servers/${id}`,
        method: "PUT",
        body: JSON.stringify({ slowFactor: SERVICE_TIME_FACTOR }),
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
    }
  }
}

/**
 * Lists an entry for each region's clients, and the backend servers, of one
 * service.
 */
async function listTargets(settings: LoadSettings) {
  const { name, mix } = settings.services[0];
  const { path } = mix[0];
  const entry: Target[] = [];
  for (const { name: region, clientPrefix } of settings.regions) {
    const { caller } = settings.steers.find((steer) =>
      steer.region === region
    )!;
    const url = `http://${caller}/v1/lookup/${name}?client=${clientPrefix}.1.1`;
    const answer = await fetchJson<LookupAnswer>(url);
    entry.push({
      origin: `http://${answer.entries[0].address}`,
      path: `/v1/services/${name}${path}`,
      headers: { [HEADERS.clientBlock]: answer.clientBlock },
    });
  }
  const reports = await collectBackendReports(settings.backendAdmins);
  const direct = reports.filter(({ service }) => service === name)
    .map(({ address }) => ({ origin: `http://${address}`, path, headers: {} }));
  return { entry, direct };
}

/** Sends a request and records its latency if the status is 200. */
async function measureRequest(
  { origin, path, headers }: Target,
  { client, clock }: { client: HttpClient; clock: Clock },
  histogram: Histogram,
): Promise<void> {
  const startMs = clock.monotonicMs();
  const { status } = await client.request({
    origin,
    path,
    headers: { ...headers, [HEADERS.requestId]: createId() },
    signal: AbortSignal.timeout(TIMEOUT_MS),
  });
  if (status !== 200) return;
  const latencyMs = clock.monotonicMs() - startMs;
  histogram.recordValue(Math.max(1, Math.round(latencyMs * UNITS_PER_MS)));
}

function summarizeLatency(histogram: Histogram): PathLatency {
  return {
    requests: histogram.totalCount,
    p50Ms: histogram.getValueAtPercentile(50) / UNITS_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / UNITS_PER_MS,
  };
}

async function measureLookupRate(
  settings: LoadSettings,
  { client, clock }: { client: HttpClient; clock: Clock },
): Promise<number> {
  const { caller } = settings.steers[0];
  const { name } = settings.services[0];
  const { clientPrefix } = settings.regions[0];
  const startMs = clock.monotonicMs();
  let answered = 0;
  async function sendLookups(worker: number): Promise<void> {
    while (clock.monotonicMs() - startMs < LOOKUP_TEST_MS) {
      const clientIp = `${clientPrefix}.${answered % 256}.${worker}`;
      const { status } = await client.request({
        origin: `http://${caller}`,
        path: `/v1/lookup/${name}?client=${clientIp}`,
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      if (status === 200) answered += 1;
    }
  }
  const workers = Array.from(
    { length: LOOKUP_CONCURRENCY },
    (_, w) => sendLookups(w),
  );
  await Promise.all(workers);
  return answered * 1_000 / (clock.monotonicMs() - startMs);
}

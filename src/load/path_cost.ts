/**
 * Measures what the system adds to a request, and how many look-ups a steer
 * answers, against a deployment that is up.
 *
 * Requests go in turn straight to a backend server and through an entry, in one
 * run; backend servers are told to be quick, so that their own time does not
 * hide what is added.
 *
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";
import { Agent, request } from "undici";
import type { LoadSettings } from "../deployment/types.ts";
import { HEADERS } from "../forwarding/types.ts";
import type { LookupAnswer } from "../lookup/types.ts";
import { type Clock, pause } from "../runtime/clock.ts";
import { createId } from "../runtime/ids.ts";
import { createRandom, drawExponential, pick } from "../runtime/random.ts";
import { collectBackends, startConfigWatch } from "./evidence.ts";

/** Factor on the backend servers' service times. */
const SLOW_FACTOR = 0.05;
const LOOKUP_RUN_MS = 4_000;
const LOOKUPS_AT_ONCE = 32;
/** Latencies are kept in hundredths of a millisecond. */
const SCALE = 100;

/** Latency of one way, in ms. */
export interface WayCost {
  requests: number;
  p50Ms: number;
  p99Ms: number;
}

/** What was measured. */
export interface PathCost {
  requestsPerS: number;
  direct: WayCost;
  entry: WayCost;
  addedP50Ms: number;
  addedP99Ms: number;
  lookupsPerS: number;
}

interface Target {
  url: string;
  headers: Record<string, string>;
}

/**
 * @param settings Settings of the deployment's load.
 * @param clock The clock.
 * @returns What the system adds.
 */
export async function measurePathCost(
  settings: LoadSettings,
  clock: Clock,
): Promise<PathCost> {
  const agent = new Agent({ connections: 64, pipelining: 1 });
  const watch = startConfigWatch({ ...settings, clock });
  await watch.waitUntilUp();
  watch.close();
  await quicken(settings);
  const targets = await listTargets(settings, agent);
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
    pending.push(time(target, { agent, clock }, isDirect ? direct : entry));
    nextMs += drawExponential(random, 1_000 / settings.requestsPerS);
  }
  await Promise.all(pending);
  const lookupsPerS = await measureLookups(settings, { agent, clock });
  await agent.destroy();
  const ways = { direct: describe(direct), entry: describe(entry) };
  return {
    requestsPerS: settings.requestsPerS,
    ...ways,
    addedP50Ms: ways.entry.p50Ms - ways.direct.p50Ms,
    addedP99Ms: ways.entry.p99Ms - ways.direct.p99Ms,
    lookupsPerS,
  };
}

async function quicken(settings: LoadSettings): Promise<void> {
  for (const admin of settings.backendAdmins) {
    for (const { id } of await collectBackends([admin])) {
      await request(`http://${admin}/admin/servers/${id}`, {
        method: "PUT",
        body: JSON.stringify({ slowFactor: SLOW_FACTOR }),
      });
    }
  }
}

/** Own-region entries, and the backend servers of the same service. */
async function listTargets(settings: LoadSettings, agent: Agent) {
  const { name, mix } = settings.services[0];
  const { path } = mix[0];
  const entry: Target[] = [];
  for (const { name: region, clientPrefix } of settings.regions) {
    const { caller } = settings.steers.find((one) => one.region === region)!;
    const url = `http://${caller}/v1/lookup/${name}?client=${clientPrefix}.1.1`;
    const response = await request(url, { dispatcher: agent });
    const answer = await response.body.json() as LookupAnswer;
    entry.push({
      url: `http://${answer.entries[0].address}/v1/services/${name}${path}`,
      headers: { [HEADERS.clientBlock]: answer.clientBlock },
    });
  }
  const reports = await collectBackends(settings.backendAdmins);
  const direct = reports.filter(({ service }) => service === name)
    .map(({ address }) => ({ url: `http://${address}${path}`, headers: {} }));
  return { entry, direct };
}

async function time(
  { url, headers }: Target,
  { agent, clock }: { agent: Agent; clock: Clock },
  histogram: Histogram,
): Promise<void> {
  const startMs = clock.monotonicMs();
  const response = await request(url, {
    dispatcher: agent,
    headers: { ...headers, [HEADERS.requestId]: createId() },
  });
  await response.body.dump();
  if (response.statusCode !== 200) return;
  const latencyMs = clock.monotonicMs() - startMs;
  histogram.recordValue(Math.max(1, Math.round(latencyMs * SCALE)));
}

function describe(histogram: Histogram): WayCost {
  return {
    requests: histogram.totalCount,
    p50Ms: histogram.getValueAtPercentile(50) / SCALE,
    p99Ms: histogram.getValueAtPercentile(99) / SCALE,
  };
}

async function measureLookups(
  settings: LoadSettings,
  { agent, clock }: { agent: Agent; clock: Clock },
): Promise<number> {
  const { caller } = settings.steers[0];
  const { name } = settings.services[0];
  const { clientPrefix } = settings.regions[0];
  const startMs = clock.monotonicMs();
  let answered = 0;
  async function askAgain(worker: number): Promise<void> {
    while (clock.monotonicMs() - startMs < LOOKUP_RUN_MS) {
      const client = `${clientPrefix}.${answered % 256}.${worker}`;
      const url = `http://${caller}/v1/lookup/${name}?client=${client}`;
      const response = await request(url, { dispatcher: agent });
      await response.body.dump();
      if (response.statusCode === 200) answered += 1;
    }
  }
  const workers = Array.from(
    { length: LOOKUPS_AT_ONCE },
    (_, w) => askAgain(w),
  );
  await Promise.all(workers);
  return answered * 1_000 / (clock.monotonicMs() - startMs);
}

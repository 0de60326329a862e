/**
 * Measures the overhead of the control plane on idle daemons: bytes on peer
 * links, CPU time, memory, platform calls, and the time until every daemon has
 * applied an edited document.
 *
 * @module
 */
import { getServiceKey } from "../config/rows.ts";
import { createDocumentStore } from "../config/store.ts";
import type { LoadSettings } from "../deployment/types.ts";
import type { ProcessUsage } from "../operator/routes.ts";
import { createPlatformClient } from "../platform/http_client.ts";
import { KEY_HEADER } from "../runtime/access.ts";
import { type Clock, pause } from "../runtime/clock.ts";
import type { PlatformCounts } from "../standin/platform.ts";
import { startConfigWatch } from "./collect.ts";
import { fetchJson } from "./fetch_json.ts";

/** Delay before the first sample, so that start-up traffic isn't measured. */
const SETTLE_MS = 8_000;
/** Edits whose propagation is measured. */
const EDIT_COUNT = 5;

/** Mean and maximum of a value over daemons. */
export interface MeanAndMax {
  mean: number;
  highest: number;
}

/** Overhead of the daemons of one role. */
export interface RoleCost {
  daemons: number;
  sentBytesPerS: MeanAndMax;
  receivedBytesPerS: MeanAndMax;
  cpuShare: MeanAndMax;
  rssMb: MeanAndMax;
}

/** Overhead of the control plane. */
export interface ControlCost {
  daemons: number;
  /** Time between the two samples, in s. */
  durationS: number;
  steer: RoleCost;
  entry: RoleCost;
  /**
   * The daemon that sends the most, with its bytes per second by message kind.
   */
  busiest: { id: string; sentBytesPerS: Record<string, number> };
  platformReadsPerS: number;
  platformWritesPerS: number;
  /** Time until every daemon had applied an edit, in ms. */
  configInForceMs: MeanAndMax;
}

/** Counters of one daemon at one time. */
interface DaemonSample {
  id: string;
  sentByKind: Record<string, number>;
  role: "steer" | "entry";
  atMs: number;
  /** CPU time and memory of the process. */
  use: ProcessUsage;
  sentBytes: number;
  receivedBytes: number;
}

/**
 * Waits until all daemons are ready, samples them `durationS` apart, then
 * measures how long edits take to be applied. The edits append a space to the
 * first service's document.
 *
 * @param settings Settings of the deployment's load.
 * @param clock The clock.
 * @returns The overhead by role and for the platform.
 * @throws StepError of kind `refused` where a daemon isn't ready within 60 s.
 */
export async function measureControlCost(
  settings: LoadSettings,
  clock: Clock,
): Promise<ControlCost> {
  const watch = startConfigWatch({ ...settings, clock });
  await watch.waitUntilReady();
  watch.close();
  await pause(clock, SETTLE_MS);
  const before = await sampleDaemons(settings, clock);
  const callsBefore = await readPlatformCounts(settings);
  await pause(clock, settings.durationS * 1_000);
  const after = await sampleDaemons(settings, clock);
  const callsAfter = await readPlatformCounts(settings);
  const durationS = (after[0].atMs - before[0].atMs) / 1_000;
  return {
    daemons: before.length,
    durationS,
    steer: computeRoleCost("steer", before, after),
    entry: computeRoleCost("entry", before, after),
    busiest: findBusiestDaemon(before, after),
    platformReadsPerS: (callsAfter.reads - callsBefore.reads) / durationS,
    platformWritesPerS: (callsAfter.writes - callsBefore.writes) / durationS,
    configInForceMs: await measureEditPropagation(settings, clock),
  };
}

async function readPlatformCounts(
  settings: LoadSettings,
): Promise<PlatformCounts> {
  return await fetchJson<PlatformCounts>(
    `${settings.platformUrl}/admin/counts`,
  );
}

function sampleDaemons(
  settings: LoadSettings,
  clock: Clock,
): Promise<DaemonSample[]> {
  return Promise.all(
    settings.operators.map((operator) =>
      sampleDaemon(operator, settings, clock)
    ),
  );
}

async function sampleDaemon(
  operator: string,
  settings: LoadSettings,
  clock: Clock,
): Promise<DaemonSample> {
  const { process: use, control } = await fetchJson<{
    process: ProcessUsage;
    control: {
      self: { id: string; role: "steer" | "entry" };
      linkTraffic: Pick<
        DaemonSample,
        "sentBytes" | "receivedBytes" | "sentByKind"
      >;
    };
  }>(`http://${operator}/v1/dump`, { [KEY_HEADER]: settings.operatorKey });
  const { id, role } = control.self;
  return {
    id,
    role,
    atMs: clock.monotonicMs(),
    use,
    ...control.linkTraffic,
  };
}

function computeRoleCost(
  role: DaemonSample["role"],
  before: readonly DaemonSample[],
  after: readonly DaemonSample[],
): RoleCost {
  const pairs = before
    .map((first, index) => ({ first, last: after[index] }))
    .filter(({ first }) => first.role === role);
  const computeRates = (getValue: (sample: DaemonSample) => number) =>
    computeMeanAndMax(
      pairs.map(({ first, last }) =>
        (getValue(last) - getValue(first)) * 1_000 / (last.atMs - first.atMs)
      ),
    );
  const cpuMsPerS = computeRates(({ use }) => use.cpuMs);
  return {
    daemons: pairs.length,
    sentBytesPerS: computeRates(({ sentBytes }) => sentBytes),
    receivedBytesPerS: computeRates(({ receivedBytes }) => receivedBytes),
    cpuShare: {
      mean: cpuMsPerS.mean / 1_000,
      highest: cpuMsPerS.highest / 1_000,
    },
    rssMb: computeMeanAndMax(
      pairs.map(({ last }) => last.use.rssBytes / 1_048_576),
    ),
  };
}

function findBusiestDaemon(
  before: readonly DaemonSample[],
  after: readonly DaemonSample[],
): ControlCost["busiest"] {
  const rates = before.map((first, index) => {
    const last = after[index];
    const seconds = (last.atMs - first.atMs) / 1_000;
    const byKind = Object.entries(last.sentByKind).map(([kind, bytes]) => [
      kind,
      Math.round((bytes - (first.sentByKind[kind] ?? 0)) / seconds),
    ]);
    const sent = (last.sentBytes - first.sentBytes) / seconds;
    return { id: first.id, sent, byKind: Object.fromEntries(byKind) };
  });
  const [busiest] = rates.sort((a, b) => b.sent - a.sent);
  return { id: busiest.id, sentBytesPerS: busiest.byKind };
}

function computeMeanAndMax(values: readonly number[]): MeanAndMax {
  const sum = values.reduce((total, value) => total + value, 0);
  return { mean: sum / values.length, highest: Math.max(...values) };
}

async function measureEditPropagation(
  settings: LoadSettings,
  clock: Clock,
): Promise<MeanAndMax> {
  const platform = createPlatformClient(settings.platformUrl);
  const store = createDocumentStore(platform.table, clock);
  const watch = startConfigWatch({ ...settings, clock });
  const name = settings.services[0].name;
  const key = getServiceKey(name);
  const durationsMs: number[] = [];
  for (let count = 0; count < EDIT_COUNT; count++) {
    const current = (await store.read(key))._unsafeUnwrap();
    const result = (await store.put({
      key,
      text: `${current.stored!.text} `,
      author: "load",
      baseRowVersion: current.rowVersion,
    }))._unsafeUnwrap();
    if (result.outcome !== "accepted") continue;
    durationsMs.push(await watch.waitUntilApplied(name, result.number));
    await pause(clock, 300);
  }
  watch.close();
  await platform.close();
  return computeMeanAndMax(durationsMs);
}

/**
 * Measures what control costs daemons that carry no load: bytes on peer links,
 * processor time, memory, calls of the platform, and the time until an edit is
 * in force everywhere.
 *
 * @module
 */
import { request } from "undici";
import { getServiceKey } from "../config/rows.ts";
import { createDocumentStore } from "../config/store.ts";
import type { LoadSettings } from "../deployment/types.ts";
import type { ProcessUse } from "../operator/routes.ts";
import { createPlatformClient } from "../platform/http_client.ts";
import { KEY_HEADER } from "../runtime/access.ts";
import { type Clock, pause } from "../runtime/clock.ts";
import type { PlatformCounts } from "../standin/platform.ts";
import { startConfigWatch } from "./evidence.ts";

/** Time after the start in which daemons settle. */
const SETTLE_MS = 8_000;
/** Edits whose way is timed. */
const EDITS = 5;

/** Mean and highest of a figure over daemons. */
export interface Spread {
  mean: number;
  highest: number;
}

/** Cost for each role. */
export interface RoleCost {
  daemons: number;
  sentBytesPerS: Spread;
  receivedBytesPerS: Spread;
  cpuShare: Spread;
  rssMb: Spread;
}

/** What control costs. */
export interface ControlCost {
  daemons: number;
  durationS: number;
  steer: RoleCost;
  entry: RoleCost;
  /** The daemon that sends most, with bytes a second by kind of message. */
  busiest: { id: string; sentBytesPerS: Record<string, number> };
  platformReadsPerS: number;
  platformWritesPerS: number;
  configInForceMs: Spread;
}

interface Sample {
  id: string;
  sentByKind: Record<string, number>;
  role: "steer" | "entry";
  atMs: number;
  use: ProcessUse;
  sentBytes: number;
  receivedBytes: number;
}

/**
 * @param settings Settings of the deployment's load.
 * @param clock The clock.
 * @returns The cost.
 */
export async function measureControl(
  settings: LoadSettings,
  clock: Clock,
): Promise<ControlCost> {
  const watch = startConfigWatch({ ...settings, clock });
  await watch.waitUntilUp();
  watch.close();
  await pause(clock, SETTLE_MS);
  const before = await sampleAll(settings, clock);
  const callsBefore = await readCounts(settings);
  await pause(clock, settings.durationS * 1_000);
  const after = await sampleAll(settings, clock);
  const callsAfter = await readCounts(settings);
  const durationS = (after[0].atMs - before[0].atMs) / 1_000;
  return {
    daemons: before.length,
    durationS,
    steer: makeRoleCost("steer", before, after),
    entry: makeRoleCost("entry", before, after),
    busiest: findBusiest(before, after),
    platformReadsPerS: (callsAfter.reads - callsBefore.reads) / durationS,
    platformWritesPerS: (callsAfter.writes - callsBefore.writes) / durationS,
    configInForceMs: await timeEdits(settings, clock),
  };
}

async function readCounts(settings: LoadSettings): Promise<PlatformCounts> {
  const response = await request(`${settings.platformUrl}/admin/counts`);
  return await response.body.json() as PlatformCounts;
}

function sampleAll(settings: LoadSettings, clock: Clock): Promise<Sample[]> {
  return Promise.all(
    settings.operators.map((operator) => sample(operator, settings, clock)),
  );
}

async function sample(
  operator: string,
  settings: LoadSettings,
  clock: Clock,
): Promise<Sample> {
  const response = await request(`http://${operator}/v1/dump`, {
    headers: { [KEY_HEADER]: settings.operatorKey },
  });
  const { process: use, control } = await response.body.json() as {
    process: ProcessUse;
    control: {
      self: { id: string; role: "steer" | "entry" };
      linkTraffic: Pick<Sample, "sentBytes" | "receivedBytes" | "sentByKind">;
    };
  };
  const { id, role } = control.self;
  return { id, role, atMs: clock.monotonicMs(), use, ...control.linkTraffic };
}

function makeRoleCost(
  role: Sample["role"],
  before: readonly Sample[],
  after: readonly Sample[],
): RoleCost {
  const pairs = before
    .map((first, index) => ({ first, last: after[index] }))
    .filter(({ first }) => first.role === role);
  const perS = (value: (sample: Sample) => number) =>
    spread(
      pairs.map(({ first, last }) =>
        (value(last) - value(first)) * 1_000 / (last.atMs - first.atMs)
      ),
    );
  const cpuMsPerS = perS(({ use }) => use.cpuMs);
  return {
    daemons: pairs.length,
    sentBytesPerS: perS(({ sentBytes }) => sentBytes),
    receivedBytesPerS: perS(({ receivedBytes }) => receivedBytes),
    cpuShare: {
      mean: cpuMsPerS.mean / 1_000,
      highest: cpuMsPerS.highest / 1_000,
    },
    rssMb: spread(pairs.map(({ last }) => last.use.rssBytes / 1_048_576)),
  };
}

function findBusiest(
  before: readonly Sample[],
  after: readonly Sample[],
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
  const [most] = rates.sort((a, b) => b.sent - a.sent);
  return { id: most.id, sentBytesPerS: most.byKind };
}

function spread(values: readonly number[]): Spread {
  const sum = values.reduce((total, value) => total + value, 0);
  return { mean: sum / values.length, highest: Math.max(...values) };
}

async function timeEdits(
  settings: LoadSettings,
  clock: Clock,
): Promise<Spread> {
  const platform = createPlatformClient(settings.platformUrl);
  const store = createDocumentStore(platform.table, clock);
  const watch = startConfigWatch({ ...settings, clock });
  const name = settings.services[0].name;
  const key = getServiceKey(name);
  const times: number[] = [];
  for (let count = 0; count < EDITS; count++) {
    const read = (await store.read(key))._unsafeUnwrap();
    const put = (await store.put({
      key,
      text: `${read.stored!.text} `,
      author: "load",
      baseRowVersion: read.rowVersion,
    }))._unsafeUnwrap();
    if (put.outcome !== "accepted") continue;
    times.push(await watch.waitFor(name, put.number));
    await pause(clock, 300);
  }
  watch.close();
  await platform.close();
  return spread(times);
}
